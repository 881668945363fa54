//! What one machine grants to the back end beside it, and which changes it wants to write.
//!
//! Safety rests on four rules. A machine grants only while its stored lease, counted from the
//! sending of the last confirmed renewal, has not run out. Keys leave a machine that holds its
//! lease only by that machine's own write, after its back end has released them. Keys of a silent
//! machine move only after its lease has been fenced and its last renewal has run out. After each
//! start of a process or of a back end the machine writes the assignment before it grants, so that
//! no earlier write of its own can still take effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use world::moment::Moment;
use world::name::MachineName;

use crate::assignment::{Assignment, Holder};
use crate::check_in::{CheckIn, Grant, Reply};
use crate::lease::Lease;
use crate::life::Life;
use crate::placement::{KeyLoad, Taker, divide, relief};
use crate::release::{Piece, Release};
use crate::span::{Span, subtract};

/// Durations that every machine of a deployment shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time for which a confirmed renewal lets a machine grant, from its sending.
    pub lease: Duration,
    /// Time between two renewals.
    pub renewal: Duration,
    /// Usual length of a grant.
    pub hold: Duration,
    /// Longest grant that a back end accepts.
    pub hold_max: Duration,
    /// Time that a first assignment waits for other back ends.
    pub gathering: Duration,
    /// Time without a connection after which a holder is suspected.
    pub suspicion: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(8_000),
            renewal: Duration::from_millis(2_000),
            hold: Duration::from_millis(3_500),
            hold_max: Duration::from_millis(10_000),
            gathering: Duration::from_millis(1_500),
            suspicion: Duration::from_millis(1_200),
        }
    }
}

/// Parts of a hundred by which two clocks may differ in speed.
const DRIFT_PERCENT: u32 = 2;
/// Added to each wait for another clock.
const MARGIN: Duration = Duration::from_millis(20);
/// Grants shorter than this are not worth sending.
const MIN_HOLD: Duration = Duration::from_millis(100);
/// Time between two moves for the sake of load.
const RELIEF_INTERVAL: Duration = Duration::from_millis(2_500);
/// Reports after the supposed end of a back end that show that it lives.
const REPORTS_OF_LIFE: u32 = 3;
/// Time that each lower-ranked machine waits longer before it acts for a silent one.
const RANK_DELAY: Duration = Duration::from_millis(700);

/// How long to wait until a clock that runs slow has counted `span`.
#[must_use]
pub fn with_drift(span: Duration) -> Duration {
    span + span * DRIFT_PERCENT / 100 + MARGIN
}

/// What fits into `span` for a clock that runs slow.
fn less_drift(span: Duration) -> Duration {
    (span * (100 - DRIFT_PERCENT) / 100).saturating_sub(MARGIN)
}

/// A stored object with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored<T> {
    /// Revision of the last change.
    pub revision: u64,
    /// The object.
    pub value: T,
}

/// A call to the store that a machine wants to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call<T> {
    /// Read the object.
    Read,
    /// Create the object.
    Create(T),
    /// Replace the object if it still has the revision.
    Replace(Stored<T>),
}

/// How a call to the store ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// Done; the object as it is now.
    Done(Stored<T>),
    /// Not done, since the object has another revision or exists already.
    Conflict(Option<Stored<T>>),
    /// The object does not exist.
    Absent,
    /// No answer: the call may have been done or may be done later.
    Unknown,
    /// Not done and never will be.
    Refused,
}

/// What is known of another machine of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Whether a connection to the machine is open.
    pub connected: bool,
    /// When `connected` last changed.
    pub since: Moment,
    /// The back end beside it, if it is there and stays.
    pub life: Option<Life>,
    /// Its lease as last heard of.
    pub lease: Option<Stored<Lease>>,
    /// When that lease was first heard of: it was renewed before.
    pub lease_seen: Moment,
    /// Share of its capacity that is in use.
    pub busy: f64,
}

/// Progress of taking over from a silent machine.
#[derive(Clone, Debug)]
struct Takeover {
    /// The lease as last read, and when it was first seen so.
    lease: Option<(Stored<Lease>, Moment)>,
    /// The fenced epoch, and when it has surely run out.
    fenced: Option<(u64, Moment)>,
    /// Whether the lease object is known not to exist.
    absent: bool,
    /// No attempt before this instant.
    not_before: Moment,
}

