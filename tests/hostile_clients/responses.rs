//! Responses that callers ask for and do not read, or read slowly.

use std::time::Duration;

use rstest::rstest;
use stand_ins::layout;

use crate::crowd;
use crate::process::{Limits, Process};

/// Callers that do not read their responses.
const CROWD: usize = 40;
/// Requests that each sends ahead.
const PIPELINED: usize = 32;
/// Time for which the responses pile up.
const PILE_UP_TIME: Duration = Duration::from_secs(6);
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
