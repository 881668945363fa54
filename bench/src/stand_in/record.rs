//! Records the executions of the stand-in back ends for the checker.

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
    /// Key in hexadecimal; empty for a service without keys.
    pub key: String,
    /// Ticket of an order; empty for a lookup.
    pub ticket: String,
    /// Id that the caller gave the request.
    pub request: String,
    /// Fencing token that it was executed under; 0 for a service without keys.
    pub fence: u64,
    /// Instant at which it took effect, serialized as nanoseconds of the machine's boot clock.
    #[serde(with = "nanos")]
    pub at: BootInstant,
}

/// Serializes an instant as a number of nanoseconds.
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
    /// Receives each execution as a line of JSON before the request is answered, so that the record
    /// survives a kill of the process.
    file: Option<File>,
}

impl Recorder {
    /// Creates a recorder that also appends each execution to a file.
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

    /// Runs `commit` under the recorder's lock and records the execution that it returns, so that
    /// records are in the order of effect. Returns whether there was one.
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

    /// Returns all executions so far.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().executions.clone()
    }

    /// Returns the number of executions so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().executions.len()
    }

    /// Returns true when nothing was executed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
