//! The process that runs on each machine beside a back end and routes requests between machines.
//!
//! Local callers send their requests to the [`entry`]; [`dispatch`] chooses the machine that runs
//! each; a [`link`] forwards it to that machine, where the [`back_end_proxy`] sends it to the back
//! end.

pub mod accept;
pub mod back_end;
pub mod back_end_proxy;
pub mod body_assembly;
pub mod call_rank;
pub mod catalog_watch;
mod client_limits;
pub mod cold_limit;
pub mod config_check;
pub mod config_lag;
pub mod config_readers;
pub mod connection_limit;
pub mod crash_watch;
pub mod denial;
pub mod departures;
pub mod dispatch;
pub mod entry;
pub mod evacuation_watch;
pub mod evacuations;
pub mod failure_rate;
pub mod frame;
pub mod frame_stream;
pub mod heartbeat_check;
pub mod heartbeats;
pub mod homes;
pub mod leaving;
pub mod link;
pub mod link_admission;
pub mod link_liveness;
pub mod link_pacer;
pub mod link_queue;
pub mod log_queue;
pub mod low_discrepancy;
pub mod members;
pub mod memory;
pub mod metrics;
pub mod named_limit;
pub mod node;
mod open_request;
pub mod outgoing;
pub mod packed;
pub mod pause;
pub mod peer;
pub mod peer_requests;
pub mod peer_server;
pub mod peer_sync;
pub mod pending_changes;
pub mod platform_server;
pub mod probe;
pub mod quarantine_store;
pub mod refusals;
pub mod relay;
mod response_writer;

pub mod retry_detector;
pub mod run;
pub mod shard_driver;
pub mod single_request;
pub mod slowness;
pub mod store_update;
pub mod store_watch;
mod stranger;
pub mod suspects;
pub mod wall_clock;
