//! The ledger notes each broken promise, and none that is kept.

use std::time::{Duration, Instant};

use soak::ledger::{Claim, Ledger};
use stand_ins::back_end::{Grant, Observer};

fn grant(from: u16, to: u16, fence: u64) -> Grant {
    Grant { from, to, fence }
}

fn later() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

fn breaches(ledger: &Ledger) -> usize {
    ledger.finish().0.len()
}

#[test]
fn a_handover_with_a_higher_fence_keeps_all_promises() {
    let ledger = Ledger::default();
    ledger.on_grants("a", 1, &[grant(0, 99, 1), grant(100, 199, 1)], later());
    ledger.on_grants("a", 1, &[grant(0, 99, 1)], later());
    ledger.on_grants("b", 1, &[grant(100, 199, 2)], later());
    ledger.on_end("a", 1);
    ledger.on_grants("a", 2, &[grant(0, 99, 3)], later());
    assert_eq!(breaches(&ledger), 0);
}

#[test]
fn notes_two_holders_of_a_key() {
    let ledger = Ledger::default();
    ledger.on_grants("a", 1, &[grant(0, 99, 1)], later());
    ledger.on_grants("b", 1, &[grant(99, 150, 2)], later());
    assert_eq!(breaches(&ledger), 1);
}

#[test]
fn notes_a_fence_that_does_not_rise() {
    let ledger = Ledger::default();
    ledger.on_grants("a", 1, &[grant(0, 99, 4)], later());
    ledger.on_end("a", 1);
    ledger.on_grants("a", 2, &[grant(50, 60, 4)], later());
    assert_eq!(breaches(&ledger), 1);
}

#[test]
fn notes_an_order_that_runs_twice() {
    let ledger = Ledger::default();
    ledger.on_order("s1");
    ledger.on_run("a", "s1");
    assert_eq!(breaches(&ledger), 0);
    ledger.on_run("b", "s1");
    assert_eq!(breaches(&ledger), 1);
}

#[test]
fn notes_a_refused_request_that_runs_later() {
    let ledger = Ledger::default();
    ledger.on_claim("s1", &Claim::NotRun);
    assert_eq!(breaches(&ledger), 0);
    ledger.on_run("a", "s1");
    assert_eq!(breaches(&ledger), 1);
}

#[test]
fn notes_an_answer_of_a_back_end_that_never_ran_the_request() {
    let ledger = Ledger::default();
    ledger.on_run("a", "s1");
    ledger.on_claim("s1", &Claim::Ran("a".to_owned()));
    assert_eq!(breaches(&ledger), 0);
    ledger.on_claim("s1", &Claim::Ran("b".to_owned()));
    assert_eq!(breaches(&ledger), 1);
}
