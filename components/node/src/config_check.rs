//! Asks on demand whether the configuration in force is the newest.
//!
//! [`crate::catalog_watch`] asks the store, so that a later one is put in force as by a watch.

use std::cell::Cell;
use std::time::Duration;

use timer::{BootClock, Clock};
use tokio::sync::Notify;
use world::instant::BootInstant;

/// Longest time for which a request waits for a later configuration, or for proof that there is none.
pub const REFRESH_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a failure in which nobody is asked again.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);

/// Joins the requests that wait for a check with the task that makes it, and limits how often it is made.
#[derive(Debug, Default)]
pub struct ConfigCheck {
    /// Whether somebody waits for a check that has not ended.
    wanted: Cell<bool>,
    requested: Notify,
    ended: Notify,
    failed_at: Cell<Option<BootInstant>>,
}

impl ConfigCheck {
    /// Waits until a check of the store has ended, for `timeout` at most.
    pub async fn wait(&self, timeout: Duration) {
        let ended = self.ended.notified();
        self.wanted.set(true);
        self.requested.notify_one();
        if tokio::time::timeout(timeout, ended).await.is_err() {
            self.on_timeout(timeout);
        }
    }

    /// Returns whether the store or a peer has failed to respond so lately that neither is asked again.
    #[must_use]
    pub fn has_just_failed(&self) -> bool {
        let now = BootClock.now();
        let failed_at = self.failed_at.get();
        failed_at.is_some_and(|at| now.since(at) < FAILURE_BACKOFF)
    }

    /// Waits until somebody waits for a check; returns again until one has ended.
    pub(crate) async fn requested(&self) {
        while !self.wanted.get() {
            self.requested.notified().await;
        }
    }

    /// Ends a check that has shown the newest configuration.
    pub(crate) fn on_success(&self) {
        self.failed_at.set(None);
        self.end();
    }

    /// Ends a check that has failed.
    pub(crate) fn on_failure(&self) {
        self.failed_at.set(Some(BootClock.now()));
        self.end();
    }

    /// Records that nobody has responded to a caller who waited for `patience`; one of less patience than
    /// [`REFRESH_TIMEOUT`] proves nothing.
    pub(crate) fn on_timeout(&self, patience: Duration) {
        if patience >= REFRESH_TIMEOUT {
            self.failed_at.set(Some(BootClock.now()));
        }
    }

    fn end(&self) {
        self.wanted.set(false);
        self.ended.notify_waiters();
    }
}
