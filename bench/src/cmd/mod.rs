//! One module a subcommand.

pub(crate) mod balance;
pub(crate) mod capacity;
pub(crate) mod demo;
pub(crate) mod faults;
pub(crate) mod limits;
pub(crate) mod lists;
pub(crate) mod load;
pub(crate) mod processes;
pub(crate) mod trace;

/// Error of a subcommand for people.
pub(crate) type Error = Box<dyn std::error::Error + Send + Sync>;
