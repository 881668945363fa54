//! Chooses the machine at which a request on trial runs.

use world::name::MachineName;
use xxhash_rust::xxh3;

use crate::fingerprint::Fingerprint;

/// Returns which of the machines runs a request on trial: the same one for all who know the same
/// machines, so that its copies meet there and run one after another.
#[must_use]
pub fn choose<'a>(
    fingerprint: &Fingerprint,
    machines: impl IntoIterator<Item = &'a MachineName>,
) -> Option<&'a MachineName> {
    let seed = fingerprint.short_hash();
    let weight = |m: &MachineName| xxh3::xxh3_64_with_seed(m.as_str().as_bytes(), seed);
    machines.into_iter().max_by_key(|m| weight(m))
}
