//! Closing earlier terms before a new one grants.

use std::net::SocketAddr;

use world::instant::BootInstant;
use world::key::Term;
use world::name::MachineName;

use crate::coordinator::WITNESSES;
use crate::record::{self, OpenTerm};
use crate::timing::Timing;

/// One machine that is asked to close a term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Term to close, the acting one that may have followed included.
    pub term: Term,
    /// The machine.
    pub name: MachineName,
    /// Where its daemon listens for others.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Predecessor {
    term: OpenTerm,
    /// Instants at which the witnesses' promises were received, in the order of the witnesses.
    promises: Vec<Option<BootInstant>>,
    /// Instant since which the term is known to be confirmed no more.
    ended: Option<BootInstant>,
}

/// Collects the promises that end all earlier terms.
///
/// A term, with the acting term that may have followed it, has ended when so many of its witnesses
/// have promised not to confirm it again that the rest are no quorum. The word of its coordinator
/// is enough when no witness can act on a pledge: with less than [`WITNESSES`] none is given.
/// Authority that was confirmed before a promise was given lasts at the most one authority period
/// after that promise is received.
#[derive(Clone, Debug)]
pub struct Closing {
    timing: Timing,
    /// Since when no write of an earlier term can be confirmed by the store.
    store_ended: BootInstant,
    predecessors: Vec<Predecessor>,
}

impl Closing {
    /// Starts to close `terms`, of which the store has confirmed nothing since `store_ended`.
    #[must_use]
    pub fn new(timing: Timing, terms: Vec<OpenTerm>, store_ended: BootInstant) -> Self {
        let predecessors = terms.into_iter().map(|term| {
            let promises = vec![None; term.witnesses.len()];
            let ended = promises.is_empty().then_some(store_ended);
            Predecessor {
                term,
                promises,
                ended,
            }
        });
        Self {
            timing,
            store_ended,
            predecessors: predecessors.collect(),
        }
    }

    /// Machines that still have to be asked.
    #[must_use]
    pub fn requests(&self) -> Vec<Request> {
        let mut requests = Vec::new();
        for predecessor in self.predecessors.iter().filter(|p| p.ended.is_none()) {
            let OpenTerm {
                term,
                coordinator,
                witnesses,
            } = &predecessor.term;
            let silent = witnesses.iter().zip(&predecessor.promises);
            let silent = silent
                .filter(|(_, promise)| promise.is_none())
                .map(|(w, _)| w);
            for machine in silent.chain([coordinator]) {
                let (name, address) = (machine.name.clone(), machine.address);
                requests.push(Request {
                    term: term.acting(),
                    name,
                    address,
                });
            }
        }
        requests
    }

    /// Notes at `now` that a machine, in its present life, has closed `term` and all earlier ones.
    /// With `unpledged` this life held the term itself, and no witness can act on a pledge of it;
    /// that says nothing of earlier terms.
    pub fn on_closed(&mut self, now: BootInstant, name: &MachineName, term: Term, unpledged: bool) {
        for predecessor in &mut self.predecessors {
            if predecessor.ended.is_some() || predecessor.term.term.acting() > term {
                continue;
            }
            let alone = predecessor.term.witnesses.len() < WITNESSES;
            let word = unpledged && predecessor.term.term.acting() == term;
            if predecessor.term.coordinator.name == *name && (word || alone) {
                predecessor.ended = Some(now);
            }
            for (witness, promise) in predecessor
                .term
                .witnesses
                .iter()
                .zip(&mut predecessor.promises)
            {
                if witness.name == *name && promise.is_none() {
                    *promise = Some(now);
                }
            }
            if predecessor.ended.is_none() {
                predecessor.ended = record::closing_instant(&predecessor.promises);
            }
        }
    }

    /// The instant from which the new term may grant, once all earlier ones have ended.
    #[must_use]
    pub fn grants_from(&self) -> Option<BootInstant> {
        let absence = self
            .timing
            .outlast(self.timing.store_absence + self.timing.authority);
        let mut latest = self.store_ended;
        for predecessor in &self.predecessors {
            match predecessor.ended {
                Some(ended) => latest = latest.max(ended),
                None => return Some(self.store_ended + absence),
            }
        }
        Some(latest + self.timing.outlast(self.timing.authority))
    }

    /// Tells whether every earlier term has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.predecessors.iter().all(|p| p.ended.is_some())
    }
}

#[cfg(test)]
mod tests {
    use world::machine::Incarnation;

    use super::*;
    use crate::record::WitnessRef;

    fn machine(name: &str) -> WitnessRef {
        WitnessRef {
            name: MachineName::new(name),
            incarnation: Incarnation(1),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
        }
    }

    fn closing() -> Closing {
        let term = OpenTerm {
            term: Term(4),
            coordinator: machine("c"),
            witnesses: vec![machine("w1"), machine("w2"), machine("w3")],
        };
        Closing::new(
            Timing::default(),
            vec![term],
            BootInstant::from_millis(1_000),
        )
    }

    fn at(millis: u64) -> BootInstant {
        BootInstant::from_millis(millis)
    }

    #[test]
    fn waits_for_two_of_three_witnesses() {
        let mut closing = closing();
        closing.on_closed(at(1_100), &MachineName::new("w1"), Term(5), true);
        assert!(!closing.is_done());
        assert_eq!(closing.requests().len(), 3);
        closing.on_closed(at(1_200), &MachineName::new("w2"), Term(5), true);
        assert!(closing.is_done());
        let timing = Timing::default();
        assert_eq!(
            closing.grants_from(),
            Some(at(1_200) + timing.outlast(timing.authority))
        );
    }

    #[test]
    fn the_coordinator_itself_is_enough() {
        let mut closing = closing();
        closing.on_closed(at(1_100), &MachineName::new("c"), Term(5), true);
        assert!(closing.is_done());
        assert!(closing.requests().is_empty());
    }

    #[test]
    fn a_coordinator_that_gave_a_pledge_is_not_enough() {
        let mut closing = closing();
        closing.on_closed(at(1_100), &MachineName::new("c"), Term(5), false);
        assert!(!closing.is_done());
    }

    #[test]
    fn a_coordinators_word_about_a_later_term_does_not_end_an_earlier_one() {
        let mut closing = closing();
        closing.on_closed(at(1_100), &MachineName::new("c"), Term(7), true);
        assert!(!closing.is_done());
    }

    #[test]
    fn a_promise_about_an_older_term_does_not_count() {
        let mut closing = closing();
        closing.on_closed(at(1_100), &MachineName::new("c"), Term(3), true);
        assert!(!closing.is_done());
    }

    #[test]
    fn unreachable_witnesses_are_waited_for_during_the_longest_store_absence() {
        let closing = closing();
        let timing = Timing::default();
        let until = at(1_000) + timing.outlast(timing.store_absence + timing.authority);
        assert_eq!(closing.grants_from(), Some(until));
    }
}
