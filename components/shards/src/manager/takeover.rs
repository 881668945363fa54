//! Keys of silent machines.

use std::collections::BTreeSet;
use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

use super::table::RANK_DELAY;
use super::types::{StoreOp, StoreOutcome, Versioned, with_drift};
use super::{ShardManager, Takeover};
use crate::assignment::Assignment;
use crate::lease::Lease;
use crate::placement::{KeyLoad, Recipient, divide};
use crate::release::ReleasedSpan;
use crate::span::Span;

impl ShardManager {
    /// Machines that own keys, are not connected and have been silent for long enough.
    fn silent_holders(&self, now: BootInstant) -> BTreeSet<MachineName> {
        let Some(view) = &self.view else {
            return BTreeSet::new();
        };
        let patience = self.timing.suspicion + RANK_DELAY * self.rank();
        let owners = view.value.ranges.iter().map(|r| &r.machine);
        owners
            .filter(|m| **m != self.machine)
            .filter(|m| match self.peers.get(*m) {
                Some(p) => !p.connected && now.since(p.since) >= patience,
                None => now.since(self.started) >= patience + self.timing.renewal,
            })
            .cloned()
            .collect()
    }

    /// Whether this machine may act for others.
    fn can_take_over(&self, now: BootInstant) -> bool {
        self.is_live(now) && self.incarnation().is_some()
    }

    /// The next call that fences a silent holder: its machine and the call on its lease.
    #[must_use]
    pub fn fence_call(&self, now: BootInstant) -> Option<(MachineName, StoreOp<Lease>)> {
        if !self.can_take_over(now) {
            return None;
        }
        self.silent_holders(now)
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
                let holder = self.view.as_ref()?.value.holders.get(machine)?;
                return Some(StoreOp::Create(Lease {
                    epoch: holder.epoch,
                    count: 0,
                    fenced: true,
                }));
            }
            if let Some((lease, _)) = &t.lease {
                return Some(StoreOp::Replace(Versioned {
                    revision: lease.revision,
                    value: lease.value.ended(),
                }));
            }
        }
        let Some((lease, seen)) = self.heard_lease(machine).filter(|_| takeover.is_none()) else {
            return Some(StoreOp::Read);
        };
        if now.since(seen) < self.overdue_after() {
            return None;
        }
        Some(StoreOp::Replace(Versioned {
            revision: lease.revision,
            value: lease.value.ended(),
        }))
    }

    /// Age of a lease at which its holder should have renewed it.
    ///
    /// A holder that is only out of reach has renewed its lease by then, and the conditional write
    /// that fences it fails.
    fn overdue_after(&self) -> Duration {
        self.timing.renewal + self.timing.suspicion
    }

    /// Takes the outcome of a call that [`ShardManager::fence_call`] returned.
    pub fn on_fence(
        &mut self,
        now: BootInstant,
        machine: &MachineName,
        call: &StoreOp<Lease>,
        outcome: StoreOutcome<Lease>,
    ) {
        let lease_span = with_drift(self.timing.lease);
        let overdue_after = self.overdue_after();
        let heard = self.heard_lease(machine);
        let takeover = self.takeovers.entry(machine.clone()).or_insert(Takeover {
            lease: None,
            fenced: None,
            absent: false,
            not_before: now,
        });
        match (call, outcome) {
            (StoreOp::Replace(wanted), StoreOutcome::Done(_)) => {
                // No renewal followed the one that was seen, so the wait counts from there.
                let known = [takeover.lease.clone(), heard];
                let seen = known
                    .into_iter()
                    .flatten()
                    .find(|(lease, _)| lease.revision == wanted.revision)
                    .map_or(now, |(_, at)| at);
                takeover.fenced = Some((wanted.value.epoch, seen + lease_span));
            }
            (StoreOp::Create(made), StoreOutcome::Done(_)) => {
                takeover.fenced = Some((made.epoch, now + lease_span));
            }
            (_, StoreOutcome::Done(found) | StoreOutcome::Conflict(Some(found))) => {
                takeover.absent = false;
                if found.value.fenced {
                    takeover.fenced = Some((found.value.epoch, now + lease_span));
                } else if !matches!(&takeover.lease, Some((known, _)) if *known == found) {
                    takeover.not_before = now + overdue_after;
                    takeover.lease = Some((found, now));
                }
            }
            (_, StoreOutcome::Absent) => {
                takeover.lease = None;
                takeover.absent = true;
            }
            (_, StoreOutcome::Conflict(None) | StoreOutcome::Unknown | StoreOutcome::Refused) => {
                takeover.lease = None;
                takeover.not_before = now + self.timing.renewal / 4;
            }
        }
    }

    fn heard_lease(&self, machine: &MachineName) -> Option<(Versioned<Lease>, BootInstant)> {
        let peer = self.peers.get(machine)?;
        Some((peer.lease.clone()?, peer.lease_seen))
    }

    /// Gives the keys of machines whose fenced lease has run out to those that are live.
    pub(super) fn take_over(&self, now: BootInstant, next: &mut Assignment) {
        if !self.can_take_over(now) {
            return;
        }
        for machine in self.silent_holders(now) {
            let fenced = self.takeovers.get(&machine).and_then(|t| t.fenced);
            let holder = next.holders.get(&machine).map(|h| h.epoch);
            let safe = fenced.is_some_and(|(epoch, at)| now >= at && holder <= Some(epoch));
            if safe {
                self.take_keys_of(&machine, next);
            }
        }
    }

    fn take_keys_of(&self, machine: &MachineName, next: &mut Assignment) {
        let mut takers = self.takers();
        takers.push(Recipient {
            machine: self.machine.clone(),
            busy: 0.0,
        });
        let spans: Vec<Span> = next.owned(machine).map(|r| r.span).collect();
        for (span, taker) in divide(&spans, &KeyLoad::default(), &takers) {
            let piece = ReleasedSpan {
                span,
                handover: String::new(),
            };
            next.transfer(machine, &piece, &taker);
        }
        next.dismiss(machine);
    }

    /// Drops what was learnt of machines that are connected again or own nothing.
    pub fn tidy(&mut self, now: BootInstant) {
        let silent = self.silent_holders(now);
        let holders = self.view.as_ref().map(|v| &v.value.holders);
        self.takeovers.retain(|m, t| {
            let epoch = holders.and_then(|h| h.get(m)).map(|h| h.epoch);
            let outdated = t.fenced.is_some_and(|(fenced, _)| epoch > Some(fenced));
            silent.contains(m) && !outdated
        });
        self.start_leaving(now);
    }
}
