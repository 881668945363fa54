//! Asks the store on demand whether the configuration in force is the newest.
//!
//! [`crate::catalog_watch`] does the asking, so that a later one is put in force as by a watch.

use std::cell::Cell;
use std::time::Duration;

use timer::{BootClock, Clock};
use tokio::sync::{Notify, watch};
use world::instant::BootInstant;

/// Longest time for which a request waits for a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a failed check in which no other one is made.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);

/// Joins those who wait for a check with the task that makes it.
#[derive(Debug, Default)]
pub struct ConfigCheck {
    requested: Notify,
    /// Number of checks that have ended.
    ended: watch::Sender<u64>,
    failed_at: Cell<Option<BootInstant>>,
}

impl ConfigCheck {
    /// Waits until a check has ended, for `CHECK_TIMEOUT` at most; returns at once if the last one has
    /// just failed.
    pub async fn wait(&self) {
        let now = BootClock.now();
        let failed_at = self.failed_at.get();
        if failed_at.is_some_and(|at| now.since(at) < FAILURE_BACKOFF) {
            return;
        }
        let mut ended = self.ended.subscribe();
        self.requested.notify_one();
        if tokio::time::timeout(CHECK_TIMEOUT, ended.changed())
            .await
            .is_err()
        {
            self.failed_at.set(Some(BootClock.now()));
        }
    }

    /// Waits until somebody waits for a check.
    pub(crate) async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Ends a check that has shown the newest configuration.
    pub(crate) fn on_success(&self) {
        self.failed_at.set(None);
        self.ended.send_modify(|n| *n += 1);
    }

    /// Ends a check that has failed.
    pub(crate) fn on_failure(&self) {
        self.failed_at.set(Some(BootClock.now()));
        self.ended.send_modify(|n| *n += 1);
    }
}
