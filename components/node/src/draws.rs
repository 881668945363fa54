//! Even draws for the shares of a split route.

use std::cell::Cell;

/// Step of a sequence that spreads evenly over 0..1: the golden ratio's fractional part.
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;

/// Draws that spread evenly over 0..1.
#[derive(Debug, Default)]
pub struct EvenDraws(Cell<f64>);

impl EvenDraws {
    /// The next draw.
    #[must_use]
    pub fn next(&self) -> f64 {
        let next = (self.0.get() + GOLDEN_STEP).fract();
        self.0.set(next);
        next
    }
}
