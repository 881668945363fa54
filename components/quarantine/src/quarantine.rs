//! Decides whether a request may be sent to a back end, from the crashes attributed to it.
//!
//! Requests that ran when a back end exited are suspects. A suspect that a back end completes is
//! cleared; one that has been in [`MAX_CRASHES`] crashes without that is blocked for a time that
//! doubles with each further crash. From [`ISOLATED_CRASHES`] on it runs beside no other suspect, so
//! that a request which happened to run beside a crash-causing one is not blocked with it.
//!
//! Crashes are counted for the request of its caller and besides for the same request of any caller:
//! a request that crashes back ends may come from many services, or crash them only as one of them
//! sends it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use world::instant::BootInstant;

use crate::crash_count::CrashCount;
use crate::exits::BackEndHash;
use crate::fingerprint::Fingerprint;
use crate::interrupted::{InterruptedRequest, KnownCrashes};

/// Crashes after which a request is blocked.
pub const MAX_CRASHES: u32 = 3;
/// Crashes after which a request runs beside no other suspect.
pub const ISOLATED_CRASHES: u32 = 2;
/// Time in which the reports of a crash reach every connected machine. An isolated request is not
/// sent earlier after a crash, as its next back end may not know yet which of the others ran there.
pub const REPORT_TIME: Duration = Duration::from_millis(200);
/// Time for which a request is blocked after [`MAX_CRASHES`]; doubles with each further crash.
pub const FIRST_BLOCK: Duration = Duration::from_secs(60);
/// Longest time for which a request is blocked.
pub const MAX_BLOCK: Duration = Duration::from_secs(3_600);
/// Time for which a suspect is remembered after its last crash, or after its block has ended.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
/// Time for which a cleared suspect is remembered, so that late reports of earlier crashes do not
/// make it a suspect again.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);
/// Most requests that are remembered; those with the fewest and oldest crashes are dropped first.
pub const MAX_RECORDS: usize = 1_024;

/// What a machine knows about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Crashes attributed to it.
    pub count: CrashCount,
    /// When the last of them was learned of, less its age then; for a cleared request, when it was
    /// cleared.
    pub changed_at: BootInstant,
}

impl Record {
    /// Returns how long the request is blocked from its last crash on; zero if it is not.
    #[must_use]
    pub fn block_time(&self) -> Duration {
        let Some(further) = self.count.unresolved().checked_sub(MAX_CRASHES) else {
            return Duration::ZERO;
        };
        let factor = 1_u32.checked_shl(further).unwrap_or(u32::MAX);
        FIRST_BLOCK.saturating_mul(factor).min(MAX_BLOCK)
    }

    /// Returns the time until the request may be sent again; `None` if it is not blocked.
    #[must_use]
    pub fn blocked_for(&self, now: BootInstant) -> Option<Duration> {
        let remaining = self.block_time().saturating_sub(now.since(self.changed_at));
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns whether the record has been remembered for long enough.
    #[must_use]
    pub fn is_expired(&self, now: BootInstant) -> bool {
        let retention = match self.count.unresolved() {
            0 => CLEARED_RETENTION,
            _ => self.block_time() + SUSPECT_RETENTION,
        };
        now.since(self.changed_at) > retention
    }
}

/// Crashes known to a machine, by request.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// Number of records by [`Fingerprint::target`].
    targets: BTreeMap<u32, usize>,
}

impl Quarantine {
    /// Returns whether a request with this hash of path and query may be a suspect.
    #[must_use]
    pub fn may_contain(&self, target: u32) -> bool {
        self.targets.contains_key(&target)
    }

    /// Returns what is known about a request of one caller, or of any.
    #[must_use]
    pub fn record(&self, fingerprint: &Fingerprint) -> Option<Record> {
        self.records.get(fingerprint).copied()
    }

    /// Returns the numbers of the last crashes attributed to a request.
    #[must_use]
    pub fn known_crashes(&self, fingerprint: &Fingerprint) -> KnownCrashes {
        KnownCrashes {
            own: self.count(fingerprint).crashes,
            any_caller: self.count(&fingerprint.any_caller()).crashes,
        }
    }

    /// Returns the time until a request may be sent again; `None` if it is not blocked.
    #[must_use]
    pub fn blocked_for(&self, fingerprint: &Fingerprint, now: BootInstant) -> Option<Duration> {
        let blocked = |f| self.record(f)?.blocked_for(now);
        blocked(fingerprint).max(blocked(&fingerprint.any_caller()))
    }

    /// Returns the crashes since a request was last completed.
    #[must_use]
    pub fn unresolved(&self, fingerprint: &Fingerprint) -> u32 {
        let own = self.count(fingerprint).unresolved();
        own.max(self.count(&fingerprint.any_caller()).unresolved())
    }

    /// Returns the time until the reports of an isolated request's last crash have arrived
    /// everywhere; `None` if it need not wait for them.
    #[must_use]
    pub fn reports_due_in(&self, fingerprint: &Fingerprint, now: BootInstant) -> Option<Duration> {
        if !self.is_isolated(fingerprint) {
            return None;
        }
        let due = |f| {
            let record = self.record(f)?;
            let remaining = REPORT_TIME.saturating_sub(now.since(record.changed_at));
            (!remaining.is_zero()).then_some(remaining)
        };
        due(fingerprint).max(due(&fingerprint.any_caller()))
    }

