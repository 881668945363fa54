//! Logs that clients have reached a bound of the process; limits the number of lines.

use timer::{BootClock, Clock};
use world::log_limit::LogLimit;

/// A bound that clients can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// Memory that messages take together, in bytes.
    Memory,
    /// Connections of a listener.
    Connections,
    /// Time for a request to arrive, in milliseconds.
    Deadline,
}

impl Bound {
    fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::Deadline => "deadline",
        }
    }
}

/// Counts of refusals that have not been logged yet, by bound.
#[derive(Default)]
pub struct Refusals([LogLimit; 3]);

impl Refusals {
    /// Counts a client of `listener` that has reached a bound of `limit`.
    pub fn record(&self, bound: Bound, listener: &str, limit: u64) {
        if let Some(count) = self.0[bound as usize].admit(BootClock.now(), 1) {
            let bound = bound.name();
            log::warn!(event = "client-bound", bound, listener, limit, count; "");
        }
    }
}
