//! Probes of single keys that show for how long a key is unavailable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::caller::{Caller, Outcome, Report, Wish};
use crate::replay::Sent;
use crate::trace::{Expect, RequestLine};

/// Time between the probes of a key.
pub const PROBE_PERIOD: Duration = Duration::from_millis(20);

/// Every so many probes of a key, one is an order.
const ORDER_EVERY: usize = 7;

/// Service that is probed.
pub const SERVICE: &str = "credits";

/// What a prober of one key saw.
pub struct Probed {
    /// The requests and what their caller reports.
    pub sent: Vec<Sent>,
    /// Instants at which a probe was answered, and the start of probing.
    answered: Vec<Instant>,
    ended: Instant,
}

impl Probed {
    /// Longest time between two answers, less the time that probing itself takes.
    #[must_use]
    pub fn longest_gap(&self) -> Duration {
        let ends = self.answered.iter().skip(1).chain([&self.ended]);
        let gaps = self.answered.iter().zip(ends).map(|(from, to)| *to - *from);
        gaps.max().unwrap_or_default().saturating_sub(PROBE_PERIOD)
    }
}

/// Probes one key until `ended`: mostly lookups, now and then an order.
#[must_use]
pub fn probe(
    key: usize,
    seed: u64,
    mut entries: Vec<SocketAddr>,
    ended: Arc<AtomicBool>,
) -> JoinHandle<Probed> {
    let shift = key % entries.len();
    entries.rotate_left(shift);
    tokio::spawn(async move {
        let caller = Caller::new();
        let mut probed = Probed {
            sent: Vec::new(),
            answered: vec![Instant::now()],
            ended: Instant::now(),
        };
        let mut number = 0;
        while !ended.load(Ordering::Relaxed) {
            let order = number % ORDER_EVERY == ORDER_EVERY - 1;
            let line = line(key, seed, number, order);
            let report = caller.pursue(&entries, &Wish::from(&line)).await;
            if is_answered(&report) {
                probed.answered.push(Instant::now());
            }
            probed.sent.push(Sent {
                line,
                reports: vec![report],
            });
            number += 1;
            tokio::time::sleep(PROBE_PERIOD).await;
        }
        probed.ended = Instant::now();
        probed
    })
}

fn is_answered(report: &Report) -> bool {
    matches!(report.outcome, Outcome::Answered(_))
}

fn line(key: usize, seed: u64, number: usize, order: bool) -> RequestLine {
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
        patience_ms: 10_000,
        expect: if order {
            Expect::Settled
        } else {
            Expect::Answered
        },
    }
}
