//! The daemon that runs beside each back end: accepts requests of callers, routes them to the owner
//! of the key, and forwards them to the local back end.

pub mod admin_api;
pub mod allowance;
pub mod announcement;
pub mod back_end;
pub mod caller_api;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod gate;
pub mod handover;
pub mod lease;
pub mod link_filter;
pub mod metrics;
pub mod owner;
pub mod peer_server;
pub mod pool;
pub mod settings;
pub mod shared;
pub mod status;
