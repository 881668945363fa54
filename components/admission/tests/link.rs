//! Admission by the link, under the load that overfills the links of seven machines.

use std::collections::VecDeque;
use std::time::Duration;

use admission::link::{ExpectedResponse, Link, LinkForecast};

/// Machines whose links share the load.
const MACHINES: f64 = 7.0;
/// Rate of one link in bytes per second: 15 Mbit/s.
const RATE: f64 = 15e6 / 8.0;
/// Downloads per second at all machines, of 90 KB on average and 540 KB at most.
const DOWNLOADS: f64 = 190.0;
const MEAN_DOWNLOAD: f64 = 90_000.0;
const MAX_DOWNLOAD: f64 = 540_000.0;
/// Time within which a download is due.
const DOWNLOAD_TARGET: Duration = Duration::from_millis(1_000);
/// Calls per second at all machines, with a response of this length, due in 100 ms.
const CALLS: f64 = 730.0;
const CALL_BYTES: usize = 1_000;
const CALL_TARGET_MS: u64 = 100;
/// Time for which a download runs before its response is queued.
const SERVICE_MS: u64 = 40;
/// Longest part of a body.
const PART: usize = 16_384;
const CLASS: u32 = 1;
const DURATION_MS: u64 = 60_000;

/// A small generator of numbers in (0, 1], the same in each run.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = self.0.wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 11) + 1) as f64 / (1_u64 << 53) as f64
    }

    /// Number of arrivals in one millisecond.
    fn has_arrival(&mut self, per_second: f64) -> bool {
        self.next() <= per_second / MACHINES / 1_000.0
    }

    fn download_bytes(&mut self) -> usize {
        (-self.next().ln() * MEAN_DOWNLOAD).clamp(1_000.0, MAX_DOWNLOAD) as usize
    }
}

struct Running {
    ends_ms: u64,
    due_ms: u64,
    bytes: usize,
    expected: ExpectedResponse,
}

struct Body {
    due_ms: u64,
    bytes: usize,
    rest: usize,
}

#[derive(Debug, Default)]
struct Outcome {
    offered: usize,
    admitted: usize,
    in_time: usize,
    bytes_in_time: usize,
    calls: usize,
    late_calls: usize,
}

impl Outcome {
    fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.admitted as f64
    }
}

/// Runs one machine for a minute: calls go before parts of bodies, which take turns.
fn run(is_checked: bool) -> Outcome {
    let mut numbers = Numbers(7);
    let mut forecast = LinkForecast::default();
    let mut running: VecDeque<Running> = VecDeque::new();
    let mut calls: VecDeque<(u64, usize)> = VecDeque::new();
    let mut bodies: VecDeque<Body> = VecDeque::new();
    let mut outcome = Outcome::default();
    let mut budget = 0.0;
    for now in 0..DURATION_MS {
        if numbers.has_arrival(CALLS) {
            outcome.calls += 1;
            calls.push_back((now, CALL_BYTES));
        }
        let queued_calls: usize = calls.iter().map(|(_, rest)| rest).sum();
        let queued_bodies: usize = bodies.iter().map(|b| b.rest).sum();
        if numbers.has_arrival(DOWNLOADS) {
            let bytes = numbers.download_bytes();
            outcome.offered += 1;
            let link = Link {
                rate: RATE,
                queued_bytes: queued_calls + queued_bodies,
            };
            if !is_checked || forecast.check(CLASS, link, DOWNLOAD_TARGET).is_ok() {
                outcome.admitted += 1;
                running.push_back(Running {
                    ends_ms: now + SERVICE_MS,
                    due_ms: now + DOWNLOAD_TARGET.as_millis() as u64,
                    bytes,
                    expected: forecast.start(CLASS),
                });
            }
        }
        while running.front().is_some_and(|r| r.ends_ms <= now) {
            let Some(ended) = running.pop_front() else {
                break;
            };
            forecast.finish(ended.expected, Some(ended.bytes));
            bodies.push_back(Body {
                due_ms: ended.due_ms,
                bytes: ended.bytes,
                rest: ended.bytes,
            });
        }
        budget += RATE / 1_000.0;
        while budget > 0.0 {
            if let Some((arrived, bytes)) = calls.pop_front() {
                budget -= bytes as f64;
                outcome.late_calls += usize::from(now - arrived > CALL_TARGET_MS);
            } else if let Some(mut body) = bodies.pop_front() {
                let part = body.rest.min(PART);
                budget -= part as f64;
                body.rest -= part;
                if body.rest > 0 {
                    bodies.push_back(body);
                } else if now <= body.due_ms {
                    outcome.in_time += 1;
                    outcome.bytes_in_time += body.bytes;
                }
            } else {
                budget = 0.0;
            }
        }
    }
    outcome
}

// Guards against links full of responses that are late for everybody: 190 downloads of 90 KB a second
// need 17 MB/s, the links of seven machines have 13 MB/s.
#[test]
fn admitted_downloads_are_sent_in_time_beside_calls() {
    let checked = run(true);
    let unchecked = run(false);
    println!("with the check {checked:?}\nwithout it {unchecked:?}");
    assert!(checked.share_in_time() >= 0.95, "{checked:?}");
    assert!(unchecked.share_in_time() <= 0.2, "{unchecked:?}");
    let capacity = RATE * DURATION_MS as f64 / 1_000.0 - (checked.calls * CALL_BYTES) as f64;
    let used = checked.bytes_in_time as f64 / capacity;
    assert!(used >= 0.85, "{used}");
    assert_eq!(checked.late_calls, 0);
}

#[test]
fn a_request_is_refused_with_the_time_until_the_link_is_free() {
    let mut forecast = LinkForecast::default();
    let first = forecast.start(CLASS);
    forecast.finish(first, Some(100_000));
    let _running = forecast.start(CLASS);
    let link = Link {
        rate: 1_000_000.0,
        queued_bytes: 300_000,
    };
    // Three times the 400 kB before it, and its own 100 kB.
    let target = Duration::from_millis(1_301);
    assert_eq!(forecast.check(CLASS, link, target), Ok(()));
    let wait = forecast.check(CLASS, link, Duration::from_millis(1_299));
    assert_eq!(wait, Err(Duration::from_millis(400)));
}

// Guards against a link that counts as busy for ever, after requests without a response.
#[test]
fn requests_that_have_ended_are_not_expected_any_more() {
    let mut forecast = LinkForecast::default();
    let ended = [1, 2, 3].map(|class| forecast.start(class));
    for expected in ended {
        forecast.finish(expected, None);
    }
    let link = Link {
        rate: 1_000_000.0,
        queued_bytes: 0,
    };
    let target = Duration::from_millis(66);
    assert_eq!(forecast.check(CLASS, link, target), Ok(()));
}
