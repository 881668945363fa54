//! Limits the requests that start in a second.

use std::time::Duration;

use world::instant::BootInstant;
use world::rate::RequestRate;

/// Time whose requests may start at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Requests that may start at once, however low the rate.
const MIN_BURST: f64 = 1.0;
/// Lowest rate in requests per second: the responses tell when the limit ends.
const MIN_RATE: f64 = 0.5;
/// Longest wait that is computed.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// A token bucket. In any window, at most the rate times the window, plus the burst, start.
#[derive(Clone, Debug)]
pub struct RateLimit {
    /// Tokens per second, at least [`MIN_RATE`].
    rate: f64,
    /// Tokens left, at most the burst; one for each request.
    tokens: f64,
    refilled_at: BootInstant,
}

impl RateLimit {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate: RequestRate, now: BootInstant) -> Self {
        let rate = rate.as_per_second().max(MIN_RATE);
        Self {
            rate,
            tokens: burst(rate),
            refilled_at: now,
        }
    }

    /// Changes the rate; tokens above the new burst are lost.
    pub fn set_rate(&mut self, rate: RequestRate, now: BootInstant) {
        self.refill(now);
        self.rate = rate.as_per_second().max(MIN_RATE);
        self.tokens = self.tokens.min(burst(self.rate));
    }

    /// Returns the tokens per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes the token of one request; returns false if there is none.
    pub fn take(&mut self, now: BootInstant) -> bool {
        self.refill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the time until a request has a token that `ahead` others go before.
    #[must_use]
    pub fn wait(&self, now: BootInstant, ahead: usize) -> Duration {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let tokens = (self.tokens + elapsed * self.rate).min(burst(self.rate));
        let missing = (ahead as f64 + 1.0 - tokens).max(0.0);
        Duration::from_secs_f64((missing / self.rate).min(MAX_WAIT.as_secs_f64()))
    }

    fn refill(&mut self, now: BootInstant) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(burst(self.rate));
        self.refilled_at = now;
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST)
}
