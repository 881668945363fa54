//! The form in which assignments are stored and sent.
//!
//! Machines hold hundreds of ranges together, and each change of the stored object is a write of the
//! whole, so a range takes a few bytes: ranges cover every key in order, so that the last key is
//! enough, and the owner is named by its position among the holders.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use world::name::MachineName;

use crate::assignment::{Assignment, Holder, Range};
use crate::span::Span;

/// Position of the owner, last key, fence and record.
type Row = (u16, u16, u64, String);

/// An assignment with its ranges as rows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Packed {
    fence: u64,
    holders: BTreeMap<MachineName, Holder>,
    ranges: Vec<Row>,
}

/// Why rows are no assignment.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PackedError {
    /// The row names a holder that does not exist.
    #[snafu(display("row {row} names holder {owner}, which does not exist"))]
    NoHolder {
        /// Number of the row.
        row: usize,
        /// Position of the holder.
        owner: u16,
    },
    /// The row does not follow the one before.
    #[snafu(display("row {row} ends at key {to}, which the row before covers"))]
    Disorder {
        /// Number of the row.
        row: usize,
        /// Last key of the row.
        to: u16,
    },
}

impl From<Assignment> for Packed {
    fn from(assignment: Assignment) -> Self {
        let positions: BTreeMap<&MachineName, u16> = assignment.holders.keys().zip(0..).collect();
        // An owner that is no holder gets a position that no holder has, and is refused when read.
        let position = |machine| positions.get(machine).copied().unwrap_or(u16::MAX);
        let ranges = assignment
            .ranges
            .iter()
            .map(|r| (position(&r.machine), r.span.to, r.fence, r.handover.clone()))
            .collect();
        Self {
            fence: assignment.fence,
            ranges,
            holders: assignment.holders,
        }
    }
}

impl TryFrom<Packed> for Assignment {
    type Error = PackedError;

    fn try_from(packed: Packed) -> Result<Self, PackedError> {
        let machines: Vec<MachineName> = packed.holders.keys().cloned().collect();
        let mut ranges = Vec::with_capacity(packed.ranges.len());
        let mut next = Some(0);
        for (row, (owner, to, fence, handover)) in packed.ranges.into_iter().enumerate() {
            let machine = machines.get(usize::from(owner));
            let machine = machine.context(NoHolderSnafu { row, owner })?.clone();
            let span = next.and_then(|from| Span::new(from, to));
            let span = span.context(DisorderSnafu { row, to })?;
            next = to.checked_add(1);
            ranges.push(Range {
                span,
                machine,
                fence,
                handover,
            });
        }
        Ok(Self {
            fence: packed.fence,
            holders: packed.holders,
            ranges,
        })
    }
}
