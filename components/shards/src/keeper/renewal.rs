//! Renewal of this machine's lease.

use world::moment::Moment;

use super::Keeper;
use super::types::{Call, Outcome, Stored};
use crate::lease::Lease;

impl Keeper {
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

    pub(super) fn owns_stored_keys(&self) -> bool {
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
}
