//! Admission control in front of one back end: which requests run, wait or are rejected.
//!
//! The queue is bounded by time: a request waits only while it is expected to finish before its
//! deadline. Requests are ordered by priority, then by arrival. A back end may also limit how many
//! start in a second, and one that is cold takes few until it has warmed up.

pub mod cold_limit;
pub mod cold_state;
pub mod estimate;
pub mod fair_share;
pub mod link;
pub mod queue;
pub mod rank;
pub mod rate_limit;
pub mod slowness;
