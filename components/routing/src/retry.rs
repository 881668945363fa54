//! Decides whether a failed attempt is retried, within the deadline and a retry budget.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use world::error_kind::{ErrorKind, Executed};

/// Millitokens that one request adds to the budget: one retry for five requests.
const DEPOSIT_MILLITOKENS: i64 = 200;

/// Millitokens that one retry costs.
const RETRY_COST_MILLITOKENS: i64 = 1_000;

/// Millitokens above which requests add nothing: 50 retries without new requests.
const MAX_MILLITOKENS: i64 = 50_000;

/// Most attempts of one request, not counting those that ended in a wait for an owner.
const MAX_ATTEMPTS: u32 = 3;

/// Time that must at least remain until the deadline for another attempt.
const MIN_REMAINING: Duration = Duration::from_millis(2);

/// Limits retries to a share of the requests. It starts full.
#[derive(Debug)]
pub struct RetryBudget {
    millitokens: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            millitokens: AtomicI64::new(MAX_MILLITOKENS),
        }
    }
}

impl RetryBudget {
    /// Adds the share of one request.
    pub fn deposit(&self) {
        let before = self
            .millitokens
            .fetch_add(DEPOSIT_MILLITOKENS, Ordering::Relaxed);
        if before > MAX_MILLITOKENS {
            self.millitokens
                .fetch_sub(DEPOSIT_MILLITOKENS, Ordering::Relaxed);
        }
    }

    /// Takes the cost of one retry. Returns false, and takes nothing, when the budget is too low.
    pub fn try_withdraw(&self) -> bool {
        let before = self
            .millitokens
            .fetch_sub(RETRY_COST_MILLITOKENS, Ordering::Relaxed);
        if before >= RETRY_COST_MILLITOKENS {
            return true;
        }
        self.millitokens
            .fetch_add(RETRY_COST_MILLITOKENS, Ordering::Relaxed);
        false
    }
}

/// What the entry daemon does after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Return this failure to the caller.
    Fail,
    /// Retry at once, at another machine if there is one.
    Retry,
    /// Wait until the owner of the key is known, then retry.
    AwaitOwner,
}

/// One failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: ErrorKind,
    /// True for an order, false for a lookup.
    pub order: bool,
    /// True when the whole body is at hand to be sent again.
    pub replayable: bool,
    /// Attempts made, this one included.
    pub attempts: u32,
    /// Time until the deadline.
    pub remaining: Duration,
}

/// Decides on a failed attempt, and charges a retry to the budget. An order is retried only with
/// proof that it did not run.
#[must_use]
pub fn decide(failure: &Failure, budget: &RetryBudget) -> RetryDecision {
    let ran = failure.kind.response().ran;
    let repeatable = ran == Executed::No || (ran == Executed::Unknown && !failure.order);
    if !repeatable || !failure.replayable || failure.remaining < MIN_REMAINING {
        return RetryDecision::Fail;
    }
    match failure.kind {
        ErrorKind::NoOwner | ErrorKind::NotOwner | ErrorKind::Leaving => RetryDecision::AwaitOwner,
        ErrorKind::Overloaded
        | ErrorKind::NoBackEnd
        | ErrorKind::NotServing
        | ErrorKind::BackEndFailed => {
            let allowed = failure.attempts < MAX_ATTEMPTS && budget.try_withdraw();
            if allowed {
                RetryDecision::Retry
            } else {
                RetryDecision::Fail
            }
        }
        _ => RetryDecision::Fail,
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
            if decide(&failure, &RetryBudget::default()) != RetryDecision::Fail {
                prop_assert_eq!(kind.response().ran, Executed::No);
            }
        }

        #[test]
        fn retries_stay_within_the_budget(requests in 1u64..2_000) {
            let budget = RetryBudget::default();
            let mut retries = 0;
            for _ in 0..requests {
                budget.deposit();
                retries += u64::from(budget.try_withdraw());
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
        assert_eq!(
            decide(&failure, &RetryBudget::default()),
            RetryDecision::Fail
        );
    }
}
