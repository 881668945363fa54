//! Asks the store on demand whether the configuration in force is the newest.
//!
//! [`crate::catalog_watch`] does the asking, so that a later one is put in force as by a watch.

use std::cell::Cell;
use std::time::Duration;

use timer::{BootClock, Clock};
use tokio::sync::{Notify, watch};
use world::instant::BootInstant;

use crate::denial::REFRESH_TIMEOUT;

/// Time after a failed check in which no other one is made.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);

/// Joins those who wait for a check with the task that makes it.
#[derive(Debug, Default)]
pub struct ConfigCheck {
    /// Whether somebody waits for a check that has not ended.
    wanted: Cell<bool>,
    requested: Notify,
    /// Number of checks that have ended.
    ended: watch::Sender<u64>,
    failed_at: Cell<Option<BootInstant>>,
}

impl ConfigCheck {
    /// Waits until a check has ended, for `timeout` at most; returns at once if the last one has just
    /// failed.
    pub async fn wait(&self, timeout: Duration) {
        let now = BootClock.now();
        let failed_at = self.failed_at.get();
        if failed_at.is_some_and(|at| now.since(at) < FAILURE_BACKOFF) {
            return;
        }
        let mut ended = self.ended.subscribe();
        self.wanted.set(true);
        self.requested.notify_one();
        let waited = tokio::time::timeout(timeout, ended.changed()).await;
        if waited.is_err() && timeout >= REFRESH_TIMEOUT {
            self.failed_at.set(Some(BootClock.now()));
        }
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

    fn end(&self) {
        self.wanted.set(false);
        self.ended.send_modify(|n| *n += 1);
    }
}
