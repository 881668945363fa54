//! Takes over the keys of unreachable machines: fences their leases, then reassigns their keys.

use std::collections::BTreeSet;
use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

use super::types::{StoreOp, StoreOutcome, Versioned, with_drift};
use super::updates::RANK_DELAY;
use super::{ShardManager, Takeover};
use crate::assignment::{Assignment, Range};
use crate::lease::Lease;
use crate::placement::{KeyLoad, Recipient, distribute};
use crate::release::ReleasedSpan;
use crate::revision::StoreEra;
use crate::span::Span;

impl ShardManager {
    /// Returns the machines that own keys and have been disconnected beyond the suspicion timeout.
    fn suspected_holders(&self, now: BootInstant) -> BTreeSet<MachineName> {
        let Some(assignment) = &self.assignment else {
            return BTreeSet::new();
        };
        let timeout = self.timing.suspicion_timeout + RANK_DELAY * self.rank();
        let confirmed = |r: &&Range| assignment.value.is_confirmed(r);
        let ranges = assignment.value.ranges.iter().filter(confirmed);
        let owners = ranges.map(|r| &r.machine);
        owners
            .filter(|m| **m != self.machine)
            .filter(|m| match self.peers.get(*m) {
                Some(p) => !p.connected && now.since(p.link_changed_at) >= timeout,
                None => now.since(self.started) >= timeout + self.timing.renewal_interval,
            })
            .cloned()
            .collect()
    }

    /// Whether this machine may take over keys: it has a valid lease and a back end.
    pub(super) fn can_take_over(&self, now: BootInstant) -> bool {
        self.has_valid_lease(now) && self.available_incarnation().is_some()
    }

    /// Returns the next operation that fences a suspected holder: the machine and the operation on
    /// its lease.
    #[must_use]
    pub fn fence_op(&self, now: BootInstant) -> Option<(MachineName, StoreOp<Lease>)> {
        if !self.can_take_over(now) {
            return None;
        }
        self.suspected_holders(now)
            .into_iter()
            .find_map(|machine| Some((machine.clone(), self.fence_step(now, &machine)?)))
    }

    fn fence_step(&self, now: BootInstant, machine: &MachineName) -> Option<StoreOp<Lease>> {
        let takeover = self.takeovers.get(machine);
        if let Some(t) = takeover {
            if t.fenced.is_some() || now < t.not_before {
                return None;
            }
            if t.absent {
                let holder = self.assignment.as_ref()?.value.holders.get(machine)?;
                return Some(StoreOp::Create(Lease {
                    epoch: holder.epoch,
                    count: 0,
                    fenced: true,
                }));
            }
            if let Some((lease, _)) = &t.lease {
                return Some(StoreOp::Replace(Versioned {
                    revision: lease.revision,
                    value: lease.value.to_fenced(),
                }));
            }
        }
        let Some((lease, seen)) = self.announced_lease(machine).filter(|_| takeover.is_none())
        else {
            return Some(StoreOp::Read);
        };
        if now.since(seen) < self.overdue_after() {
            return None;
        }
        Some(StoreOp::Replace(Versioned {
            revision: lease.revision,
            value: lease.value.to_fenced(),
        }))
    }

    /// Age of a lease at which its renewal is overdue.
    ///
    /// A holder that runs but is unreachable has renewed its lease by then, so the conditional
    /// write that would fence it fails.
    fn overdue_after(&self) -> Duration {
        self.timing.renewal_interval + self.timing.suspicion_timeout
    }

