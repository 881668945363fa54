//! Writes of the assignment.

use std::collections::BTreeMap;
use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

use super::ShardManager;
use super::types::{StoreOp, StoreOutcome, Versioned};
use crate::assignment::{Assignment, Holder};
use crate::placement::{Recipient, divide};
use crate::release::ReleasedSpan;

/// Ranges of one machine above which they are joined; an answer to a back end holds about 180.
const MAX_OWN_RANGES: usize = 100;
/// Number of ranges by which joining must shorten the list.
const LEAST_JOINED: usize = 20;

/// Time that each lower-ranked machine waits longer before it acts for a silent one.
pub(super) const RANK_DELAY: Duration = Duration::from_millis(700);

impl ShardManager {
    /// The call that the assignment needs now.
    #[must_use]
    pub fn view_call(&self, now: BootInstant) -> Option<StoreOp<Assignment>> {
        if self.refresh || (self.view.is_none() && !self.absent) {
            return Some(StoreOp::Read);
        }
        let Some(view) = &self.view else {
            return self.first_assignment(now).map(StoreOp::Create);
        };
        let mut next = view.value.clone();
        self.enroll(now, &mut next);
        self.transfer_released(now, &mut next);
        self.take_over(now, &mut next);
        self.join_ranges(now, &mut next);
        if next == view.value {
            return None;
        }
        next.merge_neighbours();
        Some(StoreOp::Replace(Versioned {
            revision: view.revision,
            value: next,
        }))
    }

    /// Takes the outcome of an assignment call; returns whether the view changed.
    pub fn on_view_outcome(
        &mut self,
        call: &StoreOp<Assignment>,
        outcome: StoreOutcome<Assignment>,
    ) -> bool {
        match outcome {
            StoreOutcome::Done(stored) => {
                self.refresh = false;
                self.on_view(stored)
            }
            StoreOutcome::Conflict(Some(found)) => self.on_view(found),
            StoreOutcome::Conflict(None) | StoreOutcome::Unknown => {
                self.refresh = true;
                false
            }
            StoreOutcome::Absent => {
                self.refresh = false;
                self.absent = matches!(call, StoreOp::Read);
                false
            }
            StoreOutcome::Refused => false,
        }
    }

    pub(super) fn is_live(&self, now: BootInstant) -> bool {
        let unfenced = self.lease.as_ref().is_some_and(|l| !l.value.fenced);
        unfenced && now < self.valid_until
    }

    /// Joins this machine's ranges when they are too many for an answer to its back end.
    fn join_ranges(&self, now: BootInstant, next: &mut Assignment) {
        let many = next.owned(&self.machine).count() > MAX_OWN_RANGES;
        if !many || !self.is_live(now) || !self.releases.is_empty() || !self.is_enrolled(next) {
            return;
        }
        let mut joined = next.clone();
        joined.renew_fence(&self.machine);
        joined.merge_neighbours();
        if joined.ranges.len() + LEAST_JOINED <= next.ranges.len() {
            *next = joined;
        }
    }

    fn own_holder(&self) -> Option<Holder> {
        Some(Holder {
            epoch: self.lease.as_ref()?.value.epoch,
            incarnation: self.incarnation.clone()?,
        })
    }

    /// Position of this machine among those that can act, in the order of their names.
    pub(super) fn rank(&self) -> u32 {
        let before = self
            .peers
            .iter()
            .filter(|(m, p)| **m < self.machine && p.connected && p.incarnation.is_some())
            .count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    fn first_assignment(&self, now: BootInstant) -> Option<Assignment> {
        let met = self.met?;
        let wait = self.timing.gathering + RANK_DELAY * self.rank();
        if !self.is_live(now) || self.incarnation().is_none() || now.since(met) < wait {
            return None;
        }
        let mut holders: BTreeMap<MachineName, Holder> = self
            .peers
            .iter()
            .filter(|(_, p)| p.connected)
            .filter_map(|(m, p)| {
                let holder = Holder {
                    epoch: p.lease.as_ref()?.value.epoch,
                    incarnation: p.incarnation.clone()?,
                };
                Some((m.clone(), holder))
            })
            .collect();
        holders.insert(self.machine.clone(), self.own_holder()?);
        Assignment::new(holders)
    }

    fn enroll(&self, now: BootInstant, next: &mut Assignment) {
        if !self.is_live(now) {
            return;
        }
        let stored = next.holders.get(&self.machine).cloned();
        let wanted = match (self.own_holder(), &stored) {
            (Some(own), _) if !self.dead => Some(own),
            (_, Some(old)) => self.lease.as_ref().map(|l| Holder {
                epoch: l.value.epoch,
                incarnation: old.incarnation.clone(),
            }),
            _ => None,
        };
        let Some(wanted) = wanted else { return };
        let useless = stored.is_none() && self.incarnation().is_none();
        if !useless && stored.as_ref() != Some(&wanted) {
            next.enroll(&self.machine, wanted);
        }
    }

    /// Whether the stored holder entry carries the present epoch, so that writes may follow it.
    fn is_enrolled(&self, assignment: &Assignment) -> bool {
        let epoch = self.lease.as_ref().map(|l| l.value.epoch);
        let holder = assignment.holders.get(&self.machine);
        holder.is_some_and(|h| Some(h.epoch) == epoch)
    }

    fn transfer_released(&self, now: BootInstant, next: &mut Assignment) {
        let known = self.view.as_ref().map(|v| &v.value);
        if !self.is_live(now) || !known.is_some_and(|v| self.is_enrolled(v)) {
            return;
        }
        let takers = self.takers();
        for (release, wanted) in &self.releases {
            if !release.is_done(now) {
                continue;
            }
            for piece in release.pieces() {
                self.transfer_piece(next, &piece, wanted.as_ref(), &takers);
            }
        }
    }

    fn transfer_piece(
        &self,
        next: &mut Assignment,
        piece: &ReleasedSpan,
        wanted: Option<&MachineName>,
        takers: &[Recipient],
    ) {
        let target = wanted.filter(|w| takers.iter().any(|t| t.machine == **w));
        if let Some(target) = target {
            next.transfer(&self.machine, piece, target);
            return;
        }
        if takers.is_empty() && self.incarnation().is_some() {
            next.transfer(&self.machine, piece, &self.machine);
            return;
        }
        if !piece.handover.is_empty() {
            let idlest = takers.iter().min_by(|a, b| a.busy.total_cmp(&b.busy));
            if let Some(t) = idlest {
                next.transfer(&self.machine, piece, &t.machine);
            }
            return;
        }
        for (span, machine) in divide(&[piece.span], &self.load, takers) {
            let part = ReleasedSpan {
                span,
                handover: String::new(),
            };
            next.transfer(&self.machine, &part, &machine);
        }
    }
}
