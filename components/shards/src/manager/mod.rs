//! Decides for one machine which keys it grants to its local back end and which stored objects it
//! changes.
//!
//! That no two back ends hold a key at once rests on five rules:
//!
//! - A machine grants only while its stored lease, counted from the sending of the last confirmed
//!   renewal, has not expired.
//! - Keys leave a machine with a valid lease only by that machine's own write, after its back end
//!   has released them.
//! - Keys of an unreachable machine move only after its lease has been fenced and its last renewal
//!   has expired.
//! - After each start of the process or of the back end, the machine writes the assignment before
//!   it grants, so that no earlier write of its own can still take effect.
//! - In a new era of the store, a machine is assigned keys that it held alone in the earlier one, or
//!   that nobody can hold any more.

mod claims;
mod era;
mod grants;
mod moves;
mod renewal;
mod takeover;
mod types;
mod updates;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

use crate::assignment::Assignment;
use crate::incarnation::BackEndIncarnation;
use crate::lease::Lease;
use crate::placement::KeyLoad;
use crate::release::Release;
use crate::revision::StoreEra;
use crate::span::Span;

pub use claims::KeyClaim;
use claims::{CarriedKeys, UnsettledWrites};
pub use types::{PeerState, StoreOp, StoreOutcome, Timing, Versioned, with_drift};
pub use updates::MAX_OWN_RANGES;

/// Progress of taking over the keys of an unreachable machine.
#[derive(Clone, Debug)]
struct Takeover {
    /// The lease as last read, and when this revision was first read.
    lease: Option<(Versioned<Lease>, BootInstant)>,
    /// The fenced epoch, and the instant at which it has expired on every clock.
    fenced: Option<(u64, BootInstant)>,
    /// Whether the lease object does not exist.
    absent: bool,
    /// Earliest instant of the next attempt.
    not_before: BootInstant,
}

/// State of one machine in the assignment of its service's keys.
///
/// Does no I/O: it returns the store operations to execute and is passed their outcomes.
#[derive(Clone, Debug)]
pub struct ShardManager {
    machine: MachineName,
    timing: Timing,
    started: BootInstant,
    lease: Option<Versioned<Lease>>,
    /// End of the lease, counted from the sending of the last confirmed renewal.
    valid_until: BootInstant,
    /// When the last confirmed renewal was sent.
    last_renewal: BootInstant,
    assignment: Option<Versioned<Assignment>>,
    /// Whether the assignment object does not exist.
    assignment_absent: bool,
    incarnation: Option<BackEndIncarnation>,
    /// Sequence number of the last accepted report.
    sequence: u64,
    first_report_at: Option<BootInstant>,
    /// Whether the back end is draining or deregistered.
    leaving: bool,
    /// Whether the back end's process is taken to have exited.
    exited: bool,
    reports_since_exit: u32,
    unresponsive: bool,
    /// Whether the back end is cold and takes few requests.
    cold: bool,
    /// Whether this process is shutting down.
    stopping: bool,
    /// Instant by which every grant has expired on the back end's clock, however slow.
    grants_expired_at: BootInstant,
    /// Keys of the last grant; the back end holds them at least until `last_grant_end`.
    granted: Vec<Span>,
    last_grant_end: BootInstant,
    /// Keys being withdrawn, each with its preferred recipient.
    releases: Vec<(Release, Option<MachineName>)>,
    peers: BTreeMap<MachineName, PeerState>,
    /// Machines of evacuated zones, which receive no keys and give theirs to others.
    evacuated: BTreeSet<MachineName>,
    takeovers: BTreeMap<MachineName, Takeover>,
    load: KeyLoad,
    last_rebalance: BootInstant,
    /// Whether the assignment must be read again, since a write may or may not have taken effect.
    needs_read: bool,
    /// The era of the store in which the machine acts, `None` before it has heard of one.
    era: Option<StoreEra>,
    era_began_at: BootInstant,
    /// Whether an earlier era ended while the process ran.
    era_changed: bool,
    /// Whether the whole system started for the first time with this process.
    first_start: bool,
    /// What is known from the earlier era, `None` if the process knew none.
    carried: Option<CarriedKeys>,
    /// Claims of other machines in this era.
    claims: BTreeMap<MachineName, KeyClaim>,
    /// Writes that hand keys over.
    unsettled: Option<UnsettledWrites>,
}

