//! The interface to the object store.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;

/// An object as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version; the store raises it with each update, starting at 1.
    pub version: u64,
    /// Content, at most a megabyte.
    pub value: Bytes,
}

/// What a conditional update did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// The update took effect and made this version.
    Written(u64),
    /// The object was at another version and stayed as it was.
    Conflict(u64),
}

/// Why a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// No answer came; a write may or may not have taken effect.
    #[snafu(display("the store gave no answer for object {object}: {reason}"))]
    NoAnswer {
        /// Name of the object.
        object: String,
        /// What went wrong.
        reason: String,
    },
    /// The store refused the call; a write did not take effect.
    #[snafu(display("the store refused the call for object {object} with status {status}"))]
    Refused {
        /// Name of the object.
        object: String,
        /// HTTP status.
        status: u16,
    },
}

/// The object store as the daemons and the tool use it.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads an object; none when it does not exist.
    ///
    /// # Errors
    /// Fails when the store is down, refuses or does not answer in time.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Replaces an object that is at version `expected`; 0 stands for one that does not exist.
    ///
    /// # Errors
    /// Fails when the store is down, refuses or does not answer in time. After
    /// [`StoreError::NoAnswer`] the update may have taken effect.
    fn put(
        &self,
        name: &str,
        expected: u64,
        value: Bytes,
    ) -> impl Future<Output = Result<Update, StoreError>> + Send;

    /// Waits at most `patience` for a version of the object above `known`.
    /// Gives none when there was none in that time.
    ///
    /// # Errors
    /// Fails when the store is down, refuses or does not answer in time.
    fn watch(
        &self,
        name: &str,
        known: u64,
        patience: Duration,
    ) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;
}
