//! Nearer back ends are preferred unless they are busy, slow or failing.

use std::time::Duration;

use balance::choice::{self, Candidate, Distance, Load};

fn choose(candidates: &[Candidate]) -> Option<usize> {
    choice::choose(candidates, || 0.0)
}

fn candidate(distance: Distance) -> Candidate {
    Candidate {
        distance,
        queueing_delay: Duration::ZERO,
        load: Load {
            running: 4,
            waiting: 0,
            slots: 18,
            service_time: Duration::from_millis(200),
        },
        report_age: Duration::from_millis(50),
        in_flight: 0,
        failure_rate: 0.0,
        cold: false,
        reserved: false,
    }
}

#[test]
fn prefers_the_nearest_of_equally_busy_back_ends() {
    let all = [Distance::Remote, Distance::Zone, Distance::Region].map(candidate);
    assert_eq!(choose(&all), Some(1));
}

#[test]
fn leaves_a_full_back_end_for_the_next_zone() {
    let mut near = candidate(Distance::Zone);
    near.load.running = 18;
    near.load.waiting = 9;
    assert_eq!(choose(&[near, candidate(Distance::Region)]), Some(1));
}

#[test]
fn crosses_regions_only_for_a_long_wait() {
    let mut near = candidate(Distance::Zone);
    near.load.running = 18;
    near.load.waiting = 3;
    assert_eq!(choose(&[near, candidate(Distance::Remote)]), Some(0));
    near.load.waiting = 60;
    assert_eq!(choose(&[near, candidate(Distance::Remote)]), Some(1));
}

#[test]
fn leaves_a_back_end_that_fails_while_others_do_not() {
    let mut near = candidate(Distance::Zone);
    near.failure_rate = 0.5;
    assert_eq!(choose(&[near, candidate(Distance::Region)]), Some(1));
}

#[test]
fn comes_back_to_a_back_end_whose_slow_report_is_old() {
    let mut near = candidate(Distance::Zone);
    near.load.service_time = Duration::from_millis(1_000);
    let far = candidate(Distance::Region);
    assert_eq!(choose(&[near, far]), Some(1));
    near.report_age = Duration::from_secs(20);
    near.load.running = 0;
    assert_eq!(choose(&[near, far]), Some(0));
}

#[test]
fn counts_what_was_sent_since_the_last_report() {
    let mut near = candidate(Distance::Zone);
    near.load.running = 0;
    near.in_flight = 40;
    assert_eq!(choose(&[near, candidate(Distance::Region)]), Some(1));
}

#[test]
fn a_back_end_that_joins_is_tried_before_it_has_answered() {
    let mut joined = candidate(Distance::Zone);
    joined.load.running = 0;
    joined.load.service_time = Duration::ZERO;
    joined.report_age = Duration::from_secs(60);
    assert_eq!(choose(&[candidate(Distance::Zone), joined]), Some(1));
}

#[test]
fn finds_nothing_without_candidates() {
    assert_eq!(choose(&[]), None);
}

#[test]
fn equally_good_back_ends_share_the_requests_of_machines_with_the_same_reports() {
    let all = [candidate(Distance::Zone); 4];
    let mut seed = 0.0;
    let mut random = || {
        seed = f64::fract(seed + 0.618);
        seed
    };
    let mut counts = [0; 4];
    for _ in 0..400 {
        counts[choice::choose(&all, &mut random).expect("a candidate")] += 1;
    }
    assert!(counts.iter().all(|n| *n >= 50), "{counts:?}");
}

#[test]
fn waits_near_rather_than_cross_a_full_link() {
    let mut near = candidate(Distance::Zone);
    near.load.running = 18;
    near.load.waiting = 60;
    let mut far = candidate(Distance::Remote);
    far.queueing_delay = Duration::from_millis(900);
    assert_eq!(choose(&[near, far]), Some(0));
}
