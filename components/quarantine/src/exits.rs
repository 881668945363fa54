//! Back ends that exited while they ran a request.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Most back ends that are remembered for a request.
pub const MAX_EXITS: usize = 3;

/// Short hash of an incarnation of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BackEndHash(u32);

impl BackEndHash {
    /// Hashes the identity of an incarnation: its id, and what distinguishes it from the others with
    /// this id.
    #[must_use]
    pub fn new(id: &str, born: u64) -> Self {
        let id_hash = xxh3::xxh3_64(id.as_bytes());
        let both = [id_hash.to_be_bytes(), born.to_be_bytes()].concat();
        Self(xxh3::xxh3_64(&both) as u32)
    }
}

/// A back end that exited while it ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Exit {
    /// Number of the crash as which it counted.
    crash: u32,
    back_end: BackEndHash,
}

/// The last [`MAX_EXITS`] different back ends that exited while they ran a request.
///
/// Sets merge in any order and any number of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Exits {
    /// Each back end once, the greatest first, empty places last.
    exits: [Option<Exit>; MAX_EXITS],
}

impl Exits {
    /// Returns the number of back ends.
    #[must_use]
    pub fn count(&self) -> usize {
        self.exits.iter().flatten().count()
    }

    /// Returns the set with a back end that exited in the crash with this number.
    #[must_use]
    pub fn with(self, back_end: BackEndHash, crash: u32) -> Self {
        let single = [Some(Exit { crash, back_end }), None, None];
        self.merged(Self { exits: single })
    }

    /// Returns the back ends of both sets.
    #[must_use]
    pub fn merged(self, other: Self) -> Self {
        let mut all: [Option<Exit>; 2 * MAX_EXITS] = [None; 2 * MAX_EXITS];
        all[..MAX_EXITS].copy_from_slice(&self.exits);
        all[MAX_EXITS..].copy_from_slice(&other.exits);
        all.sort_unstable_by(|a, b| b.cmp(a));
        let mut merged = Self::default();
        let mut count = 0;
        for exit in all.into_iter().flatten() {
            let known = merged.exits.iter().flatten();
            if count < MAX_EXITS && !known.clone().any(|e| e.back_end == exit.back_end) {
                merged.exits[count] = Some(exit);
                count += 1;
            }
        }
        merged
    }

    /// Returns the back ends that exited in a crash after the one with this number.
    #[must_use]
    pub fn after(self, crash: u32) -> Self {
        let mut later = Self::default();
        let kept = self.exits.into_iter().flatten().filter(|e| e.crash > crash);
        for (place, exit) in later.exits.iter_mut().zip(kept) {
            *place = Some(exit);
        }
        later
    }
}
