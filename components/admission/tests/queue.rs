//! The queue respects the slots, orders by priority and rejects or expires requests that would miss
//! their deadline.

use std::time::Duration;

use admission::queue::{Admission, Dequeued, Job, Queue};
use world::instant::BootInstant;

const START: BootInstant = BootInstant::from_millis(1_000);

fn job(id: u64, priority: u8) -> Job {
    Job {
        id,
        priority,
        class: 1,
        missed_target: false,
        target: START + Duration::from_secs(5),
        deadline: START + Duration::from_secs(2),
    }
}

/// A queue of two slots in which requests take 200 ms and both slots are in use.
fn full_queue() -> Queue {
    let mut queue = Queue::new(2);
    for id in 0..2 {
        assert_eq!(queue.admit(START, job(id, 1)), Admission::Admitted);
        queue.on_finished(1, Some(Duration::from_millis(200)));
        assert_eq!(queue.admit(START, job(id, 1)), Admission::Admitted);
    }
    queue
}

#[test]
fn runs_no_more_than_its_slots() {
    let mut queue = full_queue();
    assert_eq!(queue.admit(START, job(7, 1)), Admission::Queued);
    assert_eq!(queue.running(), 2);
    assert_eq!(queue.dequeue(START), None);
    queue.on_finished(1, None);
    assert_eq!(queue.dequeue(START), Some(Dequeued::Started(7)));
    assert_eq!(queue.running(), 2);
}

#[test]
fn urgent_requests_go_first_and_equal_ones_in_their_order() {
    let mut queue = full_queue();
    for (id, priority) in [(10, 2), (11, 2), (12, 0)] {
        let at = START + Duration::from_millis(id);
        assert_eq!(queue.admit(at, job(id, priority)), Admission::Queued);
    }
    let order: Vec<_> = (0..3)
        .filter_map(|_| {
            queue.on_finished(1, None);
            queue.dequeue(START)
        })
        .collect();
    let expected = [12, 10, 11].map(Dequeued::Started);
    assert_eq!(order, expected);
}

#[test]
fn burst_beyond_capacity_is_refused_at_once_with_the_expected_wait() {
    let mut queue = full_queue();
    let template = Job {
        target: START + Duration::from_millis(620),
        ..job(0, 1)
    };
    let admitted = (0..50)
        .filter(|id| {
            let admission = queue.admit(
                START,
                Job {
                    id: *id,
                    ..template
                },
            );
            match admission {
                Admission::Rejected(wait) => {
                    assert!(wait > Duration::from_millis(250));
                    false
                }
                _ => true,
            }
        })
        .count();
    assert_eq!(admitted, 2, "two slots are released every 200 ms");
}

#[test]
fn refuses_what_would_end_after_its_deadline() {
    let mut queue = full_queue();
    let short_deadline = Job {
        deadline: START + Duration::from_millis(250),
        ..job(9, 1)
    };
    assert!(matches!(
        queue.admit(START, short_deadline),
        Admission::Rejected(_)
    ));
}

#[test]
fn burst_while_a_back_end_is_slow_expires_requests_that_would_miss_their_deadline() {
    let mut queue = full_queue();
    assert_eq!(queue.admit(START, job(3, 1)), Admission::Queued);
    let nearly_expired = START + Duration::from_millis(1_950);
    assert_eq!(queue.dequeue(nearly_expired), Some(Dequeued::Expired(3)));
    assert_eq!(queue.running(), 2);
}

#[test]
fn sustained_burst_serves_requests_on_time_before_those_that_missed_their_target() {
    let mut queue = full_queue();
    let missed = |id| Job {
        missed_target: true,
        ..job(id, 1)
    };
    assert_eq!(queue.admit(START, missed(20)), Admission::Queued);
    assert!(
        matches!(queue.admit(START, missed(21)), Admission::Rejected(_)),
        "at most half as many requests as there are slots may wait after missing their target"
    );
    assert_eq!(queue.admit(START, job(22, 1)), Admission::Queued);
    queue.on_finished(1, None);
    assert_eq!(queue.dequeue(START), Some(Dequeued::Started(22)));
    queue.on_finished(1, None);
    assert_eq!(queue.dequeue(START), Some(Dequeued::Started(20)));
}

#[test]
fn a_cancelled_request_never_starts() {
    let mut queue = full_queue();
    assert_eq!(queue.admit(START, job(3, 1)), Admission::Queued);
    assert!(queue.cancel(3));
    assert!(!queue.cancel(3));
    queue.on_finished(1, None);
    assert_eq!(queue.dequeue(START), None);
}
