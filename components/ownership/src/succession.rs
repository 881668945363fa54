//! Decides when a member takes over the term of a failed coordinator.

use world::instant::BootInstant;
use world::key::Term;

use crate::record::CellRecord;
use crate::timing::Timing;

/// What a member should do about its coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Do nothing: the coordinator replies, or a timeout has not passed.
    Wait,
    /// Read the cell's record.
    Read,
    /// Replace the record, on condition of this version; 0 when there is none.
    TakeOver(u64),
}

/// Version of the cell's record and when this machine first saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Observation {
    version: u64,
    /// Invariant: every renewal that led to this version was sent earlier.
    since: BootInstant,
}

/// A version of the record as reported by the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Reported {
    version: u64,
    /// Sending time of the latest heartbeat whose reply carried this version.
    sent: BootInstant,
}

/// Number of reported versions that are kept.
const REPORTED_VERSIONS: usize = 4;

/// Failure detector for the coordinator, run by one member.
///
/// Each renewal makes a new version. When a take-over on condition of version `v` succeeds, the
/// store confirms no renewal after `v`, and the renewal that made `v` was sent before `v` was first
/// seen here. Authority of the old term that the store confirmed therefore ends at the latest one
/// authority period, on the slower clock, after that instant. Authority that witnesses confirmed is
/// ended by [`crate::closing::Closing`].
#[derive(Clone, Debug)]
pub struct Succession {
    timing: Timing,
    /// Staggers the members' timeouts, so that they don't all take over at once.
    rank: u32,
    last_contact: BootInstant,
    observation: Option<Observation>,
    /// Versions that the coordinator of `reported_term` reported, oldest first.
    reported: Vec<Reported>,
    reported_term: Term,
    /// Instant of the store's last response to this machine.
    last_store_response: BootInstant,
    resigned: bool,
    /// No take-over is attempted before this instant.
    earliest_take_over: BootInstant,
}

impl Succession {
    /// Starts watching at `now`.
    #[must_use]
    pub fn new(timing: Timing, now: BootInstant) -> Self {
        Self {
            timing,
            rank: 0,
            last_contact: now,
            observation: None,
            reported: Vec::new(),
            reported_term: Term(0),
            last_store_response: now,
            resigned: false,
            earliest_take_over: now,
        }
    }

    /// Sets the member's rank among those that may take over.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Attempts no take-over before `until`.
    pub fn delay_take_over(&mut self, until: BootInstant) {
        self.earliest_take_over = until;
    }

    /// Records contact with the coordinator, such as an accepted heartbeat.
    pub fn on_contact(&mut self, now: BootInstant) {
        self.last_contact = now;
        self.resigned = false;
    }

    /// Records the version in the coordinator's reply to the heartbeat sent at `sent`.
    pub fn on_reply(&mut self, term: Term, version: u64, sent: BootInstant, now: BootInstant) {
        self.on_contact(now);
        self.on_version(version, now);
        if self.reported_term != term {
            self.reported_term = term;
            self.reported.clear();
        }
        match self.reported.last_mut() {
            Some(last) if last.version == version => last.sent = last.sent.max(sent),
            _ => self.reported.push(Reported { version, sent }),
        }
        if self.reported.len() > REPORTED_VERSIONS {
            self.reported.remove(0);
        }
    }

    /// Returns an instant before the coordinator sent its last write that the store is known to
    /// have confirmed: a write two versions after a reported one was sent after that report. `None`
    /// until two such versions were reported.
    #[must_use]
    pub fn last_write_lower_bound(&self) -> Option<BootInstant> {
        let last = self.reported.last()?.version;
        let earlier = self.reported.iter().filter(|r| r.version + 2 <= last);
        earlier.map(|r| r.sent).max()
    }

    /// Records a response of the store, whatever its result.
    pub fn on_store_response(&mut self, now: BootInstant) {
        self.last_store_response = now;
    }

    /// Returns whether the coordinator has left a heartbeat without a reply.
    #[must_use]
    pub fn has_missed_heartbeat(&self, now: BootInstant) -> bool {
        now >= self.last_contact + self.timing.heartbeat * 3 / 2
    }

    /// Returns whether the witness at `position` should become a candidate for the acting term:
    /// neither the coordinator nor the store has responded for the suspicion timeout.
    #[must_use]
    pub fn should_become_candidate(&self, now: BootInstant, position: usize) -> bool {
        let stagger = self.timing.heartbeat * u32::try_from(position).unwrap_or(u32::MAX) / 2;
        let timed_out = |since: BootInstant| now >= since + self.timing.suspicion;
        timed_out(self.last_contact + stagger) && timed_out(self.last_store_response)
    }

    /// Records the version of the cell's record, as known at `now`.
    pub fn on_version(&mut self, version: u64, now: BootInstant) {
        let known = self.observation.is_some_and(|o| o.version == version);
        if !known {
            self.observation = Some(Observation {
                version,
                since: now,
            });
        }
    }

    /// Records the cell's record as read at `now`. The successor of a coordinator that resigned
    /// need not wait for the suspicion timeout, only for the leases already granted.
    pub fn on_record(&mut self, record: &CellRecord, version: u64, now: BootInstant) {
        self.on_version(version, now);
        self.resigned = record.resigned;
    }

    /// Returns when the record was first seen at its present version; `None` if it never was.
    #[must_use]
    pub fn version_since(&self) -> Option<BootInstant> {
        self.observation.map(|o| o.since)
    }

    /// Returns what to do at `now`. `record_read` is true when the record was read just before.
    /// A missed heartbeat is reason enough to read the record, so that its version is known by the
    /// time the coordinator is suspected.
    #[must_use]
    pub fn next_action(&self, now: BootInstant, record_read: bool) -> Action {
        if (!self.has_missed_heartbeat(now) && !self.resigned) || now < self.earliest_take_over {
            return Action::Wait;
        }
        if !record_read {
            return Action::Read;
        }
        let stagger = self.timing.heartbeat * self.rank / 2;
        if now < self.last_contact + self.timing.suspicion + stagger && !self.resigned {
            return Action::Wait;
        }
        let Some(observation) = self.observation else {
            return Action::TakeOver(0);
        };
        // The coordinator still renews its record, so it is up.
        let renewing = now < observation.since + self.timing.renewal * 3 / 2;
        if renewing && !self.resigned {
            return Action::Wait;
        }
        Action::TakeOver(observation.version)
    }
}
