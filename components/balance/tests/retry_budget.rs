//! Retries stay within the budget over any window and any division among machines.

use std::time::Duration;

use balance::retry_budget::{RetryBudget, RetryLimit};
use proptest::prelude::*;
use world::instant::BootInstant;

const WINDOW: Duration = Duration::from_secs(10);

/// Long before the first request of a test.
const START: BootInstant = BootInstant::from_millis(1_000);

fn budget(ratio: f64, extra: f64) -> RetryBudget {
    let limit = RetryLimit {
        ratio,
        extra,
        window: WINDOW,
    };
    RetryBudget::new(limit, START)
}

/// What happens next at one machine.
#[derive(Clone, Copy, Debug)]
enum Step {
    Request,
    /// Retries until the budget is exhausted.
    Retries,
    /// The process restarts and knows nothing of its earlier retries.
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<(usize, u64, Step)>> {
    let step = prop_oneof![
        6 => Just(Step::Request),
        3 => Just(Step::Retries),
        1 => Just(Step::Restart),
    ];
    proptest::collection::vec((0usize..6, 0u64..1_500, step), 1..300)
}

/// Returns how many of the sorted instants lie in the window from `from` on, which counts in
/// milliseconds.
fn count_in_window(instants: &[BootInstant], from: u64) -> usize {
    let window = from..from + WINDOW.as_millis() as u64;
    instants
        .iter()
        .filter(|t| window.contains(&t.as_millis()))
        .count()
}

proptest! {
    // Guards against retries that pile up: those of a bucket were forgotten when its first instant
    // left the window, and a restarted process had its fixed number again.
    #[test]
    fn retries_of_all_machines_stay_within_the_bound_over_any_window(
        machines in 1usize..6,
        steps in steps(),
    ) {
        let limit = TOTAL.per_machine(Some(machines));
        let mut budgets = vec![RetryBudget::new(limit, START); machines];
        let mut now = BootInstant::from_millis(1_000_000);
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (machine, gap, step) in steps {
            now = now + Duration::from_millis(gap);
            let budget = &mut budgets[machine % machines];
            match step {
                Step::Request => {
                    budget.on_request(now);
                    requests.push(now);
                }
                Step::Retries => while budget.take(now) {
                    retries.push(now);
                },
                Step::Restart => *budget = RetryBudget::new(limit, now),
            }
        }
        for retry in &retries {
            let from = retry.as_millis();
            let window = WINDOW.as_millis() as u64;
            let taken = count_in_window(&retries, from);
            // The requests are counted in this window, the one before or the one half before.
            let most = [from, from - window / 2, from - window]
                .map(|start| count_in_window(&requests, start))
                .into_iter()
                .max()
                .unwrap_or(0);
            let bound = TOTAL.ratio * most as f64 + TOTAL.extra;
            prop_assert!(taken as f64 <= bound, "{taken} retries, bound {bound}");
        }
    }
}

// Guards against a planned restart of all machines in turn that doubles the retries of a window.
#[test]
fn a_restarted_process_has_no_fixed_number_for_a_window() {
    let started = BootInstant::from_millis(50_000);
    let mut budget = RetryBudget::new(TOTAL.per_machine(Some(1)), started);
    assert!(!budget.take(started + WINDOW - Duration::from_millis(1)));
    for _ in 0..20 {
        budget.on_request(started + WINDOW - Duration::from_millis(1));
    }
    assert!(budget.take(started + WINDOW - Duration::from_millis(1)));
    assert!(budget.take(started + WINDOW));
}

#[test]
fn an_idle_machine_may_still_use_its_share() {
    let mut budget = budget(0.1, 3.0);
    let now = BootInstant::from_millis(50_000);
    let granted = (0..10).filter(|_| budget.take(now)).count();
    assert_eq!(granted, 3);
    // A bucket is a tenth of the window.
    let later = now + WINDOW + WINDOW / 10;
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
        .map(|_| RetryBudget::new(TOTAL.per_machine(None), START))
        .map(|mut b| (0..100).filter(|_| b.take(now)).count())
        .sum();
    assert!(taken as f64 <= TOTAL.extra, "{taken} retries");
}

#[test]
fn retries_taken_before_a_change_of_limit_still_count() {
    let now = BootInstant::from_millis(50_000);
    let mut budget = RetryBudget::new(TOTAL.per_machine(Some(12)), START);
    assert_eq!((0..10).filter(|_| budget.take(now)).count(), 3);
    budget.set_limit(TOTAL.per_machine(Some(9)));
    assert_eq!((0..10).filter(|_| budget.take(now)).count(), 1);
    budget.set_limit(TOTAL.per_machine(Some(60)));
    assert!(!budget.take(now));
}
