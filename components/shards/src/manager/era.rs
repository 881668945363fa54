//! Begins an era of the store: which keys the machine may claim in it, and who gets the others.
//!
//! The store has come back from an older copy, so its objects say nothing about who holds keys. What
//! does: a machine whose lease of the earlier era is valid holds its keys alone, and all leases of the
//! earlier era have expired once the length of a lease has passed in this one.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use world::instant::BootInstant;
use world::name::MachineName;

use super::ShardManager;
use super::types::{Versioned, with_drift};
use super::updates::RANK_DELAY;
use crate::assignment::{Assignment, Holder};
use crate::placement::{KeyLoad, Recipient, distribute};
use crate::revision::{Revision, StoreEra};
use crate::span::{Span, subtract};

/// Longest time between the starts of two machines when the whole system starts for the first time.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time for the claims of other machines to arrive before the first assignment of an era is written.
const CLAIM_WAIT: Duration = Duration::from_millis(200);

/// What a machine knows of its service's keys from the earlier era.
#[derive(Clone, Debug)]
pub(super) struct CarriedKeys {
    /// Newest assignment of the earlier era.
    assignment: Assignment,
    /// Keys that the machine held alone and that nobody has been assigned in this era.
    spans: Vec<Span>,
    /// End of the lease under which it held them.
    valid_until: BootInstant,
}

/// Keys that writes of the machine hand over to others. A write that has not taken effect by the
/// time the assignment has another revision than `base` never does.
#[derive(Clone, Debug)]
pub(super) struct Handover {
    /// Revision that the writes replace.
    pub(super) base: Revision,
    /// Keys handed over by the write that has no response yet.
    pub(super) in_flight: Vec<Span>,
    /// Keys handed over by writes whose outcome will not be known.
    pub(super) unknown: Vec<Span>,
}

/// Keys that a machine holds alone since the earlier era, as it tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The machine's entry in the assignment of the era.
    pub holder: Holder,
    /// The keys.
    pub spans: Vec<Span>,
}

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
        self.handover = None;
    }

    /// Returns what is known of the keys at the end of an era.
    fn carry(&self, now: BootInstant) -> Option<CarriedKeys> {
        let unclaimed = self.unclaimed_spans();
        let earlier = self.carried.as_ref().filter(|c| now < c.valid_until);
        let Some(stored) = &self.assignment else {
            return self.carried.clone().map(|c| CarriedKeys {
                spans: earlier.map(|_| unclaimed).unwrap_or_default(),
                ..c
            });
        };
        let mut valid_until = self.valid_until;
        let mut spans = Vec::new();
        if self.has_valid_lease(now) && self.is_registered(&stored.value) {
            spans = self.owned_spans();
            for handed_over in self.unsettled_spans() {
                spans = subtract(&spans, handed_over);
            }
        }
        if let Some(earlier) = earlier.filter(|_| !unclaimed.is_empty()) {
            spans.extend(unclaimed);
            valid_until = valid_until.min(earlier.valid_until);
        }
        Some(CarriedKeys {
            assignment: stored.value.clone(),
            spans,
            valid_until,
        })
    }

    /// Returns the keys that a write without a known outcome may have handed over.
    fn unsettled_spans(&self) -> impl Iterator<Item = Span> {
        let current = self.assignment.as_ref().map(|a| a.revision);
        let unsettled = self
            .handover
            .iter()
            .filter(move |h| Some(h.base) == current);
        unsettled.flat_map(|h| h.in_flight.iter().chain(&h.unknown).copied())
    }

    /// Returns the keys that the machine may claim and that nobody has been assigned yet.
    fn unclaimed_spans(&self) -> Vec<Span> {
        let Some(carried) = &self.carried else {
            return Vec::new();
        };
        let Some(stored) = &self.assignment else {
            return carried.spans.clone();
        };
        let unconfirmed = stored.value.unconfirmed();
        unconfirmed
            .flat_map(|r| carried.spans.iter().filter_map(|s| s.overlap(r.span)))
            .collect()
    }

    /// Whether the machine holds keys since the earlier era that it has not been assigned in this one.
    pub(super) fn has_unclaimed_keys(&self) -> bool {
        self.carried.is_some() && !self.unclaimed_spans().is_empty()
    }

    /// Whether the machine holds the key since the earlier era.
    pub(super) fn carries(&self, key: u16) -> bool {
        let carried = self.carried.iter().flat_map(|c| &c.spans);
        carried.into_iter().any(|s| s.contains(key))
    }

    /// Returns the claim to send to the other machines of the service, if there is one.
    #[must_use]
    pub fn key_claim(&self, now: BootInstant) -> Option<KeyClaim> {
        if self.exited || !self.has_unclaimed_keys() || !self.has_valid_lease(now) {
            return None;
        }
        Some(KeyClaim {
            holder: self.own_holder()?,
            spans: self.unclaimed_spans(),
        })
    }

    /// Records the claim of another machine; it is part of this machine's next write.
    pub fn on_claim(&mut self, machine: MachineName, era: StoreEra, claim: KeyClaim) {
        if era == self.era() && machine != self.machine {
            self.claims.insert(machine, claim);
        }
    }

    /// Assigns the keys that this machine holds since the earlier era to it, once it is registered.
    pub(super) fn claim_own(&self, next: &mut Assignment) {
        if let Some(carried) = self.carried.as_ref().filter(|_| self.is_registered(next)) {
            next.confirm(&self.machine, &carried.spans);
        }
    }

    /// Assigns the keys that connected machines claim to them.
    pub(super) fn confirm_claims(&self, next: &mut Assignment) {
        let is_connected = |m: &MachineName| self.peers.get(m).is_some_and(|p| p.connected);
        for (machine, claim) in self.claims.iter().filter(|(m, _)| is_connected(m)) {
            let stored = next.holders.get(machine);
            if stored.is_none_or(|s| claim.holder.succeeds(s)) {
                next.set_holder(machine, claim.holder.clone());
            }
            next.confirm(machine, &claim.spans);
        }
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
        let mut recipients = self.recipients();
        recipients.push(Recipient {
            machine: self.machine.clone(),
            utilization: 0.0,
        });
        let is_recipient = |m: &MachineName| recipients.iter().any(|r| r.machine == *m);
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

    /// Forgets the carried keys that somebody has been assigned in this era.
    pub(super) fn drop_assigned_carried(&mut self) {
        let unclaimed = self.unclaimed_spans();
        if let Some(carried) = &mut self.carried {
            carried.spans = unclaimed;
        }
    }

    /// Whether an object of the store is of the era in which the machine acts.
    pub(super) fn is_current<T>(&self, stored: &Versioned<T>) -> bool {
        stored.revision.era() == self.era()
    }
}
