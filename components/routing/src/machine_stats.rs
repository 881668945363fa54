//! Load, latency and ejection of one machine, as seen by this daemon.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use world::instant::BootInstant;

/// Reciprocal of the weight of a new sample in the smoothed latency.
const LATENCY_WEIGHT_DIVISOR: u32 = 8;

/// Consecutive failures after which a machine is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;

/// Duration of the first ejection; it doubles with each further failure.
const EJECT_BASE: Duration = Duration::from_millis(500);

/// Number of doublings of `EJECT_BASE` that gives the longest ejection.
const MAX_EJECT_DOUBLINGS: u32 = 4;

/// Statistics of one machine, updated by every request sent there. Fields are read and written one
/// by one, so that a reader may see a mix of two updates.
#[derive(Debug, Default)]
pub struct MachineStats {
    /// Requests of this daemon that are in flight there.
    in_flight: AtomicU32,
    /// Requests in flight at its back end, as last reported by the machine.
    reported_in_flight: AtomicU32,
    /// Smoothed latency; 0 before the first response.
    latency_us: AtomicU32,
    /// Consecutive failures.
    failures: AtomicU32,
    /// End of the last ejection, in nanoseconds of [`BootInstant`]; 0 before the first.
    ejected_until: AtomicU64,
}

impl MachineStats {
    /// Records that a request was sent.
    pub fn on_sent(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a request has ended, with or without a response.
    pub fn on_ended(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records a response after `latency` with the number of requests in flight that the machine
    /// reports. Resets the count of failures, but does not end an ejection.
    pub fn on_response(&self, latency: Duration, reported_in_flight: u32) {
        let sample = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        let old = self.latency_us.load(Ordering::Relaxed);
        let new = match old {
            0 => sample,
            _ => old - old / LATENCY_WEIGHT_DIVISOR + sample / LATENCY_WEIGHT_DIVISOR,
        };
        self.latency_us.store(new, Ordering::Relaxed);
        self.reported_in_flight
            .store(reported_in_flight, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Records a failure that the machine is to blame for, and ejects it after
    /// `EJECT_AFTER_FAILURES` of them in a row.
    pub fn on_failure(&self, now: BootInstant) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures < EJECT_AFTER_FAILURES {
            return;
        }
        let doublings = (failures - EJECT_AFTER_FAILURES).min(MAX_EJECT_DOUBLINGS);
        let until = now + EJECT_BASE * (1 << doublings);
        self.ejected_until
            .store(until.as_nanos(), Ordering::Relaxed);
    }

    /// Returns whether the machine is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: BootInstant) -> bool {
        now.as_nanos() < self.ejected_until.load(Ordering::Relaxed)
    }

    /// Requests in flight at the machine: the larger of this daemon's own and the reported number.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        let own = self.in_flight.load(Ordering::Relaxed);
        own.max(self.reported_in_flight.load(Ordering::Relaxed))
    }

    /// Smoothed latency in microseconds; 0 before the first response.
    #[must_use]
    pub fn latency_us(&self) -> u32 {
        self.latency_us.load(Ordering::Relaxed)
    }
}
