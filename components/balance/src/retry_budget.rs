//! Bound on the requests that are sent more than once.

use std::collections::VecDeque;
use std::time::Duration;

use world::moment::Moment;

/// Parts that the window is counted in.
const PARTS: u32 = 10;

#[derive(Clone, Copy, Debug)]
struct Part {
    start: Moment,
    requests: u32,
    retries: u32,
}

/// One machine's share of the retries that a service may get.
///
/// In any window the retries are at most `ratio` of the requests plus `extra`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    part: Duration,
    parts: VecDeque<Part>,
}

impl RetryBudget {
    /// Makes a budget for the given window.
    #[must_use]
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self {
            ratio,
            extra,
            part: window / PARTS,
            parts: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: Moment) {
        self.current(now).requests += 1;
    }

    /// Takes one retry out of the budget; false if there is none left.
    pub fn take(&mut self, now: Moment) -> bool {
        self.current(now);
        let requests: u32 = self.parts.iter().map(|p| p.requests).sum();
        let retries: u32 = self.parts.iter().map(|p| p.retries).sum();
        let allowed = self.ratio * f64::from(requests) + self.extra;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.current(now).retries += 1;
        true
    }

    /// The part that `now` lies in; parts that have left the window are dropped.
    fn current(&mut self, now: Moment) -> &mut Part {
        let window = self.part * PARTS;
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
            .is_none_or(|p| now.since(p.start) >= self.part);
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
