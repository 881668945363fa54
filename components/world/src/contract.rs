//! Contracts: what the back ends of a service offer and guarantee.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::name::{NameError, OperationName, ServiceName};

/// Number of operations that a contract stores without heap allocation.
const INLINE_OPERATIONS: usize = 4;

/// One operation of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Name that callers use in requests.
    pub name: OperationName,
    /// True when the operation must run at most once; false when it is idempotent.
    pub order: bool,
}

/// What the back ends of a service offer and guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// The service.
    pub service: ServiceName,
    /// True when each key is owned by one back end. Only a keyed service may have orders; see
    /// [`Contract::is_consistent`].
    pub keyed: bool,
    /// True when a back end rejects requests with an outdated fence or an expired lease.
    pub checks_fences: bool,
    /// Every operation that callers may request.
    pub operations: SmallVec<[Operation; INLINE_OPERATIONS]>,
}

impl Operation {
    /// Makes an operation from untrusted input.
    ///
    /// # Errors
    /// Returns an error when the name is invalid.
    pub fn from_input(name: &str, order: bool) -> Result<Self, NameError> {
        let name = OperationName::from_input(name)?;
        Ok(Self { name, order })
    }
}

impl Contract {
    /// Returns the operation with this name, or `None` when the contract has none.
    #[must_use]
    pub fn operation(&self, name: &str) -> Option<&Operation> {
        self.operations.iter().find(|o| o.name.as_str() == name)
    }

    /// Returns whether the contract is valid: a service with orders must be keyed.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        self.keyed || !self.operations.iter().any(|o| o.order)
    }
}
