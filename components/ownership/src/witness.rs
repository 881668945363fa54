//! The witness's side: confirms a term until it is closed or a candidate for the acting term after
//! it is endorsed.

use world::key::Term;
use world::machine::Incarnation;
use world::name::MachineName;

use crate::pledge::PledgeStatus;
use crate::record::WitnessRef;

/// A coordinator's request for confirmation of its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmRequest {
    /// The term.
    pub term: Term,
    /// Coordinator of the term.
    pub coordinator: MachineName,
    /// Incarnation of the witness that the cell's record lists.
    pub witness_incarnation: Incarnation,
    /// State of the coordinator's pledge.
    pub pledge: PledgeStatus,
    /// The witnesses that were given the pledge.
    pub witnesses: Vec<WitnessRef>,
}

/// A candidate's request to be endorsed for an acting term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndorseRequest {
    /// The acting term.
    pub term: Term,
    /// The candidate.
    pub candidate: MachineName,
    /// Incarnation of the witness that was given the pledge.
    pub witness_incarnation: Incarnation,
    /// The witnesses whose endorsements the candidate counts.
    pub witnesses: Vec<WitnessRef>,
}

/// State of the witness's daemon when it handles a request.
#[derive(Clone, Copy, Debug)]
pub struct LocalState {
    /// Its present incarnation.
    pub incarnation: Incarnation,
    /// Highest term that it has adopted.
    pub term: Term,
}

#[derive(Clone, Debug)]
struct ReceivedPledge {
    term: Term,
    pledge: PledgeStatus,
    witnesses: Vec<WitnessRef>,
}

#[derive(Clone, Debug)]
struct Endorsement {
    term: Term,
    candidate: MachineName,
}

/// Promises that one incarnation of a daemon has made about terms. A restarted daemon has made
/// none, but requests name its earlier incarnation, so it neither confirms nor endorses.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    /// Terms up to this one are never confirmed again.
    closed: Term,
    /// The pledge of the latest term that gave one.
    pledge: Option<ReceivedPledge>,
    /// The latest acting term endorsed and its candidate. Invariant: no earlier term is confirmed.
    endorsement: Option<Endorsement>,
}

impl Witness {
    /// Returns whether the witness confirms a coordinator's term; if so, records its pledge.
    pub fn confirm(&mut self, request: &ConfirmRequest, local: LocalState) -> bool {
        let term = request.term;
        if request.witness_incarnation != local.incarnation
            || term <= self.closed
            || term < local.term
        {
            return false;
        }
        let conflicts = self.endorsement.as_ref().is_some_and(|e| {
            e.term > term || (e.term == term && e.candidate != request.coordinator)
        });
        if conflicts {
            return false;
        }
        if term.is_acting() {
            self.endorsement = Some(Endorsement {
                term,
                candidate: request.coordinator.clone(),
            });
        } else {
            self.record_pledge(request);
        }
        true
    }

    fn record_pledge(&mut self, request: &ConfirmRequest) {
        let outdated = self.pledge.as_ref().is_some_and(|received| {
            received.term > request.term
                || (received.term == request.term
                    && received.pledge.sequence > request.pledge.sequence)
        });
        if !outdated {
            self.pledge = Some(ReceivedPledge {
                term: request.term,
                pledge: request.pledge,
                witnesses: request.witnesses.clone(),
            });
        }
    }

    /// Returns whether the witness endorses a candidate, and records it. With `preempted` the
    /// candidate replaces this machine itself, which is a candidate and has not been elected.
    pub fn endorse(
        &mut self,
        request: &EndorseRequest,
        local: LocalState,
        preempted: bool,
    ) -> bool {
        let term = request.term;
        if request.witness_incarnation != local.incarnation
            || term <= self.closed
            || term < local.term
        {
            return false;
        }
        let conflicts = self.endorsement.as_ref().is_some_and(|e| {
            e.term > term || (e.term == term && e.candidate != request.candidate && !preempted)
        });
        let same_witnesses =
            self.pledge.as_ref().map(|received| &received.witnesses) == Some(&request.witnesses);
        if conflicts || !same_witnesses || !self.holds_pledge(term.stored()) {
            return false;
        }
        self.endorsement = Some(Endorsement {
            term,
            candidate: request.candidate.clone(),
        });
        true
    }

