//! Identity of a request that is the same for all its attempts, at whichever machine they enter.

use std::fmt::{self, Display, Formatter, Write};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};
use xxhash_rust::xxh3;

/// Length of a digest in bytes: too long for a request to be made that has the digest of another.
const DIGEST_BYTES: usize = 16;
/// Length of a fingerprint as text: eight hexadecimal digits of the target, then the digest.
const TEXT_LENGTH: usize = 8 + 2 * DIGEST_BYTES;

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

/// Fingerprint of a request.
///
/// The digest is not keyed, as the machines share no secret; it is not reversible, but a body that
/// can be guessed can be confirmed from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Short hash of the path and query, from [`target_hash`].
    target: u32,
    digest: [u8; DIGEST_BYTES],
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
        let parts = [
            request.method,
            request.host,
            request.target,
            request.caller,
            request.body,
        ];
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
        }
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
            .try_for_each(|byte| write!(f, "{byte:02x}"))
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
        let mut digest = [0; DIGEST_BYTES];
        for (byte, pair) in digest.iter_mut().zip(rest.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).ok();
            let value = pair.and_then(|p| u8::from_str_radix(p, 16).ok());
            *byte = value.context(FingerprintSnafu { text })?;
        }
        let target = u32::from_str_radix(target, 16).ok();
        Ok(Self {
            target: target.context(FingerprintSnafu { text })?,
            digest,
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
