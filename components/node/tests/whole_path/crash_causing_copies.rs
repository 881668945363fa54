//! Copies of one request that run at several back ends at the same time, and crash them or are
//! interrupted by a failure of their rack.

use std::time::Duration;

use crate::SETTLE_TIMEOUT;
use crate::crash_causing_requests::{
    CRASH_PREFIX, Restarts, SEND_INTERVAL, SENDERS, assert_stopped, executions_while, start,
};
use crate::deployment::Deployment;

/// A request that crashes its back end a moment after it began to run.
const CRASHING: &str = "/added/late-crash/";
/// A request that runs for long.
const POPULAR: &str = "/added/slow/";
/// Time from the crash of a back end to its restart: longer than the machines have to learn of
/// the third crash, so that the second round of copies is late.
const RESTART_DELAY: Duration = Duration::from_millis(3_500);
/// Time in which every copy of a request has begun to run.
const START_TIME: Duration = Duration::from_millis(500);

/// Sends a copy at every sender at the same time, and waits for the responses.
fn send_copies(deployment: &Deployment) {
    std::thread::scope(|scope| {
        for machine in SENDERS {
            scope.spawn(move || {
                deployment.request_with_prefix(CRASH_PREFIX, machine, "GET", CRASHING, None)
            });
        }
    });
}

// Guards against copies that crash several back ends at once and are counted as one crash, so that
// rounds of them go on after the third back end.
#[test]
fn copies_of_a_crash_causing_request_at_the_same_time_are_stopped_like_single_ones() {
    let mut deployment = start(45);
    let mut restarts = Restarts::default();
    let executions = executions_while(&mut deployment, |deployment| {
        send_copies(deployment);
        restarts.poll(deployment, RESTART_DELAY);
        std::thread::sleep(SEND_INTERVAL);
    });
    assert_stopped(&executions);
}

// Guards against refusing a popular request of which copies ran at many back ends when their rack
// failed.
#[test]
fn a_popular_request_is_served_again_after_a_rack_has_failed_under_it() {
    let mut deployment = start(46);
    let copies = SENDERS.map(|m| deployment.request_in_background(m, "GET", POPULAR));
    std::thread::sleep(START_TIME);
    for machine in [0, 3, 6, 9] {
        deployment.crash_back_end(machine);
    }
    for copy in copies {
        let _ = copy.join().expect("no panic");
    }
    for machine in [0, 3, 6, 9] {
        deployment.restart_back_end(machine);
    }
    for machine in SENDERS {
        deployment.await_status(machine, POPULAR, 200, SETTLE_TIMEOUT);
    }
    let copies = SENDERS.map(|m| deployment.request_in_background(m, "GET", POPULAR));
    for copy in copies {
        let reply = copy.join().expect("no panic");
        assert_eq!(reply.status, 200, "{reply:?}");
    }
}
