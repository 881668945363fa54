//! The cell's record in the object store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use world::instant::BootInstant;
use world::key::Term;
use world::machine::Incarnation;
use world::name::{CellName, MachineName};

use crate::heartbeat::CoordinatorRef;

/// The record that decides who coordinates a cell. It changes only by conditional update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRecord {
    /// The cell.
    pub cell: CellName,
    /// Current term; it only rises.
    pub term: Term,
    /// Machine that holds the term.
    pub coordinator: MachineName,
    /// Incarnation of the daemon that holds the term.
    pub incarnation: Incarnation,
    /// Where that daemon listens for others.
    pub address: SocketAddr,
    /// Random number of the write, to recognise a write whose response was lost.
    pub write_id: u64,
    /// True once the coordinator has given up the term.
    pub resigned: bool,
    /// Machines that may confirm the term instead of the store. Invariant: a confirmation counts
    /// only from a witness of the record as last confirmed and as last written.
    #[serde(default)]
    pub witnesses: Vec<WitnessRef>,
    /// Earlier terms that may still be confirmed by their witnesses.
    #[serde(default)]
    pub open_terms: Vec<OpenTerm>,
}

/// One incarnation of a machine that confirms a coordinator's authority instead of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRef {
    /// The machine.
    pub name: MachineName,
    /// Incarnation of its daemon; a later one never confirms.
    pub incarnation: Incarnation,
    /// Where that daemon listens for others.
    pub address: SocketAddr,
}

/// An earlier term that is not known to have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenTerm {
    /// The term.
    pub term: Term,
    /// Its coordinator.
    pub coordinator: WitnessRef,
    /// Its witnesses.
    pub witnesses: Vec<WitnessRef>,
}

impl CellRecord {
    /// Returns the coordinator that the record names.
    #[must_use]
    pub fn coordinator_ref(&self) -> CoordinatorRef {
        CoordinatorRef {
            term: self.term,
            name: self.coordinator.clone(),
            address: self.address,
        }
    }

    /// Returns the terms that a successor has to close: the open ones, and this one unless its
    /// coordinator has resigned.
    #[must_use]
    pub fn terms_to_close(&self) -> Vec<OpenTerm> {
        let mut open = self.open_terms.clone();
        if !self.resigned {
            let coordinator = WitnessRef {
                name: self.coordinator.clone(),
                incarnation: self.incarnation,
                address: self.address,
            };
            let witnesses = self.witnesses.clone();
            open.push(OpenTerm {
                term: self.term,
                coordinator,
                witnesses,
            });
        }
        open
    }

    /// Returns whether the given incarnation of a daemon holds the record's term.
    #[must_use]
    pub fn is_held_by(&self, name: &MachineName, incarnation: Incarnation) -> bool {
        self.coordinator == *name && self.incarnation == incarnation && !self.resigned
    }

    /// Parses a record.
    ///
    /// # Errors
    /// Fails when the bytes are not the JSON of a record.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Returns the record as JSON for the store.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns how many of `listed` witnesses must confirm a term to replace the store's confirmation.
#[must_use]
pub fn confirming_quorum(listed: usize) -> usize {
    listed.div_ceil(2)
}

/// Returns how many of `listed` witnesses must promise not to confirm a term, so that no confirming
/// quorum is left.
#[must_use]
pub fn closing_quorum(listed: usize) -> usize {
    listed + 1 - confirming_quorum(listed)
}

/// Returns the instant at which a closing quorum had promised; `None` while there is none.
/// `promised_at` has one entry a witness.
#[must_use]
pub fn closing_instant(promised_at: &[Option<BootInstant>]) -> Option<BootInstant> {
    let mut promises: Vec<BootInstant> = promised_at.iter().copied().flatten().collect();
    promises.sort_unstable();
    let needed = closing_quorum(promised_at.len());
    promises.get(needed.checked_sub(1)?).copied()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_closing_quorum_leaves_no_confirming_quorum() {
        for listed in 1..8 {
            let left = listed - closing_quorum(listed);
            assert!(left < confirming_quorum(listed), "{listed} witnesses");
        }
    }

    #[test]
    fn two_of_three_witnesses_confirm_and_close() {
        assert_eq!(confirming_quorum(3), 2);
        assert_eq!(closing_quorum(3), 2);
    }
}
