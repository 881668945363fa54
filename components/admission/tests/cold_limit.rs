//! What starts at a cold back end, and until when it counts as cold.

use std::time::Duration;

use admission::cold_limit::{ColdBound, ColdLimit, UNKNOWN_END};
use admission::cold_state::{ColdReport, ColdState};
use admission::queue::{Admission, Dequeued, Job, Queue};
use rstest::rstest;
use world::instant::BootInstant;
use world::rate::RequestRate;

const START: BootInstant = BootInstant::from_millis(1_000);
const SECOND: Duration = Duration::from_secs(1);

fn bound(rate: f64, overage: f64, slack: f64) -> ColdBound {
    let rate = RequestRate::per_second(rate).expect("a rate");
    ColdBound::new(rate, overage, slack)
}

fn cold_limit(bound: ColdBound) -> ColdLimit {
    let mut limit = ColdLimit::default();
    limit.set_bound(Some(bound), START);
    limit
}

fn after(ms: u64) -> BootInstant {
    START + Duration::from_millis(ms)
}

fn job(id: u64, now: BootInstant, target: Duration) -> Job {
    Job {
        id,
        priority: 1,
        class: 1,
        missed_target: false,
        target: now + target,
        deadline: now + Duration::from_secs(9),
    }
}

#[rstest]
#[case(12.0, 1.5, 8.0, 12.0, 3.0)]
#[case(12.0, 1.0, 2.0, 12.0, 1.0)]
#[case(12.0, 1.0, 0.0, 11.0, 1.0)]
#[case(1.0, 1.0, 0.0, 0.5, 1.0)]
#[case(100.0, 1.5, 8.0, 100.0, 14.0)]
fn rate_and_burst_fit_in_the_bound(
    #[case] rate: f64,
    #[case] overage: f64,
    #[case] slack: f64,
    #[case] expected_rate: f64,
    #[case] expected_burst: f64,
) {
    let bound = bound(rate, overage, slack);
    assert!((bound.rate() - expected_rate).abs() < 1e-9, "{bound:?}");
    assert!((bound.burst() - expected_burst).abs() < 1e-9, "{bound:?}");
}

// Guards against a second in which a cold back end gets more requests than it bears, and against less
// than nine tenths of its rate while requests wait.
#[rstest]
#[case(12.0, 1.5, 8.0)]
#[case(12.0, 1.0, 0.0)]
#[case(40.0, 1.1, 0.0)]
fn starts_at_the_rate_in_every_second(#[case] rate: f64, #[case] overage: f64, #[case] slack: f64) {
    let mut limit = cold_limit(bound(rate, overage, slack));
    let instants = (0..20_000).map(after);
    let starts: Vec<BootInstant> = instants.filter(|now| limit.take(*now)).collect();
    for ms in 1_000..18_000 {
        let from = after(ms);
        let in_second = starts.iter().filter(|s| **s >= from && **s < from + SECOND);
        let count = in_second.count() as f64;
        assert!(count <= rate * overage + slack, "{count} from {ms} ms");
        assert!(count >= (0.9 * rate).floor(), "{count} from {ms} ms");
    }
}

// Guards against: a process sends a burst after each of its starts.
#[test]
fn is_empty_at_first_and_when_the_back_end_becomes_cold() {
    let mut limit = cold_limit(bound(12.0, 1.5, 8.0));
    assert!(!limit.take(START));
    assert_eq!(limit.wait(START, 0), SECOND / 12);
    limit.set_cold_until(after(5_000), after(4_000));
    assert!(limit.has_token(after(4_000)));
    assert!((0..50).all(|_| limit.take(after(5_000))));
    limit.set_cold_until(after(9_000), after(6_000));
    assert!(!limit.has_token(after(6_000)));
}

#[test]
fn a_changed_bound_takes_effect_and_gives_no_tokens() {
    let mut limit = cold_limit(bound(12.0, 1.5, 8.0));
    assert!(limit.take(after(100)));
    limit.set_bound(Some(bound(100.0, 1.5, 8.0)), after(100));
    assert!(!limit.take(after(100)));
    assert!(limit.take(after(120)));
    limit.set_bound(None, after(120));
    assert!((0..50).all(|_| limit.take(after(120))));
    limit.set_bound(Some(bound(12.0, 1.5, 8.0)), after(9_000));
    assert!(!limit.take(after(9_000)));
}

