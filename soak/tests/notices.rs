//! Tests of the check that limits and leaving of back ends are kept.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use soak::disturbances::Disturbances;
use soak::notices::{self, Arrival, Notice, Period};

/// Requests at machine 1 that reach the back end every `gap_ms`, from `from_ms` to `to_ms` after
/// `start`.
fn arrivals(start: Instant, from_ms: u64, to_ms: u64, gap_ms: usize) -> Vec<Arrival> {
    let arrival = |ms| {
        let at = start + Duration::from_millis(ms);
        Arrival {
            machine: 1,
            sent: at,
            at,
        }
    };
    (from_ms..to_ms).step_by(gap_ms).map(arrival).collect()
}

/// A period in which callers of machine 1 are told at once.
fn period(start: Instant, notice: Notice, arrivals: Vec<Arrival>) -> Period {
    Period {
        back_end: "i-0".to_owned(),
        notice,
        from: start,
        until: None,
        told: BTreeMap::from([(1, start)]),
        arrivals,
    }
}

fn violation(period: &Period) -> Option<String> {
    period.violation(&Disturbances::default(), &Disturbances::default())
}

#[test]
fn reports_more_requests_than_the_limit_allows() {
    let start = Instant::now();
    // 40 in 4 s, 29 are allowed.
    let over = period(
        start,
        Notice::Limit(4.0),
        arrivals(start, 3_000, 8_000, 100),
    );
    assert!(violation(&over).is_some());
    let early = period(start, Notice::Limit(4.0), arrivals(start, 0, 2_900, 10));
    assert_eq!(violation(&early), None);
    // 20 in 4 s.
    let within = period(start, Notice::Limit(4.0), arrivals(start, 0, 9_000, 200));
    assert_eq!(violation(&within), None);
}

#[test]
fn counts_only_undisturbed_machines_that_were_told() {
    let start = Instant::now();
    let requests = arrivals(start, 3_000, 8_000, 100);
    let mut untold = period(start, Notice::Limit(4.0), requests.clone());
    untold.told = BTreeMap::from([(2, start)]);
    assert_eq!(violation(&untold), None);
    let mut disturbances = Disturbances::default();
    disturbances.record(1, start + Duration::from_secs(1));
    let disturbed = period(start, Notice::Limit(4.0), requests);
    let seen = disturbed.violation(&disturbances, &Disturbances::default());
    assert_eq!(seen, None);
}

#[test]
fn reports_a_request_that_is_sent_after_the_drain_time() {
    let start = Instant::now();
    let in_time = period(start, Notice::Leaving, arrivals(start, 0, 2_400, 100));
    assert_eq!(violation(&in_time), None);
    let late = period(start, Notice::Leaving, arrivals(start, 2_600, 2_700, 100));
    assert!(violation(&late).is_some());
    let mut halts = Disturbances::default();
    halts.record(1, start + Duration::from_secs(1));
    assert_eq!(late.violation(&Disturbances::default(), &halts), None);
    let mut cuts = Disturbances::default();
    cuts.record(1, start + Duration::from_secs(1));
    let seen = late.violation(&cuts, &Disturbances::default());
    assert!(seen.is_some(), "a cut excuses nothing");
}

#[test]
fn the_same_seed_draws_the_same_notices() {
    let total = Duration::from_secs(25);
    assert_eq!(
        notices::generate(3, 7, total),
        notices::generate(3, 7, total)
    );
}
