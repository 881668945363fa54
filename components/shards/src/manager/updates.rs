//! Computes the next version of the stored assignment.

use std::collections::BTreeMap;
use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

use super::ShardManager;
use super::claims::UnsettledWrites;
use super::types::{StoreOp, StoreOutcome, Versioned};
use crate::assignment::{Assignment, Holder};
use crate::placement::{Recipient, distribute};
use crate::release::ReleasedSpan;
use crate::revision::StoreEra;

/// Ranges of one machine above which they are merged; a reply to a back end has room for about 140.
pub const MAX_OWN_RANGES: usize = 80;
/// Smallest number of ranges that a merge must save.
const MIN_RANGES_SAVED: usize = 20;

/// Extra delay per rank before a machine acts, so that machines do not all write at once.
pub(super) const RANK_DELAY: Duration = Duration::from_millis(700);

impl ShardManager {
    /// Returns the operation due on the assignment, if any.
    #[must_use]
    pub fn assignment_op(&self, now: BootInstant) -> Option<StoreOp<Assignment>> {
        if self.needs_read || (self.assignment.is_none() && !self.assignment_absent) {
            return Some(StoreOp::Read);
        }
        let Some(assignment) = &self.assignment else {
            return self.create_assignment(now).map(StoreOp::Create);
        };
        let mut next = assignment.value.clone();
        self.register(now, &mut next);
        self.claim_own(&mut next);
        self.confirm_unclaimed(now, &mut next);
        self.transfer_released(now, &mut next);
        self.reassign_fenced(now, &mut next);
        self.merge_ranges(now, &mut next);
        if next == assignment.value {
            return None;
        }
        self.register_peers(&mut next);
        self.confirm_claims(&mut next);
        next.merge_neighbours();
        Some(StoreOp::Replace(Versioned {
            revision: assignment.revision,
            value: next,
        }))
    }

    /// Records that an operation on the assignment is sent.
    pub fn on_assignment_sent(&mut self, now: BootInstant, op: &StoreOp<Assignment>) {
        let StoreOp::Replace(written) = op else {
            return;
        };
        let complete = self.releases.iter().filter(|(r, _)| r.is_complete(now));
        let spans = complete.map(|(r, _)| r.span()).collect();
        let earlier = self
            .unsettled
            .as_ref()
            .filter(|u| u.base == written.revision);
        self.unsettled = Some(UnsettledWrites {
            base: written.revision,
            in_flight: spans,
            unknown: earlier.map_or_else(Vec::new, |u| u.unknown.clone()),
        });
    }

    /// Records the outcome of an operation on the assignment sent in an era of the store; returns
    /// whether a newer assignment was found.
    pub fn on_assignment_outcome(
        &mut self,
        era: StoreEra,
        op: &StoreOp<Assignment>,
        outcome: StoreOutcome<Assignment>,
    ) -> bool {
        if era != self.era() {
            self.on_earlier_outcome(op, &outcome);
            return false;
        }
        match outcome {
            StoreOutcome::Done(stored) => {
                self.needs_read = false;
                self.on_assignment(stored)
            }
            StoreOutcome::Conflict(Some(found)) => self.on_assignment(found),
            StoreOutcome::Conflict(None) | StoreOutcome::Unreadable(_) | StoreOutcome::Unknown => {
                self.needs_read = true;
                if let Some(writes) = &mut self.unsettled {
                    writes.unknown.append(&mut writes.in_flight);
                }
                false
            }
            StoreOutcome::Absent => {
                self.needs_read = false;
                self.assignment_absent = matches!(op, StoreOp::Read);
                false
            }
            StoreOutcome::Refused => {
                if let Some(writes) = &mut self.unsettled {
                    writes.in_flight.clear();
                }
                false
            }
        }
    }

    /// Whether this machine has an unfenced lease that has not expired.
    pub(super) fn has_valid_lease(&self, now: BootInstant) -> bool {
        let unfenced = self.lease.as_ref().is_some_and(|l| !l.value.fenced);
        unfenced && now < self.valid_until
    }

    /// Merges this machine's ranges when they are too many for a reply to its back end.
    ///
    /// Neighbours merge only with equal fencing tokens, so all its ranges get one new token.
    fn merge_ranges(&self, now: BootInstant, next: &mut Assignment) {
        let too_many = next.owned(&self.machine).count() > MAX_OWN_RANGES;
        if !too_many
            || !self.has_valid_lease(now)
            || !self.releases.is_empty()
            || !self.is_registered(next)
        {
            return;
        }
        let mut merged = next.clone();
        merged.renew_fence(&self.machine);
        merged.merge_neighbours();
        if merged.ranges.len() + MIN_RANGES_SAVED <= next.ranges.len() {
            *next = merged;
        }
    }

    pub(super) fn own_holder(&self) -> Option<Holder> {
        Some(Holder {
            epoch: self.lease.as_ref()?.value.epoch,
            incarnation: self.incarnation.clone()?,
        })
    }

