//! Responses that callers ask for and do not read, or read slowly.

use std::time::Duration;

use rstest::rstest;
use stand_ins::back_end::LONG_BODY_BYTES;
use stand_ins::layout;

use crate::crowd;
use crate::process::{Limits, Process};

/// Callers that do not read their responses.
const CROWD: usize = 40;
/// Requests that each sends ahead.
const PIPELINED: usize = 32;
/// Time for which the responses pile up.
const PILE_UP_TIME: Duration = Duration::from_secs(6);
/// Time without reading after which a response has been cut off.
const CUT_OFF_TIME: Duration = Duration::from_secs(12);
/// Bytes that a slow reader reads at once, and how often.
const SLOW_READ_BYTES: usize = 1_024;
const SLOW_READS: usize = 60;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(100);

// Guards against responses that wait for their turn or their reader and together exceed the memory of the
// process.
#[rstest]
#[case::large("/orders/large/", LIMITS)]
#[case::long("/orders/long/", LARGE_MACHINE)]
#[case::refused("/none/", LIMITS)]
fn unread_responses_stay_within_the_memory(#[case] path: &str, #[case] limits: Limits) {
    let mut process = Process::start(limits);
    let requests = crowd::head(path, "Content-Length: 0\r\n").repeat(PIPELINED);
    let address = process.address(layout::CALLER_PORT);
    let clients = crowd::run(CROWD, address, |stream| {
        crowd::send(stream, &requests, requests.len());
        std::thread::sleep(PILE_UP_TIME);
    });
    process.check(&format!("unread responses {path}"));
    drop(clients);
}

// Guards against the same, of callers that read a little now and then.
#[rstest]
#[case::large("/orders/large/", LIMITS)]
#[case::long("/orders/long/", LARGE_MACHINE)]
fn slowly_read_responses_stay_within_the_memory(#[case] path: &str, #[case] limits: Limits) {
    let mut process = Process::start(limits);
    let requests = crowd::head(path, "Content-Length: 0\r\n").repeat(PIPELINED / 4);
    let address = process.address(layout::CALLER_PORT);
    let clients = crowd::run(CROWD, address, |stream| {
        crowd::send(stream, &requests, requests.len());
        for _ in 0..SLOW_READS {
            crowd::read(stream, SLOW_READ_BYTES);
            std::thread::sleep(SLOW_READ_INTERVAL);
        }
    });
    process.check(&format!("slowly read responses {path}"));
    drop(clients);
}

// Guards against responses to scrapes and readiness checks that are not read.
#[rstest]
#[case(layout::METRICS_PORT, "/metrics")]
#[case(layout::READINESS_PORT, "/plantaingauge/readiness")]
fn unread_platform_responses_stay_within_the_memory(#[case] port: u16, #[case] path: &str) {
    let mut process = Process::start(LIMITS);
    let requests = format!("GET {path} HTTP/1.1\r\n\r\n").repeat(2_000);
    let clients = crowd::run(CROWD, process.address(port), |stream| {
        crowd::send(stream, requests.as_bytes(), requests.len());
    });
    process.check(&format!("unread platform responses {path}"));
    drop(clients);
}

// Guards against a response that is cut off because its caller does not read, and looks complete to it.
#[test]
fn a_response_that_is_cut_off_is_shorter_than_it_states() {
    let mut process = Process::start(LARGE_MACHINE);
    let request = crowd::head("/orders/long/", "Content-Length: 0\r\n");
    let mut stream = crowd::open(process.address(layout::CALLER_PORT)).expect("a connection");
    assert!(crowd::send(&mut stream, &request, request.len()));
    std::thread::sleep(CUT_OFF_TIME);
    let received = crowd::read(&mut stream, usize::MAX);
    let end = received.windows(4).position(|w| w == b"\r\n\r\n");
    let (head, body) = received.split_at(end.expect("a head") + 4);
    let head = String::from_utf8_lossy(head);
    let stated = format!("Content-Length: {LONG_BODY_BYTES}\r\n");
    assert!(
        head.starts_with("HTTP/1.1 200") && head.contains(&stated),
        "{head}"
    );
    assert!(body.len() < LONG_BODY_BYTES, "the response was not cut off");
    process.check("cut-off response");
}

const LIMITS: Limits = Limits {
    memory_mb: 96,
    descriptors: 256,
    head_bytes: 16_384,
    body_bytes: 8_000_000,
};
/// Limits with which one response of 14 MB is within the share of incomplete responses.
const LARGE_MACHINE: Limits = Limits {
    memory_mb: 260,
    ..LIMITS
};