    fn holds_pledge(&self, term: Term) -> bool {
        let received = self.pledge.as_ref();
        received.is_some_and(|received| received.term == term && received.pledge.pledged)
    }

    /// Returns the witnesses that were given the pledge if this one may become a candidate for the
    /// acting term that follows `term`; otherwise `None`.
    #[must_use]
    pub fn candidacy_witnesses(&self, term: Term) -> Option<&[WitnessRef]> {
        let open = self.closed < term.acting() && !term.is_acting();
        let unendorsed = self.endorsement.as_ref().is_none_or(|e| e.term < term);
        let received = self.pledge.as_ref()?;
        (open && unendorsed && self.holds_pledge(term)).then_some(received.witnesses.as_slice())
    }

    /// Promises never to confirm `term` or an earlier one again.
    pub fn close(&mut self, term: Term) {
        self.closed = self.closed.max(term);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LOCAL: LocalState = LocalState {
        incarnation: Incarnation(3),
        term: Term(4),
    };

    fn confirm(term: u32, sequence: u64, pledged: bool) -> ConfirmRequest {
        ConfirmRequest {
            term: Term(term),
            coordinator: MachineName::new("c"),
            witness_incarnation: LOCAL.incarnation,
            pledge: PledgeStatus { sequence, pledged },
            witnesses: Vec::new(),
        }
    }

    fn endorse(candidate: &str) -> EndorseRequest {
        EndorseRequest {
            term: Term(5),
            candidate: MachineName::new(candidate),
            witness_incarnation: LOCAL.incarnation,
            witnesses: Vec::new(),
        }
    }

    #[test]
    fn never_confirms_a_closed_term() {
        let mut witness = Witness::default();
        assert!(witness.confirm(&confirm(4, 0, false), LOCAL));
        witness.close(Term(4));
        assert!(!witness.confirm(&confirm(4, 0, false), LOCAL));
        assert!(witness.confirm(&confirm(6, 0, false), LOCAL));
    }

    #[test]
    fn never_confirms_for_an_earlier_incarnation_or_an_older_term() {
        let mut witness = Witness::default();
        let mut earlier = confirm(4, 0, false);
        earlier.witness_incarnation = Incarnation(2);
        assert!(!witness.confirm(&earlier, LOCAL));
        assert!(!witness.confirm(&confirm(2, 0, false), LOCAL));
    }

    #[test]
    fn endorses_one_candidate_and_only_under_a_pledge() {
        let mut witness = Witness::default();
        assert!(witness.confirm(&confirm(4, 0, false), LOCAL));
        assert!(!witness.endorse(&endorse("a"), LOCAL, false));
        assert!(witness.confirm(&confirm(4, 1, true), LOCAL));
        assert!(witness.endorse(&endorse("a"), LOCAL, false));
        assert!(!witness.endorse(&endorse("b"), LOCAL, false));
        assert!(!witness.confirm(&confirm(4, 2, false), LOCAL));
    }

    #[test]
    fn endorses_no_candidate_with_other_witnesses() {
        let mut witness = Witness::default();
        assert!(witness.confirm(&confirm(4, 1, true), LOCAL));
        let mut request = endorse("a");
        request.witnesses.push(WitnessRef {
            name: MachineName::new("replaced"),
            incarnation: Incarnation(1),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        });
        assert!(!witness.endorse(&request, LOCAL, false));
    }

    #[test]
    fn ignores_an_outdated_request_with_a_withdrawn_pledge() {
        let mut witness = Witness::default();
        assert!(witness.confirm(&confirm(4, 2, false), LOCAL));
        assert!(witness.confirm(&confirm(4, 1, true), LOCAL));
        assert!(!witness.endorse(&endorse("a"), LOCAL, false));
    }
}
