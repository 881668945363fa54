//! Recognises retries of callers by their timeouts.
//!
//! A caller's retry has a shorter timeout than its first attempt, as part of it has passed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use catalog::Route;

/// Share of the longest timeout of a route below which a request counts as a retry.
const FIRST_ATTEMPT_RATIO: f64 = 0.85;

/// Longest timeout seen on each route.
#[derive(Debug, Default)]
pub struct RetryDetector(RefCell<HashMap<String, Duration>>);

impl RetryDetector {
    /// Returns whether a request with this timeout is probably a retry, and records the timeout.
    #[must_use]
    pub fn is_retry(&self, route: &Route, timeout: Duration) -> bool {
        let mut longest_by_route = self.0.borrow_mut();
        match longest_by_route.get_mut(&route.name) {
            Some(longest) => {
                *longest = (*longest).max(timeout);
                timeout < longest.mul_f64(FIRST_ATTEMPT_RATIO)
            }
            None => {
                longest_by_route.insert(route.name.clone(), timeout);
                false
            }
        }
    }
}
