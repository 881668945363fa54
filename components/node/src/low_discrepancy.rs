//! Low-discrepancy sequence that selects the service of a route with a traffic split.

use std::cell::Cell;

/// Step of the sequence: the fractional part of the golden ratio, whose multiples spread evenly
/// over
/// 0..1.
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;

/// Numbers in 0..1 of which every run is spread evenly.
#[derive(Debug, Default)]
pub struct LowDiscrepancySequence(Cell<f64>);

impl LowDiscrepancySequence {
    /// Returns the next number, 0 inclusive to 1 exclusive.
    #[must_use]
    pub fn next(&self) -> f64 {
        let next = (self.0.get() + GOLDEN_STEP).fract();
        self.0.set(next);
        next
    }
}
