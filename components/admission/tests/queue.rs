//! The queue keeps to the slots, goes by rank and lets nobody wait in vain.

use std::time::Duration;

use admission::queue::{Admission, Departure, Job, Queue};
use world::instant::BootInstant;

const START: BootInstant = BootInstant::from_millis(1_000);

fn job(id: u64, priority: u8) -> Job {
    Job {
        id,
        priority,
        class: 1,
        late: false,
        target: START + Duration::from_secs(5),
        deadline: START + Duration::from_secs(2),
    }
}

/// A queue of two slots in which requests take 200 ms and both slots are in use.
fn full_queue() -> Queue {
    let mut queue = Queue::new(2);
    for id in 0..2 {
        assert_eq!(queue.arrive(START, job(id, 1)), Admission::Start);
        queue.finish(1, Some(Duration::from_millis(200)));
        assert_eq!(queue.arrive(START, job(id, 1)), Admission::Start);
    }
    queue
}

#[test]
fn runs_no_more_than_its_slots() {
    let mut queue = full_queue();
    assert_eq!(queue.arrive(START, job(7, 1)), Admission::Wait);
    assert_eq!(queue.running(), 2);
    assert_eq!(queue.next(START), None);
    queue.finish(1, None);
    assert_eq!(queue.next(START), Some(Departure::Start(7)));
    assert_eq!(queue.running(), 2);
}

#[test]
fn urgent_requests_go_first_and_equal_ones_in_their_order() {
    let mut queue = full_queue();
    for (id, priority) in [(10, 2), (11, 2), (12, 0)] {
        let at = START + Duration::from_millis(id);
        assert_eq!(queue.arrive(at, job(id, priority)), Admission::Wait);
    }
    let order: Vec<_> = (0..3)
        .filter_map(|_| {
            queue.finish(1, None);
            queue.next(START)
        })
        .collect();
    let expected = [12, 10, 11].map(Departure::Start);
    assert_eq!(order, expected);
}

#[test]
fn burst_beyond_capacity_is_refused_at_once_with_the_expected_wait() {
    let mut queue = full_queue();
    let patient = Job {
        target: START + Duration::from_millis(620),
        ..job(0, 1)
    };
    let admitted = (0..50)
        .filter(|id| {
            let admission = queue.arrive(START, Job { id: *id, ..patient });
            match admission {
                Admission::Refuse(wait) => {
                    assert!(wait > Duration::from_millis(250));
                    false
                }
                _ => true,
            }
        })
        .count();
    assert_eq!(admitted, 2, "each 200 ms two requests leave the slots");
}

#[test]
fn refuses_what_would_end_after_its_deadline() {
    let mut queue = full_queue();
    let hasty = Job {
        deadline: START + Duration::from_millis(250),
        ..job(9, 1)
    };
    assert!(matches!(queue.arrive(START, hasty), Admission::Refuse(_)));
}

#[test]
fn burst_while_a_back_end_is_slow_expires_requests_before_they_start_in_vain() {
    let mut queue = full_queue();
    assert_eq!(queue.arrive(START, job(3, 1)), Admission::Wait);
    let late = START + Duration::from_millis(1_950);
    assert_eq!(queue.next(late), Some(Departure::Expire(3)));
    assert_eq!(queue.running(), 2);
}

#[test]
fn sustained_burst_serves_first_attempts_on_time_before_those_that_are_late_already() {
    let mut queue = full_queue();
    let late = |id| Job {
        late: true,
        ..job(id, 1)
    };
    assert_eq!(queue.arrive(START, late(20)), Admission::Wait);
    assert!(
        matches!(queue.arrive(START, late(21)), Admission::Refuse(_)),
        "late requests may fill half of the slots' number of places"
    );
    assert_eq!(queue.arrive(START, job(22, 1)), Admission::Wait);
    queue.finish(1, None);
    assert_eq!(queue.next(START), Some(Departure::Start(22)));
    queue.finish(1, None);
    assert_eq!(queue.next(START), Some(Departure::Start(20)));
}

#[test]
fn a_request_that_is_withdrawn_never_starts() {
    let mut queue = full_queue();
    assert_eq!(queue.arrive(START, job(3, 1)), Admission::Wait);
    assert!(queue.withdraw(3));
    assert!(!queue.withdraw(3));
    queue.finish(1, None);
    assert_eq!(queue.next(START), None);
}
