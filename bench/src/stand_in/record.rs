//! What the stand-in back ends record for the checker.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use world::instant::BootInstant;

/// One execution of a request that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    /// Instant at which it took effect, in nanoseconds of the machine's boot clock.
    #[serde(with = "nanos")]
    pub at: BootInstant,
}

/// Instants as plain numbers.
mod nanos {
    use serde::{Deserialize, Deserializer, Serializer};
    use world::instant::BootInstant;

    pub(super) fn serialize<S: Serializer>(at: &BootInstant, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_u64(at.as_nanos())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<BootInstant, D::Error> {
        u64::deserialize(from).map(BootInstant::from_nanos)
    }
}

/// Executions of all back ends of a deployment, in the order in which they took effect.
#[derive(Clone, Debug, Default)]
pub struct Recorder(Arc<Mutex<Records>>);

#[derive(Debug, Default)]
struct Records {
    executions: Vec<Execution>,
    /// Gets each execution as a line of JSON before it is answered, so that it outlives a kill.
    file: Option<File>,
}

impl Recorder {
    /// A recorder that also appends to a file.
    #[must_use]
    pub fn appending_to(file: File) -> Self {
        let records = Records {
            executions: Vec::new(),
            file: Some(file),
        };
        Self(Arc::new(Mutex::new(records)))
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `commit` and, when it gives an execution, records it in the same step.
    pub fn commit(&self, commit: impl FnOnce() -> Option<Execution>) -> bool {
        let mut records = self.lock();
        let Some(execution) = commit() else {
            return false;
        };
        if let Some(file) = &mut records.file {
            let line = serde_json::to_string(&execution).unwrap_or_default();
            if let Err(error) = file.write_all(format!("{line}\n").as_bytes()) {
                log::error!(event = "record_not_written", error = error.to_string().as_str(); "");
            }
        }
        records.executions.push(execution);
        true
    }

    /// All executions so far.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().executions.clone()
    }

    /// Number of executions so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().executions.len()
    }

    /// Tells whether nothing was executed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
