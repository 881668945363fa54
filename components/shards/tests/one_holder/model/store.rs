//! The store: conditional writes under one revision counter.

use std::collections::BTreeMap;

use shards::assignment::Assignment;
use shards::lease::Lease;
use shards::manager::{StoreOp, StoreOutcome, Versioned};
use world::name::MachineName;

/// Objects of one type by name.
#[derive(Clone, Debug)]
pub(crate) struct Kind<T>(BTreeMap<String, Versioned<T>>);

impl<T> Default for Kind<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T: Clone + PartialEq> Kind<T> {
    fn execute(&mut self, revision: &mut u64, name: &str, call: &StoreOp<T>) -> StoreOutcome<T> {
        let found = self.0.get(name).cloned();
        match (call, found) {
            (StoreOp::Read, Some(stored)) => StoreOutcome::Done(stored),
            (StoreOp::Read | StoreOp::Replace(_), None) => StoreOutcome::Absent,
            (StoreOp::Create(_), Some(stored)) => StoreOutcome::Conflict(Some(stored)),
            (StoreOp::Create(value), None) => StoreOutcome::Done(self.write(revision, name, value)),
            (StoreOp::Replace(wanted), Some(stored)) if wanted.revision != stored.revision => {
                StoreOutcome::Conflict(Some(stored))
            }
            (StoreOp::Replace(wanted), Some(stored)) if wanted.value == stored.value => {
                StoreOutcome::Done(stored)
            }
            (StoreOp::Replace(wanted), Some(_)) => {
                StoreOutcome::Done(self.write(revision, name, &wanted.value))
            }
        }
    }

    fn write(&mut self, revision: &mut u64, name: &str, value: &T) -> Versioned<T> {
        *revision += 1;
        let stored = Versioned {
            revision: *revision,
            value: value.clone(),
        };
        self.0.insert(name.to_owned(), stored.clone());
        stored
    }
}

/// The store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    revision: u64,
    leases: Kind<Lease>,
    assignments: Kind<Assignment>,
}

/// Name of the one assignment.
const ASSIGNMENT: &str = "service";

impl Store {
    /// Carries out a call on a lease.
    pub(crate) fn lease(
        &mut self,
        machine: &MachineName,
        call: &StoreOp<Lease>,
    ) -> StoreOutcome<Lease> {
        self.leases
            .execute(&mut self.revision, machine.as_str(), call)
    }

    /// Carries out a call on the assignment.
    pub(crate) fn assignment(&mut self, call: &StoreOp<Assignment>) -> StoreOutcome<Assignment> {
        self.assignments
            .execute(&mut self.revision, ASSIGNMENT, call)
    }
}
