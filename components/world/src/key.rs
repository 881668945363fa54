//! Keys, shards and fences.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Shards that each keyed service is divided into.
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

    /// The shard that the key belongs to in a service of `shards` shards.
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

/// Number of a cell's coordinator term; it only rises. Terms taken through the store are even,
/// and each may be followed by one odd term of a witness that acts without the store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u32);

impl Term {
    /// The next term to be taken through the store; these are even.
    #[must_use]
    pub fn next_stored(self) -> Self {
        Self((self.0 | 1) + 1)
    }

    /// The term under which a witness may act for this term's coordinator without the store.
    #[must_use]
    pub fn acting(self) -> Self {
        Self(self.0 | 1)
    }

    /// The term taken through the store that this term belongs to.
    #[must_use]
    pub fn stored(self) -> Self {
        Self(self.0 & !1)
    }

    /// Tells whether the term was taken without the store.
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

/// Fence of a grant: the granting term in the high half, a sequence number in the low half.
///
/// Of two grants of one shard the later one has the higher fence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl Fence {
    /// Makes the fence with number `sequence` of `term`.
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
