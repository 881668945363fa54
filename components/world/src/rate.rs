//! Rates of requests.

use std::fmt::{self, Display, Formatter};

/// Requests per second: a finite number, at least 0.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Makes a rate from requests per second; `None` if that is negative or not finite.
    #[must_use]
    pub fn per_second(requests: f64) -> Option<Self> {
        (requests.is_finite() && requests >= 0.0).then_some(Self(requests))
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn as_per_second(self) -> f64 {
        self.0
    }
}

impl Display for RequestRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