    /// Rank of this machine by name among the connected machines with a back end, from 0.
    pub(super) fn rank(&self) -> u32 {
        let before = self
            .peers
            .iter()
            .filter(|(m, p)| **m < self.machine && p.connected && p.incarnation.is_some())
            .count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Returns the first assignment of the service in the current era; `None` if it is too early.
    fn create_assignment(&self, now: BootInstant) -> Option<Assignment> {
        // Keys of back ends that all leave are carried into a new era as well.
        let has_keys = self.available_incarnation().is_some() || self.carried.is_some();
        if !self.has_valid_lease(now) || !has_keys {
            return None;
        }
        let mut first = self.first_assignment(now, self.own_holder()?)?;
        self.register_peers(&mut first);
        self.claim_own(&mut first);
        self.confirm_claims(&mut first);
        first.merge_neighbours();
        Some(first)
    }

    /// Returns the entries of the connected machines.
    pub(super) fn announced_holders(&self) -> BTreeMap<MachineName, Holder> {
        let connected = self.peers.iter().filter(|(_, p)| p.connected);
        connected
            .filter_map(|(m, p)| Some((m.clone(), p.holder(self.era())?)))
            .collect()
    }

    /// Sets this machine's holder entry to its current epoch and back end.
    fn register(&self, now: BootInstant, next: &mut Assignment) {
        if !self.has_valid_lease(now) {
            return;
        }
        let stored = next.holders.get(&self.machine).cloned();
        let holder = match (self.own_holder(), &stored) {
            (Some(own), _) if !self.exited => Some(own),
            (_, Some(old)) => self.lease.as_ref().map(|l| Holder {
                epoch: l.value.epoch,
                incarnation: old.incarnation.clone(),
            }),
            _ => None,
        };
        let Some(holder) = holder else { return };
        let unneeded = stored.is_none() && self.available_incarnation().is_none();
        if !unneeded && stored.as_ref() != Some(&holder) {
            next.set_holder(&self.machine, holder);
        }
    }

    /// Registers the connected machines whose epoch or back end the assignment does not have yet.
    ///
    /// After a restart of all, one write then serves every machine that is ready; were each to write
    /// its own entry, all others would run into a conflict with each write. A machine may grant by an
    /// entry that another one wrote: its own earlier writes fail all the same, as the revision has
    /// changed.
    fn register_peers(&self, next: &mut Assignment) {
        for (machine, holder) in self.announced_holders() {
            let stored = next.holders.get(&machine);
            if stored.is_none_or(|s| holder.succeeds(s)) {
                next.set_holder(&machine, holder);
            }
        }
    }

    /// Whether this machine's holder entry has its current epoch, as transfers of its keys require.
    pub(super) fn is_registered(&self, assignment: &Assignment) -> bool {
        let epoch = self.lease.as_ref().map(|l| l.value.epoch);
        let holder = assignment.holders.get(&self.machine);
        holder.is_some_and(|h| Some(h.epoch) == epoch)
    }

    /// Transfers keys whose release is complete.
    fn transfer_released(&self, now: BootInstant, next: &mut Assignment) {
        let stored = self.assignment.as_ref().map(|a| &a.value);
        // `next` may contain a registration that is not stored yet; transfers wait until it is.
        if !self.has_valid_lease(now) || !stored.is_some_and(|a| self.is_registered(a)) {
            return;
        }
        let recipients = self.warm_recipients();
        for (release, preferred) in &self.releases {
            if !release.is_complete(now) {
                continue;
            }
            for released in release.released_spans() {
                self.transfer_span(next, &released, preferred.as_ref(), &recipients);
            }
        }
    }

    /// Transfers a span to its preferred recipient, else back to the local back end or to others.
    ///
    /// A span with a handover record is not split, since the record is for one holder.
    fn transfer_span(
        &self,
        next: &mut Assignment,
        released: &ReleasedSpan,
        preferred: Option<&MachineName>,
        recipients: &[Recipient],
    ) {
        let target = preferred.filter(|p| recipients.iter().any(|r| r.machine == **p));
        if let Some(target) = target {
            next.transfer(&self.machine, released, target);
            return;
        }
        if recipients.is_empty() && self.available_incarnation().is_some() {
            next.transfer(&self.machine, released, &self.machine);
            return;
        }
        if !released.handover.is_empty() {
            let least_busy = recipients
                .iter()
                .min_by(|a, b| a.utilization.total_cmp(&b.utilization));
            if let Some(recipient) = least_busy {
                next.transfer(&self.machine, released, &recipient.machine);
            }
            return;
        }
        for (span, machine) in distribute(&[released.span], &self.load, recipients) {
            let part = ReleasedSpan {
                span,
                handover: String::new(),
            };
            next.transfer(&self.machine, &part, &machine);
        }
    }
}
