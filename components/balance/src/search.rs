//! Bounds how many back ends are asked to run one request.
//!
//! Every back end of an overloaded service rejects what its queue has no room for. If a request were
//! offered to all of them, the traffic between the machines would grow with the square of their number
//! just when they are busiest, and the caller would learn late what is known after a few offers. As in
//! the power of d choices, a few samples find free room nearly as well as asking everyone does.

use crate::choice::Distance;

/// How many back ends may reject a request before the search for another one ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchLimit {
    /// Rejections in all.
    pub total: u32,
    /// Rejections by back ends in other regions; at most `total`.
    pub remote: u32,
}

impl SearchLimit {
    /// Limit for requests of callers.
    pub const CALLER: Self = Self {
        total: 4,
        remote: 1,
    };
    /// Limit for requests on which a running request waits: its work is lost if they fail.
    pub const NESTED: Self = Self {
        total: 8,
        remote: 2,
    };
}

/// The search for a back end that runs one request.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    limit: SearchLimit,
    rejections: u32,
    remote_rejections: u32,
}

impl Search {
    /// Starts a search.
    #[must_use]
    pub fn new(limit: SearchLimit) -> Self {
        Self {
            limit,
            rejections: 0,
            remote_rejections: 0,
        }
    }

    /// Counts a rejection for lack of room by a back end at `distance`.
    pub fn on_rejection(&mut self, distance: Distance) {
        self.rejections += 1;
        if distance == Distance::Remote {
            self.remote_rejections += 1;
        }
    }

    /// Returns whether one more back end at `distance` may be asked.
    #[must_use]
    pub fn allows(&self, distance: Distance) -> bool {
        let remote_allowed = self.remote_rejections < self.limit.remote;
        self.rejections < self.limit.total && (distance != Distance::Remote || remote_allowed)
    }
}
