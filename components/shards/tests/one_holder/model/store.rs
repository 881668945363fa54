//! A simulated object store: conditional writes with one revision counter, and restores from
//! snapshots.

use std::collections::{BTreeMap, VecDeque};

use shards::assignment::Assignment;
use shards::lease::Lease;
use shards::manager::{StoreOp, StoreOutcome, Versioned};
use shards::revision::{Revision, StoreEra};
use world::name::MachineName;

use super::restores::Restore;

/// Objects of one type by name.
#[derive(Clone, Debug)]
pub(crate) struct Objects<T>(BTreeMap<String, Versioned<T>>);

impl<T> Default for Objects<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

/// Revision counter of the store, and the era with which a kind's revisions are written down.
struct Counter<'a> {
    era: StoreEra,
    number: &'a mut u64,
}

impl Counter<'_> {
    fn next(&mut self) -> Revision {
        *self.number += 1;
        Revision::new(self.era, *self.number).expect("few revisions")
    }
}

impl<T: Clone + PartialEq> Objects<T> {
    /// Executes an operation; the store knows revisions by their numbers only.
    fn execute(&mut self, counter: Counter, name: &str, op: &StoreOp<T>) -> StoreOutcome<T> {
        let found = self.0.get(name).cloned();
        match (op, found) {
            (StoreOp::Read, Some(stored)) => StoreOutcome::Done(stored),
            (StoreOp::Read | StoreOp::Replace(_), None) => StoreOutcome::Absent,
            (StoreOp::Create(_), Some(stored)) => StoreOutcome::Conflict(Some(stored)),
            (StoreOp::Create(value), None) => StoreOutcome::Done(self.write(counter, name, value)),
            (StoreOp::Replace(written), Some(stored))
                if written.revision.number() != stored.revision.number() =>
            {
                StoreOutcome::Conflict(Some(stored))
            }
            (StoreOp::Replace(written), Some(stored)) if written.value == stored.value => {
                StoreOutcome::Done(stored)
            }
            (StoreOp::Replace(written), Some(_)) => {
                StoreOutcome::Done(self.write(counter, name, &written.value))
            }
        }
    }

    fn write(&mut self, mut counter: Counter, name: &str, value: &T) -> Versioned<T> {
        let stored = Versioned {
            revision: counter.next(),
            value: value.clone(),
        };
        self.0.insert(name.to_owned(), stored.clone());
        stored
    }
}

/// Objects of the kinds of one era.
#[derive(Clone, Debug, Default)]
struct Kinds {
    leases: Objects<Lease>,
    assignments: Objects<Assignment>,
}

/// The objects and the revision counter.
#[derive(Clone, Debug, Default)]
struct State {
    revision: u64,
    kinds: BTreeMap<StoreEra, Kinds>,
}

impl State {
    /// Returns the kinds of an era with the counter for changes of their objects.
    fn kinds(&mut self, era: StoreEra) -> (&mut Kinds, Counter<'_>) {
        let number = &mut self.revision;
        (self.kinds.entry(era).or_default(), Counter { era, number })
    }
}

/// A simulated store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    state: State,
    era: StoreEra,
    /// Restores to come, each with its copy once that is taken.
    restores: VecDeque<(Restore, Option<State>)>,
}

/// Name of the only assignment.
const ASSIGNMENT: &str = "service";

impl Store {
    /// Creates a store without objects; without restores it names no era.
    pub(crate) fn new(restores: Vec<Restore>) -> Self {
        let era = match restores.is_empty() {
            true => StoreEra::FIRST,
            false => next_era(StoreEra::FIRST),
        };
        Self {
            state: State::default(),
            era,
            restores: restores.into_iter().map(|r| (r, None)).collect(),
        }
    }

    /// Takes the copies that are due at `now` and returns from one if it is time.
    pub(crate) fn advance(&mut self, now: f64) {
        for (restore, copy) in &mut self.restores {
            if copy.is_none() && restore.copied_at <= now {
                *copy = Some(self.state.clone());
            }
        }
        let next = self.restores.front();
        if next.is_some_and(|(r, _)| r.back_at <= now)
            && let Some((_, Some(copy))) = self.restores.pop_front()
        {
            self.state = copy;
            self.era = next_era(self.era);
        }
    }

    /// Returns the era, which rises with each restore from a snapshot.
    pub(crate) fn era(&self) -> StoreEra {
        self.era
    }

    /// Whether it executes no requests at `now`.
    pub(crate) fn is_away(&self, now: f64) -> bool {
        let next = self.restores.front();
        next.is_some_and(|(r, _)| r.away_at <= now)
    }

    /// Executes an operation on a lease of an era.
    pub(crate) fn lease(
        &mut self,
        era: StoreEra,
        machine: &MachineName,
        op: &StoreOp<Lease>,
    ) -> StoreOutcome<Lease> {
        let (kinds, counter) = self.state.kinds(era);
        kinds.leases.execute(counter, machine.as_str(), op)
    }

    /// Executes an operation on the assignment of an era.
    pub(crate) fn assignment(
        &mut self,
        era: StoreEra,
        op: &StoreOp<Assignment>,
    ) -> StoreOutcome<Assignment> {
        let (kinds, counter) = self.state.kinds(era);
        kinds.assignments.execute(counter, ASSIGNMENT, op)
    }
}

fn next_era(era: StoreEra) -> StoreEra {
    StoreEra::new(u64::from(era.number()) + 1).expect("few eras")
}