impl ShardManager {
    /// Creates the manager of a process that starts at `now`.
    #[must_use]
    pub fn new(machine: MachineName, timing: Timing, now: BootInstant) -> Self {
        Self {
            machine,
            timing,
            started: now,
            lease: None,
            valid_until: now,
            last_renewal: now,
            assignment: None,
            assignment_absent: false,
            incarnation: None,
            sequence: 0,
            first_report_at: None,
            leaving: false,
            exited: false,
            reports_since_exit: 0,
            unresponsive: false,
            cold: false,
            stopping: false,
            grants_expired_at: now + with_drift(timing.max_grant),
            granted: Vec::new(),
            last_grant_end: now,
            releases: Vec::new(),
            peers: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            takeovers: BTreeMap::new(),
            load: KeyLoad::default(),
            last_rebalance: now,
            needs_read: true,
            era: None,
            era_began_at: now,
            era_changed: false,
            first_start: false,
            carried: None,
            claims: BTreeMap::new(),
            unsettled: None,
        }
    }

    /// Returns the assignment as last read or written; `None` before the first one.
    #[must_use]
    pub fn assignment(&self) -> Option<&Versioned<Assignment>> {
        self.assignment.as_ref()
    }

    /// Returns the lease as last confirmed; `None` if it is unknown or lost.
    #[must_use]
    pub fn lease(&self) -> Option<&Versioned<Lease>> {
        self.lease.as_ref()
    }

    /// Returns the incarnation of the local back end; `None` while there is none or it is leaving,
    /// exited or unresponsive.
    #[must_use]
    pub fn available_incarnation(&self) -> Option<&BackEndIncarnation> {
        self.incarnation
            .as_ref()
            .filter(|_| !self.leaving && !self.exited && !self.unresponsive)
    }

    /// Counts a request for a key.
    pub fn count_request(&mut self, key: u16) {
        self.load.add(key);
    }

    /// Multiplies the counts of past requests by `factor`.
    pub fn decay_load(&mut self, factor: f32) {
        self.load.decay(factor);
    }

    /// Sets the state of another machine.
    pub fn set_peer(&mut self, machine: MachineName, peer: PeerState) {
        if machine != self.machine {
            self.peers.insert(machine, peer);
        }
    }

    /// Sets which machines are in evacuated zones, this one included.
    ///
    /// Their keys leave them, with handovers, while a machine of another zone can receive them; until
    /// then they keep them, and grants are renewed.
    pub fn set_evacuated(&mut self, machines: BTreeSet<MachineName>) {
        self.evacuated = machines;
    }

    /// Whether this machine is in an evacuated zone.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.contains(&self.machine)
    }

    /// Sets the longest grant that a back end accepts.
    pub fn set_max_grant(&mut self, max_grant: Duration) {
        self.timing.max_grant = max_grant;
    }

    /// Starts the shutdown: from now on grants are as long as possible, to last while the process
    /// is away.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Records that the back end's process has exited, as a refused connection shows.
    pub fn on_back_end_exit(&mut self, now: BootInstant) {
        if !self.exited {
            self.exited = true;
            self.reports_since_exit = 0;
            self.grants_expired_at = now;
            self.expire_releases(now);
        }
    }

    /// Completes all releases: an exited process holds no keys.
    fn expire_releases(&mut self, now: BootInstant) {
        for (release, _) in &mut self.releases {
            release.expire(now);
        }
    }

    /// Records whether the back end has become unresponsive; if so, its keys are withdrawn.
    pub fn set_unresponsive(&mut self, unresponsive: bool) {
        self.unresponsive = unresponsive;
    }

    /// Sets whether the back end is cold and takes few requests; false if the service does not limit them.
    pub fn set_cold(&mut self, cold: bool) {
        self.cold = cold;
    }

    /// Whether the stored assignment gives this machine keys but no running back end has reported.
    #[must_use]
    pub fn is_back_end_missing(&self) -> bool {
        self.incarnation.is_none() && !self.exited && self.owns_stored_keys()
    }

    /// Records that the back end `id` leaves without a further report.
    pub fn on_deregistered(&mut self, id: &str) {
        if self.incarnation.as_ref().is_some_and(|i| i.id == id) {
            self.leaving = true;
        }
    }

    /// Adopts an assignment that this or another machine has read or written, if it is newer and of
    /// the current era.
    ///
    /// Returns whether it was.
    pub fn on_assignment(&mut self, assignment: Versioned<Assignment>) -> bool {
        let newer = self
            .assignment
            .as_ref()
            .is_none_or(|a| a.revision < assignment.revision)
            && self.is_current(&assignment);
        if newer {
            self.assignment_absent = false;
            self.assignment = Some(assignment);
            self.drop_moved_releases();
            self.drop_assigned_carried();
        }
        newer
    }

    /// Drops releases of keys that this machine no longer owns or that have been assigned to it anew.
    fn drop_moved_releases(&mut self) {
        let Some(assignment) = &self.assignment else {
            return;
        };
        let machine = &self.machine;
        let owned = || assignment.value.owned(machine);
        self.releases
            .retain(|(release, _)| owned().any(|range| release.concerns(range)));
    }
}
