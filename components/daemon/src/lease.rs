//! The member lease as request threads see it.

use std::sync::{Mutex, PoisonError};

use world::instant::BootInstant;

/// The daemon's lease at one instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Rises whenever requests sent earlier must no longer be extended; at least 1.
    pub session: u64,
    /// Instant until which the daemon owns what it holds.
    pub until: BootInstant,
}

impl Lease {
    /// Tells whether the lease runs at `now`.
    #[must_use]
    pub fn is_held(&self, now: BootInstant) -> bool {
        now < self.until
    }
}

/// Shared lease; session and end are always read together.
#[derive(Debug)]
pub struct LeaseCell(Mutex<Lease>);

impl Default for LeaseCell {
    fn default() -> Self {
        Self(Mutex::new(Lease {
            session: 1,
            until: BootInstant::default(),
        }))
    }
}

impl LeaseCell {
    /// The lease now.
    #[must_use]
    pub fn load(&self) -> Lease {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the end of the lease and, when `ended` is true, starts a new session first.
    pub fn store(&self, until: BootInstant, ended: bool) -> Lease {
        let mut lease = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lease.session += u64::from(ended);
        lease.until = until;
        *lease
    }

    /// Starts a new session without ending the lease. Returns the lease before.
    pub fn rotate(&self) -> Lease {
        let mut lease = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let before = *lease;
        lease.session += 1;
        before
    }
}
