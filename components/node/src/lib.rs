//! The process beside a back end on the platform.
//!
//! Callers on the machine send their requests to the [`entry`]; [`dispatch`] chooses the machine
//! that runs each; a [`link`] carries it there, where the [`back_end_proxy`] hands it to the back
//! end.

pub mod accept;
pub mod back_end;
pub mod back_end_proxy;
pub mod catalog_watch;
pub mod catch_up;
pub mod dispatch;
pub mod early_changes;
pub mod entry;
pub mod failure_rate;
pub mod frame;
pub mod keys;
pub mod link;
pub mod log_queue;
pub mod low_discrepancy;
pub mod members;
pub mod metrics;
pub mod node;
pub mod pause;
pub mod peer_server;
pub mod probe;
pub mod ready;
pub mod relay;
pub mod retry_detector;
pub mod run;
