//! Counts of the requests made to the store.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Counts requests since its creation, by kind; shared between threads.
#[derive(Debug, Default)]
pub struct CallCounter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    failures: AtomicU64,
}

/// Snapshot of a [`CallCounter`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Conditional updates.
    pub writes: u64,
    /// Watches; the platform counts each as one request.
    pub watches: u64,
    /// Failed requests of any kind.
    pub failures: u64,
}

impl CallCounter {
    /// Counts a read.
    pub fn add_read(&self) {
        self.reads.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a conditional update.
    pub fn add_write(&self) {
        self.writes.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a watch.
    pub fn add_watch(&self) {
        self.watches.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a failed request.
    pub fn add_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
        }
    }
}
