//! Tests that the invariant checker reports each violation, and none for a correct history.

use std::time::{Duration, Instant};

use soak::denials::Judgement;
use soak::invariants::{InvariantChecker, ReportedOutcome};
use stand_ins::back_end::{Grant, Observer};

fn grant(from: u16, to: u16, fence: u64) -> Grant {
    Grant { from, to, fence }
}

fn future() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

fn violation_count(checker: &InvariantChecker) -> usize {
    checker.finish().0.len()
}

#[test]
fn a_handover_with_a_higher_fence_violates_nothing() {
    let checker = InvariantChecker::default();
    checker.on_grants("a", 1, &[grant(0, 99, 1), grant(100, 199, 1)], future());
    checker.on_grants("a", 1, &[grant(0, 99, 1)], future());
    checker.on_grants("b", 1, &[grant(100, 199, 2)], future());
    checker.on_exit("a", 1);
    checker.on_grants("a", 2, &[grant(0, 99, 3)], future());
    assert_eq!(violation_count(&checker), 0);
}

#[test]
fn reports_two_holders_of_a_key() {
    let checker = InvariantChecker::default();
    checker.on_grants("a", 1, &[grant(0, 99, 1)], future());
    checker.on_grants("b", 1, &[grant(99, 150, 2)], future());
    assert_eq!(violation_count(&checker), 1);
}

#[test]
fn reports_a_fence_that_does_not_rise() {
    let checker = InvariantChecker::default();
    checker.on_grants("a", 1, &[grant(0, 99, 4)], future());
    checker.on_exit("a", 1);
    checker.on_grants("a", 2, &[grant(50, 60, 4)], future());
    assert_eq!(violation_count(&checker), 1);
}

#[test]
fn reports_an_order_that_runs_twice() {
    let checker = InvariantChecker::default();
    checker.on_order("s1");
    checker.on_execute("a", "s1");
    assert_eq!(violation_count(&checker), 0);
    checker.on_execute("b", "s1");
    assert_eq!(violation_count(&checker), 1);
}

#[test]
fn reports_a_refused_request_that_runs_later() {
    let checker = InvariantChecker::default();
    checker.on_outcome("s1", &ReportedOutcome::NotRun);
    assert_eq!(violation_count(&checker), 0);
    checker.on_execute("a", "s1");
    assert_eq!(violation_count(&checker), 1);
}

#[test]
fn reports_a_response_from_a_back_end_that_did_not_run_the_request() {
    let checker = InvariantChecker::default();
    checker.on_execute("a", "s1");
    checker.on_outcome("s1", &ReportedOutcome::Ran("a".to_owned()));
    assert_eq!(violation_count(&checker), 0);
    checker.on_outcome("s1", &ReportedOutcome::Ran("b".to_owned()));
    assert_eq!(violation_count(&checker), 1);
}

#[test]
fn reports_each_wrong_denial() {
    let checker = InvariantChecker::default();
    checker.on_denial("s1", 0, 404, Judgement::Right);
    checker.on_denial("s2", 0, 404, Judgement::Lost);
    assert_eq!(violation_count(&checker), 0);
    checker.on_denial("s3", 0, 404, Judgement::Wrong);
    checker.on_denial("s4", 1, 431, Judgement::Wrong);
    assert_eq!(violation_count(&checker), 2);
    assert_eq!(checker.denials().count(404, Judgement::Wrong), 1);
}

#[test]
fn a_machine_is_undisturbed_from_when_its_last_fault_is_over() {
    let checker = InvariantChecker::default();
    let before = Instant::now();
    checker.on_disturbed([1], []);
    assert!(!checker.was_undisturbed(1, before));
    assert!(checker.was_undisturbed(2, before));
    assert!(checker.was_undisturbed(1, future()));
}
