//! The stored lease of a machine that grants keys.

use serde::{Deserialize, Serialize};

/// A machine's stored lease.
///
/// `epoch` only rises. Once `fenced` is set, the epoch is never renewed again; the machine goes on
/// by taking a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Number of the machine's current tenure.
    pub epoch: u64,
    /// Renewals so far, so that each renewal changes the object.
    pub count: u64,
    /// Whether another machine has ended this epoch.
    pub fenced: bool,
}

impl Lease {
    /// The lease after a renewal.
    #[must_use]
    pub fn renewed(self) -> Self {
        Self {
            count: self.count + 1,
            ..self
        }
    }

    /// The lease after another machine has ended it.
    #[must_use]
    pub fn ended(self) -> Self {
        Self {
            fenced: true,
            ..self
        }
    }

    /// The lease with which its machine starts a new tenure.
    #[must_use]
    pub fn next_epoch(self) -> Self {
        Self {
            epoch: self.epoch + 1,
            count: 0,
            fenced: false,
        }
    }
}
