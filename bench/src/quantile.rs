//! Quantiles of measured times.

use std::time::Duration;

/// Returns the time at `quantile` (0 to 1) of sorted times, in whole milliseconds; 0 without times.
#[must_use]
pub fn millis(sorted: &[Duration], quantile: f64) -> u128 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    sorted.get(index).map_or(0, Duration::as_millis)
}
