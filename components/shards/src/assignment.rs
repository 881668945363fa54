//! The stored assignment of a service's keys to machines.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use world::name::MachineName;

use crate::incarnation::BackEndIncarnation;
use crate::packed::Packed;
use crate::release::ReleasedSpan;
use crate::span::{ALL, Span};

/// Who holds which keys of one service.
///
/// `ranges` are ordered, do not overlap and cover every key. Each machine that owns a range has an
/// entry in `holders`. `fence` is at least the fence of every range, also of past ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Packed", try_from = "Packed")]
pub struct Assignment {
    /// Highest fence given so far.
    pub fence: u64,
    /// Machines that may own ranges.
    pub holders: BTreeMap<MachineName, Holder>,
    /// The ranges.
    pub ranges: Vec<Range>,
}

/// A machine that may own ranges.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Epoch of the machine's lease under which it may grant.
    pub epoch: u64,
    /// The boot of the back end that the ranges are granted to.
    #[serde(rename = "life")]
    pub incarnation: BackEndIncarnation,
}

/// A run of keys with one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The keys.
    pub span: Span,
    /// Owner.
    pub machine: MachineName,
    /// Fence; rises with each change of owner or of the owner's back end.
    pub fence: u64,
    /// Record of the last holder for the present one, or empty.
    #[serde(default)]
    pub handover: String,
}

/// What one write changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Highest fence after the write.
    pub fence: u64,
    /// Holders that are new or have changed.
    pub holders: BTreeMap<MachineName, Holder>,
    /// Holders that are gone.
    pub dismissed: Vec<MachineName>,
    /// Ranges that are new or have changed.
    pub ranges: Vec<Range>,
}

impl Assignment {
    /// What has to change in `self` to get `next`; both have their neighbours merged.
    #[must_use]
    pub fn change_to(&self, next: &Self) -> Change {
        let changed = |(machine, holder): &(&MachineName, &Holder)| {
            self.holders.get(*machine) != Some(*holder)
        };
        let added = next.holders.iter().filter(changed);
        let gone = self
            .holders
            .keys()
            .filter(|m| !next.holders.contains_key(*m));
        let ranges = next.ranges.iter().filter(|r| !self.ranges.contains(r));
        Change {
            fence: next.fence,
            holders: added.map(|(m, h)| (m.clone(), h.clone())).collect(),
            dismissed: gone.cloned().collect(),
            ranges: ranges.cloned().collect(),
        }
    }

    /// The assignment after a change.
    #[must_use]
    pub fn with_change(&self, change: &Change) -> Self {
        let mut next = self.clone();
        next.fence = change.fence;
        next.holders.extend(change.holders.clone());
        for machine in &change.dismissed {
            next.holders.remove(machine);
        }
        for new in &change.ranges {
            let old = std::mem::take(&mut next.ranges);
            next.ranges = old
                .into_iter()
                .flat_map(|r| {
                    let left: Vec<Span> = r.span.without(new.span).collect();
                    left.into_iter()
                        .map(move |span| Range { span, ..r.clone() })
                })
                .collect();
            next.ranges.push(new.clone());
        }
        next.ranges.sort_by_key(|r| r.span.from);
        next.merge_neighbours();
        next
    }

    /// Divides all keys evenly among `holders`; nothing if there are none.
    #[must_use]
    pub fn new(holders: BTreeMap<MachineName, Holder>) -> Option<Self> {
        let count = u32::try_from(holders.len()).ok().filter(|n| *n > 0)?;
        let bound = |i: u32| ALL.len() * i / count;
        let ranges = holders
            .keys()
            .zip(0u32..)
            .filter_map(|(machine, i)| {
                let from = u16::try_from(bound(i)).ok()?;
                let to = u16::try_from(bound(i + 1) - 1).ok()?;
                Some(Range {
                    span: Span::new(from, to)?,
                    machine: machine.clone(),
                    fence: u64::from(i) + 1,
                    handover: String::new(),
                })
            })
            .collect();
        Some(Self {
            fence: u64::from(count),
            holders,
            ranges,
        })
    }

    /// The range that a key lies in.
    #[must_use]
    pub fn range(&self, key: u16) -> Option<&Range> {
        let index = self.ranges.partition_point(|r| r.span.to < key);
        self.ranges.get(index).filter(|r| r.span.contains(key))
    }

    /// The ranges that a machine owns.
    pub fn owned<'a>(&'a self, machine: &'a MachineName) -> impl Iterator<Item = &'a Range> {
        self.ranges.iter().filter(move |r| r.machine == *machine)
    }

    /// Whether the machine owns a range.
    #[must_use]
    pub fn owns(&self, machine: &MachineName) -> bool {
        self.owned(machine).next().is_some()
    }

    /// Number of keys that a machine owns.
    #[must_use]
    pub fn key_count(&self, machine: &MachineName) -> u32 {
        self.owned(machine).map(|r| r.span.len()).sum()
    }

    /// Whether the invariants hold.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let mut next = 0u32;
        for r in &self.ranges {
            let gapless = u32::from(r.span.from) == next && r.span.from <= r.span.to;
            let owned = self.holders.contains_key(&r.machine);
            if !gapless || !owned || r.fence > self.fence {
                return false;
            }
            next = u32::from(r.span.to) + 1;
        }
        next == ALL.len()
    }

    /// Enters a machine's epoch and back end; ranges of an earlier back end get new fences.
    pub fn enroll(&mut self, machine: &MachineName, holder: Holder) {
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

    /// Gives the ranges of a machine one new fence, so that neighbours can be joined.
    pub fn renew_fence(&mut self, machine: &MachineName) {
        self.fence += 1;
        for r in &mut self.ranges {
            if r.machine == *machine {
                r.fence = self.fence;
                r.handover = String::new();
            }
        }
    }

    /// Gives the keys of `piece` that `from` owns to `to`; returns whether anything changed.
    pub fn transfer(&mut self, from: &MachineName, piece: &ReleasedSpan, to: &MachineName) -> bool {
        if !self.holders.contains_key(to) {
            return false;
        }
        let mut changed = false;
        let fence = self.fence + 1;
        let mut ranges = Vec::with_capacity(self.ranges.len() + 2);
        for r in std::mem::take(&mut self.ranges) {
            let part = r.span.overlap(piece.span).filter(|_| r.machine == *from);
            let Some(part) = part else {
                ranges.push(r);
                continue;
            };
            changed = true;
            self.fence = fence;
            ranges.extend(r.span.without(part).map(|span| Range { span, ..r.clone() }));
            ranges.push(Range {
                span: part,
                machine: to.clone(),
                fence,
                handover: piece.handover.clone(),
            });
        }
        ranges.sort_by_key(|r| r.span.from);
        self.ranges = ranges;
        changed
    }

    /// Removes a machine that owns nothing.
    pub fn dismiss(&mut self, machine: &MachineName) {
        if !self.owns(machine) {
            self.holders.remove(machine);
        }
    }

    /// Joins neighbouring ranges of one owner that carry the same fence and record.
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