/// One machine's part in the assignment of its service.
#[derive(Clone, Debug)]
pub struct Keeper {
    machine: MachineName,
    timing: Timing,
    started: Moment,
    lease: Option<Stored<Lease>>,
    valid_until: Moment,
    renewed: Moment,
    view: Option<Stored<Assignment>>,
    absent: bool,
    life: Option<Life>,
    sequence: u64,
    met: Option<Moment>,
    leaving: bool,
    dead: bool,
    reports_since_death: u32,
    silent: bool,
    stopping: bool,
    granted_until: Moment,
    /// Keys of the last grant, and until when the back end surely holds them.
    granted: Vec<Span>,
    held_until: Moment,
    releases: Vec<(Release, Option<MachineName>)>,
    peers: BTreeMap<MachineName, Peer>,
    takeovers: BTreeMap<MachineName, Takeover>,
    load: KeyLoad,
    relieved: Moment,
    refresh: bool,
}

impl Keeper {
    /// Makes the keeper of a process that starts now.
    #[must_use]
    pub fn new(machine: MachineName, timing: Timing, now: Moment) -> Self {
        Self {
            machine,
            timing,
            started: now,
            lease: None,
            valid_until: now,
            renewed: now,
            view: None,
            absent: false,
            life: None,
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
    pub fn view(&self) -> Option<&Stored<Assignment>> {
        self.view.as_ref()
    }

    /// The lease as last confirmed.
    #[must_use]
    pub fn lease(&self) -> Option<&Stored<Lease>> {
        self.lease.as_ref()
    }

    /// The back end beside this machine, if it is there and stays.
    #[must_use]
    pub fn life(&self) -> Option<&Life> {
        self.life
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
    pub fn set_peer(&mut self, machine: MachineName, peer: Peer) {
        if machine != self.machine {
            self.peers.insert(machine, peer);
        }
    }

    /// Records that the process is about to stop: the last grants last as long as they may.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Records proof that the back end's process has ended.
    pub fn on_back_end_gone(&mut self, now: Moment) {
        if !self.dead {
            self.dead = true;
            self.reports_since_death = 0;
            self.granted_until = now;
            self.expire_releases(now);
        }
    }

    /// An ended process holds nothing, so keys that are being taken back are free at once.
    fn expire_releases(&mut self, now: Moment) {
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
        self.life.is_none() && !self.dead && self.owns_stored_keys()
    }

    /// Records that the back end leaves without a further report.
    pub fn on_deregistered(&mut self, id: &str) {
        if self.life.as_ref().is_some_and(|l| l.id == id) {
            self.leaving = true;
        }
    }

    /// Asks for the stored assignment to be read again.
    pub fn request_refresh(&mut self) {
        self.refresh = true;
    }

    /// Takes an assignment that another machine has read or written.
    ///
    /// Returns whether it is newer than the one known.
    pub fn on_view(&mut self, view: Stored<Assignment>) -> bool {
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

    // ---- grants ----

    /// Answers a report of the back end; nothing if nothing may be granted or renewed.
    pub fn on_check_in(&mut self, now: Moment, report: &CheckIn) -> Option<Reply> {
        if !self.accept_life(now, &report.life) || report.sequence <= self.sequence {
            return None;
        }
        self.sequence = report.sequence;
        self.silent = false;
        self.leaving |= report.draining;
        self.met.get_or_insert(now);
        for (release, _) in &mut self.releases {
            release.on_report(&report.held, &report.freed);
        }
        self.start_leaving(now);
        self.reply(now)
    }

    /// Takes the boot as the present one; false if it is an earlier one.
    fn accept_life(&mut self, now: Moment, life: &Life) -> bool {
        match &self.life {
            Some(known) if known == life => {
                self.doubt_death(now);
                return !self.dead;
            }
            Some(known) if life.born <= known.born => return false,
            Some(_) => {
                self.granted_until = now;
                self.held_until = now;
                self.releases.clear();
            }
            None => self.adopt_first_life(now, life),
        }
        self.life = Some(life.clone());
        self.sequence = 0;
        self.leaving = false;
        self.dead = false;
        true
    }

    /// Reports that go on after the supposed end of a back end show that it lives.
    fn doubt_death(&mut self, now: Moment) {
        if !self.dead {
            return;
        }
        self.reports_since_death += 1;
        if self.reports_since_death >= REPORTS_OF_LIFE {
            self.dead = false;
            self.granted_until = now + with_drift(self.timing.hold_max);
        }
    }

    /// A boot other than the stored one proves that the stored one has ended.
    fn adopt_first_life(&mut self, now: Moment, life: &Life) {
        let stored = self
            .view
            .as_ref()
            .and_then(|v| v.value.holders.get(&self.machine));
        if stored.is_some_and(|h| h.life.born < life.born) {
            self.granted_until = now;
        }
    }

    /// Whether the machine may grant keys now.
    #[must_use]
    pub fn may_grant(&self, now: Moment) -> bool {
        let Some(lease) = &self.lease else {
            return false;
        };
        let enrolled = self
            .view
            .as_ref()
            .and_then(|v| v.value.holders.get(&self.machine))
            .is_some_and(|h| h.epoch == lease.value.epoch && Some(&h.life) == self.life.as_ref());
        enrolled && !self.dead && !lease.value.fenced && now < self.valid_until
    }

    fn reply(&mut self, now: Moment) -> Option<Reply> {
        if !self.may_grant(now) {
            return None;
        }
        let left = less_drift(self.valid_until.since(now));
        let usual = if self.stopping {
            self.timing.hold_max
        } else {
            self.timing.hold
        };
        let hold = usual.min(self.timing.hold_max).min(left);
        if hold < MIN_HOLD {
            return None;
        }
        let grants = self.grants();
        let until = now + with_drift(hold);
        self.granted_until = self.granted_until.max(until);
        self.granted = grants.iter().map(|g| g.span).collect();
        for (release, _) in &mut self.releases {
            release.tell();
        }
        self.held_until = now + hold;
        Some(Reply { grants, hold })
    }

    fn grants(&self) -> Vec<Grant> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
        let mut grants = Vec::new();
        for r in view.value.owned(&self.machine) {
            let mut spans = vec![r.span];
            for (release, _) in &self.releases {
                spans = subtract(&spans, release.span());
            }
            grants.extend(spans.into_iter().map(|span| Grant {
                span,
                fence: r.fence,
                handover: r.handover.clone(),
            }));
        }
        grants
    }

    /// Whether the back end beside this machine holds the key and is to keep it.
    #[must_use]
    pub fn serves(&self, now: Moment, key: u16) -> bool {
        let held = now < self.held_until && self.granted.iter().any(|s| s.contains(key));
        held && !self.dead && self.owns(key)
    }

    /// Whether the key belongs to this machine and its back end has not been told to release it.
    #[must_use]
    pub fn owns(&self, key: u16) -> bool {
        let owned = self
            .view
            .as_ref()
            .and_then(|v| v.value.range(key))
            .is_some_and(|r| r.machine == self.machine);
        let mut told = self.releases.iter().filter(|(r, _)| r.is_told());
        owned && !told.any(|(r, _)| r.span().contains(key))
    }

    // ---- giving keys away ----

    fn owned_spans(&self) -> Vec<Span> {
        let view = self.view.as_ref();
        view.map(|v| v.value.owned(&self.machine).map(|r| r.span).collect())
            .unwrap_or_default()
    }

    /// Machines that could take keys now.
    fn takers(&self) -> Vec<Taker> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
        self.peers
            .iter()
            .filter(|(_, p)| p.connected && p.life.is_some())
            .filter(|(m, p)| {
                let holder = view.value.holders.get(*m);
                holder.is_some_and(|h| Some(&h.life) == p.life.as_ref())
            })
            .map(|(m, p)| Taker {
                machine: m.clone(),
                busy: p.busy,
            })
            .collect()
    }

    /// Takes back every key if the back end is leaving or gone and others can take them.
    fn start_leaving(&mut self, now: Moment) {
        // A back end that has not shown up holds nothing once every earlier grant has run out.
        let missing = self.life.is_none() && now >= self.granted_until;
        let going = self.leaving || self.dead || self.silent || missing;
        if !going || self.takers().is_empty() {
            return;
        }
        let mut open = self.owned_spans();
        for (release, _) in &self.releases {
            open = open
                .iter()
                .flat_map(|s| s.without(release.span()))
                .collect();
        }
        for (span, taker) in divide(&open, &self.load, &self.takers()) {
            let release = Release::new(span, self.granted_until);
            self.releases.push((release, Some(taker)));
        }
    }

    /// Starts to give keys to machines with more room, if this one is busy beyond the mean.
    ///
    /// Returns how many machines are to take keys.
    pub fn relieve(&mut self, now: Moment, busy: f64) -> usize {
        let quiet = self.releases.is_empty() && now.since(self.relieved) >= RELIEF_INTERVAL;
        if !quiet || !self.may_grant(now) {
            return 0;
        }
        let takers = self.takers();
        let shares = match self.newcomer(busy, &takers) {
            Some(share) => vec![share],
            None => relief(busy, &takers),
        };
        let mut spans = self.owned_spans();
        let total: f64 = spans.iter().map(|s| self.load.of(*s)).sum();
        for (taker, part) in &shares {
            for span in self.part_of(&spans, total * part) {
                spans = subtract(&spans, span);
                let release = Release::new(span, self.granted_until);
                self.releases.push((release, Some(taker.clone())));
            }
        }
        if !self.releases.is_empty() {
            self.relieved = now;
        }
        shares.len()
    }

    /// Keys out of `spans` that carry about `load`, as few as possible.
    fn part_of(&self, spans: &[Span], load: f64) -> Vec<Span> {
        if let Some(window) = self.load.densest(spans, load) {
            return vec![window];
        }
        let total: f64 = spans.iter().map(|s| self.load.of(*s)).sum();
        self.load.split(spans, (total - load).max(0.0)).1
    }

    /// A machine without keys, if this one is the busiest and so has to give it some.
    fn newcomer(&self, busy: f64, takers: &[Taker]) -> Option<(MachineName, f64)> {
        let view = self.view.as_ref()?;
        let busiest = takers
            .iter()
            .all(|t| (t.busy, &t.machine) < (busy, &self.machine));
        let empty = takers.iter().find(|t| !view.value.owns(&t.machine))?;
        let holders = takers
            .iter()
            .filter(|t| view.value.owns(&t.machine))
            .count()
            + 1;
        busiest.then(|| (empty.machine.clone(), 1.0 / (holders as f64 + 1.0)))
    }

    // ---- own lease ----

    /// The call that the lease needs now.
    #[must_use]
    pub fn lease_call(&self, now: Moment) -> Option<Call<Lease>> {
        if self.life.is_none() && !self.owns_stored_keys() {
            return None;
        }
        let Some(lease) = &self.lease else {
            return Some(Call::Read);
        };
        if lease.value.fenced {
            return Some(Call::Read);
        }
        if now.since(self.renewed) < self.timing.renewal {
            return None;
        }
        Some(Call::Replace(Stored {
            revision: lease.revision,
            value: lease.value.renewed(),
        }))
    }

    fn owns_stored_keys(&self) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|v| v.value.owns(&self.machine))
    }

