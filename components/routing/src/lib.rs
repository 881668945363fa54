//! Chooses the machine that serves a request and decides whether a failed attempt is retried.

pub mod machine_stats;
pub mod pick;
pub mod retry;
