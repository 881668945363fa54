//! Reads and writes traces: one JSON object a line, sorted by time. Each request states the outcome
//! that is expected.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Line {
    /// A caller's request.
    Request(RequestLine),
    /// A fault or an operation on the deployment.
    Event(EventLine),
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLine {
    /// Milliseconds from the start of the replay.
    pub at_ms: u64,
    /// Id of the request, unique in the trace.
    pub id: String,
    /// Zone of the caller, whose daemons it prefers as entries.
    pub zone: String,
    /// Customer; `None` omits the header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
    /// Service.
    pub service: String,
    /// Operation.
    pub operation: String,
    /// Key; `None` omits the header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Body; `None` sends a GET.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
    /// Ticket to send, for requests that test an invalid one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    /// Copies that are sent at the same time with the same ticket; 0 and 1 send one request.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub copies: u32,
    /// Time from the first attempt after which the caller stops retrying, in milliseconds.
    #[serde(
        rename = "patience_ms",
        default = "default_timeout_ms",
        skip_serializing_if = "is_default_timeout"
    )]
    pub timeout_ms: u64,
    /// Expected outcome.
    pub expect: Expect,
}

/// Expected outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// A back end answers it.
    Answered,
    /// It is rejected with this error code and never executed.
    Refused(String),
    /// A back end answers it, or it is rejected; an error response that says it was executed must
    /// be right.
    Settled,
    /// A back end answers it, or it is rejected because the plan's allowance is used up.
    Limited,
}

/// A fault or an operation on the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventLine {
    /// Milliseconds from the start of the replay.
    pub at_ms: u64,
    /// Kind of the event.
    pub event: EventKind,
    /// Machine concerned, or `owner:SERVICE:KEY` for the owner of a key. Empty for events of the
    /// platform.
    #[serde(default)]
    pub machine: String,
}

/// Kinds of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The machine's daemon and back end are killed.
    Kill,
    /// The daemon shuts down gracefully.
    Stop,
    /// The back end crashes; its daemon keeps running.
    CrashBackEnd,
    /// The machine's daemon and back end are started again.
    Restart,
    /// Updates of the platform's objects take effect, but their responses are lost.
    AnswersLost,
    /// The platform's faults end.
    PlatformWell,
}

const DEFAULT_TIMEOUT_MS: u64 = 3_000;

fn default_timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_default_timeout(timeout_ms: &u64) -> bool {
    *timeout_ms == DEFAULT_TIMEOUT_MS
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// An invalid line of a trace.
#[derive(Debug, Snafu)]
#[snafu(display("line {line}: {message}"))]
pub struct TraceError {
    /// Number of the line, counted from 1.
    line: usize,
    /// What is wrong.
    message: String,
}

impl Line {
    /// Milliseconds from the start of the replay.
    #[must_use]
    pub fn at_ms(&self) -> u64 {
        match self {
            Line::Request(request) => request.at_ms,
            Line::Event(event) => event.at_ms,
        }
    }
}

/// Parses a trace. Empty lines and lines that start with `#` are skipped.
///
/// # Errors
/// Fails at the first line that is invalid or earlier than the one before it.
pub fn parse(text: &str) -> Result<Vec<Line>, TraceError> {
    let mut lines: Vec<Line> = Vec::new();
    for (index, text) in text.lines().enumerate() {
        if text.trim().is_empty() || text.starts_with('#') {
            continue;
        }
        let line = index + 1;
        let parsed: Line = serde_json::from_str(text).map_err(|e| TraceError {
            line,
            message: e.to_string(),
        })?;
        if lines
            .last()
            .is_some_and(|last| last.at_ms() > parsed.at_ms())
        {
            let message = "earlier than the line before".to_owned();
            return Err(TraceError { line, message });
        }
        lines.push(parsed);
    }
    Ok(lines)
}

impl fmt::Display for Expect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Expect::Answered => f.write_str("answered"),
            Expect::Refused(code) => write!(f, "refused:{code}"),
            Expect::Settled => f.write_str("settled"),
            Expect::Limited => f.write_str("limited"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"kind":"request","at_ms":5,"id":"1","zone":"nord-a","service":"listings","operation":"bundles","expect":"answered"}"#;

    #[test]
    fn can_parse_requests_and_events() {
        let text = format!(
            "# a comment\n{GOOD}\n{}",
            r#"{"kind":"event","at_ms":9,"event":"kill","machine":"nord-a-credits"}"#
        );
        let lines = parse(&text).expect("a trace");
        assert_eq!(lines.len(), 2);
        assert_eq!(lines[1].at_ms(), 9);
    }

    #[test]
    fn errors_name_the_line() {
        let wrong = format!("{GOOD}\n{}", GOOD.replace("answered", "perhaps"));
        assert!(
            parse(&wrong)
                .expect_err("an error")
                .to_string()
                .starts_with("line 2: ")
        );
        let unsorted = format!("{GOOD}\n{}", GOOD.replace("\"at_ms\":5", "\"at_ms\":4"));
        let error = parse(&unsorted).expect_err("an error").to_string();
        assert_eq!(error, "line 2: earlier than the line before");
    }
}
