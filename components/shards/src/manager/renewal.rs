//! Renewal of this machine's lease.

use world::instant::BootInstant;

use super::ShardManager;
use super::types::{StoreOp, StoreOutcome, Versioned};
use crate::lease::Lease;

impl ShardManager {
    /// The call that the lease needs now.
    #[must_use]
    pub fn lease_call(&self, now: BootInstant) -> Option<StoreOp<Lease>> {
        if self.incarnation.is_none() && !self.owns_stored_keys() {
            return None;
        }
        let Some(lease) = &self.lease else {
            return Some(StoreOp::Read);
        };
        if lease.value.fenced {
            return Some(StoreOp::Read);
        }
        if now.since(self.renewed) < self.timing.renewal {
            return None;
        }
        Some(StoreOp::Replace(Versioned {
            revision: lease.revision,
            value: lease.value.renewed(),
        }))
    }

    pub(super) fn owns_stored_keys(&self) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|v| v.value.owns(&self.machine))
    }

    /// Takes the outcome of a lease call sent at `sent`; a call that must follow at once is
    /// returned.
    pub fn on_lease(
        &mut self,
        sent: BootInstant,
        call: &StoreOp<Lease>,
        outcome: StoreOutcome<Lease>,
    ) -> Option<StoreOp<Lease>> {
        match (call, outcome) {
            (StoreOp::Read, StoreOutcome::Absent) => {
                Some(StoreOp::Create(Lease::default().next_epoch()))
            }
            (StoreOp::Read, StoreOutcome::Done(found)) => Some(StoreOp::Replace(Versioned {
                revision: found.revision,
                value: found.value.next_epoch(),
            })),
            (StoreOp::Create(wanted), StoreOutcome::Done(stored))
            | (StoreOp::Replace(Versioned { value: wanted, .. }), StoreOutcome::Done(stored)) => {
                self.confirm_lease(sent, stored.revision, *wanted);
                None
            }
            (StoreOp::Replace(wanted), StoreOutcome::Conflict(Some(found))) => {
                self.on_lease_conflict(wanted.value, found)
            }
            (_, StoreOutcome::Conflict(_) | StoreOutcome::Absent) => {
                self.lease = None;
                None
            }
            (_, StoreOutcome::Unknown | StoreOutcome::Refused) => None,
        }
    }

    /// A conflict is harmless if an earlier attempt at the same renewal took effect.
    fn on_lease_conflict(
        &mut self,
        wanted: Lease,
        found: Versioned<Lease>,
    ) -> Option<StoreOp<Lease>> {
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
        Some(StoreOp::Replace(Versioned {
            revision: found.revision,
            value,
        }))
    }

    fn holds_epoch(&self, epoch: u64) -> bool {
        self.lease.as_ref().is_some_and(|l| l.value.epoch == epoch)
    }

    fn confirm_lease(&mut self, sent: BootInstant, revision: u64, value: Lease) {
        let same = self.holds_epoch(value.epoch);
        let until = sent + self.timing.lease;
        self.valid_until = if same {
            self.valid_until.max(until)
        } else {
            until
        };
        self.renewed = sent;
        self.lease = Some(Versioned { revision, value });
    }
}
