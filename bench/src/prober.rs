//! Probes single keys to measure for how long each is unavailable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::caller::{Caller, CallerRequest, Outcome, Report};
use crate::replay::SentRequest;
use crate::trace::{Expect, RequestLine};

/// Time between the probes of a key.
pub const PROBE_PERIOD: Duration = Duration::from_millis(20);

/// One probe of a key in this many is an order, the others are lookups.
const PROBES_PER_ORDER: usize = 7;

/// Service that is probed.
pub const SERVICE: &str = "credits";

/// Result of probing one key.
pub struct ProbeResult {
    /// The probes with their reports.
    pub sent: Vec<SentRequest>,
    /// Start of probing, then the instants at which probes were answered.
    answer_times: Vec<Instant>,
    end: Instant,
}

impl ProbeResult {
    /// Returns the longest time between two successful probes, less the probe period. The end of
    /// probing counts as a success.
    #[must_use]
    pub fn longest_gap(&self) -> Duration {
        let ends = self.answer_times.iter().skip(1).chain([&self.end]);
        let gaps = self
            .answer_times
            .iter()
            .zip(ends)
            .map(|(from, to)| *to - *from);
        gaps.max().unwrap_or_default().saturating_sub(PROBE_PERIOD)
    }
}

/// Starts a task that probes one key with lookups and orders until `stop` is set. The `entries`
/// must not be empty; `seed` only makes keys and request ids of different runs distinct.
#[must_use]
pub fn probe(
    key: usize,
    seed: u64,
    mut entries: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<ProbeResult> {
    let shift = key % entries.len();
    entries.rotate_left(shift);
    tokio::spawn(async move {
        let caller = Caller::new();
        let mut result = ProbeResult {
            sent: Vec::new(),
            answer_times: vec![Instant::now()],
            end: Instant::now(),
        };
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            let order = number % PROBES_PER_ORDER == PROBES_PER_ORDER - 1;
            let line = request_line(key, seed, number, order);
            let report = caller
                .send_with_retries(&entries, &CallerRequest::from(&line))
                .await;
            if is_answered(&report) {
                result.answer_times.push(Instant::now());
            }
            result.sent.push(SentRequest {
                line,
                reports: vec![report],
            });
            number += 1;
            tokio::time::sleep(PROBE_PERIOD).await;
        }
        result.end = Instant::now();
        result
    })
}

fn is_answered(report: &Report) -> bool {
    matches!(report.outcome, Outcome::Answered(_))
}

fn request_line(key: usize, seed: u64, number: usize, order: bool) -> RequestLine {
    RequestLine {
        at_ms: 0,
        id: format!("p{seed}-{key}-{number}"),
        zone: String::new(),
        customer: Some(format!("vendor-{}", key % 40)),
        service: SERVICE.to_owned(),
        operation: if order { "post" } else { "balance" }.to_owned(),
        key: Some(format!("probe-{seed}-{key}")),
        body: order.then(|| "amount=1".to_owned()),
        ticket: None,
        copies: 0,
        timeout_ms: 10_000,
        expect: if order {
            Expect::Settled
        } else {
            Expect::Answered
        },
    }
}
