//! What one machine grants to the back end beside it, and which changes it wants to write.
//!
//! Safety rests on four rules. A machine grants only while its stored lease, counted from the
//! sending of the last confirmed renewal, has not run out. Keys leave a machine that holds its
//! lease only by that machine's own write, after its back end has released them. Keys of a silent
//! machine move only after its lease has been fenced and its last renewal has run out. After each
//! start of a process or of a back end the machine writes the assignment before it grants, so that
//! no earlier write of its own can still take effect.

mod grants;
mod moves;
mod renewal;
mod table;
mod takeover;
mod types;

use std::collections::BTreeMap;
use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

use crate::assignment::Assignment;
use crate::incarnation::BackEndIncarnation;
use crate::lease::Lease;
use crate::placement::KeyLoad;
use crate::release::Release;
use crate::span::Span;

pub use types::{PeerState, StoreOp, StoreOutcome, Timing, Versioned, with_drift};

/// Progress of taking over from a silent machine.
#[derive(Clone, Debug)]
struct Takeover {
    /// The lease as last read, and when it was first seen so.
    lease: Option<(Versioned<Lease>, BootInstant)>,
    /// The fenced epoch, and when it has surely run out.
    fenced: Option<(u64, BootInstant)>,
    /// Whether the lease object is known not to exist.
    absent: bool,
    /// No attempt before this instant.
    not_before: BootInstant,
}

/// One machine's part in the assignment of its service.
#[derive(Clone, Debug)]
pub struct ShardManager {
    machine: MachineName,
    timing: Timing,
    started: BootInstant,
    lease: Option<Versioned<Lease>>,
    valid_until: BootInstant,
    renewed: BootInstant,
    view: Option<Versioned<Assignment>>,
    absent: bool,
    incarnation: Option<BackEndIncarnation>,
    sequence: u64,
    met: Option<BootInstant>,
    leaving: bool,
    dead: bool,
    reports_since_death: u32,
    silent: bool,
    stopping: bool,
    granted_until: BootInstant,
    /// Keys of the last grant, and until when the back end surely holds them.
    granted: Vec<Span>,
    held_until: BootInstant,
    releases: Vec<(Release, Option<MachineName>)>,
    peers: BTreeMap<MachineName, PeerState>,
    takeovers: BTreeMap<MachineName, Takeover>,
    load: KeyLoad,
    relieved: BootInstant,
    refresh: bool,
}

impl ShardManager {
    /// Makes the manager of a process that starts now.
    #[must_use]
    pub fn new(machine: MachineName, timing: Timing, now: BootInstant) -> Self {
        Self {
            machine,
            timing,
            started: now,
            lease: None,
            valid_until: now,
            renewed: now,
            view: None,
            absent: false,
            incarnation: None,
            sequence: 0,
            met: None,
            leaving: false,
            dead: false,
            reports_since_death: 0,
            silent: false,
            stopping: false,
            granted_until: now + with_drift(timing.hold_max),
            granted: Vec::new(),
            held_until: now,
            releases: Vec::new(),
            peers: BTreeMap::new(),
            takeovers: BTreeMap::new(),
            load: KeyLoad::default(),
            relieved: now,
            refresh: true,
        }
    }

    /// The assignment as last read or written.
    #[must_use]
    pub fn view(&self) -> Option<&Versioned<Assignment>> {
        self.view.as_ref()
    }

    /// The lease as last confirmed.
    #[must_use]
    pub fn lease(&self) -> Option<&Versioned<Lease>> {
        self.lease.as_ref()
    }

    /// The back end beside this machine, if it is there and stays.
    #[must_use]
    pub fn incarnation(&self) -> Option<&BackEndIncarnation> {
        self.incarnation
            .as_ref()
            .filter(|_| !self.leaving && !self.dead && !self.silent)
    }

    /// Counts a request for a key.
    pub fn count(&mut self, key: u16) {
        self.load.add(key);
    }

    /// Lets older requests count less.
    pub fn decay_load(&mut self, factor: f32) {
        self.load.decay(factor);
    }

    /// Records what is known of another machine.
    pub fn set_peer(&mut self, machine: MachineName, peer: PeerState) {
        if machine != self.machine {
            self.peers.insert(machine, peer);
        }
    }

    /// Changes the longest grant that a back end accepts.
    pub fn set_hold_max(&mut self, hold_max: Duration) {
        self.timing.hold_max = hold_max;
    }

    /// Records that the process is about to stop: the last grants last as long as they may.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Records proof that the back end's process has ended.
    pub fn on_back_end_gone(&mut self, now: BootInstant) {
        if !self.dead {
            self.dead = true;
            self.reports_since_death = 0;
            self.granted_until = now;
            self.expire_releases(now);
        }
    }

    /// An ended process holds nothing, so keys that are being taken back are free at once.
    fn expire_releases(&mut self, now: BootInstant) {
        for (release, _) in &mut self.releases {
            release.expire(now);
        }
    }

    /// Records whether the back end has fallen silent; its keys are taken back if so.
    pub fn set_silent(&mut self, silent: bool) {
        self.silent = silent;
    }

    /// Whether keys are stored as this machine's though its back end has not shown up.
    #[must_use]
    pub fn misses_back_end(&self) -> bool {
        self.incarnation.is_none() && !self.dead && self.owns_stored_keys()
    }

    /// Records that the back end leaves without a further report.
    pub fn on_deregistered(&mut self, id: &str) {
        if self.incarnation.as_ref().is_some_and(|l| l.id == id) {
            self.leaving = true;
        }
    }

    /// Takes an assignment that another machine has read or written.
    ///
    /// Returns whether it is newer than the one known.
    pub fn on_view(&mut self, view: Versioned<Assignment>) -> bool {
        let newer = self
            .view
            .as_ref()
            .is_none_or(|v| v.revision < view.revision);
        if newer {
            self.absent = false;
            self.view = Some(view);
            self.forget_moved_keys();
        }
        newer
    }

    fn forget_moved_keys(&mut self) {
        let Some(view) = &self.view else { return };
        let machine = &self.machine;
        self.releases.retain(|(r, _)| {
            view.value
                .owned(machine)
                .any(|o| o.span.overlap(r.span()).is_some())
        });
    }
}
