//! Back ends that become cold again while callers send many requests.

use std::time::{Duration, Instant};

use crate::SETTLE_TIMEOUT;
use crate::deployment::Deployment;

/// Number of machines; every third one serves `orders`.
const MACHINES: usize = 4;
/// Callers at each machine.
const CALLERS: usize = 4;
/// Pause of a caller between a response and its next request.
const CALLER_PAUSE: Duration = Duration::from_millis(5);
/// Requests a second that a cold back end takes.
const COLD_RATE: f64 = 12.0;
/// Requests that it may get in any second: 1.5 times its rate and 8 more.
const MOST_IN_A_SECOND: usize = 26;
/// Time for which it stays cold, longer than the test sends requests.
const COLD_TIME: Duration = Duration::from_secs(60);
/// Time for which requests are sent before and after the restart.
const LOAD_TIME: Duration = Duration::from_secs(2);

/// Sends requests at these machines for a time; returns how many have status 200.
fn load(deployment: &Deployment, machines: std::ops::Range<usize>) -> usize {
    let until = Instant::now() + LOAD_TIME;
    let call = |machine: usize| {
        let mut served = 0;
        while Instant::now() < until {
            let reply = deployment.request(machine, "GET", "/added/", None);
            served += usize::from(reply.status == 200);
            std::thread::sleep(CALLER_PAUSE);
        }
        served
    };
    std::thread::scope(|scope| {
        let callers = machines.flat_map(|m| std::iter::repeat_n(m, CALLERS));
        let threads: Vec<_> = callers.map(|m| scope.spawn(move || call(m))).collect();
        let served = threads.into_iter().map(|t| t.join().expect("no panic"));
        served.sum()
    })
}

// Guards against a back end that becomes cold again under load and gets more than it bears, also after a
// restart of the process beside it.
#[test]
fn a_back_end_that_is_cold_gets_no_more_than_it_bears_across_a_restart_of_its_process() {
    let mut deployment = Deployment::start_with_added_path(230, MACHINES);
    deployment
        .store
        .write_cold_config(3, &["/added/", "/cold/"], COLD_RATE);
    for machine in 0..MACHINES {
        deployment.await_status(machine, "/cold/", 200, SETTLE_TIMEOUT);
    }
    assert!(load(&deployment, 0..MACHINES) > 0);
    // Both back ends of the service are cold, so that no other one takes the load.
    for machine in [0, 3] {
        deployment.back_end(machine).set_cold(COLD_TIME);
    }
    load(&deployment, 0..MACHINES);
    deployment.kill_process(0);
    deployment.start_process(0);
    load(&deployment, 1..MACHINES);
    load(&deployment, 0..MACHINES);
    let limit = "plantaingauge_back_end_cold_limit_per_second 12";
    for machine in [0, 3] {
        let back_end = deployment.back_end(machine);
        let most = back_end.most_in_a_cold_second();
        let total = back_end.cold_executions().len();
        println!("machine {machine}: {total} while cold, {most} in a second");
        assert!(most <= MOST_IN_A_SECOND, "machine {machine}: {most}");
        assert!(total as f64 > COLD_RATE, "machine {machine}: {total}");
        let metrics = deployment.metrics(machine);
        assert!(metrics.lines().any(|l| l == limit), "machine {machine}");
    }
}

// Guards against: the speed that a back end reports is not read from its responses.
#[test]
fn a_reported_slowness_is_shown() {
    let deployment = Deployment::start_with_added_path(231, 2);
    deployment.back_end(0).set_load(Some("1,0,8,300"));
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    let slowness = "plantaingauge_back_end_slowness 3";
    loop {
        deployment.request(0, "GET", "/added/", None);
        if deployment.metrics(0).lines().any(|l| l == slowness) {
            return;
        }
        assert!(Instant::now() < deadline, "{}", deployment.metrics(0));
    }
}
