//! Which callers have been refused before, as far as their patience tells.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use catalog::Route;

/// Part of the longest patience below which a caller has been refused before.
const FIRST_ATTEMPT_PART: f64 = 0.85;

/// The longest patience seen on each route.
#[derive(Debug, Default)]
pub struct Patience(RefCell<HashMap<String, Duration>>);

impl Patience {
    /// Whether a caller with this patience has used up a part of it before.
    #[must_use]
    pub fn has_returned(&self, route: &Route, patience: Duration) -> bool {
        let mut longest = self.0.borrow_mut();
        match longest.get_mut(&route.name) {
            Some(known) => {
                *known = (*known).max(patience);
                patience < known.mul_f64(FIRST_ATTEMPT_PART)
            }
            None => {
                longest.insert(route.name.clone(), patience);
                false
            }
        }
    }
}
