//! When a member may take over the coordinator's term.

use world::instant::BootInstant;
use world::key::Term;

use crate::record::CellRecord;
use crate::timing::Timing;

/// What a member should do about its coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: the coordinator answers or the time has not come.
    Wait,
    /// Read the cell's record.
    Read,
    /// Replace the record, which must still be at this version; 0 when there is none.
    TakeOver(u64),
}

/// The version of the cell's record and since when it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Observation {
    version: u64,
    /// Instant at which the version was first known here. Invariant: every renewal that led
    /// to this version was sent earlier.
    since: BootInstant,
}

/// A version of the record as reported by the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Reported {
    version: u64,
    /// When the latest heartbeat that was answered with this version was sent.
    sent: BootInstant,
}

/// Reported versions that are remembered.
const REPORTED_VERSIONS: usize = 4;

/// Watches the coordinator on behalf of one member.
///
/// A renewal makes a new version. When a take-over against version `v` succeeds, no renewal
/// after `v` was or will be confirmed by the store, and the renewal that made `v` was sent before
/// `v` was first seen here. What the store confirmed of the old term therefore ends at the latest
/// one authority period, measured on the slower clock, after that first sight. What witnesses
/// confirmed ends by [`crate::closing::Closing`].
#[derive(Clone, Debug)]
pub struct Succession {
    timing: Timing,
    /// Members suspect their coordinator one after the other, by this rank.
    rank: u32,
    contact: BootInstant,
    observation: Option<Observation>,
    /// Versions that the coordinator of `reporter` reported, oldest first.
    reported: Vec<Reported>,
    reporter: Term,
    /// When the store last answered this machine.
    store_answered: BootInstant,
    resigned: bool,
    /// No take-over is tried before this instant.
    hold_off: BootInstant,
}

impl Succession {
    /// Starts watching at `now`.
    #[must_use]
    pub fn new(timing: Timing, now: BootInstant) -> Self {
        Self {
            timing,
            rank: 0,
            contact: now,
            observation: None,
            reported: Vec::new(),
            reporter: Term(0),
            store_answered: now,
            resigned: false,
            hold_off: now,
        }
    }

    /// Sets the member's rank among those that may take over.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Leaves the term to others until `until`.
    pub fn hold_off(&mut self, until: BootInstant) {
        self.hold_off = until;
    }

    /// Notes an accepted heartbeat.
    pub fn on_contact(&mut self, now: BootInstant) {
        self.contact = now;
        self.resigned = false;
    }

    /// Notes the version in the coordinator's answer to the heartbeat sent at `sent`.
    pub fn on_reply(&mut self, term: Term, version: u64, sent: BootInstant, now: BootInstant) {
        self.on_contact(now);
        self.on_version(version, now);
        if self.reporter != term {
            self.reporter = term;
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

    /// An instant before the last write of the coordinator that the store is known to have
    /// confirmed. A write two versions after a reported one was sent after that report.
    #[must_use]
    pub fn store_floor(&self) -> Option<BootInstant> {
        let last = self.reported.last()?.version;
        let earlier = self.reported.iter().filter(|r| r.version + 2 <= last);
        earlier.map(|r| r.sent).max()
    }

    /// Notes an answer of the store, whatever it said.
    pub fn on_store_answer(&mut self, now: BootInstant) {
        self.store_answered = now;
    }

    /// Tells whether the coordinator has missed a heartbeat.
    #[must_use]
    pub fn has_missed(&self, now: BootInstant) -> bool {
        now >= self.contact + self.timing.heartbeat * 3 / 2
    }

    /// Tells whether the witness at `position` should stand for the acting term: neither the
    /// coordinator nor the store has answered for a while.
    #[must_use]
    pub fn should_stand(&self, now: BootInstant, position: usize) -> bool {
        let stagger = self.timing.heartbeat * u32::try_from(position).unwrap_or(u32::MAX) / 2;
        let silent = |since: BootInstant| now >= since + self.timing.suspicion;
        silent(self.contact + stagger) && silent(self.store_answered)
    }

    /// Notes the version of the cell's record, known at `now`.
    pub fn on_version(&mut self, version: u64, now: BootInstant) {
        let known = self.observation.is_some_and(|o| o.version == version);
        if !known {
            self.observation = Some(Observation {
                version,
                since: now,
            });
        }
    }

    /// Notes the cell's record as read at `now`. A successor of a coordinator that resigned
    /// need not wait for suspicion, only for the leases already granted.
    pub fn on_record(&mut self, record: &CellRecord, version: u64, now: BootInstant) {
        self.on_version(version, now);
        self.resigned = record.resigned;
    }

    /// Instant since which the record is known at its present version.
    #[must_use]
    pub fn version_since(&self) -> Option<BootInstant> {
        self.observation.map(|o| o.since)
    }

    /// What to do at `now`, given that the record was read at its current version just before
    /// when `fresh` is true. A missed heartbeat is reason enough to read the record, so that its
    /// version is known by the time the coordinator is suspected.
    #[must_use]
    pub fn step(&self, now: BootInstant, fresh: bool) -> Step {
        if (!self.has_missed(now) && !self.resigned) || now < self.hold_off {
            return Step::Wait;
        }
        if !fresh {
            return Step::Read;
        }
        let stagger = self.timing.heartbeat * self.rank / 2;
        if now < self.contact + self.timing.suspicion + stagger && !self.resigned {
            return Step::Wait;
        }
        let Some(observation) = self.observation else {
            return Step::TakeOver(0);
        };
        // A coordinator that still renews its record is left alone.
        let renewing = now < observation.since + self.timing.renewal * 3 / 2;
        if renewing && !self.resigned {
            return Step::Wait;
        }
        Step::TakeOver(observation.version)
    }
}
