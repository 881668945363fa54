//! The order of the store's writes, which also holds when the store is restored from a snapshot
//! and gives out revision numbers again.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// Number of bits of the store's revision number in a [`Revision`].
const NUMBER_BITS: u32 = 40;
/// Number of bits of the counter in a fencing token, below the era; tokens are JSON numbers, which
/// are exact up to 53 bits.
const FENCE_COUNTER_BITS: u32 = 32;
/// Largest era for which revisions and fencing tokens have room.
const MAX_ERA: u32 = (1 << 20) - 1;

/// Time between two restores of the store from a snapshot; rises with each.
///
/// Never above `MAX_ERA`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(u32);

impl StoreEra {
    /// The era of a store that names none.
    pub const FIRST: Self = Self(0);

    /// Makes an era; `None` if there is no room for it in revisions and fencing tokens.
    #[must_use]
    pub fn new(number: u64) -> Option<Self> {
        let number = u32::try_from(number).ok()?;
        (number <= MAX_ERA).then_some(Self(number))
    }

    /// Returns the number of the era.
    #[must_use]
    pub fn number(self) -> u32 {
        self.0
    }

    /// Returns a fencing token above all of earlier eras and not above any of this one.
    #[must_use]
    pub fn fence_base(self) -> u64 {
        u64::from(self.0) << FENCE_COUNTER_BITS
    }

    /// Returns the era in which a fencing token was issued.
    #[must_use]
    pub fn of_fence(fence: u64) -> Self {
        let number = fence >> FENCE_COUNTER_BITS;
        Self(u32::try_from(number).unwrap_or(MAX_ERA).min(MAX_ERA))
    }
}

impl Display for StoreEra {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Revision of a stored object: the era in which it was given out, then the store's number.
///
/// Within an era, a later write has a higher number; over eras only this pair orders writes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// The revision before the first write.
    pub const NONE: Self = Self(0);

    /// Makes a revision; `None` if the number takes more than `NUMBER_BITS`.
    #[must_use]
    pub fn new(era: StoreEra, number: u64) -> Option<Self> {
        let fits = number >> NUMBER_BITS == 0;
        fits.then_some(Self(u64::from(era.0) << NUMBER_BITS | number))
    }

    /// Returns the era.
    #[must_use]
    pub fn era(self) -> StoreEra {
        let number = self.0 >> NUMBER_BITS;
        StoreEra(u32::try_from(number).unwrap_or(MAX_ERA))
    }

    /// Returns the number by which the store knows it.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

impl From<u32> for Revision {
    /// Makes a revision of a store that names no era.
    fn from(number: u32) -> Self {
        Self(u64::from(number))
    }
}

impl Display for Revision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let era = self.era();
        if era == StoreEra::FIRST {
            return self.number().fmt(f);
        }
        write!(f, "{era}.{}", self.number())
    }
}
