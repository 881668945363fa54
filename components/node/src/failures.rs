//! How often requests to one back end fail.

use std::cell::Cell;

/// How fast the share follows, per request.
const GAIN: f64 = 0.15;

/// Moving average of the share of requests that fail, 0 to 1.
#[derive(Debug, Default)]
pub struct FailureShare(Cell<f64>);

impl FailureShare {
    /// The share.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.0.get()
    }

    /// Counts a request that failed or did not fail.
    pub fn record(&self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        let old = self.0.get();
        self.0.set(old + GAIN * (sample - old));
    }

    /// Lets failures of the past count less.
    pub fn decay(&self, factor: f64) {
        self.0.set(self.0.get() * factor);
    }

    /// Forgets all failures.
    pub fn reset(&self) {
        self.0.set(0.0);
    }
}
