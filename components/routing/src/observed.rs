//! What a daemon has observed of the other machines.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use world::instant::BootInstant;

/// Share of a new latency in the smoothed one, as a divisor.
const LATENCY_SMOOTHING: u32 = 8;

/// Consecutive failures after which a machine is ejected.
const EJECT_AFTER: u32 = 3;

/// First ejection time; it doubles with each further failure.
const EJECT_BASE: Duration = Duration::from_millis(500);

/// Longest ejection, as a number of doublings.
const EJECT_DOUBLINGS: u32 = 4;

/// Facts about one machine, updated by every request sent there.
#[derive(Debug, Default)]
pub struct Observed {
    /// Our requests there that have no answer yet.
    in_flight: AtomicU32,
    /// Requests in flight at its back end, as it last told.
    reported: AtomicU32,
    latency_us: AtomicU32,
    failures: AtomicU32,
    ejected_until: AtomicU64,
}

impl Observed {
    /// Notes that a request was sent.
    pub fn on_sent(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a request has ended, however it ended.
    pub fn on_ended(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Notes an answer after `latency` with the machine's own count of requests in flight.
    pub fn on_answer(&self, latency: Duration, reported: u32) {
        let sample = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        let old = self.latency_us.load(Ordering::Relaxed);
        let new = match old {
            0 => sample,
            _ => old - old / LATENCY_SMOOTHING + sample / LATENCY_SMOOTHING,
        };
        self.latency_us.store(new, Ordering::Relaxed);
        self.reported.store(reported, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Notes a failure that speaks against the machine.
    pub fn on_failure(&self, now: BootInstant) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures < EJECT_AFTER {
            return;
        }
        let doublings = (failures - EJECT_AFTER).min(EJECT_DOUBLINGS);
        let until = now + EJECT_BASE * (1 << doublings);
        self.ejected_until
            .store(until.as_nanos(), Ordering::Relaxed);
    }

    /// Tells whether the machine is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: BootInstant) -> bool {
        now.as_nanos() < self.ejected_until.load(Ordering::Relaxed)
    }

    /// The larger of our own requests in flight and what the machine reported.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        let ours = self.in_flight.load(Ordering::Relaxed);
        ours.max(self.reported.load(Ordering::Relaxed))
    }

    /// Smoothed latency in microseconds; 0 before the first answer.
    #[must_use]
    pub fn latency_us(&self) -> u32 {
        self.latency_us.load(Ordering::Relaxed)
    }
}