    /// Takes the outcome of a lease call sent at `sent`; a call that must follow at once is
    /// returned.
    pub fn on_lease(
        &mut self,
        sent: Moment,
        call: &Call<Lease>,
        outcome: Outcome<Lease>,
    ) -> Option<Call<Lease>> {
        match (call, outcome) {
            (Call::Read, Outcome::Absent) => Some(Call::Create(Lease::default().next_epoch())),
            (Call::Read, Outcome::Done(found)) => Some(Call::Replace(Stored {
                revision: found.revision,
                value: found.value.next_epoch(),
            })),
            (Call::Create(wanted), Outcome::Done(stored))
            | (Call::Replace(Stored { value: wanted, .. }), Outcome::Done(stored)) => {
                self.confirm_lease(sent, stored.revision, *wanted);
                None
            }
            (Call::Replace(wanted), Outcome::Conflict(Some(found))) => {
                self.on_lease_conflict(wanted.value, found)
            }
            (_, Outcome::Conflict(_) | Outcome::Absent) => {
                self.lease = None;
                None
            }
            (_, Outcome::Unknown | Outcome::Refused) => None,
        }
    }

    /// A conflict is harmless if an earlier attempt at the same renewal took effect.
    fn on_lease_conflict(&mut self, wanted: Lease, found: Stored<Lease>) -> Option<Call<Lease>> {
        let held = self.holds_epoch(wanted.epoch);
        let own = held && !found.value.fenced && found.value.epoch == wanted.epoch;
        let value = if own {
            // Which attempt took effect is not known, so only the revision is kept.
            self.lease = Some(found.clone());
            found.value.renewed()
        } else {
            self.lease = None;
            found.value.next_epoch()
        };
        Some(Call::Replace(Stored {
            revision: found.revision,
            value,
        }))
    }