    /// Records the outcome of an operation returned by [`ShardManager::fence_op`] and sent in an era
    /// of the store.
    pub fn on_fence_outcome(
        &mut self,
        now: BootInstant,
        era: StoreEra,
        machine: &MachineName,
        op: &StoreOp<Lease>,
        outcome: StoreOutcome<Lease>,
    ) {
        if era != self.era() {
            return;
        }
        let lease_expiry = with_drift(self.timing.lease);
        let overdue_after = self.overdue_after();
        let announced = self.announced_lease(machine);
        let takeover = self.takeovers.entry(machine.clone()).or_insert(Takeover {
            lease: None,
            fenced: None,
            absent: false,
            not_before: now,
        });
        match (op, outcome) {
            (StoreOp::Replace(written), StoreOutcome::Done(_)) => {
                // The revision had not changed since it was first seen, so its expiry counts from
                // then.
                let known = [takeover.lease.clone(), announced];
                let seen = known
                    .into_iter()
                    .flatten()
                    .find(|(lease, _)| lease.revision == written.revision)
                    .map_or(now, |(_, at)| at);
                takeover.fenced = Some((written.value.epoch, seen + lease_expiry));
            }
            (StoreOp::Create(created), StoreOutcome::Done(_)) => {
                takeover.fenced = Some((created.epoch, now + lease_expiry));
            }
            (_, StoreOutcome::Done(found) | StoreOutcome::Conflict(Some(found))) => {
                takeover.absent = false;
                if found.value.fenced {
                    takeover.fenced = Some((found.value.epoch, now + lease_expiry));
                } else if !matches!(&takeover.lease, Some((known, _)) if *known == found) {
                    takeover.not_before = now + overdue_after;
                    takeover.lease = Some((found, now));
                }
            }
            (_, StoreOutcome::Absent) => {
                takeover.lease = None;
                takeover.absent = true;
            }
            (
                _,
                StoreOutcome::Conflict(None)
                | StoreOutcome::Unreadable(_)
                | StoreOutcome::Unknown
                | StoreOutcome::Refused,
            ) => {
                takeover.lease = None;
                takeover.not_before = now + self.timing.renewal_interval / 4;
            }
        }
    }

    fn announced_lease(&self, machine: &MachineName) -> Option<(Versioned<Lease>, BootInstant)> {
        let peer = self.peers.get(machine)?;
        let lease = peer.lease_in(self.era())?;
        Some((lease.clone(), peer.lease_received_at))
    }

    /// Reassigns the keys of suspected machines whose fenced lease has expired.
    pub(super) fn reassign_fenced(&self, now: BootInstant, next: &mut Assignment) {
        if !self.can_take_over(now) {
            return;
        }
        for machine in self.suspected_holders(now) {
            let fenced = self.takeovers.get(&machine).and_then(|t| t.fenced);
            let holder = next.holders.get(&machine).map(|h| h.epoch);
            let safe = fenced.is_some_and(|(epoch, at)| now >= at && holder <= Some(epoch));
            if safe {
                self.reassign_keys(&machine, next);
            }
        }
    }

    fn reassign_keys(&self, machine: &MachineName, next: &mut Assignment) {
        let mut recipients = self.recipients();
        // Otherwise its keys would be without a holder.
        if recipients.is_empty() || !self.is_evacuated() {
            recipients.push(Recipient {
                machine: self.machine.clone(),
                utilization: 0.0,
            });
        }
        let spans: Vec<Span> = next.owned(machine).map(|r| r.span).collect();
        for (span, recipient) in distribute(&spans, &KeyLoad::default(), &recipients) {
            let released = ReleasedSpan {
                span,
                handover: String::new(),
            };
            next.transfer(machine, &released, &recipient);
        }
        next.remove_holder(machine);
    }

    /// Does periodic work: drops takeovers of machines that are no longer suspected or have a new
    /// epoch, and withdraws all keys from a back end that is leaving or gone.
    pub fn on_tick(&mut self, now: BootInstant) {
        let suspected = self.suspected_holders(now);
        let holders = self.assignment.as_ref().map(|a| &a.value.holders);
        self.takeovers.retain(|m, t| {
            let epoch = holders.and_then(|h| h.get(m)).map(|h| h.epoch);
            let outdated = t.fenced.is_some_and(|(fenced, _)| epoch > Some(fenced));
            suspected.contains(m) && !outdated
        });
        self.release_if_leaving(now);
    }
}