    /// Returns whether the copies of a request must run one at a time.
    #[must_use]
    pub fn needs_trial(&self, fingerprint: &Fingerprint) -> bool {
        let any_caller = self.count(&fingerprint.any_caller());
        self.count(fingerprint).needs_trial() || any_caller.needs_trial()
    }

    /// Returns whether a request may start while its back end runs another one.
    #[must_use]
    pub fn may_run_beside(&self, fingerprint: &Fingerprint, other: &Fingerprint) -> bool {
        if fingerprint.any_caller() == other.any_caller() {
            return !self.needs_trial(fingerprint);
        }
        let both_suspects = self.unresolved(fingerprint).min(self.unresolved(other)) > 0;
        !both_suspects || !(self.is_isolated(fingerprint) || self.is_isolated(other))
    }

    /// Returns whether a request runs beside no other suspect.
    fn is_isolated(&self, fingerprint: &Fingerprint) -> bool {
        self.unresolved(fingerprint) >= ISOLATED_CRASHES || self.needs_trial(fingerprint)
    }

    /// Returns the suspects, blocked ones included.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, Record)> {
        let records = self.records.iter().map(|(f, r)| (*f, *r));
        records.filter(|(_, r)| r.count.unresolved() > 0)
    }

    /// Returns the number of requests that are blocked now; for any caller counts once.
    #[must_use]
    pub fn blocked_count(&self, now: BootInstant) -> usize {
        let is_blocked = |f: &Fingerprint| {
            let record = self.record(f);
            record.is_some_and(|r| r.blocked_for(now).is_some())
        };
        let counts = |f: &&Fingerprint| f.is_any_caller() || !is_blocked(&f.any_caller());
        self.records
            .keys()
            .filter(counts)
            .filter(|f| is_blocked(f))
            .count()
    }

    /// Attributes the exit of a back end to the requests that it interrupted; returns the records
    /// that have changed.
    pub fn on_exit(
        &mut self,
        back_end: BackEndHash,
        interrupted: &[InterruptedRequest],
        now: BootInstant,
    ) -> Vec<(Fingerprint, Record)> {
        let mut changed = Vec::new();
        for request in interrupted {
            let own = (request.fingerprint, request.known.own);
            let any_caller = (request.fingerprint.any_caller(), request.known.any_caller);
            for (fingerprint, known) in [own, any_caller] {
                let count = self.count(&fingerprint).after_crash(back_end, known);
                let record = self.change(fingerprint, count, now);
                changed.extend(record.map(|r| (fingerprint, r)));
            }
        }
        changed
    }

    /// Clears a request that a back end has completed; returns the records that have changed, none
    /// if it was no suspect.
    pub fn on_completion(
        &mut self,
        fingerprint: Fingerprint,
        now: BootInstant,
    ) -> Vec<(Fingerprint, Record)> {
        let mut changed = Vec::new();
        for fingerprint in [fingerprint, fingerprint.any_caller()] {
            let count = self.count(&fingerprint).after_completion();
            let record = self.change(fingerprint, count, now);
            changed.extend(record.map(|r| (fingerprint, r)));
        }
        changed
    }

    /// Adds what another machine or the store knows, the last change of which was `age` ago; returns
    /// the new record, `None` if it was known already.
    pub fn merge(
        &mut self,
        fingerprint: Fingerprint,
        count: CrashCount,
        age: Duration,
        now: BootInstant,
    ) -> Option<Record> {
        let known = self.record(&fingerprint);
        let merged = self.count(&fingerprint).merged(count);
        // A late report of a back end that exited in a known crash changes nothing else.
        let unchanged = known.filter(|k| k.count.is_same_crash(merged));
        let changed_at = unchanged.map_or(now - age, |k| k.changed_at);
        self.change(fingerprint, merged, changed_at)
    }

    /// Drops what has been remembered for long enough.
    pub fn evict_expired(&mut self, now: BootInstant) {
        let expired: Vec<Fingerprint> = self
            .records
            .iter()
            .filter(|(_, r)| r.is_expired(now))
            .map(|(f, _)| *f)
            .collect();
        for fingerprint in expired {
            self.remove(&fingerprint);
        }
    }

    fn count(&self, fingerprint: &Fingerprint) -> CrashCount {
        self.record(fingerprint)
            .map(|r| r.count)
            .unwrap_or_default()
    }

    fn change(
        &mut self,
        fingerprint: Fingerprint,
        count: CrashCount,
        changed_at: BootInstant,
    ) -> Option<Record> {
        if count == self.count(&fingerprint) {
            return None;
        }
        let record = Record { count, changed_at };
        if self.records.insert(fingerprint, record).is_none() {
            *self.targets.entry(fingerprint.target()).or_default() += 1;
            self.make_room();
        }
        Some(record)
    }

    fn make_room(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let rank = |record: &Record| (record.count.unresolved(), record.changed_at);
        let least = self.records.iter().min_by_key(|(_, r)| rank(r));
        if let Some(fingerprint) = least.map(|(f, _)| *f) {
            self.remove(&fingerprint);
        }
    }

    fn remove(&mut self, fingerprint: &Fingerprint) {
        if self.records.remove(fingerprint).is_none() {
            return;
        }
        if let Some(count) = self.targets.get_mut(&fingerprint.target()) {
            *count -= 1;
            if *count == 0 {
                self.targets.remove(&fingerprint.target());
            }
        }
    }
}
