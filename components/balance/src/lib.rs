//! Load balancing: selects the back end for a request and limits retries.

pub mod choice;
pub mod link_delay;
pub mod retry_budget;
pub mod search;
