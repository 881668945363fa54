//! Failure rate of the requests to one back end.

use std::cell::Cell;

/// Weight of each new request in the moving average.
const GAIN: f64 = 0.15;

/// Exponential moving average of the share of requests that fail, 0 to 1.
#[derive(Debug, Default)]
pub struct FailureRate(Cell<f64>);

impl FailureRate {
    /// Returns the failure rate, 0 to 1.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.0.get()
    }

    /// Records the result of a request.
    pub fn record(&self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        let old = self.0.get();
        self.0.set(old + GAIN * (sample - old));
    }

    /// Multiplies the failure rate by `factor`.
    pub fn decay(&self, factor: f64) {
        self.0.set(self.0.get() * factor);
    }

    /// Sets the failure rate to 0.
    pub fn reset(&self) {
        self.0.set(0.0);
    }
}
