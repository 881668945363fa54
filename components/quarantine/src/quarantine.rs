//! Decides whether a request may be sent to a back end, from the crashes attributed to it.
//!
//! Requests that ran when a back end exited are suspects. A suspect that a back end completes is
//! cleared; one that has been in [`MAX_CRASHES`] crashes without that is blocked for a time that
//! doubles with each further crash. From [`ISOLATED_CRASHES`] on it runs beside no other suspect, so
//! that a request which happened to run beside a crash-causing one is not blocked with it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use world::instant::BootInstant;

use crate::crash_count::CrashCount;
use crate::fingerprint::Fingerprint;
use crate::interrupted::InterruptedRequest;

/// Crashes after which a request is blocked.
pub const MAX_CRASHES: u32 = 3;
/// Crashes after which a request runs beside no other suspect.
pub const ISOLATED_CRASHES: u32 = 2;
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

    /// Returns what is known about a request.
    #[must_use]
    pub fn record(&self, fingerprint: &Fingerprint) -> Option<Record> {
        self.records.get(fingerprint).copied()
    }

    /// Returns the number of the last crash attributed to a request; 0 for none.
    #[must_use]
    pub fn crashes(&self, fingerprint: &Fingerprint) -> u32 {
        self.record(fingerprint).map_or(0, |r| r.count.crashes)
    }

    /// Returns the time until a request may be sent again; `None` if it is not blocked.
    #[must_use]
    pub fn blocked_for(&self, fingerprint: &Fingerprint, now: BootInstant) -> Option<Duration> {
        self.record(fingerprint)?.blocked_for(now)
    }

    /// Returns whether a request may start while its back end runs another one.
    #[must_use]
    pub fn may_run_beside(&self, fingerprint: &Fingerprint, other: &Fingerprint) -> bool {
        let unresolved = |f| self.record(f).map_or(0, |r| r.count.unresolved());
        let (own, others) = (unresolved(fingerprint), unresolved(other));
        let isolated = own.max(others) >= ISOLATED_CRASHES;
        fingerprint == other || !isolated || own.min(others) == 0
    }

    /// Returns the suspects, blocked ones included.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, Record)> {
        let records = self.records.iter().map(|(f, r)| (*f, *r));
        records.filter(|(_, r)| r.count.unresolved() > 0)
    }

    /// Returns the number of requests that are blocked now.
    #[must_use]
    pub fn blocked_count(&self, now: BootInstant) -> usize {
        let records = self.records.values();
        records.filter(|r| r.blocked_for(now).is_some()).count()
    }

    /// Attributes the exit of a back end to the requests that it interrupted; returns those whose
    /// record has changed.
    pub fn on_exit(
        &mut self,
        interrupted: &[InterruptedRequest],
        now: BootInstant,
    ) -> Vec<(Fingerprint, Record)> {
        let attribute = |request: &InterruptedRequest| {
            let fingerprint = request.fingerprint;
            let count = self.count(&fingerprint);
            let record = self.change(fingerprint, count.after_crash(request.known_crashes), now)?;
            Some((fingerprint, record))
        };
        interrupted.iter().filter_map(attribute).collect()
    }

    /// Records that a back end has completed a request; returns the new record, `None` if it was no
    /// suspect.
    pub fn on_completion(&mut self, fingerprint: Fingerprint, now: BootInstant) -> Option<Record> {
        let count = self.count(&fingerprint).after_completion();
        self.change(fingerprint, count, now)
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
        let merged = self.count(&fingerprint).merged(count);
        self.change(fingerprint, merged, now - age)
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
