//! Bound on the requests that are sent more than once.

use std::collections::VecDeque;
use std::time::Duration;

use world::instant::BootInstant;

/// Parts that the window is counted in.
const PARTS: u32 = 10;

#[derive(Clone, Copy, Debug)]
struct Part {
    start: BootInstant,
    requests: u32,
    retries: u32,
}

/// Part of the allowed ratio that is used; the rest covers windows that lie otherwise.
const RATIO_SHARE: f64 = 0.5;
/// Part of the allowed number that is used; the rest covers machines that join.
const EXTRA_SHARE: f64 = 0.6;

/// How many retries are allowed in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries in proportion to the requests.
    pub ratio: f64,
    /// Retries beside those in proportion.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Allowance {
    /// One machine's share of what all machines together are allowed.
    ///
    /// A machine that does not know how many there are gets none of the fixed number: after a
    /// restart of all, each would take the whole.
    #[must_use]
    pub fn share(self, machines: Option<usize>) -> Self {
        let extra = machines.map_or(0.0, |n| self.extra * EXTRA_SHARE / n.max(1) as f64);
        Self {
            ratio: self.ratio * RATIO_SHARE,
            extra,
            window: self.window,
        }
    }
}

/// One machine's share of the retries that a service may get.
///
/// In any window the retries are at most `ratio` of the requests plus `extra`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    parts: VecDeque<Part>,
}

impl RetryBudget {
    /// Makes a budget with the given allowance.
    #[must_use]
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            parts: VecDeque::new(),
        }
    }

    /// Changes the allowance; what was counted stays counted.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: BootInstant) {
        self.current(now).requests += 1;
    }

    /// Takes one retry out of the budget; false if there is none left.
    pub fn take(&mut self, now: BootInstant) -> bool {
        self.current(now);
        let requests: u32 = self.parts.iter().map(|p| p.requests).sum();
        let retries: u32 = self.parts.iter().map(|p| p.retries).sum();
        let allowed = self.allowance.ratio * f64::from(requests) + self.allowance.extra;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.current(now).retries += 1;
        true
    }

    /// The part that `now` lies in; parts that have left the window are dropped.
    fn current(&mut self, now: BootInstant) -> &mut Part {
        let window = self.allowance.window;
        let length = window / PARTS;
        while self
            .parts
            .front()
            .is_some_and(|p| now.since(p.start) > window)
        {
            self.parts.pop_front();
        }
        let fresh = self
            .parts
            .back()
            .is_none_or(|p| now.since(p.start) >= length);
        if fresh {
            self.parts.push_back(Part {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
