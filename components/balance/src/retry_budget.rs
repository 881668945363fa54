//! Limits retries to a share of the requests plus a fixed number, over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use world::instant::BootInstant;

/// Number of buckets that a window is divided into.
const BUCKETS: u32 = 10;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: BootInstant,
    requests: u32,
    retries: u32,
}

/// Share of the allowed ratio that is used; the rest covers windows that start at another instant.
const USABLE_RATIO: f64 = 0.5;
/// Share of the allowed fixed number that is used; the rest covers machines that join.
const USABLE_EXTRA: f64 = 0.6;

/// Limit on the retries in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Fixed number of retries on top of those per request.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl RetryLimit {
    /// Returns one machine's share of a limit that all machines have together.
    ///
    /// With `machines` unknown the share has no fixed number: after a restart of all machines each
    /// would use the whole number.
    #[must_use]
    pub fn per_machine(self, machines: Option<usize>) -> Self {
        let extra = machines.map_or(0.0, |n| self.extra * USABLE_EXTRA / n.max(1) as f64);
        Self {
            ratio: self.ratio * USABLE_RATIO,
            extra,
            window: self.window,
        }
    }
}

/// One machine's budget of retries to a service.
///
/// In any window the retries are at most `ratio` times the requests in it and the window before, plus
/// `extra`. That holds over restarts of the process too: it has no fixed number until what its
/// predecessor took has left the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    /// Start of the process.
    started: BootInstant,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates the budget of a process that has started at `started`.
    #[must_use]
    pub fn new(limit: RetryLimit, started: BootInstant) -> Self {
        Self {
            limit,
            started,
            buckets: VecDeque::new(),
        }
    }

    /// Changes the limit; requests and retries counted so far still count.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: BootInstant) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes one retry from the budget; returns false if it is exhausted.
    pub fn take(&mut self, now: BootInstant) -> bool {
        self.current_bucket(now);
        let window = self.limit.window;
        // A bucket counts as soon as any retry in it may be in the window, and only while all requests
        // in it are.
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let within = self.buckets.iter().filter(|b| now.since(b.start) < window);
        let requests: u32 = within.map(|b| b.requests).sum();
        let extra = if now.since(self.started) < window {
            0.0
        } else {
            self.limit.extra
        };
        let allowed = self.limit.ratio * f64::from(requests) + extra;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
    }

    /// Returns the bucket of `now`, and drops the buckets that have left the window as a whole.
    fn current_bucket(&mut self, now: BootInstant) -> &mut Bucket {
        let length = self.limit.window / BUCKETS;
        let retention = self.limit.window + length;
        while self
            .buckets
            .front()
            .is_some_and(|b| now.since(b.start) >= retention)
        {
            self.buckets.pop_front();
        }
        let bucket_ended = self
            .buckets
            .back()
            .is_none_or(|b| now.since(b.start) >= length);
        if bucket_ended {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
