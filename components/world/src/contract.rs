//! What a service's back ends promise.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::name::{NameError, OperationName, ServiceName};

/// Operations that a contract lists without heap allocation.
const INLINE_OPERATIONS: usize = 4;

/// One operation of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Name under which callers ask for it.
    pub name: OperationName,
    /// True when the operation must run at most once; false when it is idempotent.
    pub order: bool,
}

/// What the back ends of a service promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// The service.
    pub service: ServiceName,
    /// True when each key has one owning back end. Invariant: orders need a keyed service.
    pub keyed: bool,
    /// True when a back end refuses requests under an old fence or an ended lease.
    pub checks_fences: bool,
    /// Every operation that callers may ask for.
    pub operations: SmallVec<[Operation; INLINE_OPERATIONS]>,
}

impl Operation {
    /// Makes an operation from outside input.
    ///
    /// # Errors
    /// Returns the fault when the name is invalid.
    pub fn from_input(name: &str, order: bool) -> Result<Self, NameError> {
        let name = OperationName::from_input(name)?;
        Ok(Self { name, order })
    }
}

impl Contract {
    /// Finds an operation by name.
    #[must_use]
    pub fn operation(&self, name: &str) -> Option<&Operation> {
        self.operations.iter().find(|o| o.name.as_str() == name)
    }

    /// Tells whether every order of the contract has a key to be owned by.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        self.keyed || !self.operations.iter().any(|o| o.order)
    }
}
