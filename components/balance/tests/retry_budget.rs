//! Retries stay within the budget over any window and any division among machines.

use std::time::Duration;

use balance::retry_budget::{RetryBudget, RetryLimit};
use proptest::prelude::*;
use world::instant::BootInstant;

const WINDOW: Duration = Duration::from_secs(10);

fn budget(ratio: f64, extra: f64) -> RetryBudget {
    RetryBudget::new(RetryLimit {
        ratio,
        extra,
        window: WINDOW,
    })
}

proptest! {
    #[test]
    fn retries_never_exceed_the_bound_over_any_window(
        machines in 1usize..6,
        steps in proptest::collection::vec((0usize..6, 0u64..400, any::<bool>()), 1..400),
    ) {
        let ratio = 0.2;
        let extra = 12.0;
        let share = extra / machines as f64;
        let mut budgets: Vec<RetryBudget> =
            (0..machines).map(|_| budget(ratio, share)).collect();
        let mut now = BootInstant::from_millis(1_000_000);
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (machine, gap, retry) in steps {
            now = now + Duration::from_millis(gap);
            let budget = &mut budgets[machine % machines];
            if retry {
                if budget.take(now) {
                    retries.push(now);
                }
            } else {
                budget.on_request(now);
                requests.push(now);
            }
        }
        // The bound uses the window with most requests: this one, the previous one or the one
        // between.
        for start in &retries {
            let within = |t: &&BootInstant, from: BootInstant| **t >= from && t.since(from) < WINDOW;
            let taken = retries.iter().filter(|t| within(t, *start)).count();
            let half = *start - WINDOW / 2;
            let before = *start - WINDOW;
            let most = [*start, half, before]
                .map(|from| requests.iter().filter(|t| within(t, from)).count())
                .into_iter()
                .max()
                .unwrap_or(0);
            // A machine's window may begin in the previous one, so in the worst case both count.
            let bound = 2.0 * (ratio * most as f64 + extra);
            prop_assert!(taken as f64 <= bound, "{taken} retries, bound {bound}");
        }
    }
}

#[test]
fn an_idle_machine_may_still_use_its_share() {
    let mut budget = budget(0.1, 3.0);
    let now = BootInstant::from_millis(50_000);
    let granted = (0..10).filter(|_| budget.take(now)).count();
    assert_eq!(granted, 3);
    let later = now + WINDOW + Duration::from_millis(1);
    assert!(budget.take(later));
}

const TOTAL: RetryLimit = RetryLimit {
    ratio: 0.2,
    extra: 60.0,
    window: WINDOW,
};

#[test]
fn machines_that_all_start_again_do_not_exceed_the_fixed_number_together() {
    // No machine knows the others yet, and no request has been counted.
    let now = BootInstant::from_millis(50_000);
    let taken: usize = (0..60)
        .map(|_| RetryBudget::new(TOTAL.per_machine(None)))
        .map(|mut b| (0..100).filter(|_| b.take(now)).count())
        .sum();
    assert!(taken as f64 <= TOTAL.extra, "{taken} retries");
}

#[test]
fn retries_taken_before_a_change_of_limit_still_count() {
    let now = BootInstant::from_millis(50_000);
    let mut budget = RetryBudget::new(TOTAL.per_machine(Some(12)));
    assert_eq!((0..10).filter(|_| budget.take(now)).count(), 3);
    budget.set_limit(TOTAL.per_machine(Some(9)));
    assert_eq!((0..10).filter(|_| budget.take(now)).count(), 1);
    budget.set_limit(TOTAL.per_machine(Some(60)));
    assert!(!budget.take(now));
}
