//! Exit codes of the operators' tool `plantaingauge`.

use std::process::ExitCode;

/// Result of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed and changed nothing.
    Failed,
    /// The document is invalid; nothing was changed.
    Refused,
    /// Another edit changed the lists first; this one changed nothing.
    Conflict,
    /// The store did not respond; the edit may or may not have taken effect.
    Unknown,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Refused => 3,
            Exit::Conflict => 4,
            Exit::Unknown => 5,
        })
    }
}
