//! Compact encoding in which assignments are stored and sent.
//!
//! An assignment has hundreds of ranges, and each change rewrites the whole stored object, so each
//! range takes only a few bytes: ranges cover every key in order, so the last key suffices, and the
//! owner is an index into the sorted holders.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use world::name::MachineName;

use crate::assignment::{Assignment, Holder, Range};
use crate::span::Span;

/// Index of the owner, last key, fencing token and handover record.
type PackedRange = (u16, u16, u64, String);

/// Encoded form of an [`Assignment`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Packed {
    fence: u64,
    holders: BTreeMap<MachineName, Holder>,
    ranges: Vec<PackedRange>,
}

/// Why an encoded assignment is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PackedError {
    /// The row refers to a holder that does not exist.
    #[snafu(display("row {row} names holder {owner}, which does not exist"))]
    UnknownHolder {
        /// Index of the row.
        row: usize,
        /// Index of the holder.
        owner: u16,
    },
    /// The row does not end above the previous row.
    #[snafu(display("row {row} ends at key {to}, which the row before covers"))]
    OutOfOrder {
        /// Index of the row.
        row: usize,
        /// Last key of the row.
        to: u16,
    },
}

impl From<Assignment> for Packed {
    fn from(assignment: Assignment) -> Self {
        let indices: BTreeMap<&MachineName, u16> = assignment.holders.keys().zip(0..).collect();
        // An owner that is not a holder gets an index that no holder has, and is rejected on
        // decoding.
        let index = |machine| indices.get(machine).copied().unwrap_or(u16::MAX);
        let ranges = assignment
            .ranges
            .iter()
            .map(|r| (index(&r.machine), r.span.to, r.fence, r.handover.clone()))
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
            let machine = machine.context(UnknownHolderSnafu { row, owner })?.clone();
            let span = next.and_then(|from| Span::new(from, to));
            let span = span.context(OutOfOrderSnafu { row, to })?;
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
