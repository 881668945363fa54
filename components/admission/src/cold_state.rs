//! Until when a back end is cold, from what it says of itself.

use std::time::Duration;

use world::instant::BootInstant;

use crate::cold_limit::UNKNOWN_END;

/// What a heartbeat says about the time for which a back end stays cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdReport {
    /// When the incarnation was born; a later one has a higher number.
    pub born: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Time for which it stays cold; `None` if the heartbeat says nothing that is a time.
    pub remaining: Option<Duration>,
}

/// Until when a back end is cold.
///
/// An incarnation counts as cold until one of its heartbeats says that it is not. Later it is cold for as
/// long as its last heartbeat or any of its responses says, whichever is longest.
#[derive(Clone, Debug, Default)]
pub struct ColdState {
    /// Birth and sequence number of the last heartbeat.
    last_heartbeat: Option<(u64, u64)>,
    /// Whether a heartbeat of the incarnation has said that it is not cold.
    was_warm: bool,
    heartbeat_until: BootInstant,
    response_until: BootInstant,
    assumed_until: BootInstant,
}

impl ColdState {
    /// Records a heartbeat; one that is older than the last, or of an earlier incarnation, changes nothing.
    pub fn on_heartbeat(&mut self, report: ColdReport, now: BootInstant) {
        let number = (report.born, report.sequence);
        if self.last_heartbeat.is_some_and(|last| number <= last) {
            return;
        }
        let is_known = self.last_heartbeat.is_some_and(|l| l.0 == report.born);
        self.last_heartbeat = Some(number);
        if !is_known {
            self.was_warm = false;
            self.heartbeat_until = BootInstant::default();
            self.response_until = BootInstant::default();
        }
        if let Some(remaining) = report.remaining {
            self.was_warm |= remaining.is_zero();
            self.heartbeat_until = now + remaining;
        }
    }

    /// Records that a response of the incarnation that sent the last heartbeat says for how long it stays
    /// cold.
    pub fn on_response(&mut self, remaining: Duration, now: BootInstant) {
        self.response_until = self.response_until.max(now + remaining);
    }

    /// Takes the back end to be cold until `until`, whatever it says.
    pub fn assume(&mut self, until: BootInstant) {
        self.assumed_until = self.assumed_until.max(until);
    }

    /// Returns until when the back end is cold, [`UNKNOWN_END`] if no heartbeat has told.
    #[must_use]
    pub fn cold_until(&self) -> BootInstant {
        if !self.was_warm {
            return UNKNOWN_END;
        }
        let stated = self.heartbeat_until.max(self.response_until);
        stated.max(self.assumed_until)
    }
}