    fn holds_epoch(&self, epoch: u64) -> bool {
        self.lease.as_ref().is_some_and(|l| l.value.epoch == epoch)
    }

    fn confirm_lease(&mut self, sent: Moment, revision: u64, value: Lease) {
        let same = self.holds_epoch(value.epoch);
        let until = sent + self.timing.lease;
        self.valid_until = if same {
            self.valid_until.max(until)
        } else {
            until
        };
        self.renewed = sent;
        self.lease = Some(Stored { revision, value });
    }

    // ---- assignment ----

    /// The call that the assignment needs now.
    #[must_use]
    pub fn view_call(&self, now: Moment) -> Option<Call<Assignment>> {
        if self.refresh || (self.view.is_none() && !self.absent) {
            return Some(Call::Read);
        }
        let Some(view) = &self.view else {
            return self.first_assignment(now).map(Call::Create);
        };
        let mut next = view.value.clone();
        self.enroll(now, &mut next);
        self.transfer_released(now, &mut next);
        self.take_over(now, &mut next);
        if next == view.value {
            return None;
        }
        next.merge_neighbours();
        Some(Call::Replace(Stored {
            revision: view.revision,
            value: next,
        }))
    }

    /// Takes the outcome of an assignment call; returns whether the view changed.
    pub fn on_view_outcome(
        &mut self,
        call: &Call<Assignment>,
        outcome: Outcome<Assignment>,
    ) -> bool {
        match outcome {
            Outcome::Done(stored) => {
                self.refresh = false;
                self.on_view(stored)
            }
            Outcome::Conflict(Some(found)) => self.on_view(found),
            Outcome::Conflict(None) | Outcome::Unknown => {
                self.refresh = true;
                false
            }
            Outcome::Absent => {
                self.refresh = false;
                self.absent = matches!(call, Call::Read);
                false
            }
            Outcome::Refused => false,
        }
    }

