//! Times at which a machine was under a fault that may keep it from learning of events elsewhere.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Longest time between two samples of one disturbance.
const SAMPLE_GAP: Duration = Duration::from_millis(200);

/// Intervals in which each machine was disturbed.
#[derive(Clone, Debug, Default)]
pub struct Disturbances(BTreeMap<usize, Vec<(Instant, Instant)>>);

impl Disturbances {
    /// Records that a machine is disturbed at `at`, later than all that was recorded before.
    pub fn record(&mut self, machine: usize, at: Instant) {
        let intervals = self.0.entry(machine).or_default();
        match intervals.last_mut() {
            Some((_, end)) if at.duration_since(*end) <= SAMPLE_GAP => *end = at,
            _ => intervals.push((at, at)),
        }
    }

    /// Returns whether a machine was not disturbed from `from` to `to`.
    #[must_use]
    pub fn is_free(&self, machine: usize, from: Instant, to: Instant) -> bool {
        let intervals = self.0.get(&machine).map_or(&[][..], Vec::as_slice);
        !intervals
            .iter()
            .any(|(start, end)| *start <= to && *end + SAMPLE_GAP >= from)
    }
}
