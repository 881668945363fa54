//! What starts under a limit, in every window and together with the queue.

use std::time::Duration;

use admission::queue::{Admission, Dequeued, Job, Queue};
use admission::rate_limit::RateLimit;
use rstest::rstest;
use world::instant::BootInstant;
use world::rate::RequestRate;

const START: BootInstant = BootInstant::from_millis(1_000);
const WINDOW: Duration = Duration::from_secs(4);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

fn job(id: u64, priority: u8, now: BootInstant) -> Job {
    Job {
        id,
        priority,
        class: 1,
        missed_target: false,
        target: now + Duration::from_secs(3),
        deadline: now + Duration::from_secs(5),
    }
}

// Guards against windows in which a limited back end gets more than one and a half times its limit,
// plus five, or, while requests wait for it, less than four fifths.
#[rstest]
#[case::zero(0.0)]
#[case::below_one(0.8)]
#[case::fraction(9.2)]
#[case::high(300.0)]
fn requests_start_at_the_rate_in_every_window(#[case] per_second: f64) {
    let mut limit = RateLimit::new(rate(per_second), START);
    let instants = (0..20_000).map(|ms| START + Duration::from_millis(ms));
    let starts: Vec<BootInstant> = instants.filter(|now| limit.take(*now)).collect();
    let allowed = 1.5 * per_second * WINDOW.as_secs_f64() + 5.0;
    let least = (0.8 * per_second * WINDOW.as_secs_f64()).floor();
    for ms in (0..16_000).step_by(50) {
        let from = START + Duration::from_millis(ms);
        let in_window = starts
            .iter()
            .filter(|at| **at >= from && **at < from + WINDOW);
        let count = in_window.count() as f64;
        assert!(count <= allowed && count >= least, "{count} from {ms} ms");
    }
}

#[test]
fn a_changed_rate_gives_no_tokens() {
    let mut limit = RateLimit::new(rate(2.0), START);
    assert!(limit.take(START));
    limit.set_rate(rate(100.0), START);
    assert!(!limit.take(START));
    limit.set_rate(rate(2.0), START + Duration::from_secs(10));
    assert!(limit.take(START + Duration::from_secs(10)));
    assert!(!limit.take(START + Duration::from_secs(10)));
}

#[test]
fn a_limited_queue_starts_the_most_urgent_request_when_there_is_a_token() {
    let mut queue = Queue::new(8);
    queue.set_rate(Some(rate(2.0)), START);
    assert_eq!(queue.admit(START, job(1, 1, START)), Admission::Admitted);
    assert_eq!(queue.admit(START, job(2, 1, START)), Admission::Queued);
    assert_eq!(queue.admit(START, job(3, 0, START)), Admission::Queued);
    assert_eq!(queue.dequeue(START), None);
    let later = START + Duration::from_millis(500);
    assert_eq!(queue.dequeue(later), Some(Dequeued::Started(3)));
    assert_eq!(queue.dequeue(later), None);
}

#[test]
fn a_limited_queue_rejects_at_once_with_the_time_until_there_is_a_token() {
    let mut queue = Queue::new(8);
    queue.set_rate(Some(rate(0.5)), START);
    assert_eq!(queue.admit(START, job(1, 1, START)), Admission::Admitted);
    let rejected = queue.admit(START, job(2, 1, START));
    assert_eq!(rejected, Admission::Rejected(Duration::from_secs(2)));
}

#[test]
fn a_queue_without_a_rate_is_bounded_by_its_slots_alone() {
    let mut queue = Queue::new(8);
    queue.set_rate(Some(rate(0.0)), START);
    queue.set_rate(None, START);
    for id in 0..8 {
        assert_eq!(queue.admit(START, job(id, 1, START)), Admission::Admitted);
    }
}

#[test]
fn a_rate_is_a_finite_number_of_requests() {
    for invalid in [f64::NAN, f64::INFINITY, -0.1] {
        assert_eq!(RequestRate::per_second(invalid), None);
    }
}
