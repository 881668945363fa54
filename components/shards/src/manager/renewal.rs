//! Acquires and renews this machine's lease.

use world::instant::BootInstant;

use super::ShardManager;
use super::types::{StoreOp, StoreOutcome, Versioned};
use crate::lease::Lease;
use crate::revision::{Revision, StoreEra};

impl ShardManager {
    /// Returns the operation due on the lease, if any.
    #[must_use]
    pub fn lease_op(&self, now: BootInstant) -> Option<StoreOp<Lease>> {
        if self.incarnation.is_none() && !self.owns_stored_keys() {
            return None;
        }
        let Some(lease) = &self.lease else {
            return Some(StoreOp::Read);
        };
        if lease.value.fenced {
            return Some(StoreOp::Read);
        }
        if now.since(self.last_renewal) < self.timing.renewal_interval {
            return None;
        }
        Some(StoreOp::Replace(Versioned {
            revision: lease.revision,
            value: lease.value.renewed(),
        }))
    }

    pub(super) fn owns_stored_keys(&self) -> bool {
        let assignment = self.assignment.as_ref();
        assignment.is_some_and(|a| a.value.owns(&self.machine))
    }

    /// Records the outcome of an operation on the lease sent at `sent`, in an era of the store.
    ///
    /// Returns the operation that must follow at once, if any.
    pub fn on_lease_outcome(
        &mut self,
        sent: BootInstant,
        era: StoreEra,
        op: &StoreOp<Lease>,
        outcome: StoreOutcome<Lease>,
    ) -> Option<StoreOp<Lease>> {
        if era != self.era() {
            return None;
        }
        match (op, outcome) {
            (StoreOp::Read, StoreOutcome::Absent) => {
                Some(StoreOp::Create(Lease::default().next_epoch()))
            }
            (StoreOp::Read, StoreOutcome::Done(found)) => Some(StoreOp::Replace(Versioned {
                revision: found.revision,
                value: found.value.next_epoch(),
            })),
            (StoreOp::Create(written), StoreOutcome::Done(stored))
            | (StoreOp::Replace(Versioned { value: written, .. }), StoreOutcome::Done(stored)) => {
                self.confirm_lease(sent, stored.revision, *written);
                None
            }
            (StoreOp::Replace(written), StoreOutcome::Conflict(Some(found))) => {
                self.on_lease_conflict(written.value, found)
            }
            (_, StoreOutcome::Conflict(_) | StoreOutcome::Absent) => {
                self.lease = None;
                None
            }
            (_, StoreOutcome::Unreadable(_) | StoreOutcome::Unknown | StoreOutcome::Refused) => {
                None
            }
        }
    }

    /// Continues the epoch if an earlier attempt at the same renewal took effect, else starts a new
    /// one.
    fn on_lease_conflict(
        &mut self,
        written: Lease,
        found: Versioned<Lease>,
    ) -> Option<StoreOp<Lease>> {
        let same_epoch = self.holds_epoch(written.epoch);
        let is_own = same_epoch && !found.value.fenced && found.value.epoch == written.epoch;
        let value = if is_own {
            // It is unknown which attempt took effect, so the end of the lease is not extended
            // here.
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

    fn confirm_lease(&mut self, sent: BootInstant, revision: Revision, value: Lease) {
        let same_epoch = self.holds_epoch(value.epoch);
        let until = sent + self.timing.lease;
        self.valid_until = if same_epoch {
            self.valid_until.max(until)
        } else {
            until
        };
        self.last_renewal = sent;
        self.lease = Some(Versioned { revision, value });
    }
}
