//! Number of crashes attributed to a request.

use serde::{Deserialize, Serialize};

use crate::exits::{BackEndHash, Exits, MAX_EXITS};

/// Crashes attributed to a request, as a value that machines can merge in any order.
///
/// Crashes are counted one after another: a crash has the number after the last one that the
/// machine knew when it sent the request. Back ends that end at once while they run copies of one
/// request therefore count as one crash, whoever sees them; the back ends themselves are in
/// `exits`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashCount {
    /// Number of the last crash; only rises.
    pub crashes: u32,
    /// Number of the last crash after which a back end completed the request; only rises, at most
    /// `crashes`.
    pub cleared: u32,
    /// Back ends that exited in crashes after [`Self::cleared`]; not part of the encoding that all
    /// versions have in common.
    #[serde(skip)]
    pub exits: Exits,
}

impl CrashCount {
    /// Returns the crashes since the request was last completed.
    #[must_use]
    pub fn unresolved(self) -> u32 {
        self.crashes.saturating_sub(self.cleared)
    }

    /// Returns the count with what either of the two knows.
    #[must_use]
    pub fn merged(self, other: Self) -> Self {
        let crashes = self.crashes.max(other.crashes);
        let cleared = self.cleared.max(other.cleared).min(crashes);
        Self {
            crashes,
            cleared,
            exits: self.exits.merged(other.exits).after(cleared),
        }
    }

    /// Returns whether the two know of the same last crash and the same last completion.
    #[must_use]
    pub fn is_same_crash(self, other: Self) -> bool {
        (self.crashes, self.cleared) == (other.crashes, other.cleared)
    }

    /// Returns whether as many back ends have exited under the request as block it one after
    /// another: its copies may have run at the same time, so that only single runs show whether it
    /// crashes back ends or was only there.
    #[must_use]
    pub fn needs_trial(self) -> bool {
        let exits = self.exits.count().max(self.unresolved() as usize);
        exits >= MAX_EXITS
    }

    /// Returns the count after the crash of `back_end`, to which the request was sent when `known`
    /// crashes were known.
    #[must_use]
    pub fn after_crash(self, back_end: BackEndHash, known: u32) -> Self {
        let number = known.saturating_add(1);
        let exits = self.exits.with(back_end, number).after(self.cleared);
        Self {
            crashes: self.crashes.max(number),
            exits,
            ..self
        }
    }

    /// Returns the count after a back end has completed the request.
    #[must_use]
    pub fn after_completion(self) -> Self {
        Self {
            cleared: self.crashes,
            exits: Exits::default(),
            ..self
        }
    }
}
