//! One module a subcommand.

pub(crate) mod lists;
pub(crate) mod status;
