//! What the stand-in back ends record for the checker.

use std::sync::{Arc, Mutex, PoisonError};

use world::moment::Moment;

/// One execution of a request that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Machine of the back end.
    pub machine: String,
    /// Service.
    pub service: String,
    /// Operation.
    pub operation: String,
    /// Customer.
    pub customer: String,
    /// Key; empty for a service without keys.
    pub key: String,
    /// Ticket of an order; empty for a lookup.
    pub ticket: String,
    /// Number that the caller gave the request.
    pub request: String,
    /// Fence that it ran under; 0 for a service without keys.
    pub fence: u64,
    /// Instant at which it took effect.
    pub at: Moment,
}

/// Executions of all back ends of a deployment, in the order in which they took effect.
#[derive(Clone, Debug, Default)]
pub struct Recorder(Arc<Mutex<Vec<Execution>>>);

impl Recorder {
    /// Runs `commit` and, when it gives an execution, records it in the same step.
    pub fn commit(&self, commit: impl FnOnce() -> Option<Execution>) -> bool {
        let mut executions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match commit() {
            Some(execution) => {
                executions.push(execution);
                true
            }
            None => false,
        }
    }

    /// All executions so far.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Number of executions so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Tells whether nothing was executed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
