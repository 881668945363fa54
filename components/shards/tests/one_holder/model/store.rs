//! The store: conditional writes under one revision counter.

use std::collections::BTreeMap;

use shards::assignment::Assignment;
use shards::keeper::{Call, Outcome, Stored};
use shards::lease::Lease;
use world::name::MachineName;

/// Objects of one type by name.
#[derive(Clone, Debug)]
pub(crate) struct Kind<T>(BTreeMap<String, Stored<T>>);

impl<T> Default for Kind<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T: Clone + PartialEq> Kind<T> {
    fn execute(&mut self, revision: &mut u64, name: &str, call: &Call<T>) -> Outcome<T> {
        let found = self.0.get(name).cloned();
        match (call, found) {
            (Call::Read, Some(stored)) => Outcome::Done(stored),
            (Call::Read | Call::Replace(_), None) => Outcome::Absent,
            (Call::Create(_), Some(stored)) => Outcome::Conflict(Some(stored)),
            (Call::Create(value), None) => Outcome::Done(self.write(revision, name, value)),
            (Call::Replace(wanted), Some(stored)) if wanted.revision != stored.revision => {
                Outcome::Conflict(Some(stored))
            }
            (Call::Replace(wanted), Some(stored)) if wanted.value == stored.value => {
                Outcome::Done(stored)
            }
            (Call::Replace(wanted), Some(_)) => {
                Outcome::Done(self.write(revision, name, &wanted.value))
            }
        }
    }

    fn write(&mut self, revision: &mut u64, name: &str, value: &T) -> Stored<T> {
        *revision += 1;
        let stored = Stored {
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
    pub(crate) fn lease(&mut self, machine: &MachineName, call: &Call<Lease>) -> Outcome<Lease> {
        self.leases
            .execute(&mut self.revision, machine.as_str(), call)
    }

    /// Carries out a call on the assignment.
    pub(crate) fn assignment(&mut self, call: &Call<Assignment>) -> Outcome<Assignment> {
        self.assignments
            .execute(&mut self.revision, ASSIGNMENT, call)
    }
}
