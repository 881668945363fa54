//! Instants of the monotonic clock that also counts suspended time.

use std::ops::{Add, Sub};
use std::time::Duration;

/// An instant of one machine's boot-time clock, in nanoseconds.
///
/// Instants of different machines must not be compared: only durations are sent between machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(u64);

impl BootInstant {
    /// Makes an instant from nanoseconds since boot.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Makes an instant from milliseconds since boot.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Returns the nanoseconds since boot.
    #[must_use]
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since boot, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000_000
    }

    /// Returns the time from `earlier` to `self`, or zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}

impl Sub<Duration> for BootInstant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(nanos))
    }
}
