//! Election of a witness to the acting term, without the store.

use world::instant::BootInstant;
use world::key::Term;
use world::name::MachineName;

use crate::record::{self, WitnessRef};
use crate::timing::Timing;
use crate::witness::EndorseRequest;

/// A witness's attempt to act for a lost coordinator whose pledge it holds.
///
/// It is elected once enough witnesses, itself included, endorse it that the rest form no quorum.
/// From then on the coordinator can be confirmed neither by the store, because of its pledge, nor
/// by its witnesses. Its authority ends at the latest one authority period after the last
/// endorsement that was needed.
#[derive(Clone, Debug)]
pub struct Candidacy {
    timing: Timing,
    term: Term,
    witnesses: Vec<WitnessRef>,
    /// Position of this machine among the witnesses.
    own_position: usize,
    /// Instants at which the endorsements were received, by position of the witness.
    endorsed_at: Vec<Option<BootInstant>>,
}

impl Candidacy {
    /// Starts a candidacy for the acting term `term`; `None` when `me` is not one of `witnesses`.
    #[must_use]
    pub fn new(
        timing: Timing,
        term: Term,
        witnesses: Vec<WitnessRef>,
        me: &MachineName,
        now: BootInstant,
    ) -> Option<Self> {
        let own_position = position(&witnesses, me)?;
        let mut endorsed_at = vec![None; witnesses.len()];
        endorsed_at[own_position] = Some(now);
        Some(Self {
            timing,
            term,
            witnesses,
            own_position,
            endorsed_at,
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

    /// Returns the witnesses whose endorsement is missing.
    pub fn pending_witnesses(&self) -> impl Iterator<Item = &WitnessRef> {
        let pending = self.witnesses.iter().zip(&self.endorsed_at);
        pending
            .filter(|(_, endorsed_at)| endorsed_at.is_none())
            .map(|(witness, _)| witness)
    }

    /// Returns the request to send to a witness, which may be this machine.
    #[must_use]
    pub fn request(&self, witness: &WitnessRef) -> EndorseRequest {
        EndorseRequest {
            term: self.term,
            candidate: self.witnesses[self.own_position].name.clone(),
            witness_incarnation: witness.incarnation,
            witnesses: self.witnesses.clone(),
        }
    }

    /// Records an endorsement that was received at `now`.
    pub fn on_endorsed(&mut self, now: BootInstant, name: &MachineName) {
        if let Some(position) = position(&self.witnesses, name) {
            self.endorsed_at[position].get_or_insert(now);
        }
    }

    /// Returns the instant from which the acting term may grant; `None` until elected.
    #[must_use]
    pub fn grants_from(&self) -> Option<BootInstant> {
        let last = record::closing_instant(&self.endorsed_at)?;
        Some(last + self.timing.with_clock_margin(self.timing.authority))
    }

    /// Returns whether this machine must endorse another candidate for the same term: one that
    /// precedes it in the list of witnesses, unless this machine has been elected.
    #[must_use]
    pub fn is_preempted_by(&self, request: &EndorseRequest) -> bool {
        let other = position(&self.witnesses, &request.candidate);
        let precedes = other.is_some_and(|other| other < self.own_position);
        precedes && request.term == self.term && self.grants_from().is_none()
    }
}

/// Returns a machine's position among the witnesses.
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
            witness_incarnation: Incarnation(1),
            witnesses: witnesses(),
        }
    }

    #[test]
    fn is_elected_by_two_of_three_and_waits_for_the_previous_authority() {
        let mut candidacy = candidacy();
        assert_eq!(candidacy.grants_from(), None);
        let later = BootInstant::from_millis(1_050);
        candidacy.on_endorsed(later, &MachineName::new("c"));
        let timing = Timing::default();
        let from = later + timing.with_clock_margin(timing.authority);
        assert_eq!(candidacy.grants_from(), Some(from));
    }

    #[test]
    fn is_preempted_by_preceding_candidates_for_the_same_term_until_elected() {
        let mut candidacy = candidacy();
        assert!(candidacy.is_preempted_by(&request("a", 5)));
        assert!(!candidacy.is_preempted_by(&request("c", 5)));
        assert!(!candidacy.is_preempted_by(&request("a", 7)));
        candidacy.on_endorsed(BootInstant::from_millis(1_050), &MachineName::new("c"));
        assert!(!candidacy.is_preempted_by(&request("a", 5)));
    }
}
