//! A witness's side: confirming a term until it is closed.

use world::key::Term;
use world::machine::Incarnation;

/// What one life of a daemon has promised about terms. A restarted daemon has promised nothing,
/// but is asked for an earlier life and therefore never confirms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Witness {
    /// Terms up to this one are never confirmed again.
    closed: Term,
}

impl Witness {
    /// Answers a coordinator that asks for a confirmation of its term by the life `asked` of this
    /// machine, which now lives as `own` and knows of the term `known`.
    #[must_use]
    pub fn confirms(&self, term: Term, asked: Incarnation, own: Incarnation, known: Term) -> bool {
        asked == own && term > self.closed && term >= known
    }

    /// Promises never to confirm `term` or an earlier one again.
    pub fn close(&mut self, term: Term) {
        self.closed = self.closed.max(term);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OWN: Incarnation = Incarnation(3);

    #[test]
    fn never_confirms_a_closed_term() {
        let mut witness = Witness::default();
        assert!(witness.confirms(Term(4), OWN, OWN, Term(4)));
        witness.close(Term(4));
        assert!(!witness.confirms(Term(4), OWN, OWN, Term(4)));
        assert!(!witness.confirms(Term(3), OWN, OWN, Term(3)));
        assert!(witness.confirms(Term(5), OWN, OWN, Term(5)));
    }

    #[test]
    fn never_confirms_for_an_earlier_life_or_an_older_term() {
        let witness = Witness::default();
        assert!(!witness.confirms(Term(4), Incarnation(2), OWN, Term(4)));
        assert!(!witness.confirms(Term(4), OWN, OWN, Term(5)));
    }
}
