//! When a member may take over the coordinator's term.

use world::moment::Moment;

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
    since: Moment,
}

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
    contact: Moment,
    observation: Option<Observation>,
    resigned: bool,
    /// No take-over is tried before this instant.
    hold_off: Moment,
}

impl Succession {
    /// Starts watching at `now`.
    #[must_use]
    pub fn new(timing: Timing, now: Moment) -> Self {
        Self {
            timing,
            rank: 0,
            contact: now,
            observation: None,
            resigned: false,
            hold_off: now,
        }
    }

    /// Sets the member's rank among those that may take over.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Leaves the term to others until `until`.
    pub fn hold_off(&mut self, until: Moment) {
        self.hold_off = until;
    }

    /// Notes an accepted heartbeat.
    pub fn on_contact(&mut self, now: Moment) {
        self.contact = now;
        self.resigned = false;
    }

    /// Notes the version of the cell's record, known at `now`.
    pub fn on_version(&mut self, version: u64, now: Moment) {
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
    pub fn on_record(&mut self, record: &CellRecord, version: u64, now: Moment) {
        self.on_version(version, now);
        self.resigned = record.resigned;
    }

    /// Instant since which the record is known at its present version.
    #[must_use]
    pub fn version_since(&self) -> Option<Moment> {
        self.observation.map(|o| o.since)
    }

    /// What to do at `now`, given that the record was read at its current version just before
    /// when `fresh` is true. A missed heartbeat is reason enough to read the record, so that its
    /// version is known by the time the coordinator is suspected.
    #[must_use]
    pub fn step(&self, now: Moment, fresh: bool) -> Step {
        let missed = self.contact + self.timing.heartbeat * 3 / 2;
        if (now < missed && !self.resigned) || now < self.hold_off {
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
