//! The configuration that the operator has written, and by when it must be in force.

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use stand_ins::store::Store;

/// Longest time from the confirmation of a version until it is in force (`configApplyMs`).
pub const APPLY_LIMIT: Duration = Duration::from_millis(2_500);
/// Number of successive versions that have the temporary path of the first of them.
pub const TEMPORARY_VERSIONS: u64 = 2;
/// Limits of successive versions, in turn.
const LIMITS: [Limits; 3] = [
    Limits::new(24_000, 100_000),
    Limits::new(40_000, 200_000),
    Limits::new(32_000, 150_000),
];

/// Limits of a version on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes; above the limit of a node without configuration.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: u64,
}

impl Limits {
    const fn new(head_bytes: usize, body_bytes: u64) -> Self {
        Self {
            head_bytes,
            body_bytes,
        }
    }
}

/// When the store has confirmed a version.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Confirmation {
    first: Instant,
    /// The first since when no restore can have lost it; `None` while it may be lost.
    lasting: Option<Instant>,
}

/// The newest version; each version adds a path and keeps those of earlier ones, and has two temporary
/// paths, its own and the one of the version before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    /// When the store has last confirmed the newest version; `None` while it may have lost it.
    confirmed_at: Option<Instant>,
    /// Confirmations of all versions, the first of which is 1.
    confirmations: Vec<Confirmation>,
}

impl Configuration {
    /// Writes version 1.
    #[must_use]
    pub fn write_first(store: &Store) -> Self {
        let mut configuration = Self {
            confirmed_at: None,
            confirmations: Vec::new(),
        };
        configuration.write_next(store);
        configuration
    }

    /// Returns the newest version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.confirmations.len() as u64
    }

    /// Writes the next version.
    pub fn write_next(&mut self, store: &Store) {
        write(store, self.version() + 1);
        let now = Instant::now();
        self.confirmed_at = Some(now);
        self.confirmations.push(Confirmation {
            first: now,
            lasting: Some(now),
        });
    }

    /// Writes the newest version again.
    pub fn write_again(&mut self, store: &Store) {
        write(store, self.version());
        let now = Instant::now();
        self.confirmed_at = Some(now);
        if let Some(newest) = self.confirmations.last_mut() {
            newest.lasting.get_or_insert(now);
        }
    }

    /// Records that the store goes away, to come back as it was at `copied_at`.
    pub fn on_away(&mut self, copied_at: Instant) {
        for confirmation in &mut self.confirmations {
            confirmation.lasting.take_if(|at| *at >= copied_at);
        }
    }

    /// Records that the store comes back as it was at `copied_at`, and may have lost the newest version.
    pub fn on_restore(&mut self, copied_at: Instant) {
        self.confirmed_at = None;
        self.on_away(copied_at);
    }

    /// Returns whether an undisturbed machine must serve all versions at `at`.
    #[must_use]
    pub fn is_due(&self, at: Instant) -> bool {
        self.confirmed_at.is_some_and(|c| c + APPLY_LIMIT <= at)
    }

    /// Returns the versions that may be in force for a request sent at `sent` and answered now.
    #[must_use]
    pub fn possible(&self, sent: Instant) -> RangeInclusive<u64> {
        self.since(|c| c.lasting.is_some_and(|at| at + APPLY_LIMIT <= sent))
    }

    /// Returns what [`Self::possible`] would if no restore had lost a version.
    #[must_use]
    pub fn possible_without_losses(&self, sent: Instant) -> RangeInclusive<u64> {
        self.since(|c| c.first + APPLY_LIMIT <= sent)
    }

    /// Returns the versions from the newest one that is due; all versions if none is.
    fn since(&self, is_due: impl Fn(&Confirmation) -> bool) -> RangeInclusive<u64> {
        let newest_due = self.confirmations.iter().rposition(is_due);
        newest_due.map_or(1, |i| i as u64 + 1)..=self.version()
    }
}

fn write(store: &Store, version: u64) {
    let temporary = (version + 1).saturating_sub(TEMPORARY_VERSIONS).max(1)..=version;
    let paths: Vec<String> = (1..=version)
        .map(version_path)
        .chain(temporary.map(temporary_path))
        .collect();
    let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
    let limits = limits(version);
    store.write_limited_config(version, &paths, limits.head_bytes, limits.body_bytes);
}

/// Returns the limits of a version.
#[must_use]
pub fn limits(version: u64) -> Limits {
    LIMITS[version as usize % LIMITS.len()]
}

/// Returns the path that exists from this version of the configuration on.
#[must_use]
pub fn version_path(version: u64) -> String {
    format!("/v/{version}/")
}

/// Returns the path that exists in this version of the configuration and the next one only.
#[must_use]
pub fn temporary_path(version: u64) -> String {
    format!("/temporary/{version}/")
}
