//! Subcommands, each in a module of its own.

pub(crate) mod balance;
pub(crate) mod capacity;
pub(crate) mod demo;
pub(crate) mod faults;
pub(crate) mod limits;
pub(crate) mod lists;
pub(crate) mod load;
pub(crate) mod processes;
pub(crate) mod trace;

/// Error that a subcommand prints before it exits with a failure status.
pub(crate) type Error = Box<dyn std::error::Error + Send + Sync>;
