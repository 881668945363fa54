//! Requests that come late in the planned stop of one process, while nothing else happens.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rstest::rstest;
use stand_ins::caller::CallerRequest;
use stand_ins::http::Connection;

use crate::SETTLE_TIMEOUT;
use crate::deployment::Deployment;

/// Time between two arrivals.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(300);
/// Arrivals over the grace period and a little longer.
const ARRIVALS: u32 = 21;
/// Timeout that callers state; what is taken late outlasts the grace period with it.
const TIMEOUT: Duration = Duration::from_secs(5);
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Path of orders that run for a time that the grace period has room for.
const SLOW: &str = "/orders/slow/";
/// Path of orders that run longer than any caller waits.
const STUCK: &str = "/orders/stuck/";

/// What became of a request.
#[derive(Debug)]
struct Outcome {
    /// Number of its arrival, an [`ARRIVAL_INTERVAL`] after the one before.
    arrival: u32,
    id: String,
    path: &'static str,
    /// Status of its response; `None` if its connection was closed without one.
    status: Option<u16>,
}

fn encode(id: &str, path: &str) -> String {
    let request = CallerRequest {
        id,
        method: "POST",
        path,
        key: None,
        timeout: TIMEOUT,
        body: "",
    };
    request.to_string()
}

/// Sends a request at an arrival's time; over a connection that has carried one before, if `kept`.
fn send_at(
    at: SocketAddr,
    stop: Instant,
    arrival: u32,
    kept: bool,
    path: &'static str,
) -> JoinHandle<Option<Outcome>> {
    let opened = kept.then(|| Connection::open(at, OPEN_TIMEOUT).expect("an open port"));
    std::thread::spawn(move || {
        let sent_at = stop + ARRIVAL_INTERVAL * arrival;
        let id = format!("late-{kept}-{arrival}-{}", path.len());
        let mut connection = opened;
        if let Some(kept) = connection.as_mut() {
            let first = kept.call(encode(&format!("first-{arrival}"), "/orders/new"), TIMEOUT);
            assert_eq!(first.expect("a response").status, 200);
        }
        std::thread::sleep(sent_at.saturating_duration_since(Instant::now()));
        let mut connection = match connection {
            Some(kept) => kept,
            // The process has ended.
            None => Connection::open(at, OPEN_TIMEOUT).ok()?,
        };
        let response = connection.call(encode(&id, path), TIMEOUT + OPEN_TIMEOUT);
        let status = response.ok().map(|r| r.status);
        Some(Outcome {
            arrival,
            id,
            path,
            status,
        })
    })
}

/// Sends requests over the whole planned stop of a machine's process; returns what became of them.
fn send_during_stop(deployment: &mut Deployment, machine: usize) -> Vec<Outcome> {
    let at = deployment.caller_address(machine);
    let stop = Instant::now() + Duration::from_secs(1);
    let mut requests = Vec::new();
    for arrival in 0..ARRIVALS {
        for kept in [false, true] {
            requests.push(send_at(at, stop, arrival, kept, SLOW));
            // More of them would take all slots.
            if arrival % 3 == 1 {
                requests.push(send_at(at, stop, arrival, kept, STUCK));
            }
        }
    }
    std::thread::sleep(stop.saturating_duration_since(Instant::now()));
    deployment.stop_process(machine);
    let outcomes = requests.into_iter();
    outcomes
        .filter_map(|r| r.join().expect("no panic"))
        .collect()
}

/// Panics if a request that has run was cut without an answer or refused.
fn assert_promises(deployment: &Deployment, outcomes: &[Outcome]) {
    for outcome in outcomes {
        let has_run = !deployment.executions(&outcome.id).is_empty();
        match outcome.status {
            None => assert!(!has_run, "cut without an answer: {outcome:?}"),
            Some(503) => assert!(!has_run, "refused although it has run: {outcome:?}"),
            Some(_) => assert!(has_run, "failed without a promise: {outcome:?}"),
        }
    }
}

// Guards against requests that are taken late in a planned stop, passed on, and cut without an answer at
// its end, or answered with a refusal although they have run.
#[rstest]
#[case::beside_the_back_end(245, 0)]
#[case::at_another_machine(246, 1)]
fn what_is_passed_on_during_a_planned_stop_is_answered(#[case] net: u8, #[case] stopped: usize) {
    let mut deployment = Deployment::start(net, 4);
    deployment.await_serving(SETTLE_TIMEOUT);
    let outcomes = send_during_stop(&mut deployment, stopped);
    assert_promises(&deployment, &outcomes);
    for outcome in outcomes.iter().filter(|o| o.path == SLOW) {
        let has_run = !deployment.executions(&outcome.id).is_empty();
        assert!(!has_run || outcome.status == Some(200), "{outcome:?}");
    }
}

// Guards against a short grace period at the end of which requests are taken that cannot be answered.
#[test]
fn nothing_is_passed_on_in_the_second_half_of_a_short_grace_period() {
    const GRACE_S: u32 = 3;
    let mut deployment = Deployment::start_with_grace(248, 4, GRACE_S);
    deployment.await_serving(SETTLE_TIMEOUT);
    let outcomes = send_during_stop(&mut deployment, 1);
    assert_promises(&deployment, &outcomes);
    for outcome in &outcomes {
        let has_run = !deployment.executions(&outcome.id).is_empty();
        let sent_after = ARRIVAL_INTERVAL * outcome.arrival;
        let is_late = sent_after > Duration::from_secs(GRACE_S.into()) / 2;
        assert!(!has_run || !is_late, "passed on late: {outcome:?}");
    }
}
