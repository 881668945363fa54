//! How long a caller may take.

use timer::{BootClock, Clock};

use super::{Connection, WRITE_TIMEOUT};
use crate::client_limits;
use crate::connection_limit::Phase;
use crate::refusals::Bound;

impl Connection {
    /// Keeps the times from which the deadlines of the request that is being received run.
    pub(super) fn observe_progress(&mut self, reading: bool) {
        if !reading {
            self.partial_since = None;
            self.body_since = None;
            return;
        }
        let now = self.last_activity;
        if self.reader.has_partial_request(&self.buf) {
            self.partial_since.get_or_insert(now);
        }
        if self.reader.body_received().is_some() {
            self.body_since.get_or_insert(now);
        }
    }

    pub(super) fn phase(&self) -> Phase {
        if !self.open.is_empty() || !self.writer.is_idle() {
            Phase::Busy
        } else if self.reader.has_partial_request(&self.buf) || !self.has_served {
            Phase::Incomplete
        } else {
            Phase::Idle
        }
    }

    /// Returns whether the connection has been idle, or its partial request incomplete, for too
    /// long.
    pub(super) fn is_timed_out(&self) -> bool {
        let limits = self.limits();
        let now = BootClock.now();
        let partial = limits.head_timeout.max(limits.idle_timeout);
        if !self.reader.has_partial_request(&self.buf) {
            return now.since(self.last_activity) > limits.idle_timeout;
        }
        let is_late = match (self.reader.body_received(), self.body_since) {
            (Some(received), Some(since)) => client_limits::is_too_slow(received, now.since(since)),
            _ => self.partial_since.is_some_and(|at| now.since(at) > partial),
        };
        if is_late {
            self.record(Bound::Deadline, partial.as_millis() as u64);
        }
        is_late || now.since(self.last_activity) > partial
    }

    pub(super) fn is_write_timed_out(&self) -> bool {
        let started = self.writer.started();
        started.is_some_and(|at| BootClock.now().since(at) > WRITE_TIMEOUT)
    }
}