#[test]
fn the_wait_ends_when_the_back_end_is_warm() {
    let mut limit = cold_limit(bound(2.0, 1.5, 8.0));
    limit.set_cold_until(after(300), START);
    assert_eq!(limit.wait(START, 4), Duration::from_millis(300));
    assert_eq!(limit.wait(after(300), 4), Duration::ZERO);
}

#[test]
fn a_queue_starts_a_request_only_if_both_limits_allow() {
    let mut queue = Queue::new(8);
    queue.set_cold_bound(Some(bound(4.0, 1.5, 0.0)), START);
    queue.set_rate(RequestRate::per_second(20.0), START);
    let target = 3 * SECOND;
    assert_eq!(queue.admit(START, job(1, START, target)), Admission::Queued);
    assert_eq!(queue.admit(START, job(2, START, target)), Admission::Queued);
    assert_eq!(queue.next_start(START), Some(Duration::from_millis(250)));
    assert_eq!(queue.dequeue(after(249)), None);
    assert_eq!(queue.dequeue(after(250)), Some(Dequeued::Started(1)));
    assert_eq!(queue.dequeue(after(250)), None);
    queue.set_rate(RequestRate::per_second(0.5), after(250));
    assert_eq!(queue.dequeue(after(600)), Some(Dequeued::Started(2)));
    assert_eq!(
        queue.admit(after(5_600), job(3, after(5_600), target)),
        Admission::Admitted
    );
    assert_eq!(
        queue.admit(after(6_600), job(4, after(6_600), target)),
        Admission::Queued
    );
}

#[test]
fn a_queue_rejects_at_once_with_the_time_until_a_cold_back_end_takes_a_request() {
    let mut queue = Queue::new(8);
    queue.set_cold_bound(Some(bound(2.0, 1.5, 8.0)), START);
    let rejected = queue.admit(START, job(1, START, Duration::from_millis(600)));
    assert_eq!(rejected, Admission::Rejected(Duration::from_millis(500)));
}

#[test]
fn a_queue_without_a_bound_starts_requests_while_the_back_end_is_cold() {
    let mut queue = Queue::new(50);
    queue.set_cold_until(UNKNOWN_END, START);
    for id in 0..50 {
        let admission = queue.admit(START, job(id, START, SECOND));
        assert_eq!(admission, Admission::Admitted);
    }
}

fn report(born: u64, sequence: u64, remaining_ms: impl Into<Option<u64>>) -> ColdReport {
    ColdReport {
        born,
        sequence,
        remaining: remaining_ms.into().map(Duration::from_millis),
    }
}

#[test]
fn a_back_end_is_cold_until_a_heartbeat_says_that_it_is_not() {
    let mut state = ColdState::default();
    assert_eq!(state.cold_until(), UNKNOWN_END);
    state.on_heartbeat(report(5, 1, 700), START);
    assert_eq!(state.cold_until(), UNKNOWN_END);
    state.on_heartbeat(report(5, 2, 0), after(900));
    assert_eq!(state.cold_until(), after(900));
}

#[test]
fn the_longest_cold_time_counts() {
    let mut state = ColdState::default();
    state.on_heartbeat(report(5, 1, 0), START);
    state.on_heartbeat(report(5, 2, 700), START);
    state.on_response(Duration::from_millis(900), START);
    state.on_response(Duration::from_millis(200), START);
    assert_eq!(state.cold_until(), after(900));
    state.on_heartbeat(report(5, 3, 1_500), after(100));
    assert_eq!(state.cold_until(), after(1_600));
    state.assume(after(4_000));
    assert_eq!(state.cold_until(), after(4_000));
}

// Guards against: a late heartbeat, or one without a time, ends the cold time.
#[rstest]
#[case::older(report(5, 2, 0))]
#[case::same(report(5, 3, 0))]
#[case::earlier_incarnation(report(4, 9, 0))]
#[case::no_time(report(5, 4, None))]
fn does_not_end_the_cold_time(#[case] late: ColdReport) {
    let mut state = ColdState::default();
    state.on_heartbeat(report(5, 1, 0), START);
    state.on_heartbeat(report(5, 3, 700), START);
    state.on_heartbeat(late, after(100));
    assert_eq!(state.cold_until(), after(700));
}

#[test]
fn a_later_incarnation_starts_anew() {
    let mut state = ColdState::default();
    state.on_heartbeat(report(5, 8, 0), START);
    state.on_response(Duration::from_secs(300), START);
    state.on_heartbeat(report(6, 1, 800), START);
    assert_eq!(state.cold_until(), UNKNOWN_END);
    state.on_heartbeat(report(6, 2, 0), after(900));
    assert_eq!(state.cold_until(), after(900));
}
