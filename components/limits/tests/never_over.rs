//! Guards against daemons that together spend more than the plan allows, for any order of
//! loans and expiries.

use std::time::Duration;

use limits::bucket::LendingBucket;
use limits::token_cache::{AcquireResult, TokenCache};
use proptest::prelude::*;
use rstest::rstest;
use world::instant::BootInstant;
use world::name::MachineName;

const LOAN_VALIDITY: Duration = Duration::from_millis(300);
/// Time by which the bucket lets a loan expire later than the borrower.
const EXPIRY_MARGIN: Duration = Duration::from_millis(20);
const DAEMONS: usize = 3;

fn daemon_name(daemon: usize) -> MachineName {
    MachineName::new(&format!("m{daemon}"))
}

/// Lets daemons acquire a token for each request, given as (gap in milliseconds, daemon), and
/// returns the instants in milliseconds of those that got one.
fn spend_all(rate: u32, burst: u32, requests: &[(u64, usize)]) -> Vec<u64> {
    let mut bucket = LendingBucket::full(rate, burst, BootInstant::from_millis(0));
    let mut caches = vec![TokenCache::new(BootInstant::from_millis(0)); DAEMONS];
    let mut spent = Vec::new();
    let mut now_ms = 0;
    for (gap, daemon) in requests {
        now_ms += gap;
        let now = BootInstant::from_millis(now_ms);
        let cache = &mut caches[*daemon];
        let mut result = cache.acquire(now);
        if let AcquireResult::Borrow(wanted) = result {
            let loan = bucket.lend(
                now,
                &daemon_name(*daemon),
                wanted,
                now + LOAN_VALIDITY + EXPIRY_MARGIN,
            );
            match loan.tokens {
                0 => cache.on_exhausted(now, loan.retry_after),
                tokens => cache.on_loan(now, tokens, LOAN_VALIDITY),
            }
            result = cache.acquire_after_borrow(now);
        }
        if result == AcquireResult::Acquired {
            spent.push(now_ms);
        }
    }
    spent
}

proptest! {
    #[test]
    fn no_window_exceeds_rate_and_burst(
        rate in 1u32..200,
        burst in 1u32..50,
        requests in proptest::collection::vec((0u64..40, 0..DAEMONS), 1..600),
    ) {
        let spent = spend_all(rate, burst, &requests);
        for (first, start) in spent.iter().enumerate() {
            for (count, end) in spent[first..].iter().enumerate() {
                let window = (end - start) as f64 / 1000.0;
                let allowed = f64::from(burst) + f64::from(rate) * window;
                prop_assert!(count as f64 + 1.0 <= allowed + 1e-6);
            }
        }
    }
}

#[rstest]
#[case::ample_burst(100, 100)]
#[case::small_burst(100, 10)]
#[case::least_burst(50, 4)]
fn steady_demand_gets_its_rate(#[case] rate: u32, #[case] burst: u32) {
    let requests: Vec<(u64, usize)> = (0..20_000).map(|i| (1, i % DAEMONS)).collect();
    let spent = spend_all(rate, burst, &requests).len() as f64;
    let allowed = f64::from(rate) * 20.0;
    assert!(spent >= 0.98 * allowed, "{spent} of {allowed}");
}

#[test]
fn lends_nothing_before_unknown_loans_expire() {
    let now = BootInstant::from_millis(1_000);
    let mut bucket = LendingBucket::with_unknown_loans(10, 10, now, now + LOAN_VALIDITY);
    assert_eq!(
        bucket
            .lend(
                now + LOAN_VALIDITY / 2,
                &daemon_name(0),
                5,
                now + LOAN_VALIDITY
            )
            .tokens,
        0
    );
    let later = now + LOAN_VALIDITY + Duration::from_millis(500);
    assert!(
        bucket
            .lend(later, &daemon_name(0), 5, later + LOAN_VALIDITY)
            .tokens
            > 0
    );
}
