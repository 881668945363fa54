//! A witness's side: confirming a term until it is closed or a candidate is endorsed.

use world::key::Term;
use world::machine::Incarnation;
use world::name::MachineName;

use crate::pledge::Notice;
use crate::record::WitnessRef;

/// A coordinator's request for confirmation of its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmRequest {
    /// The term.
    pub term: Term,
    /// Who coordinates under it.
    pub coordinator: MachineName,
    /// Life of the witness that the cell's record lists.
    pub asked: Incarnation,
    /// State of the coordinator's pledge.
    pub notice: Notice,
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
    /// Life of the witness that was given the pledge.
    pub asked: Incarnation,
    /// The witnesses among whom the candidate counts its endorsements.
    pub witnesses: Vec<WitnessRef>,
}

/// What a witness knows of itself when it is asked.
#[derive(Clone, Copy, Debug)]
pub struct Own {
    /// Its present life.
    pub incarnation: Incarnation,
    /// Highest term that it knows.
    pub known: Term,
}

#[derive(Clone, Debug)]
struct HeldPledge {
    term: Term,
    notice: Notice,
    witnesses: Vec<WitnessRef>,
}

#[derive(Clone, Debug)]
struct Endorsement {
    term: Term,
    candidate: MachineName,
}

/// What one life of a daemon has promised about terms. A restarted daemon has promised nothing,
/// but is asked for an earlier life and therefore never confirms nor endorses.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    /// Terms up to this one are never confirmed again.
    closed: Term,
    /// The pledge of the latest term that gave one.
    pledge: Option<HeldPledge>,
    /// The candidate for the latest acting term. Invariant: no term before it is confirmed.
    endorsed: Option<Endorsement>,
}

impl Witness {
    /// Answers a coordinator that asks for confirmation, and takes note of its pledge.
    pub fn confirms(&mut self, request: &ConfirmRequest, own: Own) -> bool {
        let term = request.term;
        if request.asked != own.incarnation || term <= self.closed || term < own.known {
            return false;
        }
        let refused = self.endorsed.as_ref().is_some_and(|e| {
            e.term > term || (e.term == term && e.candidate != request.coordinator)
        });
        if refused {
            return false;
        }
        if term.is_acting() {
            self.endorsed = Some(Endorsement {
                term,
                candidate: request.coordinator.clone(),
            });
        } else {
            self.note_pledge(request);
        }
        true
    }

    fn note_pledge(&mut self, request: &ConfirmRequest) {
        let late = self.pledge.as_ref().is_some_and(|held| {
            held.term > request.term
                || (held.term == request.term && held.notice.number > request.notice.number)
        });
        if !late {
            self.pledge = Some(HeldPledge {
                term: request.term,
                notice: request.notice,
                witnesses: request.witnesses.clone(),
            });
        }
    }

    /// Answers a candidate. With `yields` an endorsement of this machine itself, which has not
    /// won, is given up for it.
    pub fn endorses(&mut self, request: &EndorseRequest, own: Own, yields: bool) -> bool {
        let term = request.term;
        if request.asked != own.incarnation || term <= self.closed || term < own.known {
            return false;
        }
        let refused = self.endorsed.as_ref().is_some_and(|e| {
            e.term > term || (e.term == term && e.candidate != request.candidate && !yields)
        });
        let same = self.pledge.as_ref().map(|held| &held.witnesses) == Some(&request.witnesses);
        if refused || !same || !self.holds_pledge(term.stored()) {
            return false;
        }
        self.endorsed = Some(Endorsement {
            term,
            candidate: request.candidate.clone(),
        });
        true
    }

    fn holds_pledge(&self, term: Term) -> bool {
        let held = self.pledge.as_ref();
        held.is_some_and(|held| held.term == term && held.notice.pledged)
    }

    /// The witnesses among whom this one may stand as a candidate for the acting term that
    /// follows `term`: those that were given the pledge.
    #[must_use]
    pub fn electorate(&self, term: Term) -> Option<&[WitnessRef]> {
        let open = self.closed < term.acting() && !term.is_acting();
        let free = self.endorsed.as_ref().is_none_or(|e| e.term < term);
        let held = self.pledge.as_ref()?;
        (open && free && self.holds_pledge(term)).then_some(held.witnesses.as_slice())
    }

    /// Promises never to confirm `term` or an earlier one again.
    pub fn close(&mut self, term: Term) {
        self.closed = self.closed.max(term);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OWN: Own = Own {
        incarnation: Incarnation(3),
        known: Term(4),
    };

    fn confirm(term: u32, number: u64, pledged: bool) -> ConfirmRequest {
        ConfirmRequest {
            term: Term(term),
            coordinator: MachineName::new("c"),
            asked: OWN.incarnation,
            notice: Notice { number, pledged },
            witnesses: Vec::new(),
        }
    }

    fn endorse(candidate: &str) -> EndorseRequest {
        EndorseRequest {
            term: Term(5),
            candidate: MachineName::new(candidate),
            asked: OWN.incarnation,
            witnesses: Vec::new(),
        }
    }

    #[test]
    fn never_confirms_a_closed_term() {
        let mut witness = Witness::default();
        assert!(witness.confirms(&confirm(4, 0, false), OWN));
        witness.close(Term(4));
        assert!(!witness.confirms(&confirm(4, 0, false), OWN));
        assert!(witness.confirms(&confirm(6, 0, false), OWN));
    }

    #[test]
    fn never_confirms_for_an_earlier_life_or_an_older_term() {
        let mut witness = Witness::default();
        let mut earlier = confirm(4, 0, false);
        earlier.asked = Incarnation(2);
        assert!(!witness.confirms(&earlier, OWN));
        assert!(!witness.confirms(&confirm(2, 0, false), OWN));
    }

    #[test]
    fn endorses_one_candidate_and_only_under_a_pledge() {
        let mut witness = Witness::default();
        assert!(witness.confirms(&confirm(4, 0, false), OWN));
        assert!(!witness.endorses(&endorse("a"), OWN, false));
        assert!(witness.confirms(&confirm(4, 1, true), OWN));
        assert!(witness.endorses(&endorse("a"), OWN, false));
        assert!(!witness.endorses(&endorse("b"), OWN, false));
        assert!(!witness.confirms(&confirm(4, 2, false), OWN));
    }

    #[test]
    fn endorses_nobody_who_counts_other_witnesses() {
        let mut witness = Witness::default();
        assert!(witness.confirms(&confirm(4, 1, true), OWN));
        let mut request = endorse("a");
        request.witnesses.push(WitnessRef {
            name: MachineName::new("replaced"),
            incarnation: Incarnation(1),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        });
        assert!(!witness.endorses(&request, OWN, false));
    }

    #[test]
    fn ignores_a_late_notice_of_a_withdrawn_pledge() {
        let mut witness = Witness::default();
        assert!(witness.confirms(&confirm(4, 2, false), OWN));
        assert!(witness.confirms(&confirm(4, 1, true), OWN));
        assert!(!witness.endorses(&endorse("a"), OWN, false));
    }
}
