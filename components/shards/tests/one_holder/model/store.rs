//! A simulated object store: conditional writes with one revision counter.

use std::collections::BTreeMap;

use shards::assignment::Assignment;
use shards::lease::Lease;
use shards::manager::{StoreOp, StoreOutcome, Versioned};
use shards::revision::Revision;
use world::name::MachineName;

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

/// A simulated store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    revision: u32,
    leases: Objects<Lease>,
    assignments: Objects<Assignment>,
}

/// Name of the only assignment.
const ASSIGNMENT: &str = "service";

impl Store {
    /// Executes an operation on a lease.
    pub(crate) fn lease(
        &mut self,
        machine: &MachineName,
        op: &StoreOp<Lease>,
    ) -> StoreOutcome<Lease> {
        self.leases
            .execute(&mut self.revision, machine.as_str(), op)
    }

    /// Executes an operation on the assignment.
    pub(crate) fn assignment(&mut self, op: &StoreOp<Assignment>) -> StoreOutcome<Assignment> {
        self.assignments.execute(&mut self.revision, ASSIGNMENT, op)
    }
}
