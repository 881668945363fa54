//! Estimates the service time of requests: the time that a back end takes to run one.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// Service time assumed until the first request has finished.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Exponentially weighted moving averages of the service time at one back end, for each class of
/// requests and for all of them.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimeEstimate {
    class_secs: HashMap<u32, f64>,
    mean_secs: Option<f64>,
}

impl ServiceTimeEstimate {
    /// Records the service time of a request of `class`.
    pub fn record(&mut self, class: u32, service_time: Duration) {
        let secs = service_time.as_secs_f64();
        let class_mean = self.class_secs.entry(class).or_insert(secs);
        *class_mean += EWMA_WEIGHT * (secs - *class_mean);
        let mean = self.mean_secs.get_or_insert(secs);
        *mean += EWMA_WEIGHT * (secs - *mean);
    }

    /// Returns the expected service time of a request of `class`: the mean of its class, else the
    /// mean of all classes, else a default.
    #[must_use]
    pub fn for_class(&self, class: u32) -> Duration {
        let secs = self.class_secs.get(&class).copied().or(self.mean_secs);
        secs.map_or(DEFAULT_SERVICE_TIME, Duration::from_secs_f64)
    }

    /// Returns the mean service time of all requests, or a default before the first has finished.
    #[must_use]
    pub fn mean_or_default(&self) -> Duration {
        self.mean().unwrap_or(DEFAULT_SERVICE_TIME)
    }

    /// Returns the mean service time of all requests; `None` before the first has finished.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        self.mean_secs.map(Duration::from_secs_f64)
    }

    /// Discards all samples, for use when another back end process takes over.
    pub fn reset(&mut self) {
        self.class_secs.clear();
        self.mean_secs = None;
    }
}
