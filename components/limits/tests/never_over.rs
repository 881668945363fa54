//! Whatever the order of loans and expiries, spending stays within the plan.

use std::time::Duration;

use limits::bucket::LendingBucket;
use limits::purse::{Purse, Spend};
use proptest::prelude::*;
use rstest::rstest;
use world::instant::BootInstant;
use world::name::MachineName;

const VALID: Duration = Duration::from_millis(300);
const MARGIN: Duration = Duration::from_millis(20);
const DAEMONS: usize = 3;

fn name(daemon: usize) -> MachineName {
    MachineName::new(&format!("m{daemon}"))
}

/// Spends as much as the daemons can get and returns the instants in milliseconds.
fn spend_all(rate: u32, burst: u32, requests: &[(u64, usize)]) -> Vec<u64> {
    let mut bucket = LendingBucket::full(rate, burst, BootInstant::from_millis(0));
    let mut purses = vec![Purse::new(BootInstant::from_millis(0)); DAEMONS];
    let mut spent = Vec::new();
    let mut clock = 0;
    for (gap, daemon) in requests {
        clock += gap;
        let now = BootInstant::from_millis(clock);
        let purse = &mut purses[*daemon];
        let mut result = purse.spend(now);
        if let Spend::Borrow(wanted) = result {
            let lent = bucket.lend(now, &name(*daemon), wanted, now + VALID + MARGIN);
            match lent.tokens {
                0 => purse.on_empty(now, lent.retry_after),
                tokens => purse.on_lent(now, tokens, VALID),
            }
            result = purse.retry(now);
        }
        if result == Spend::Paid {
            spent.push(clock);
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
fn a_successor_lends_nothing_before_earlier_loans_expire() {
    let now = BootInstant::from_millis(1_000);
    let mut bucket = LendingBucket::successor(10, 10, now, now + VALID);
    assert_eq!(
        bucket
            .lend(now + VALID / 2, &name(0), 5, now + VALID)
            .tokens,
        0
    );
    let later = now + VALID + Duration::from_millis(500);
    assert!(bucket.lend(later, &name(0), 5, later + VALID).tokens > 0);
}
