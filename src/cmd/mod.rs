//! Subcommands, one module each.

pub(crate) mod lists;
pub(crate) mod status;
