//! Collects proof that all earlier terms have ended before a new one grants.

use std::net::SocketAddr;

use world::instant::BootInstant;
use world::key::Term;
use world::name::MachineName;

use crate::coordinator::WITNESSES;
use crate::record::{self, OpenTerm};
use crate::timing::Timing;

/// Request to one machine to close a term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Term to close: the acting one, so that it and the stored one before it are closed.
    pub term: Term,
    /// The machine.
    pub name: MachineName,
    /// Where its daemon listens for others.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Predecessor {
    term: OpenTerm,
    /// Instants at which the witnesses' promises were received, by position of the witness.
    promised_at: Vec<Option<BootInstant>>,
    /// Instant from which the term can't be confirmed any more; `None` while it may be.
    ended_at: Option<BootInstant>,
}

/// Collects the promises that end all earlier terms.
///
/// A term, with the acting term that may have followed it, has ended when enough of its witnesses
/// have promised not to confirm it again that the rest form no quorum. The promise of its
/// coordinator suffices when no witness can act on a pledge, which needs [`WITNESSES`] witnesses.
/// Authority that was confirmed before a promise was given lasts at the most one authority period
/// after that promise is received.
#[derive(Clone, Debug)]
pub struct Closing {
    timing: Timing,
    /// Instant since which the store can confirm no write of an earlier term.
    no_writes_since: BootInstant,
    predecessors: Vec<Predecessor>,
}

impl Closing {
    /// Starts to close `terms`, none of which the store has confirmed since `no_writes_since`.
    #[must_use]
    pub fn new(timing: Timing, terms: Vec<OpenTerm>, no_writes_since: BootInstant) -> Self {
        let predecessors = terms.into_iter().map(|term| {
            let promised_at = vec![None; term.witnesses.len()];
            let ended_at = promised_at.is_empty().then_some(no_writes_since);
            Predecessor {
                term,
                promised_at,
                ended_at,
            }
        });
        Self {
            timing,
            no_writes_since,
            predecessors: predecessors.collect(),
        }
    }

    /// Returns the requests to machines whose promise is missing.
    #[must_use]
    pub fn requests(&self) -> Vec<Request> {
        let mut requests = Vec::new();
        for predecessor in self.predecessors.iter().filter(|p| p.ended_at.is_none()) {
            let OpenTerm {
                term,
                coordinator,
                witnesses,
            } = &predecessor.term;
            let missing = witnesses.iter().zip(&predecessor.promised_at);
            let missing = missing
                .filter(|(_, promise)| promise.is_none())
                .map(|(w, _)| w);
            for machine in missing.chain([coordinator]) {
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

    /// Records at `now` that a machine's present incarnation has closed `term` and all earlier
    /// ones. `unpledged` is true when this incarnation held the term itself and no witness can act
    /// on a pledge of it; it has no bearing on earlier terms.
    pub fn on_closed(&mut self, now: BootInstant, name: &MachineName, term: Term, unpledged: bool) {
        for predecessor in &mut self.predecessors {
            if predecessor.ended_at.is_some() || predecessor.term.term.acting() > term {
                continue;
            }
            let cannot_pledge = predecessor.term.witnesses.len() < WITNESSES;
            let held_unpledged = unpledged && predecessor.term.term.acting() == term;
            if predecessor.term.coordinator.name == *name && (held_unpledged || cannot_pledge) {
                predecessor.ended_at = Some(now);
            }
            for (witness, promise) in predecessor
                .term
                .witnesses
                .iter()
                .zip(&mut predecessor.promised_at)
            {
                if witness.name == *name && promise.is_none() {
                    *promise = Some(now);
                }
            }
            if predecessor.ended_at.is_none() {
                predecessor.ended_at = record::closing_instant(&predecessor.promised_at);
            }
        }
    }

    /// Returns the instant from which the new term may grant: one authority period after the last
    /// earlier term has ended, or after the longest absence of the store while one has not.
    #[must_use]
    pub fn grants_from(&self) -> Option<BootInstant> {
        let absence = self
            .timing
            .with_clock_margin(self.timing.store_absence + self.timing.authority);
        let mut latest = self.no_writes_since;
        for predecessor in &self.predecessors {
            match predecessor.ended_at {
                Some(ended_at) => latest = latest.max(ended_at),
                None => return Some(self.no_writes_since + absence),
            }
        }
        Some(latest + self.timing.with_clock_margin(self.timing.authority))
    }

    /// Returns whether every earlier term has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.predecessors.iter().all(|p| p.ended_at.is_some())
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
            Some(at(1_200) + timing.with_clock_margin(timing.authority))
        );
    }

    #[test]
    fn the_promise_of_an_unpledged_coordinator_suffices() {
        let mut closing = closing();
        closing.on_closed(at(1_100), &MachineName::new("c"), Term(5), true);
        assert!(closing.is_done());
        assert!(closing.requests().is_empty());
    }

    #[test]
    fn the_promise_of_a_pledged_coordinator_does_not_suffice() {
        let mut closing = closing();
        closing.on_closed(at(1_100), &MachineName::new("c"), Term(5), false);
        assert!(!closing.is_done());
    }

    #[test]
    fn a_coordinators_promise_for_a_later_term_does_not_end_an_earlier_one() {
        let mut closing = closing();
        closing.on_closed(at(1_100), &MachineName::new("c"), Term(7), true);
        assert!(!closing.is_done());
    }

    #[test]
    fn a_promise_for_an_older_term_does_not_count() {
        let mut closing = closing();
        closing.on_closed(at(1_100), &MachineName::new("c"), Term(3), true);
        assert!(!closing.is_done());
    }

    #[test]
    fn waits_for_unreachable_witnesses_up_to_the_longest_store_absence() {
        let closing = closing();
        let timing = Timing::default();
        let until = at(1_000) + timing.with_clock_margin(timing.store_absence + timing.authority);
        assert_eq!(closing.grants_from(), Some(until));
    }
}
