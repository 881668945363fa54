//! The stored assignment of a service's keys to machines, and the changes between two versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use world::name::MachineName;

use crate::incarnation::BackEndIncarnation;
use crate::packed::Packed;
use crate::release::ReleasedSpan;
use crate::revision::StoreEra;
use crate::span::{ALL, Span};

/// Maps every key of one service to the machine that owns it.
///
/// `ranges` are ordered, do not overlap and cover every key. Each machine that owns a range has an
/// entry in `holders`. `fence` is at least the fencing token of every present and past range.
///
/// A range whose token is of an earlier era of the store than `fence` is unconfirmed: it states who
/// owned the keys in that era, as far as the writer knew, and nobody may grant them by it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Packed", try_from = "Packed")]
pub struct Assignment {
    /// Highest fencing token issued so far.
    pub fence: u64,
    /// Machines that may own ranges.
    pub holders: BTreeMap<MachineName, Holder>,
    /// Ranges in key order.
    pub ranges: Vec<Range>,
}

/// A machine that may own ranges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Epoch of the machine's lease under which it may grant.
    pub epoch: u64,
    /// The back-end incarnation that the ranges are granted to.
    #[serde(rename = "life")]
    pub incarnation: BackEndIncarnation,
}

impl Holder {
    /// Returns whether this entry is later than another one of the same machine: neither its epoch
    /// nor its back end is an earlier one, and one of them is later.
    #[must_use]
    pub fn succeeds(&self, other: &Self) -> bool {
        let is_later = (self.epoch, self.incarnation.born) != (other.epoch, other.incarnation.born);
        is_later && self.epoch >= other.epoch && self.incarnation.born >= other.incarnation.born
    }
}

/// A span of keys with one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The keys.
    pub span: Span,
    /// The owner.
    pub machine: MachineName,
    /// Fencing token; rises with each change of owner or of the owner's back-end incarnation.
    pub fence: u64,
    /// Handover record of the previous holder, or empty.
    #[serde(default)]
    pub handover: String,
}

impl Range {
    /// Returns the era of the store in which the owner was assigned.
    fn era(&self) -> StoreEra {
        StoreEra::of_fence(self.fence)
    }
}

/// Difference between two successive versions of an assignment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Highest fencing token after the change.
    pub fence: u64,
    /// New or changed holders.
    pub holders: BTreeMap<MachineName, Holder>,
    /// Removed holders.
    pub removed_holders: Vec<MachineName>,
    /// New or changed ranges.
    pub ranges: Vec<Range>,
}

impl Assignment {
    /// Returns the change from `self` to `next`, both with merged neighbours.
    #[must_use]
    pub fn diff(&self, next: &Self) -> Change {
        let changed = |(machine, holder): &(&MachineName, &Holder)| {
            self.holders.get(*machine) != Some(*holder)
        };
        let added = next.holders.iter().filter(changed);
        let removed = self
            .holders
            .keys()
            .filter(|m| !next.holders.contains_key(*m));
        let ranges = next.ranges.iter().filter(|r| !self.ranges.contains(r));
        Change {
            fence: next.fence,
            holders: added.map(|(m, h)| (m.clone(), h.clone())).collect(),
            removed_holders: removed.cloned().collect(),
            ranges: ranges.cloned().collect(),
        }
    }

    /// Returns the assignment after a change, with merged neighbours.
    #[must_use]
    pub fn with_change(&self, change: &Change) -> Self {
        let mut next = self.clone();
        next.fence = change.fence;
        next.holders.extend(change.holders.clone());
        for machine in &change.removed_holders {
            next.holders.remove(machine);
        }
        for new in &change.ranges {
            next.set_range(new.clone());
        }
        next.merge_neighbours();
        next
    }

    /// Distributes all keys evenly among `holders`, in the first era of the store; `None` if there
    /// are none.
    #[must_use]
    pub fn new(holders: BTreeMap<MachineName, Holder>) -> Option<Self> {
        Self::new_in(StoreEra::FIRST, holders)
    }

    /// Distributes all keys evenly among `holders`; `None` if there are none.
    #[must_use]
    pub fn new_in(era: StoreEra, holders: BTreeMap<MachineName, Holder>) -> Option<Self> {
        let base = era.fence_base();
        let count = u32::try_from(holders.len()).ok().filter(|n| *n > 0)?;
        let first_key = |i: u32| ALL.len() * i / count;
        let ranges = holders
            .keys()
            .zip(0u32..)
            .filter_map(|(machine, i)| {
                let from = u16::try_from(first_key(i)).ok()?;
                let to = u16::try_from(first_key(i + 1) - 1).ok()?;
                Some(Range {
                    span: Span::new(from, to)?,
                    machine: machine.clone(),
                    fence: base + u64::from(i) + 1,
                    handover: String::new(),
                })
            })
            .collect();
        Some(Self {
            fence: base + u64::from(count),
            holders,
            ranges,
        })
    }

    /// Returns the assignment with which a later era begins: every range is unconfirmed, and no
    /// machine has a lease of that era yet.
    #[must_use]
    pub fn carried_into(&self, era: StoreEra) -> Self {
        let mut next = self.clone();
        next.fence = era.fence_base();
        for holder in next.holders.values_mut() {
            holder.epoch = 0;
        }
        for range in &mut next.ranges {
            range.handover = String::new();
        }
        next.merge_neighbours();
        next
    }

