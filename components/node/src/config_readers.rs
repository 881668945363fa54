//! Which processes read the configuration from the store.
//!
//! Each of them gets the whole document with every change. So only a few processes of an availability
//! zone read it; the others get it from them, compressed, as soon as they announce its version. Nobody
//! appoints the readers: each process counts, among the peers of its zone that it is connected to and
//! that reach the store, those whose name comes before its own. Processes that see different peers may
//! disagree; then more of them read, and only the bytes differ.

use std::time::Duration;

use balance::choice::Distance;
use world::name::MachineName;

/// Readers of an availability zone.
pub const READERS_PER_ZONE: usize = 2;
/// Time for which a process that is a reader lets its own watch deliver a version that a peer has.
const READER_PATIENCE: Duration = Duration::from_millis(400);
/// Time for which a version that is only in other zones of the region is awaited in the own one.
const REGION_PATIENCE: Duration = Duration::from_millis(100);
/// Time for which a version that is only in other regions is awaited in the own one.
const REMOTE_PATIENCE: Duration = Duration::from_millis(300);

/// Returns whether `own` reads the configuration from the store; `others` are the peers of its zone that
/// could.
pub fn is_reader<'a>(own: &MachineName, others: impl IntoIterator<Item = &'a MachineName>) -> bool {
    let before = others.into_iter().filter(|m| *m < own);
    before.take(READERS_PER_ZONE).count() < READERS_PER_ZONE
}

/// Returns for how long a process lets a version be missing before it requests it from a peer at a
/// distance.
#[must_use]
pub fn patience(is_reader: bool, distance: Distance) -> Duration {
    let by_distance = match distance {
        Distance::Local | Distance::Zone => Duration::ZERO,
        Distance::Region => REGION_PATIENCE,
        Distance::Remote => REMOTE_PATIENCE,
    };
    if is_reader {
        READER_PATIENCE
    } else {
        by_distance
    }
}
