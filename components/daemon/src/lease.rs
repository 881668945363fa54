//! The member lease, written by the control thread and read by request threads.

use std::sync::{Mutex, PoisonError};

use world::instant::BootInstant;

/// The daemon's lease at one instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Lease session of new requests; at least 1. Increases when the lease of earlier requests must
    /// no longer be extended.
    pub session: u64,
    /// End of the lease: before it, the daemon owns the shards granted to it.
    pub until: BootInstant,
}

impl Lease {
    /// Returns whether the lease is valid at `now`.
    #[must_use]
    pub fn is_held(&self, now: BootInstant) -> bool {
        now < self.until
    }
}

/// The lease as shared between threads. Session and end are always read together.
#[derive(Debug)]
pub struct SharedLease(Mutex<Lease>);

impl Default for SharedLease {
    fn default() -> Self {
        Self(Mutex::new(Lease {
            session: 1,
            until: BootInstant::default(),
        }))
    }
}

impl SharedLease {
    /// Returns the current lease.
    #[must_use]
    pub fn load(&self) -> Lease {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the end of the lease, in a new session if `new_session` is true. Returns the new lease.
    pub fn store(&self, until: BootInstant, new_session: bool) -> Lease {
        let mut lease = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lease.session += u64::from(new_session);
        lease.until = until;
        *lease
    }

    /// Starts a new session without ending the lease. Returns the previous lease.
    pub fn start_session(&self) -> Lease {
        let mut lease = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let before = *lease;
        lease.session += 1;
        before
    }
}
