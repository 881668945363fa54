//! Requests of callers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use stand_ins::http::Connection;

use crate::record::Record;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new `Request-Id`.
pub fn new_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000 + NEXT.fetch_add(1, Ordering::SeqCst)
    )
}

/// One request.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub id: String,
    pub method: &'a str,
    pub path: &'a str,
    pub key: Option<u16>,
    pub limit_ms: u64,
}

impl<'a> Call<'a> {
    pub fn get(path: &'a str, limit_ms: u64) -> Self {
        Self {
            id: new_id(),
            method: "GET",
            path,
            key: None,
            limit_ms,
        }
    }

    pub fn post(path: &'a str, limit_ms: u64) -> Self {
        Self {
            method: "POST",
            ..Self::get(path, limit_ms)
        }
    }

    /// The request's head; `body` is the length of its body.
    pub fn head(&self, body: usize) -> String {
        let key = self
            .key
            .map_or_else(String::new, |k| format!("Shard-Key: {k}\r\n"));
        let length = if self.method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {body}\r\n")
        };
        format!(
            "{} {} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n{key}{length}\r\n",
            self.method, self.path, self.id, self.limit_ms
        )
    }
}

/// The end of a request as its caller sees it.
pub struct End {
    pub status: u16,
    pub took: Duration,
}

/// Sends a request without a body on a new connection and waits for its answer until its time limit
/// and a second; status 0 without an answer.
pub fn send(record: &Record, address: SocketAddr, call: &Call<'_>) -> End {
    let started = Instant::now();
    record.line(&format!(
        "sent id={} to={address} {} {}",
        call.id, call.method, call.path
    ));
    let limit = Duration::from_millis(call.limit_ms + 1_000);
    let answer = Connection::open(address, Duration::from_secs(1))
        .and_then(|mut c| c.call(&call.head(0), limit));
    let took = started.elapsed();
    let status = answer.map_or(0, |r| r.status);
    record.line(&format!(
        "answered id={} status={status} ms={}",
        call.id,
        took.as_millis()
    ));
    End { status, took }
}

/// Whether a node says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let request = format!("GET /plantaingauge/readiness HTTP/1.1\r\nHost: {address}\r\n\r\n");
    stand_ins::http::call(address, &request, Duration::from_secs(1)).is_ok_and(|r| r.status == 200)
}
