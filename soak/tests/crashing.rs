//! Tests of the check that crash-causing requests are stopped.

use std::time::{Duration, Instant};

use soak::crashing::{self, Crash};
use soak::disturbances::Disturbances;

/// Crashes by attempts at request 1, on machine 0, at these seconds after `start`.
fn crashes(start: Instant, seconds: &[u64]) -> Vec<Crash> {
    let crash = |s: &u64| Crash {
        machine: 0,
        request: format!("crash1-{s}"),
        at: start + Duration::from_secs(*s),
    };
    seconds.iter().map(crash).collect()
}

#[test]
fn the_same_seed_draws_the_same_requests() {
    let total = Duration::from_secs(25);
    assert_eq!(
        crashing::generate(7, 5, total),
        crashing::generate(7, 5, total)
    );
    for seed in 0..50 {
        let requests = crashing::generate(seed, 5, total);
        assert!((1..=3).contains(&requests.len()));
        assert!(requests.iter().all(|r| r.caller < 5 && r.start < total));
    }
}

#[test]
fn the_id_of_an_attempt_tells_its_request() {
    assert_eq!(crashing::number_of("crash2-17"), Some(2));
    assert_eq!(crashing::number_of("s17"), None);
    assert_eq!(crashing::number_of("crash-17"), None);
}

#[test]
fn reports_a_request_that_goes_on_after_its_third_crash() {
    let start = Instant::now();
    let goes_on = crashes(start, &[0, 1, 2, 6, 7, 8, 9]);
    let violations = crashing::violations(&goes_on, &Disturbances::default());
    assert_eq!(violations.len(), 1, "{violations:?}");
}

#[test]
fn three_late_crashes_and_any_number_of_early_ones_are_allowed() {
    let start = Instant::now();
    let stopped = crashes(start, &[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    let violations = crashing::violations(&stopped, &Disturbances::default());
    assert!(violations.is_empty(), "{violations:?}");
}

// Guards against a check that counts copies at one back end as crashes of several.
#[test]
fn copies_that_crash_one_back_end_count_as_one_crash() {
    let start = Instant::now();
    let mut copies = crashes(start, &[0, 0, 0, 4, 5, 6, 7, 8]);
    assert!(crashing::violations(&copies, &Disturbances::default()).is_empty());
    copies.extend(crashes(start, &[9, 10, 11, 12]));
    let violations = crashing::violations(&copies, &Disturbances::default());
    assert_eq!(violations.len(), 1, "{violations:?}");
}

#[test]
fn crashes_beside_a_disturbed_machine_are_not_counted() {
    let start = Instant::now();
    let mut disturbances = Disturbances::default();
    disturbances.record(0, start + Duration::from_secs(7));
    let goes_on = crashes(start, &[0, 1, 2, 6, 7, 8, 9]);
    let violations = crashing::violations(&goes_on, &disturbances);
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn a_machine_is_disturbed_from_the_first_to_the_last_sample_of_a_fault() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut disturbances = Disturbances::default();
    for ms in (1_000..2_000).step_by(10) {
        disturbances.record(3, at(ms));
    }
    disturbances.record(3, at(9_000));
    assert!(disturbances.is_free(3, at(0), at(900)));
    assert!(!disturbances.is_free(3, at(500), at(1_500)));
    assert!(!disturbances.is_free(3, at(1_500), at(1_600)));
    assert!(disturbances.is_free(3, at(3_000), at(8_000)));
    assert!(!disturbances.is_free(3, at(3_000), at(9_500)));
    assert!(disturbances.is_free(4, at(0), at(9_500)));
}
