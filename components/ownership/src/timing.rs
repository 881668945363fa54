//! Durations that the lease protocol depends on.

use std::time::Duration;

/// Greatest assumed difference in rate between two lease clocks, in parts per million.
const CLOCK_DRIFT_PPM: u32 = 1_000;

/// Durations of the lease protocol. Every daemon of a cell runs with the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two heartbeats of a member.
    pub heartbeat: Duration,
    /// Time between two renewals of the coordinator's record in the store.
    pub renewal: Duration,
    /// Time for which a confirmation by the store lets a coordinator grant.
    /// Invariant: longer than `renewal`.
    pub authority: Duration,
    /// Time without a reply after which a member suspects its coordinator.
    pub suspicion: Duration,
    /// Fixed part of the margin that the granting side waits beyond a lease.
    pub margin: Duration,
    /// Time that a new coordinator collects heartbeats before it grants.
    pub formation: Duration,
    /// Longest time for which witnesses may confirm a coordinator without the store, and after
    /// which an earlier term counts as ended without their promises.
    pub store_absence: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(150),
            renewal: Duration::from_millis(200),
            authority: Duration::from_millis(750),
            suspicion: Duration::from_millis(450),
            margin: Duration::from_millis(20),
            formation: Duration::from_millis(320),
            store_absence: Duration::from_secs(4 * 3600),
        }
    }
}

impl Timing {
    /// Returns the time that one machine must wait to be sure that `span` has passed on another
    /// one, whose clock may run slower.
    #[must_use]
    pub fn with_clock_margin(&self, span: Duration) -> Duration {
        span + span * CLOCK_DRIFT_PPM / 1_000_000 + self.margin
    }
}
