//! Limits the requests that start in a second at a back end while it is cold.

use std::time::Duration;

use world::instant::BootInstant;
use world::rate::RequestRate;

/// End of a cold time whose end is not known yet.
pub const UNKNOWN_END: BootInstant = BootInstant::from_nanos(u64::MAX);
/// Share of the requests above the rate that the bound allows which may start at once; the rest covers
/// requests that an earlier process sent, and differences in the time that requests take on their way.
const BURST_RATIO: f64 = 0.25;
/// Requests that may start at once, however low the bound.
const MIN_BURST: f64 = 1.0;
/// Lowest share of the stated rate to which the rate is reduced for the burst to fit in the bound.
const MIN_RATE_RATIO: f64 = 0.5;
/// Lowest rate in requests per second.
const MIN_RATE: f64 = 0.01;

/// Rate and burst of the requests to a cold back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    rate: f64,
    burst: f64,
}

impl ColdBound {
    /// Makes the rate and burst that keep any second below `rate` x `overage` + `slack` requests.
    #[must_use]
    pub fn new(rate: RequestRate, overage: f64, slack: f64) -> Self {
        let stated = rate.as_per_second().max(MIN_RATE);
        let bound = stated * overage + slack;
        let burst = ((bound - stated) * BURST_RATIO).floor().max(MIN_BURST);
        let rate = stated.min((bound - burst).max(stated * MIN_RATE_RATIO));
        Self { rate, burst }
    }

    /// Returns the requests that may start in a second in the long run.
    #[must_use]
    pub fn rate(self) -> f64 {
        self.rate
    }

    /// Returns the requests that may start at once.
    #[must_use]
    pub fn burst(self) -> f64 {
        self.burst
    }
}

/// A token bucket that counts only while the back end is cold. It is empty at first and whenever the back
/// end becomes cold: what has been sent shortly before is not known or was not limited.
#[derive(Clone, Debug)]
pub struct ColdLimit {
    /// `None` if the back end takes any number of requests while it is cold.
    bound: Option<ColdBound>,
    cold_until: BootInstant,
    /// Tokens left, at most the burst; one for each request.
    tokens: f64,
    refilled_at: BootInstant,
}

impl Default for ColdLimit {
    fn default() -> Self {
        Self {
            bound: None,
            cold_until: UNKNOWN_END,
            tokens: 0.0,
            refilled_at: BootInstant::default(),
        }
    }
}

impl ColdLimit {
    /// Changes the bound, `None` for any number of requests; tokens above the new burst are lost.
    pub fn set_bound(&mut self, bound: Option<ColdBound>, now: BootInstant) {
        if self.bound.is_none() {
            self.empty(now);
        }
        self.refill(now);
        self.bound = bound;
        self.tokens = self.tokens.min(bound.map_or(0.0, ColdBound::burst));
    }

    /// Changes until when the back end is cold.
    pub fn set_cold_until(&mut self, until: BootInstant, now: BootInstant) {
        if now >= self.cold_until {
            self.empty(now);
        }
        self.cold_until = until;
    }

    /// Returns the bound in force, `None` if the back end is not cold or takes any number of requests.
    #[must_use]
    pub fn bound(&self, now: BootInstant) -> Option<ColdBound> {
        self.bound.filter(|_| now < self.cold_until)
    }

    /// Returns whether a request may start.
    #[must_use]
    pub fn has_token(&self, now: BootInstant) -> bool {
        let bound = self.bound(now);
        bound.is_none_or(|b| self.tokens_at(b, now) >= 1.0)
    }

    /// Takes the token of one request; returns false if there is none.
    pub fn take(&mut self, now: BootInstant) -> bool {
        if self.bound(now).is_none() {
            return true;
        }
        self.refill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the time until a request has a token that `ahead` others go before, or the back end is no
    /// longer cold.
    #[must_use]
    pub fn wait(&self, now: BootInstant, ahead: usize) -> Duration {
        let Some(bound) = self.bound(now) else {
            return Duration::ZERO;
        };
        let missing = (ahead as f64 + 1.0 - self.tokens_at(bound, now)).max(0.0);
        let until_warm = self.cold_until.since(now);
        Duration::try_from_secs_f64(missing / bound.rate).map_or(until_warm, |w| w.min(until_warm))
    }

    fn tokens_at(&self, bound: ColdBound, now: BootInstant) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        (self.tokens + elapsed * bound.rate).min(bound.burst)
    }

    fn refill(&mut self, now: BootInstant) {
        if let Some(bound) = self.bound {
            self.tokens = self.tokens_at(bound, now);
        }
        self.refilled_at = now;
    }

    fn empty(&mut self, now: BootInstant) {
        self.tokens = 0.0;
        self.refilled_at = now;
    }
}
