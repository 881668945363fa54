//! Limits how often a log line is written that others can provoke.

use std::cell::Cell;
use std::time::Duration;

use crate::instant::BootInstant;

/// Shortest time between two lines.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// Counts events of which only some are logged.
#[derive(Debug, Default)]
pub struct LogLimit {
    last: Cell<Option<BootInstant>>,
    left_out: Cell<u64>,
}

impl LogLimit {
    /// Counts `events` at `now`; returns how many there were since the last line if another one is due.
    pub fn admit(&self, now: BootInstant, events: u64) -> Option<u64> {
        let total = self.left_out.get().saturating_add(events);
        let is_due = self
            .last
            .get()
            .is_none_or(|at| now.since(at) >= MIN_INTERVAL);
        if total == 0 || !is_due {
            self.left_out.set(total);
            return None;
        }
        self.last.set(Some(now));
        self.left_out.set(0);
        Some(total)
    }
}
