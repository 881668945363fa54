//! Key hashes, shards, coordinator terms and fences.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Number of shards of each keyed service.
pub const SHARDS_PER_SERVICE: u16 = 1024;

/// Hash of a request's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key's bytes.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self(xxh3::xxh3_64(key))
    }

    /// Returns the key's shard in a service with `shards` shards; it is below `shards` unless that
    /// is 0.
    #[must_use]
    pub fn shard(self, shards: u16) -> Shard {
        let scaled = (u128::from(self.0) * u128::from(shards)) >> 64;
        Shard(u16::try_from(scaled).unwrap_or(0))
    }
}

/// Number of a shard within its service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Shard(pub u16);

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of a cell's coordinator term; it never decreases. Terms taken through the store are even,
/// and each may be followed by one odd term, in which a witness acts as coordinator without the
/// store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u32);

impl Term {
    /// Returns the next even term, which is taken through the store.
    #[must_use]
    pub fn next_stored(self) -> Self {
        Self((self.0 | 1) + 1)
    }

    /// Returns the odd term in which a witness may replace this term's coordinator without the
    /// store.
    #[must_use]
    pub fn acting(self) -> Self {
        Self(self.0 | 1)
    }

    /// Returns the even term, taken through the store, that this term belongs to.
    #[must_use]
    pub fn stored(self) -> Self {
        Self(self.0 & !1)
    }

    /// Returns whether the term was taken without the store.
    #[must_use]
    pub fn is_acting(self) -> bool {
        self.0 & 1 == 1
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Fencing token of a grant: the granting term in the upper 32 bits, a sequence number in the
/// lower.
///
/// Of two grants of the same shard, the later one has the higher fence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl Fence {
    /// Makes the fence with this sequence number within `term`.
    #[must_use]
    pub fn new(term: Term, sequence: u32) -> Self {
        Self(u64::from(term.0) << 32 | u64::from(sequence))
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0 >> 32, self.0 & 0xffff_ffff)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn shard_is_below_the_count(hash: u64, shards in 1u16..4096) {
            prop_assert!(KeyHash(hash).shard(shards).0 < shards);
        }

        #[test]
        fn a_later_term_has_the_higher_fence(term in 0u32..u32::MAX, a: u32, b: u32) {
            prop_assert!(Fence::new(Term(term), a) < Fence::new(Term(term + 1), b));
        }
    }
}
