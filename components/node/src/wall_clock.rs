//! The time of day, which can differ between machines and be set back.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
