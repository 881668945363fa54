//! Keys that the machine held alone in the earlier era of the store, and may claim in this one.
//!
//! A machine whose lease of the earlier era is valid holds its keys alone: they leave it only by its own
//! write, or after its lease has expired. So it needs no other machine's word to claim them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use world::instant::BootInstant;
use world::name::MachineName;

use super::ShardManager;
use super::types::{StoreOp, StoreOutcome};
use crate::assignment::{Assignment, Holder};
use crate::revision::{Revision, StoreEra};
use crate::span::{Span, subtract};

/// What a machine knows of its service's keys from the earlier era.
#[derive(Clone, Debug)]
pub(super) struct CarriedKeys {
    /// Newest assignment of the earlier era.
    pub(super) assignment: Assignment,
    /// Keys that the machine held alone and that nobody has been assigned in this era.
    spans: Vec<Span>,
    /// End of the lease under which it held them.
    valid_until: BootInstant,
    /// Handover that was in flight when the earlier era ended; its keys are not among `spans`.
    handover: Option<HandoverInFlight>,
}

/// A write of the earlier era that has no response yet and hands keys over.
#[derive(Clone, Debug)]
struct HandoverInFlight {
    /// Revision that the write replaces.
    base: Revision,
    /// Keys that the machine holds alone if the write has no effect.
    spans: Vec<Span>,
}

/// Writes of the machine that hand keys over to others and whose outcome is not known.
///
/// A write that has not taken effect by the time the assignment has another revision than `base` never
/// does.
#[derive(Clone, Debug)]
pub(super) struct UnsettledWrites {
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
    /// Returns what is known of the keys at the end of an era.
    pub(super) fn carry(&self, now: BootInstant) -> Option<CarriedKeys> {
        let unclaimed = self.unclaimed_spans();
        let earlier = self.carried.as_ref().filter(|c| now < c.valid_until);
        let Some(stored) = &self.assignment else {
            return self.carried.clone().map(|c| CarriedKeys {
                spans: earlier.map(|_| unclaimed).unwrap_or_default(),
                handover: None,
                ..c
            });
        };
        let mut valid_until = self.valid_until;
        let mut spans = Vec::new();
        let mut handover = None;
        if self.has_valid_lease(now) && self.is_registered(&stored.value) {
            handover = self.handover_in_flight();
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
            handover,
        })
    }

    /// Returns the write that hands keys over and has no response yet, with the keys that no earlier
    /// write may have handed over.
    fn handover_in_flight(&self) -> Option<HandoverInFlight> {
        let current = self.assignment.as_ref().map(|a| a.revision);
        let writes = self.unsettled.as_ref()?;
        if Some(writes.base) != current {
            return None;
        }
        let owned = self.owned_spans();
        let in_flight = writes.in_flight.iter();
        let mut spans: Vec<Span> = in_flight
            .flat_map(|s| owned.iter().filter_map(|o| o.overlap(*s)))
            .collect();
        for handed_over in &writes.unknown {
            spans = subtract(&spans, *handed_over);
        }
        Some(HandoverInFlight {
            base: writes.base,
            spans,
        })
    }

    /// Handles the outcome of an operation of an earlier era: if it proves that the handover in flight
    /// at the end of that era has no effect, the machine still holds the keys alone.
    pub(super) fn on_earlier_outcome(
        &mut self,
        op: &StoreOp<Assignment>,
        outcome: &StoreOutcome<Assignment>,
    ) {
        let (StoreOp::Replace(written), Some(carried)) = (op, &mut self.carried) else {
            return;
        };
        let handover = carried.handover.take_if(|h| h.base == written.revision);
        let Some(handover) = handover else { return };
        if outcome.has_no_effect() {
            carried.spans.extend(handover.spans);
            self.drop_assigned_carried();
        }
    }

    /// Returns the keys that a write without a known outcome may have handed over.
    fn unsettled_spans(&self) -> impl Iterator<Item = Span> {
        let current = self.assignment.as_ref().map(|a| a.revision);
        let unsettled = self
            .unsettled
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
        !self.unclaimed_spans().is_empty()
    }

    /// Whether the machine holds the key since the earlier era.
    pub(super) fn carries(&self, key: u16) -> bool {
        let carried = self.carried.iter().flat_map(|c| &c.spans);
        carried.into_iter().any(|s| s.contains(key))
    }

    /// Returns the number of keys that the machine holds since the earlier era and may still claim.
    #[must_use]
    pub fn carried_keys(&self) -> u32 {
        self.unclaimed_spans().iter().map(|s| s.len()).sum()
    }

    /// Returns for how long the machine's lease of the earlier era is still valid.
    #[must_use]
    pub fn carried_lease_left(&self, now: BootInstant) -> Duration {
        let carried = self.carried.as_ref();
        carried.map_or(Duration::ZERO, |c| c.valid_until.since(now))
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

    /// Forgets the carried keys that somebody has been assigned in this era.
    pub(super) fn drop_assigned_carried(&mut self) {
        let unclaimed = self.unclaimed_spans();
        if let Some(carried) = &mut self.carried {
            carried.spans = unclaimed;
        }
    }
}
