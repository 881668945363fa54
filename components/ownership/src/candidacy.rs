//! Taking a term over without the store: a witness stands for the acting term.

use world::instant::BootInstant;
use world::key::Term;
use world::name::MachineName;

use crate::record::{self, WitnessRef};
use crate::timing::Timing;
use crate::witness::EndorseRequest;

/// A witness's attempt to act for a lost coordinator whose pledge it holds.
///
/// It has won once so many witnesses endorse it, itself included, that the rest is no quorum: the
/// coordinator is confirmed by the store no more, because of its pledge, and by its witnesses no
/// more. Its authority ends at the latest one period after the last endorsement that was needed.
#[derive(Clone, Debug)]
pub struct Candidacy {
    timing: Timing,
    term: Term,
    witnesses: Vec<WitnessRef>,
    /// Position of this machine among the witnesses.
    me: usize,
    /// Instants at which the endorsements were received, in the order of the witnesses.
    endorsed: Vec<Option<BootInstant>>,
}

impl Candidacy {
    /// Stands for the acting term `term` among `witnesses`; none when `me` is not one of them.
    #[must_use]
    pub fn new(
        timing: Timing,
        term: Term,
        witnesses: Vec<WitnessRef>,
        me: &MachineName,
        now: BootInstant,
    ) -> Option<Self> {
        let me = position(&witnesses, me)?;
        let mut endorsed = vec![None; witnesses.len()];
        endorsed[me] = Some(now);
        Some(Self {
            timing,
            term,
            witnesses,
            me,
            endorsed,
        })
    }

    /// The acting term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// The witnesses, this machine included.
    #[must_use]
    pub fn witnesses(&self) -> &[WitnessRef] {
        &self.witnesses
    }

    /// Witnesses that still have to be asked.
    pub fn requests(&self) -> impl Iterator<Item = &WitnessRef> {
        let asked = self.witnesses.iter().zip(&self.endorsed);
        asked
            .filter(|(_, endorsed)| endorsed.is_none())
            .map(|(witness, _)| witness)
    }

    /// What to ask a witness, this machine included.
    #[must_use]
    pub fn request(&self, witness: &WitnessRef) -> EndorseRequest {
        EndorseRequest {
            term: self.term,
            candidate: self.witnesses[self.me].name.clone(),
            asked: witness.incarnation,
            witnesses: self.witnesses.clone(),
        }
    }

    /// Notes at `now` that a witness endorses this machine.
    pub fn on_endorsed(&mut self, now: BootInstant, name: &MachineName) {
        if let Some(position) = position(&self.witnesses, name) {
            self.endorsed[position].get_or_insert(now);
        }
    }

    /// The instant from which the acting term may grant, once this machine has won.
    #[must_use]
    pub fn grants_from(&self) -> Option<BootInstant> {
        let last = record::closing_instant(&self.endorsed)?;
        Some(last + self.timing.outlast(self.timing.authority))
    }

    /// Tells whether this machine gives way to another candidate for the same term: to an
    /// earlier one in the list of witnesses, unless it has won.
    #[must_use]
    pub fn yields_to(&self, request: &EndorseRequest) -> bool {
        let other = position(&self.witnesses, &request.candidate);
        let earlier = other.is_some_and(|other| other < self.me);
        earlier && request.term == self.term && self.grants_from().is_none()
    }
}

/// A machine's position among witnesses.
#[must_use]
pub fn position(witnesses: &[WitnessRef], name: &MachineName) -> Option<usize> {
    witnesses.iter().position(|w| w.name == *name)
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use world::machine::Incarnation;

    use super::*;

    fn witnesses() -> Vec<WitnessRef> {
        let witness = |name| WitnessRef {
            name: MachineName::new(name),
            incarnation: Incarnation(1),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        ["a", "b", "c"].map(witness).to_vec()
    }

    fn candidacy() -> Candidacy {
        let me = MachineName::new("b");
        let now = BootInstant::from_millis(1_000);
        Candidacy::new(Timing::default(), Term(5), witnesses(), &me, now).expect("a witness")
    }

    fn request(candidate: &str, term: u32) -> EndorseRequest {
        EndorseRequest {
            term: Term(term),
            candidate: MachineName::new(candidate),
            asked: Incarnation(1),
            witnesses: witnesses(),
        }
    }

    #[test]
    fn wins_with_two_of_three_and_waits_for_the_earlier_authority() {
        let mut candidacy = candidacy();
        assert_eq!(candidacy.grants_from(), None);
        let later = BootInstant::from_millis(1_050);
        candidacy.on_endorsed(later, &MachineName::new("c"));
        let timing = Timing::default();
        let from = later + timing.outlast(timing.authority);
        assert_eq!(candidacy.grants_from(), Some(from));
    }

    #[test]
    fn yields_to_earlier_candidates_for_its_own_term_until_it_has_won() {
        let mut candidacy = candidacy();
        assert!(candidacy.yields_to(&request("a", 5)));
        assert!(!candidacy.yields_to(&request("c", 5)));
        assert!(!candidacy.yields_to(&request("a", 7)));
        candidacy.on_endorsed(BootInstant::from_millis(1_050), &MachineName::new("c"));
        assert!(!candidacy.yields_to(&request("a", 5)));
    }
}
