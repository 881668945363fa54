//! Congestion of links that many processes share is detected before requests time out on them.

use std::time::Duration;

use balance::link_delay::{LinkDelay, OneWayDelay};
use world::instant::BootInstant;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_millis(1_000_000 + ms)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn probe(link: &mut LinkDelay, start: u64, round_trip: u64) {
    let number = link.start_probe(at(start)).expect("no probe is pending");
    link.on_probe_reply(number, at(start + round_trip));
}

#[test]
fn a_link_without_a_queue_has_no_delay() {
    let mut link = LinkDelay::default();
    assert_eq!(link.queueing_delay(at(0)), Duration::ZERO);
    for start in [0, 300, 600, 900] {
        probe(&mut link, start, 42);
    }
    assert_eq!(link.queueing_delay(at(1_000)), Duration::ZERO);
}

#[test]
fn a_full_link_is_seen_before_its_probes_are_answered() {
    let mut link = LinkDelay::default();
    for start in [0, 300, 600] {
        probe(&mut link, start, 40);
    }
    for start in [900, 1_000, 1_100] {
        assert!(link.start_probe(at(start)).is_some());
    }
    assert_eq!(link.queueing_delay(at(1_500)), ms(460));
    assert!(link.start_probe(at(1_500)).is_none(), "a probe is pending");
}

#[test]
fn one_slow_process_does_not_make_a_link_full() {
    let mut link = LinkDelay::default();
    for (start, round_trip) in [(0, 40), (300, 40), (600, 900), (1_600, 41)] {
        probe(&mut link, start, round_trip);
    }
    assert!(link.queueing_delay(at(1_700)) <= ms(1));
}

#[test]
fn delay_returns_to_zero_after_congestion() {
    let mut link = LinkDelay::default();
    for (start, round_trip) in [(0, 40), (300, 700), (1_100, 900), (2_100, 800)] {
        probe(&mut link, start, round_trip);
    }
    assert!(link.queueing_delay(at(3_000)) >= ms(700));
    for start in [3_000, 3_300, 3_600] {
        probe(&mut link, start, 40);
    }
    assert_eq!(link.queueing_delay(at(3_700)), Duration::ZERO);
}

#[test]
fn one_way_delay_is_independent_of_the_clock_offset() {
    for offset in [0_u64, 500_000, 5_000_000] {
        let mut estimator = OneWayDelay::default();
        let sent = |n: u64| n + offset;
        assert_eq!(estimator.observe(sent(0), at(20)), Duration::ZERO);
        assert_eq!(estimator.observe(sent(1_000), at(1_020)), Duration::ZERO);
        assert_eq!(estimator.observe(sent(1_100), at(1_800)), ms(680));
    }
}

#[test]
fn a_clock_that_runs_slow_is_not_taken_for_a_full_link() {
    let mut estimator = OneWayDelay::default();
    for n in 0..600 {
        let sent = n * 98;
        let delay = estimator.observe(sent, at(n * 100 + 20));
        assert!(delay <= ms(250), "after {n} frames: {delay:?}");
    }
}
