//! Which back end a request goes to, and whether it may be sent again.

pub mod choice;
pub mod link_delay;
pub mod retry_budget;
