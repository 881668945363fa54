//! A simulated object store: conditional writes with one revision counter, and returns from older
//! copies.

use std::collections::{BTreeMap, VecDeque};

use shards::assignment::Assignment;
use shards::lease::Lease;
use shards::manager::{StoreOp, StoreOutcome, Versioned};
use shards::revision::Revision;
use world::name::MachineName;

use super::history::Restore;

/// Objects of one type by name.
#[derive(Clone, Debug)]
pub(crate) struct Objects<T>(BTreeMap<String, Versioned<T>>);

impl<T> Default for Objects<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T: Clone + PartialEq> Objects<T> {
    fn execute(&mut self, revision: &mut u32, name: &str, op: &StoreOp<T>) -> StoreOutcome<T> {
        let found = self.0.get(name).cloned();
        match (op, found) {
            (StoreOp::Read, Some(stored)) => StoreOutcome::Done(stored),
            (StoreOp::Read | StoreOp::Replace(_), None) => StoreOutcome::Absent,
            (StoreOp::Create(_), Some(stored)) => StoreOutcome::Conflict(Some(stored)),
            (StoreOp::Create(value), None) => StoreOutcome::Done(self.write(revision, name, value)),
            (StoreOp::Replace(written), Some(stored)) if written.revision != stored.revision => {
                StoreOutcome::Conflict(Some(stored))
            }
            (StoreOp::Replace(written), Some(stored)) if written.value == stored.value => {
                StoreOutcome::Done(stored)
            }
            (StoreOp::Replace(written), Some(_)) => {
                StoreOutcome::Done(self.write(revision, name, &written.value))
            }
        }
    }

    fn write(&mut self, revision: &mut u32, name: &str, value: &T) -> Versioned<T> {
        *revision += 1;
        let stored = Versioned {
            revision: Revision::from(*revision),
            value: value.clone(),
        };
        self.0.insert(name.to_owned(), stored.clone());
        stored
    }
}

/// The objects and the revision counter.
#[derive(Clone, Debug, Default)]
struct State {
    revision: u32,
    leases: Objects<Lease>,
    assignments: Objects<Assignment>,
}

/// A simulated store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    state: State,
    /// Restores to come, each with its copy once that is taken.
    restores: VecDeque<(Restore, Option<State>)>,
}

/// Name of the only assignment.
const ASSIGNMENT: &str = "service";

impl Store {
    /// Creates a store without objects.
    pub(crate) fn new(restores: Vec<Restore>) -> Self {
        Self {
            state: State::default(),
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
        }
    }

    /// Whether it executes no requests at `now`.
    pub(crate) fn is_away(&self, now: f64) -> bool {
        let next = self.restores.front();
        next.is_some_and(|(r, _)| r.away_at <= now)
    }

    /// Executes an operation on a lease.
    pub(crate) fn lease(
        &mut self,
        machine: &MachineName,
        op: &StoreOp<Lease>,
    ) -> StoreOutcome<Lease> {
        let State {
            revision, leases, ..
        } = &mut self.state;
        leases.execute(revision, machine.as_str(), op)
    }

    /// Executes an operation on the assignment.
    pub(crate) fn assignment(&mut self, op: &StoreOp<Assignment>) -> StoreOutcome<Assignment> {
        let State {
            revision,
            assignments,
            ..
        } = &mut self.state;
        assignments.execute(revision, ASSIGNMENT, op)
    }
}
