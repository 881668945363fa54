//! Who runs, who waits and who is refused at one back end.
//!
//! A queue that is bounded by time: a request waits only while it is expected to end before its
//! deadline. Urgent requests go first, and among equally urgent ones those that came first.

pub mod estimate;
pub mod queue;
