//! Recorded traces: one JSON object a line, sorted by time, each with its stated outcome.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Line {
    /// A caller's request.
    Request(RequestLine),
    /// Something that happens to the deployment.
    Event(EventLine),
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLine {
    /// Milliseconds from the start of the replay.
    pub at_ms: u64,
    /// Number of the request, unique in the trace.
    pub id: String,
    /// Zone that the caller's entry daemon stands in.
    pub zone: String,
    /// Customer; absent leaves the header out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
    /// Service.
    pub service: String,
    /// Operation.
    pub operation: String,
    /// Key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Body; absent sends a GET.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
    /// Ticket to send, where the trace tests a bad one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    /// Copies that are sent at the same time with the same ticket.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub copies: u32,
    /// Milliseconds for which the caller repeats.
    #[serde(
        default = "default_patience",
        skip_serializing_if = "is_default_patience"
    )]
    pub patience_ms: u64,
    /// Stated outcome.
    pub expect: Expect,
}

/// What must come of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// A back end answers it.
    Answered,
    /// It is refused with this code and never runs.
    Refused(String),
    /// It is answered and ran once, or its caller was told that its fate is not known.
    Settled,
    /// It is answered or refused for lack of allowance.
    Limited,
}

/// Something that happens to the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventLine {
    /// Milliseconds from the start of the replay.
    pub at_ms: u64,
    /// What happens.
    pub event: EventKind,
    /// Machine that it happens to, or `owner:SERVICE:KEY` for the owner of a key.
    #[serde(default)]
    pub machine: String,
}

/// Kinds of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// Daemon and back end are lost.
    Kill,
    /// The daemon is stopped as planned.
    Stop,
    /// The back end is lost; its daemon runs on.
    CrashBackEnd,
    /// A lost machine is replaced.
    Restart,
    /// Updates of the platform's objects take effect and their answers are lost.
    AnswersLost,
    /// The platform answers as it should.
    PlatformWell,
}

const DEFAULT_PATIENCE_MS: u64 = 3_000;

fn default_patience() -> u64 {
    DEFAULT_PATIENCE_MS
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_default_patience(patience: &u64) -> bool {
    *patience == DEFAULT_PATIENCE_MS
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// A line that is no trace line.
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

/// Reads a trace. Empty lines and lines that start with `#` are passed over.
///
/// # Errors
/// Names the first line that is not understood or out of order.
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
                .expect_err("a fault")
                .to_string()
                .starts_with("line 2: ")
        );
        let unsorted = format!("{GOOD}\n{}", GOOD.replace("\"at_ms\":5", "\"at_ms\":4"));
        let fault = parse(&unsorted).expect_err("a fault").to_string();
        assert_eq!(fault, "line 2: earlier than the line before");
    }
}
