//! The interface to the object store and its results.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;

/// An object as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version; starts at 1 and rises with each update.
    pub version: u64,
    /// Content, at most 1 MiB.
    pub value: Bytes,
}

/// Outcome of a conditional update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The update took effect; the object now has this version.
    Written(u64),
    /// The object is at this other version; nothing was changed.
    Conflict(u64),
}

/// Why a request to the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// No response arrived; an update may or may not have taken effect.
    #[snafu(display("no response from the store for object {object}: {reason}"))]
    NoResponse {
        /// Name of the object.
        object: String,
        /// Cause, such as a timeout or a connection error.
        reason: String,
    },
    /// The store rejected the request; an update did not take effect.
    #[snafu(display("the store rejected the request for object {object} with status {status}"))]
    Rejected {
        /// Name of the object.
        object: String,
        /// HTTP status.
        status: u16,
    },
}

/// Operations of the object store that the daemons and the command-line tool use.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads an object; `None` when it does not exist.
    ///
    /// # Errors
    /// Fails when the store is down, rejects the request or does not respond in time.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Replaces an object that is at version `expected`; 0 creates one that does not exist yet.
    ///
    /// # Errors
    /// Fails when the store is down, rejects the request or does not respond in time. After
    /// [`StoreError::NoResponse`] the update may have taken effect.
    fn put(
        &self,
        name: &str,
        expected: u64,
        value: Bytes,
    ) -> impl Future<Output = Result<PutOutcome, StoreError>> + Send;

    /// Waits at most `timeout` for a version of the object above `known_version`.
    /// Returns `None` when none appeared in that time.
    ///
    /// # Errors
    /// Fails when the store is down, rejects the request or does not respond in time.
    fn watch(
        &self,
        name: &str,
        known_version: u64,
        timeout: Duration,
    ) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;
}