    fn is_live(&self, now: Moment) -> bool {
        let unfenced = self.lease.as_ref().is_some_and(|l| !l.value.fenced);
        unfenced && now < self.valid_until
    }

    fn own_holder(&self) -> Option<Holder> {
        Some(Holder {
            epoch: self.lease.as_ref()?.value.epoch,
            life: self.life.clone()?,
        })
    }

    /// Position of this machine among those that can act, in the order of their names.
    fn rank(&self) -> u32 {
        let before = self
            .peers
            .iter()
            .filter(|(m, p)| **m < self.machine && p.connected && p.life.is_some())
            .count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    fn first_assignment(&self, now: Moment) -> Option<Assignment> {
        let met = self.met?;
        let wait = self.timing.gathering + RANK_DELAY * self.rank();
        if !self.is_live(now) || self.life().is_none() || now.since(met) < wait {
            return None;
        }
        let mut holders: BTreeMap<MachineName, Holder> = self
            .peers
            .iter()
            .filter(|(_, p)| p.connected)
            .filter_map(|(m, p)| {
                let holder = Holder {
                    epoch: p.lease.as_ref()?.value.epoch,
                    life: p.life.clone()?,
                };
                Some((m.clone(), holder))
            })
            .collect();
        holders.insert(self.machine.clone(), self.own_holder()?);
        Assignment::new(holders)
    }

    fn enroll(&self, now: Moment, next: &mut Assignment) {
        if !self.is_live(now) {
            return;
        }
        let stored = next.holders.get(&self.machine).cloned();
        let wanted = match (self.own_holder(), &stored) {
            (Some(own), _) if !self.dead => Some(own),
            (_, Some(old)) => self.lease.as_ref().map(|l| Holder {
                epoch: l.value.epoch,
                life: old.life.clone(),
            }),
            _ => None,
        };
        let Some(wanted) = wanted else { return };
        let useless = stored.is_none() && self.life().is_none();
        if !useless && stored.as_ref() != Some(&wanted) {
            next.enroll(&self.machine, wanted);
        }
    }

    /// Whether the stored holder entry carries the present epoch, so that writes may follow it.
    fn is_enrolled(&self, assignment: &Assignment) -> bool {
        let epoch = self.lease.as_ref().map(|l| l.value.epoch);
        let holder = assignment.holders.get(&self.machine);
        holder.is_some_and(|h| Some(h.epoch) == epoch)
    }

    fn transfer_released(&self, now: Moment, next: &mut Assignment) {
        let known = self.view.as_ref().map(|v| &v.value);
        if !self.is_live(now) || !known.is_some_and(|v| self.is_enrolled(v)) {
            return;
        }
        let takers = self.takers();
        for (release, wanted) in &self.releases {
            if !release.is_done(now) {
                continue;
            }
            for piece in release.pieces() {
                self.transfer_piece(next, &piece, wanted.as_ref(), &takers);
            }
        }
    }

    fn transfer_piece(
        &self,
        next: &mut Assignment,
        piece: &Piece,
        wanted: Option<&MachineName>,
        takers: &[Taker],
    ) {
        let target = wanted.filter(|w| takers.iter().any(|t| t.machine == **w));
        if let Some(target) = target {
            next.transfer(&self.machine, piece, target);
            return;
        }
        if takers.is_empty() && self.life().is_some() {
            next.transfer(&self.machine, piece, &self.machine);
            return;
        }
        if !piece.handover.is_empty() {
            let idlest = takers.iter().min_by(|a, b| a.busy.total_cmp(&b.busy));
            if let Some(t) = idlest {
                next.transfer(&self.machine, piece, &t.machine);
            }
            return;
        }
        for (span, machine) in divide(&[piece.span], &self.load, takers) {
            let part = Piece {
                span,
                handover: String::new(),
            };
            next.transfer(&self.machine, &part, &machine);
        }
    }

    // ---- taking over from silent machines ----

    /// Machines that own keys, are not connected and have been silent for long enough.
    fn silent_holders(&self, now: Moment) -> BTreeSet<MachineName> {
        let Some(view) = &self.view else {
            return BTreeSet::new();
        };
        let patience = self.timing.suspicion + RANK_DELAY * self.rank();
        let owners = view.value.ranges.iter().map(|r| &r.machine);
        owners
            .filter(|m| **m != self.machine)
            .filter(|m| match self.peers.get(*m) {
                Some(p) => !p.connected && now.since(p.since) >= patience,
                None => now.since(self.started) >= patience + self.timing.renewal,
            })
            .cloned()
            .collect()
    }

    /// Whether this machine may act for others.
    fn can_take_over(&self, now: Moment) -> bool {
        self.is_live(now) && self.life().is_some()
    }

    /// The next call that fences a silent holder: its machine and the call on its lease.
    #[must_use]
    pub fn fence_call(&self, now: Moment) -> Option<(MachineName, Call<Lease>)> {
        if !self.can_take_over(now) {
            return None;
        }
        self.silent_holders(now)
            .into_iter()
            .find_map(|machine| Some((machine.clone(), self.fence_step(now, &machine)?)))
    }

    fn fence_step(&self, now: Moment, machine: &MachineName) -> Option<Call<Lease>> {
        let takeover = self.takeovers.get(machine);
        if let Some(t) = takeover {
            if t.fenced.is_some() || now < t.not_before {
                return None;
            }
            if t.absent {
                let holder = self.view.as_ref()?.value.holders.get(machine)?;
                return Some(Call::Create(Lease {
                    epoch: holder.epoch,
                    count: 0,
                    fenced: true,
                }));
            }
            if let Some((lease, _)) = &t.lease {
                return Some(Call::Replace(Stored {
                    revision: lease.revision,
                    value: lease.value.ended(),
                }));
            }
        }
        let heard = self.heard_lease(machine).filter(|_| takeover.is_none());
        Some(heard.map_or(Call::Read, |(lease, _)| {
            Call::Replace(Stored {
                revision: lease.revision,
                value: lease.value.ended(),
            })
        }))
    }

    /// Takes the outcome of a call that [`Keeper::fence_call`] returned.
    pub fn on_fence(
        &mut self,
        now: Moment,
        machine: &MachineName,
        call: &Call<Lease>,
        outcome: Outcome<Lease>,
    ) {
        let lease_span = with_drift(self.timing.lease);
        let heard = self.heard_lease(machine);
        let takeover = self.takeovers.entry(machine.clone()).or_insert(Takeover {
            lease: None,
            fenced: None,
            absent: false,
            not_before: now,
        });
        match (call, outcome) {
            (Call::Replace(wanted), Outcome::Done(_)) => {
                // No renewal followed the one that was seen, so the wait counts from there.
                let known = [takeover.lease.clone(), heard];
                let seen = known
                    .into_iter()
                    .flatten()
                    .find(|(lease, _)| lease.revision == wanted.revision)
                    .map_or(now, |(_, at)| at);
                takeover.fenced = Some((wanted.value.epoch, seen + lease_span));
            }
            (Call::Create(made), Outcome::Done(_)) => {
                takeover.fenced = Some((made.epoch, now + lease_span));
            }
            (_, Outcome::Done(found) | Outcome::Conflict(Some(found))) => {
                takeover.absent = false;
                if found.value.fenced {
                    takeover.fenced = Some((found.value.epoch, now + lease_span));
                } else if !matches!(&takeover.lease, Some((known, _)) if *known == found) {
                    takeover.not_before = now + self.timing.renewal + MARGIN;
                    takeover.lease = Some((found, now));
                }
            }
            (_, Outcome::Absent) => {
                takeover.lease = None;
                takeover.absent = true;
            }
            (_, Outcome::Conflict(None) | Outcome::Unknown | Outcome::Refused) => {
                takeover.lease = None;
                takeover.not_before = now + self.timing.renewal / 4;
            }
        }
    }

    fn heard_lease(&self, machine: &MachineName) -> Option<(Stored<Lease>, Moment)> {
        let peer = self.peers.get(machine)?;
        Some((peer.lease.clone()?, peer.lease_seen))
    }

    /// Gives the keys of machines whose fenced lease has run out to those that are live.
    fn take_over(&self, now: Moment, next: &mut Assignment) {
        if !self.can_take_over(now) {
            return;
        }
        for machine in self.silent_holders(now) {
            let fenced = self.takeovers.get(&machine).and_then(|t| t.fenced);
            let holder = next.holders.get(&machine).map(|h| h.epoch);
            let safe = fenced.is_some_and(|(epoch, at)| now >= at && holder <= Some(epoch));
            if safe {
                self.take_keys_of(&machine, next);
            }
        }
    }

    fn take_keys_of(&self, machine: &MachineName, next: &mut Assignment) {
        let mut takers = self.takers();
        takers.push(Taker {
            machine: self.machine.clone(),
            busy: 0.0,
        });
        let spans: Vec<Span> = next.owned(machine).map(|r| r.span).collect();
        for (span, taker) in divide(&spans, &KeyLoad::default(), &takers) {
            let piece = Piece {
                span,
                handover: String::new(),
            };
            next.transfer(machine, &piece, &taker);
        }
        next.dismiss(machine);
    }

    /// Drops what was learnt of machines that are connected again or own nothing.
    pub fn tidy(&mut self, now: Moment) {
        let silent = self.silent_holders(now);
        let holders = self.view.as_ref().map(|v| &v.value.holders);
        self.takeovers.retain(|m, t| {
            let epoch = holders.and_then(|h| h.get(m)).map(|h| h.epoch);
            let outdated = t.fenced.is_some_and(|(fenced, _)| epoch > Some(fenced));
            silent.contains(m) && !outdated
        });
        self.start_leaving(now);
    }
}
