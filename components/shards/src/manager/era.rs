//! Begins an era of the store: its first assignment, and who gets the keys that nobody claims.
//!
//! The store has been restored from a snapshot, so its objects say nothing about who holds keys. All
//! leases of the earlier era have expired once the length of a lease has passed in this one; until then
//! only claims do.

use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

use super::ShardManager;
use super::types::{Versioned, with_drift};
use super::updates::RANK_DELAY;
use crate::assignment::{Assignment, Holder};
use crate::placement::{KeyLoad, distribute};
use crate::revision::StoreEra;
use crate::span::Span;

/// Longest time between the starts of two machines when the whole system starts for the first time.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time for the claims of other machines to arrive before the first assignment of an era is written.
const CLAIM_WAIT: Duration = Duration::from_millis(200);

impl ShardManager {
    /// Marks the process as one that starts with the whole system for the first time: no earlier era
    /// has granted any keys.
    #[must_use]
    pub fn with_first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }

    /// Returns the era of the store in which the machine acts.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.era.unwrap_or(StoreEra::FIRST)
    }

    /// Handles the era that the store has named: begins it, unless it has begun already. From then
    /// on, keys are granted only by an assignment and a lease of that era.
    pub fn on_era(&mut self, now: BootInstant, era: StoreEra) {
        if self.era >= Some(era) {
            return;
        }
        let previous = self.era.replace(era);
        self.era_began_at = now;
        if era == StoreEra::FIRST {
            return;
        }
        self.era_changed = previous.is_some();
        self.carried = self.carry(now);
        self.claims.clear();
        self.takeovers.clear();
        self.lease = None;
        self.valid_until = now;
        self.assignment = None;
        self.assignment_absent = false;
        self.needs_read = true;
        self.unsettled = None;
    }

    /// Returns the keys of the first assignment of the era, all unconfirmed unless this is the first
    /// start of the system; `None` if it is too early.
    pub(super) fn first_assignment(&self, now: BootInstant, own: Holder) -> Option<Assignment> {
        let era = self.era();
        let rank_delay = RANK_DELAY * self.rank();
        if let Some(carried) = &self.carried {
            let due = self.era_began_at + CLAIM_WAIT + rank_delay;
            let mut next = carried.assignment.carried_into(era);
            next.set_holder(&self.machine, own);
            return (now >= due).then_some(next);
        }
        // Machines with claims write before those without.
        let ready_at = self.first_report_at?.max(self.era_began_at);
        if now.since(ready_at) < self.timing.initial_wait + rank_delay {
            return None;
        }
        let mut holders = self.announced_holders();
        holders.insert(self.machine.clone(), own);
        if self.is_unassigned() {
            return Assignment::new_in(era, holders);
        }
        let mut next = Assignment::new(holders.clone())?.carried_into(era);
        next.holders = holders;
        Some(next)
    }

    /// Whether no machine can have been assigned keys before this era: there is none before, or it has
    /// been known since a time at which no machine had waited long enough to assign keys for the first
    /// time.
    fn is_unassigned(&self) -> bool {
        let known_after = self.era_began_at.since(self.started);
        let is_early = known_after + START_SPREAD <= self.timing.initial_wait;
        self.era() == StoreEra::FIRST || (self.first_start && !self.era_changed && is_early)
    }

    /// Assigns the keys that nobody has claimed, once no machine can hold them by a lease of an
    /// earlier era any more: to the owner that is stated if it is there, else to others.
    pub(super) fn confirm_unclaimed(&self, now: BootInstant, next: &mut Assignment) {
        let due = self.era_began_at + with_drift(self.timing.lease) + RANK_DELAY * self.rank();
        if now < due || !self.can_take_over(now) || !self.is_registered(next) {
            return;
        }
        self.confirm_claims(next);
        let recipients = self.warm_recipients_and_self();
        let connected = self.recipients();
        let includes_self = connected.is_empty() || !self.is_evacuated();
        let is_recipient = |m: &MachineName| {
            (includes_self && *m == self.machine) || connected.iter().any(|r| r.machine == *m)
        };
        let unconfirmed: Vec<(MachineName, Span)> = next
            .unconfirmed()
            .map(|r| (r.machine.clone(), r.span))
            .collect();
        let (returning, ownerless): (Vec<_>, Vec<_>) =
            unconfirmed.into_iter().partition(|(m, _)| is_recipient(m));
        let ownerless: Vec<Span> = ownerless.into_iter().map(|(_, span)| span).collect();
        let given = distribute(&ownerless, &KeyLoad::default(), &recipients);
        for (machine, span) in returning {
            next.confirm(&machine, &[span]);
        }
        for (span, machine) in given {
            next.confirm(&machine, &[span]);
        }
    }

    /// Whether an object of the store is of the era in which the machine acts.
    pub(super) fn is_current<T>(&self, stored: &Versioned<T>) -> bool {
        stored.revision.era() == self.era()
    }
}
