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
    /// Life of the daemon that holds the term.
    pub incarnation: Incarnation,
    /// Where that daemon listens for others.
    pub address: SocketAddr,
    /// Drawn anew for each write, so that a write whose answer was lost is recognised.
    pub write_id: u64,
    /// True once the coordinator has given up the term.
    pub resigned: bool,
    /// Machines whose confirmations count beside the store's. Invariant: a confirmation counts
    /// only from a witness of the record as last confirmed and as last written.
    #[serde(default)]
    pub witnesses: Vec<WitnessRef>,
    /// Earlier terms that may still be confirmed by their witnesses.
    #[serde(default)]
    pub open_terms: Vec<OpenTerm>,
}

/// One life of a machine that confirms a coordinator's authority while the store does not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRef {
    /// The machine.
    pub name: MachineName,
    /// Life of its daemon; a later life never confirms.
    pub incarnation: Incarnation,
    /// Where that daemon listens for others.
    pub address: SocketAddr,
}

/// An earlier term that is not known to have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenTerm {
    /// The term.
    pub term: Term,
    /// Its coordinator, as if it were a witness.
    pub coordinator: WitnessRef,
    /// Its witnesses.
    pub witnesses: Vec<WitnessRef>,
}

impl CellRecord {
    /// The coordinator that the record names.
    #[must_use]
    pub fn coordinator_ref(&self) -> CoordinatorRef {
        CoordinatorRef {
            term: self.term,
            name: self.coordinator.clone(),
            address: self.address,
        }
    }

    /// Terms that a successor has to close: those that were open, and this one unless its
    /// coordinator has given it up.
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

    /// Tells whether the record's term belongs to the given life of a daemon.
    #[must_use]
    pub fn is_held_by(&self, name: &MachineName, incarnation: Incarnation) -> bool {
        self.coordinator == *name && self.incarnation == incarnation && !self.resigned
    }

    /// Reads a record.
    ///
    /// # Errors
    /// Returns the parser's message when the bytes are no record.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// The record as bytes for the store.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Number of witnesses, of `listed` ones, whose confirmations stand in for the store's.
#[must_use]
pub fn confirming_quorum(listed: usize) -> usize {
    listed.div_ceil(2)
}

/// Number of witnesses, of `listed` ones, whose promises rule out a confirming quorum.
#[must_use]
pub fn closing_quorum(listed: usize) -> usize {
    listed + 1 - confirming_quorum(listed)
}

/// The instant at which so many of the listed witnesses had given their word that the rest can't
/// confirm any more; `words` has one entry a witness.
#[must_use]
pub fn closing_instant(words: &[Option<BootInstant>]) -> Option<BootInstant> {
    let mut given: Vec<BootInstant> = words.iter().copied().flatten().collect();
    given.sort_unstable();
    let needed = closing_quorum(words.len());
    given.get(needed.checked_sub(1)?).copied()
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
    fn three_witnesses_bear_the_loss_of_one_both_ways() {
        assert_eq!(confirming_quorum(3), 2);
        assert_eq!(closing_quorum(3), 2);
    }
}
