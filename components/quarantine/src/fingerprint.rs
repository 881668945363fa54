//! Identity of a request that is the same for all its attempts, at whichever machine they enter.

use std::fmt::{self, Display, Formatter, Write};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};
use xxhash_rust::xxh3;

/// Length of a digest in bytes: too long for a request to be made that has the digest of another.
const DIGEST_BYTES: usize = 16;
/// Length of a fingerprint as text: eight hexadecimal digits of the target, the digest, and eight of
/// the caller.
const TEXT_LENGTH: usize = 8 + 2 * DIGEST_BYTES + 8;
/// Hash of the caller in a fingerprint that stands for the request of any caller.
const ANY_CALLER: u32 = 0;

/// The parts of a request that its attempts have in common.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a [u8],
    /// Host to which it is addressed.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a [u8],
    /// Service that sends it.
    pub caller: &'a [u8],
    /// Body.
    pub body: &'a [u8],
}

/// Fingerprint of a request of one caller or of any.
///
/// The digest is not keyed, as the machines share no secret; it is not reversible, but a body that
/// can be guessed can be confirmed from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Short hash of the path and query, from [`target_hash`].
    target: u32,
    /// Digest of all but the caller.
    digest: [u8; DIGEST_BYTES],
    /// Short hash of the caller, or [`ANY_CALLER`].
    caller: u32,
}

/// Returns the part of a fingerprint that depends only on the path and query.
///
/// It rules out most requests without a digest of their bodies.
#[must_use]
pub fn target_hash(target: &[u8]) -> u32 {
    xxh3::xxh3_64(target) as u32
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn new(request: &RequestIdentity) -> Self {
        let mut hasher = blake3::Hasher::new();
        let parts = [request.method, request.host, request.target, request.body];
        for part in parts {
            // With its length before it, no part can be taken for the end of another.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        Self {
            target: target_hash(request.target),
            digest,
            caller: (xxh3::xxh3_64(request.caller) as u32).max(ANY_CALLER + 1),
        }
    }

    /// Returns the fingerprint of the same request of any caller.
    #[must_use]
    pub fn any_caller(&self) -> Self {
        Self {
            caller: ANY_CALLER,
            ..*self
        }
    }

    /// Returns whether it stands for the request of any caller.
    #[must_use]
    pub fn is_any_caller(&self) -> bool {
        self.caller == ANY_CALLER
    }

    /// Returns a hash of the request that is the same for all callers.
    #[must_use]
    pub(crate) fn short_hash(&self) -> u64 {
        xxh3::xxh3_64(&self.digest)
    }

    /// Returns the part that depends only on the path and query.
    #[must_use]
    pub fn target(&self) -> u32 {
        self.target
    }
}

impl Display for Fingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.target)?;
        self.digest
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))?;
        write!(f, "{:08x}", self.caller)
    }
}

/// Error of a text that is not a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a fingerprint of {TEXT_LENGTH} hexadecimal digits"))]
pub struct FingerprintError {
    text: String,
}

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.bytes().all(|b| b.is_ascii_hexdigit());
        ensure!(
            text.len() == TEXT_LENGTH && is_hex,
            FingerprintSnafu { text }
        );
        let (target, rest) = text.split_at(8);
        let (digest_text, caller) = rest.split_at(2 * DIGEST_BYTES);
        let mut digest = [0; DIGEST_BYTES];
        for (byte, pair) in digest.iter_mut().zip(digest_text.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).ok();
            let value = pair.and_then(|p| u8::from_str_radix(p, 16).ok());
            *byte = value.context(FingerprintSnafu { text })?;
        }
        let number = |digits| u32::from_str_radix(digits, 16).ok();
        Ok(Self {
            target: number(target).context(FingerprintSnafu { text })?,
            digest,
            caller: number(caller).context(FingerprintSnafu { text })?,
        })
    }
}

/// Formats fingerprints for a log line, the first `most` of them, separated by commas.
#[must_use]
pub fn join(fingerprints: &[Fingerprint], most: usize) -> String {
    let mut text = String::new();
    for fingerprint in fingerprints.iter().take(most) {
        let separator = if text.is_empty() { "" } else { "," };
        // Writing to a string does not fail.
        let _ = write!(text, "{separator}{fingerprint}");
    }
    text
}
