//! Honest clients at the edge of the limits, whom no bound may turn away.

use std::time::Duration;

use stand_ins::layout;

use crate::crowd;
use crate::process::{Limits, Process};

/// Largest body by default.
const LARGEST_BODY_BYTES: usize = 64 << 20;
/// Memory of the smallest machine, in MB.
const SMALLEST_MEMORY_MB: u64 = 160;
/// Requests that a caller may send ahead.
const PIPELINED: usize = 32;

// Guards against a bound on memory that refuses the largest legal request while nothing else is open, and
// against a body that takes twice its length.
#[test]
fn the_largest_body_is_served_on_the_smallest_machine() {
    let mut process = Process::start(Limits {
        memory_mb: SMALLEST_MEMORY_MB,
        body_bytes: LARGEST_BODY_BYTES,
        ..Limits::default()
    });
    let body = "x".repeat(LARGEST_BODY_BYTES);
    let status = process.call("/orders/", &body, Duration::from_secs(30));
    assert_eq!(status.expect("an answer"), 200);
    process.check("calm largest body");
}

// Guards against bounds on memory or pipelining that refuse requests which a caller sends ahead.
#[test]
fn requests_sent_ahead_are_all_answered() {
    let mut process = Process::start(Limits::default());
    let requests = crowd::head("/orders/", "Content-Length: 0\r\n").repeat(PIPELINED);
    let mut stream = crowd::open(process.address(layout::CALLER_PORT)).expect("a connection");
    assert!(crowd::send(&mut stream, &requests, requests.len()));
    let answers = crowd::read(&mut stream, usize::MAX);
    let text = String::from_utf8_lossy(&answers);
    assert_eq!(text.matches("HTTP/1.1 200").count(), PIPELINED);
    process.check("calm requests sent ahead");
}

// Guards against deadlines that close a slow body above the documented rate, or a head within its time.
#[test]
fn a_slow_body_above_the_least_rate_is_served() {
    let mut process = Process::start(Limits::default());
    let mut stream = crowd::open(process.address(layout::CALLER_PORT)).expect("a connection");
    let message = [
        crowd::head("/orders/", "Content-Length: 70000\r\n"),
        vec![b'x'; 70_000],
    ]
    .concat();
    let (head, body) = message.split_at(20);
    assert!(crowd::send(&mut stream, head, head.len()));
    std::thread::sleep(Duration::from_secs(2));
    for piece in body.chunks(5_000) {
        assert!(crowd::send(&mut stream, piece, piece.len()));
        std::thread::sleep(Duration::from_secs(1));
    }
    let answer = crowd::read(&mut stream, 12);
    assert_eq!(answer, b"HTTP/1.1 200");
    process.check("calm slow body");
}
