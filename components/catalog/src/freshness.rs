//! Whether a configuration may be stale, so that what it lacks may exist.
//!
//! A request that it allows is handled in any case. One that it does not allow is denied for good only
//! by a configuration that is known to be the newest: no caller repeats it.

use std::time::Duration;

use world::instant::BootInstant;

/// Time after a restore of the store in which the operator writes again what the store has lost.
pub const REWRITE_TIME: Duration = Duration::from_secs(10);

/// Why a configuration may be stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReason {
    /// There is none yet.
    NoConfiguration,
    /// Another one has come into force since the request was checked.
    Replaced,
    /// A peer has a later one.
    LaterAtPeer,
    /// A later one could not be decoded.
    Unreadable,
    /// The store was restored from a snapshot lately and may lack the newest one.
    StoreRestored,
    /// The store has not confirmed it lately.
    Unconfirmed,
}

impl StaleReason {
    /// Returns its name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::Replaced => "replaced",
            Self::LaterAtPeer => "later-at-peer",
            Self::Unreadable => "unreadable",
            Self::StoreRestored => "store-restored",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// What the store has shown of the configuration in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// When the last request was sent whose response showed it to be the newest; never before
    /// `restored_at`.
    confirmed_at: Option<BootInstant>,
    /// When the process learned of the last restore of the store, by its own start at the latest.
    restored_at: Option<BootInstant>,
    /// Highest version that could not be decoded.
    unreadable: Option<u64>,
}

impl Freshness {
    /// Records that a request sent at `sent` has shown the configuration in force to be the newest.
    pub fn on_confirmed(&mut self, sent: BootInstant) {
        if self.restored_at.is_none_or(|at| sent >= at) {
            self.confirmed_at = self.confirmed_at.max(Some(sent));
        }
    }

    /// Records that the process has learned at `now` of a restore of the store from a snapshot.
    pub fn on_restored(&mut self, now: BootInstant) {
        self.confirmed_at = None;
        self.restored_at = Some(now);
    }

    /// Records that a configuration of `version` could not be decoded.
    pub fn on_unreadable(&mut self, version: u64) {
        self.unreadable = self.unreadable.max(Some(version));
    }

    /// Returns the highest version that could not be decoded.
    #[must_use]
    pub fn unreadable(&self) -> Option<u64> {
        self.unreadable
    }

    /// Returns when the request was sent that last showed the configuration to be the newest.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<BootInstant> {
        self.confirmed_at
    }

    /// Returns why the configuration in force, of `version`, may be stale at `now`, if it may; a
    /// confirmation counts for `max_age`.
    #[must_use]
    pub fn staleness(
        &self,
        version: u64,
        now: BootInstant,
        max_age: Duration,
    ) -> Option<StaleReason> {
        let is_recent = |at: Option<BootInstant>, age| at.is_some_and(|at| now.since(at) <= age);
        if self.unreadable > Some(version) {
            Some(StaleReason::Unreadable)
        } else if is_recent(self.restored_at, REWRITE_TIME) {
            Some(StaleReason::StoreRestored)
        } else if is_recent(self.confirmed_at, max_age) {
            None
        } else {
            Some(StaleReason::Unconfirmed)
        }
    }
}
