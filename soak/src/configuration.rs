//! The configuration that the operator has written, and by when it must be in force.

use std::time::{Duration, Instant};

use stand_ins::store::Store;

/// Longest time from the confirmation of a version until it is in force (`configApplyMs`).
pub const APPLY_LIMIT: Duration = Duration::from_millis(2_500);

/// The newest version; each version adds a path and keeps those of earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Configuration {
    version: u64,
    /// When the store has last confirmed the newest version; `None` while it may have lost it.
    confirmed_at: Option<Instant>,
}

impl Configuration {
    /// Writes version 1.
    #[must_use]
    pub fn write_first(store: &Store) -> Self {
        let mut configuration = Self {
            version: 0,
            confirmed_at: None,
        };
        configuration.write_next(store);
        configuration
    }

    /// Returns the newest version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Writes the next version.
    pub fn write_next(&mut self, store: &Store) {
        self.version += 1;
        self.write_again(store);
    }

    /// Writes the newest version again.
    pub fn write_again(&mut self, store: &Store) {
        let paths: Vec<String> = (1..=self.version).map(version_path).collect();
        let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
        store.write_config(self.version, &paths);
        self.confirmed_at = Some(Instant::now());
    }

    /// Records that the store may have lost the newest version.
    pub fn on_restore(&mut self) {
        self.confirmed_at = None;
    }

    /// Returns whether an undisturbed machine must serve all versions at `at`.
    #[must_use]
    pub fn is_due(&self, at: Instant) -> bool {
        self.confirmed_at.is_some_and(|c| c + APPLY_LIMIT <= at)
    }
}

/// Returns the path that exists from this version of the configuration on.
#[must_use]
pub fn version_path(version: u64) -> String {
    format!("/v/{version}/")
}
