//! Exit codes of the tool.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// It did what was asked.
    Done,
    /// It failed and changed nothing.
    Failed,
    /// The document has faults; nothing was changed.
    Refused,
    /// Somebody else edited the lists first; nothing was changed.
    Conflict,
    /// The store gave no answer; the edit may or may not be in force.
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
