//! Decoding of requests to the store.

use std::str::FromStr;
use std::time::Duration;

use http1::request::Request;
use serde_json::Value;

/// What a request asks for.
#[derive(Debug)]
pub(super) enum Call {
    /// Changes of a kind's objects after a revision.
    Watch {
        kind: String,
        since: u64,
        timeout: Duration,
    },
    /// All objects of a kind.
    List { kind: String },
    /// One object.
    Get { kind: String, name: String },
    /// A change of one object.
    Write(Write),
}

/// When a write is executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    /// The object does not exist.
    Absent,
    /// The object exists.
    Present,
    /// The object has this revision.
    Revision(u64),
}

/// A change of one object.
#[derive(Clone, Debug)]
pub(super) struct Write {
    pub(super) kind: String,
    pub(super) name: String,
    pub(super) condition: Condition,
    /// New content; `None` removes the object.
    pub(super) specification: Option<Value>,
}

impl Call {
    /// Decodes a request; `None` if it is malformed.
    pub(super) fn decode(request: &Request) -> Option<Self> {
        let path = request.path().strip_prefix("/plantaingauge/objects/")?;
        let target = std::str::from_utf8(&request.target).ok()?;
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let (kind, name) = (kind.to_owned(), name.to_owned());
        if let Some(since) = parameter(query, "watch") {
            let timeout_ms = parameter(query, "waitMs").unwrap_or(0);
            let timeout = Duration::from_millis(timeout_ms);
            return Some(Self::Watch {
                kind,
                since,
                timeout,
            });
        }
        match request.method.as_ref() {
            b"GET" if name.is_empty() => Some(Self::List { kind }),
            b"GET" => Some(Self::Get { kind, name }),
            b"DELETE" => Some(Self::Write(Write {
                kind,
                name,
                condition: present_at(parameter(query, "revision")),
                specification: None,
            })),
            method => {
                let mut body: Value = serde_json::from_slice(&request.body).ok()?;
                let metadata = &body["metadata"];
                let condition = match method {
                    b"POST" => Condition::Absent,
                    _ => present_at(metadata["revision"].as_u64()),
                };
                Some(Self::Write(Write {
                    kind,
                    name: metadata["name"].as_str()?.to_owned(),
                    condition,
                    specification: Some(body["specification"].take()),
                }))
            }
        }
    }
}

fn present_at(revision: Option<u64>) -> Condition {
    revision.map_or(Condition::Present, Condition::Revision)
}

fn parameter<T: FromStr>(query: &str, name: &str) -> Option<T> {
    let mut pairs = query.split('&');
    pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}
