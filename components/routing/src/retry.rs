//! Whether and when a failed attempt is repeated.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use world::error_kind::{ErrorKind, Ran};

/// Millitokens that one request adds to the budget: one retry for five requests.
const EARNED_PER_REQUEST: i64 = 200;

/// Millitokens that one retry costs.
const RETRY_COST: i64 = 1_000;

/// Most millitokens that a quiet time can save up.
const BUDGET_CAP: i64 = 50_000;

/// Attempts that one request makes at the most, not counting waits for an owner.
const MAX_ATTEMPTS: u32 = 3;

/// Shortest time that must remain of the deadline for another attempt.
const LEAST_REMAINING: Duration = Duration::from_millis(2);

/// Limits retries to a share of the live traffic.
#[derive(Debug)]
pub struct RetryBudget {
    millitokens: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            millitokens: AtomicI64::new(BUDGET_CAP),
        }
    }
}

impl RetryBudget {
    /// Earns the share of one request.
    pub fn earn(&self) {
        let before = self
            .millitokens
            .fetch_add(EARNED_PER_REQUEST, Ordering::Relaxed);
        if before > BUDGET_CAP {
            self.millitokens
                .fetch_sub(EARNED_PER_REQUEST, Ordering::Relaxed);
        }
    }

    /// Pays for one retry. Returns whether the budget allowed it.
    pub fn spend(&self) -> bool {
        let before = self.millitokens.fetch_sub(RETRY_COST, Ordering::Relaxed);
        if before >= RETRY_COST {
            return true;
        }
        self.millitokens.fetch_add(RETRY_COST, Ordering::Relaxed);
        false
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Give the caller this failure.
    Fail,
    /// Try again at once, at another machine where there is a choice.
    Retry,
    /// Wait until the owner of the key is known, then try again.
    AwaitOwner,
}

/// One failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: ErrorKind,
    /// True for an order.
    pub order: bool,
    /// True when the body can be sent again.
    pub replayable: bool,
    /// Attempts made, this one included.
    pub attempts: u32,
    /// What remains of the deadline.
    pub remaining: Duration,
}

/// Decides on a failed attempt. An order is repeated only with proof that it did not run.
#[must_use]
pub fn next(failure: &Failure, budget: &RetryBudget) -> Next {
    let ran = failure.kind.answer().ran;
    let safe = ran == Ran::No || (ran == Ran::Unknown && !failure.order);
    if !safe || !failure.replayable || failure.remaining < LEAST_REMAINING {
        return Next::Fail;
    }
    match failure.kind {
        ErrorKind::NoOwner | ErrorKind::NotOwner | ErrorKind::Leaving => Next::AwaitOwner,
        ErrorKind::Overloaded
        | ErrorKind::NoBackEnd
        | ErrorKind::NotServing
        | ErrorKind::BackEndFailed => {
            let allowed = failure.attempts < MAX_ATTEMPTS && budget.spend();
            if allowed { Next::Retry } else { Next::Fail }
        }
        _ => Next::Fail,
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn an_order_is_never_repeated_without_proof(
            index in 0..ErrorKind::ALL.len(),
            attempts in 1u32..5,
            remaining_ms in 0u64..5_000,
        ) {
            let kind = ErrorKind::ALL[index];
            let failure = Failure {
                kind,
                order: true,
                replayable: true,
                attempts,
                remaining: Duration::from_millis(remaining_ms),
            };
            if next(&failure, &RetryBudget::default()) != Next::Fail {
                prop_assert_eq!(kind.answer().ran, Ran::No);
            }
        }

        #[test]
        fn retries_stay_within_the_budget(requests in 1u64..2_000) {
            let budget = RetryBudget::default();
            let mut retries = 0;
            for _ in 0..requests {
                budget.earn();
                retries += u64::from(budget.spend());
            }
            prop_assert!(retries <= requests / 5 + 51);
        }
    }

    #[test]
    fn nothing_is_repeated_past_the_deadline() {
        let failure = Failure {
            kind: ErrorKind::NoOwner,
            order: false,
            replayable: true,
            attempts: 1,
            remaining: Duration::ZERO,
        };
        assert_eq!(next(&failure, &RetryBudget::default()), Next::Fail);
    }
}
