//! The stored lease of a machine that grants keys.

use serde::{Deserialize, Serialize};

/// A machine's stored lease.
///
/// `epoch` only rises. Once `fenced` is set, the epoch is never renewed again; the machine
/// continues under a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Number of the lease period; raised on each acquisition, unchanged by renewals.
    pub epoch: u64,
    /// Renewals within the epoch; makes each renewal change the stored object.
    pub count: u64,
    /// Whether another machine has revoked this epoch.
    pub fenced: bool,
}

impl Lease {
    /// Returns the lease after a renewal.
    #[must_use]
    pub fn renewed(self) -> Self {
        Self {
            count: self.count + 1,
            ..self
        }
    }

    /// Returns the lease after another machine has revoked it.
    #[must_use]
    pub fn to_fenced(self) -> Self {
        Self {
            fenced: true,
            ..self
        }
    }

    /// Returns the lease with which its machine starts a new epoch.
    #[must_use]
    pub fn next_epoch(self) -> Self {
        Self {
            epoch: self.epoch + 1,
            count: 0,
            fenced: false,
        }
    }
}
