//! A busy link is told from a dead one.

use std::time::Duration;

use node::link_liveness::{Liveness, Signs, Verdict};
use rstest::rstest;
use world::instant::BootInstant;

/// Time between two checks.
const STEP: Duration = Duration::from_millis(150);
/// Checks in 15 s.
const CHECKS: u32 = 100;

fn start() -> BootInstant {
    BootInstant::from_millis(1_000_000)
}

/// Checks a connection over which bytes arrive or leave as told; returns the time until it counts as
/// dead.
fn dead_after(
    received: impl Fn(Duration) -> Duration,
    drained: impl Fn(Duration) -> Option<Duration>,
) -> Option<Duration> {
    let mut liveness = Liveness::default();
    let mut checks = (0..CHECKS).map(|i| i * STEP);
    checks.find(|elapsed| {
        let signs = Signs {
            last_received: start() + received(*elapsed),
            last_drained: drained(*elapsed).map(|d| start() + d),
            awaits_response: true,
            link_delay: Duration::ZERO,
        };
        liveness.check(start() + *elapsed, signs) == Verdict::Dead
    })
}

/// Returns the last multiple of `period` up to `elapsed`.
fn every(period: Duration) -> impl Fn(Duration) -> Duration {
    move |elapsed| period * u32::try_from(elapsed.as_millis() / period.as_millis()).expect("short")
}

#[test]
fn a_link_over_which_nothing_moves_is_dead() {
    let after = dead_after(|_| Duration::ZERO, |_| None).expect("it is dead");
    assert!(after <= Duration::from_millis(1_200), "{after:?}");
}

// Guards against a link that is closed while a frame arrives that takes longer than the timeout.
#[test]
fn a_link_over_which_bytes_arrive_is_alive() {
    assert_eq!(
        dead_after(every(Duration::from_millis(600)), |_| None),
        None
    );
}

// Guards against a link that is closed while a large request leaves, after which the pong is due.
#[test]
fn a_link_whose_queue_drains_is_alive() {
    let drained = every(Duration::from_millis(400));
    assert_eq!(dead_after(|_| Duration::ZERO, |e| Some(drained(e))), None);
}

// Guards against a dead link that stays open, as its send buffer was not full when it failed.
#[rstest]
#[case::just_before(Duration::from_millis(1_000))]
#[case::while_pinged(Duration::from_millis(3_000))]
fn a_link_is_dead_once_its_queue_drains_no_more(#[case] until: Duration) {
    let drained = every(Duration::from_millis(100));
    let after = dead_after(|_| Duration::ZERO, |e| Some(drained(e.min(until))));
    let after = after.expect("it is dead");
    assert!(after <= until + Duration::from_millis(800), "{after:?}");
}

#[test]
fn a_peer_that_owes_no_response_is_not_pinged() {
    let mut liveness = Liveness::default();
    let signs = Signs {
        last_received: start(),
        last_drained: None,
        awaits_response: false,
        link_delay: Duration::ZERO,
    };
    for i in 0..CHECKS {
        assert_eq!(liveness.check(start() + i * STEP, signs), Verdict::Keep);
    }
}
