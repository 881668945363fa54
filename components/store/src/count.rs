//! Counts of the calls made to the store.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Calls made since the start, by kind.
#[derive(Debug, Default)]
pub struct CallCounter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    failures: AtomicU64,
}

/// The counts at one instant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Conditional updates.
    pub writes: u64,
    /// Watches, each of which the platform counts as one call.
    pub watches: u64,
    /// Calls of any kind that failed.
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

    /// Counts a failed call.
    pub fn add_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts now.
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
