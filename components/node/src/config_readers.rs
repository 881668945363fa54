//! Which processes read the configuration from the store.
//!
//! Each of them gets the whole document with every change. So only a few processes of an availability
//! zone read it; the others get it from them, compressed, as soon as they announce its version. Nobody
//! appoints the readers: each process counts, among the peers of its zone that it hears and that reach the
//! store, those whose name comes before its own; with fewer than [`READERS_PER_ZONE`] it reads itself.
//! Processes that hear different peers may disagree; then more of them read, and only the bytes differ.
//!
//! A process pings the readers that it relies on, so that it notices one that is frozen or cut off.

use std::time::Duration;

use balance::choice::Distance;

/// Readers of an availability zone.
const READERS_PER_ZONE: usize = 2;
/// Time without a byte from a reader after which it is pinged.
const READER_PING_IDLE: Duration = Duration::from_millis(400);
/// Time without a byte from a reader after which it is passed over.
const READER_SILENCE: Duration = Duration::from_millis(1_000);
/// Time for which a process that is a reader lets its own watch deliver a version that a peer has.
const READER_PATIENCE: Duration = Duration::from_millis(400);
/// Time for which a version that is only in other zones of the region is awaited in the own one.
const REGION_PATIENCE: Duration = Duration::from_millis(100);
/// Time for which a version that is only in other regions is awaited in the own one.
const REMOTE_PATIENCE: Duration = Duration::from_millis(300);

/// Returns whether a process reads; `silences` says for how long it has heard nothing from each peer that
/// would read before it.
pub fn is_reader(silences: impl IntoIterator<Item = Duration>) -> bool {
    let heard = silences.into_iter().filter(|s| *s < READER_SILENCE);
    heard.take(READERS_PER_ZONE).count() < READERS_PER_ZONE
}

/// Returns which of these peers a process pings: the silent ones among those on which it relies or, if they
/// were heard, would rely.
pub fn to_ping(silences: impl IntoIterator<Item = Duration>) -> Vec<usize> {
    let mut heard = 0;
    let relied_on = silences.into_iter().take_while(|silence| {
        let is_needed = heard < READERS_PER_ZONE;
        heard += usize::from(*silence < READER_SILENCE);
        is_needed
    });
    let idle = relied_on
        .enumerate()
        .filter(|(_, silence)| *silence >= READER_PING_IDLE);
    idle.map(|(index, _)| index).collect()
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