    /// Returns the era of the store in which the assignment was written.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        StoreEra::of_fence(self.fence)
    }

    /// Whether a range of this assignment has been assigned in its era.
    #[must_use]
    pub fn is_confirmed(&self, range: &Range) -> bool {
        range.era() == self.era()
    }

    /// Returns the ranges that have not been assigned in the assignment's era.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &Range> {
        self.ranges.iter().filter(|r| !self.is_confirmed(r))
    }

    /// Assigns the unconfirmed keys of `spans` to a holder, under one new fencing token.
    pub fn confirm(&mut self, machine: &MachineName, spans: &[Span]) {
        let found: Vec<Span> = self
            .unconfirmed()
            .flat_map(|r| spans.iter().filter_map(|s| r.span.overlap(*s)))
            .collect();
        if found.is_empty() || !self.holders.contains_key(machine) {
            return;
        }
        self.fence += 1;
        for span in found {
            self.set_range(Range {
                span,
                machine: machine.clone(),
                fence: self.fence,
                handover: String::new(),
            });
        }
    }

    /// Replaces what the assignment says of the keys of `range`.
    fn set_range(&mut self, range: Range) {
        let old = std::mem::take(&mut self.ranges);
        for r in old {
            let rest = r.span.without(range.span);
            let rest = rest.map(|span| Range { span, ..r.clone() });
            self.ranges.extend(rest);
        }
        self.ranges.push(range);
        self.ranges.sort_by_key(|r| r.span.from);
    }

    /// Returns the range that contains a key.
    #[must_use]
    pub fn range(&self, key: u16) -> Option<&Range> {
        let index = self.ranges.partition_point(|r| r.span.to < key);
        self.ranges.get(index).filter(|r| r.span.contains(key))
    }

    /// Returns the ranges that a machine owns or, unconfirmed, owned in an earlier era.
    pub fn stated<'a>(&'a self, machine: &'a MachineName) -> impl Iterator<Item = &'a Range> {
        self.ranges.iter().filter(move |r| r.machine == *machine)
    }

    /// Returns the ranges that a machine owns.
    pub fn owned<'a>(&'a self, machine: &'a MachineName) -> impl Iterator<Item = &'a Range> {
        self.stated(machine).filter(|r| self.is_confirmed(r))
    }

    /// Whether the machine owns a range or, unconfirmed, owned one in an earlier era.
    #[must_use]
    pub fn owns(&self, machine: &MachineName) -> bool {
        self.stated(machine).next().is_some()
    }

    /// Returns the number of keys that a machine owns.
    #[must_use]
    pub fn key_count(&self, machine: &MachineName) -> u32 {
        self.owned(machine).map(|r| r.span.len()).sum()
    }

    /// Whether the ranges cover all keys in order, have known owners and no token above `fence`.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let mut next = 0u32;
        for r in &self.ranges {
            let gapless = u32::from(r.span.from) == next && r.span.from <= r.span.to;
            let has_holder = self.holders.contains_key(&r.machine);
            if !gapless || !has_holder || r.fence > self.fence {
                return false;
            }
            next = u32::from(r.span.to) + 1;
        }
        next == ALL.len()
    }

    /// Sets a machine's epoch and back end; ranges of an earlier incarnation get a new fencing
    /// token.
    pub fn set_holder(&mut self, machine: &MachineName, holder: Holder) {
        let same_incarnation = self
            .holders
            .get(machine)
            .is_some_and(|h| h.incarnation == holder.incarnation);
        self.holders.insert(machine.clone(), holder);
        if same_incarnation {
            return;
        }
        self.renew_fence(machine);
    }

    /// Gives all confirmed ranges of a machine one new fencing token and drops their handover
    /// records, so that neighbours can be merged.
    pub fn renew_fence(&mut self, machine: &MachineName) {
        let era = self.era();
        self.fence += 1;
        for r in &mut self.ranges {
            if r.machine == *machine && r.era() == era {
                r.fence = self.fence;
                r.handover = String::new();
            }
        }
    }

    /// Transfers the keys of `released` that `from` owns to `to`, under a new fencing token.
    ///
    /// Returns whether anything changed; nothing does if `to` is not a holder.
    pub fn transfer(
        &mut self,
        from: &MachineName,
        released: &ReleasedSpan,
        to: &MachineName,
    ) -> bool {
        if !self.holders.contains_key(to) {
            return false;
        }
        let mut changed = false;
        let era = self.era();
        let fence = self.fence + 1;
        let mut ranges = Vec::with_capacity(self.ranges.len() + 2);
        for r in std::mem::take(&mut self.ranges) {
            let is_owned = r.machine == *from && r.era() == era;
            let moved = r.span.overlap(released.span).filter(|_| is_owned);
            let Some(moved) = moved else {
                ranges.push(r);
                continue;
            };
            changed = true;
            self.fence = fence;
            ranges.extend(
                r.span
                    .without(moved)
                    .map(|span| Range { span, ..r.clone() }),
            );
            ranges.push(Range {
                span: moved,
                machine: to.clone(),
                fence,
                handover: released.handover.clone(),
            });
        }
        ranges.sort_by_key(|r| r.span.from);
        self.ranges = ranges;
        changed
    }

    /// Removes a machine from the holders unless it owns keys.
    pub fn remove_holder(&mut self, machine: &MachineName) {
        if !self.owns(machine) {
            self.holders.remove(machine);
        }
    }

    /// Merges neighbouring ranges with equal owner, fencing token and handover record.
    pub fn merge_neighbours(&mut self) {
        let mut merged: Vec<Range> = Vec::with_capacity(self.ranges.len());
        for r in std::mem::take(&mut self.ranges) {
            match merged.last_mut() {
                Some(last)
                    if last.machine == r.machine
                        && last.fence == r.fence
                        && last.handover == r.handover =>
                {
                    last.span.to = r.span.to;
                }
                _ => merged.push(r),
            }
        }
        self.ranges = merged;
    }
}
