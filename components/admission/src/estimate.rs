//! How long requests take.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest observation.
const GAIN: f64 = 0.1;
/// Assumed time for a class that has not been seen yet.
const FIRST_GUESS: Duration = Duration::from_millis(100);

/// Moving averages of the time that each class of requests takes at a back end.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    by_class: HashMap<u32, f64>,
    overall: Option<f64>,
}

impl Estimate {
    /// Records the time that a request of `class` took.
    pub fn record(&mut self, class: u32, took: Duration) {
        let sample = took.as_secs_f64();
        let mean = self.by_class.entry(class).or_insert(sample);
        *mean += GAIN * (sample - *mean);
        let overall = self.overall.get_or_insert(sample);
        *overall += GAIN * (sample - *overall);
    }

    /// Expected time of a request of `class`.
    #[must_use]
    pub fn of(&self, class: u32) -> Duration {
        let known = self.by_class.get(&class).copied().or(self.overall);
        known.map_or(FIRST_GUESS, Duration::from_secs_f64)
    }

    /// Expected time of a request of any class.
    #[must_use]
    pub fn overall(&self) -> Duration {
        self.observed().unwrap_or(FIRST_GUESS)
    }

    /// Mean time of the requests seen so far, if there were any.
    #[must_use]
    pub fn observed(&self) -> Option<Duration> {
        self.overall.map(Duration::from_secs_f64)
    }

    /// Forgets everything, such as when another back end takes the place.
    pub fn reset(&mut self) {
        self.by_class.clear();
        self.overall = None;
    }
}
