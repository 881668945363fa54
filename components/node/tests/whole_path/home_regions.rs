//! Requests of routes with home regions run only there.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use stand_ins::layout;

use crate::SETTLE_TIMEOUT;
use crate::deployment::{Deployment, LISTING};

/// Machines in two regions: 0 to 2 in `r`, 3 to 5 in `r-1`.
const MACHINES: usize = 6;
/// Number of the machine of `orders` in `r-1`.
const FAR_ORDERS: usize = 3;
/// Requests from each machine.
const REQUESTS: usize = 10;
/// Slots of a back end.
const SLOTS: usize = 8;
/// Path of the bound route in the configurations of these tests.
const BOUND: &str = "/bound/";
/// Longer than an immediate rejection takes, and shorter than requests wait for a back end.
const IMMEDIATE: Duration = Duration::from_millis(700);

fn start(net: u8, homes: &[(&str, &[&str])]) -> Deployment {
    let deployment = Deployment::start_spread(net, MACHINES, 2, 1);
    deployment
        .store
        .write_homes_config(1, &["/free/", BOUND], homes);
    for machine in 0..MACHINES {
        deployment.await_status(machine, "/free/", 200, SETTLE_TIMEOUT);
    }
    deployment
}

fn machines_that_received(deployment: &Deployment, prefix: &str) -> BTreeSet<usize> {
    let arrivals = deployment.arrivals(prefix);
    let machines = arrivals.iter().map(|a| layout::machine_of(&a.back_end));
    machines.collect()
}

// Guards against a request that runs outside the home regions of its route, also on the machine to
// which its caller is connected.
#[test]
fn requests_of_a_bound_route_run_only_in_its_home() {
    let deployment = start(190, &[(BOUND, &["r-1"])]);
    deployment.await_status(0, BOUND, 200, SETTLE_TIMEOUT);
    for _ in 0..REQUESTS {
        for machine in 0..MACHINES {
            let reply = deployment.request_with_prefix("bound-", machine, "GET", BOUND, None);
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    }
    let machines = machines_that_received(&deployment, "bound-");
    assert_eq!(machines, BTreeSet::from([FAR_ORDERS]));
}

// Guards against a wait of a quarter of the caller's timeout, and against back ends elsewhere, when no
// home has the service: unknown and empty names are regions without back ends.
#[test]
fn a_request_without_a_usable_home_is_rejected_at_once() {
    let deployment = start(191, &[(BOUND, &["nowhere", ""])]);
    let began = Instant::now();
    let reply = deployment.request_with_prefix("bound-", 0, "GET", BOUND, None);
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.text("Retry-After").is_some(), "{reply:?}");
    assert!(began.elapsed() < IMMEDIATE, "{:?}", began.elapsed());
    assert!(machines_that_received(&deployment, "bound-").is_empty());
    let metrics = deployment.metrics(0);
    let counted = "plantaingauge_no_home_total{cause=\"no-machine\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
}

// Guards against a request for a key that runs, or waits, although the owner of the key is outside the
// homes of the route.
#[test]
fn a_request_for_a_key_whose_owner_is_elsewhere_is_rejected_at_once() {
    let deployment = start(192, &[]);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment
        .store
        .write_homes_config(2, &[BOUND, "/second/"], &[("list", &["r-1"])]);
    for machine in 0..MACHINES {
        deployment.await_status(machine, "/second/", 200, SETTLE_TIMEOUT);
    }
    let mut served = 0;
    let mut rejected = 0;
    for key in (0..65_535).step_by(3_001) {
        let began = Instant::now();
        let reply = deployment.request_with_prefix("bound-", 1, "GET", LISTING, Some(key));
        match reply.status {
            200 => served += 1,
            503 => {
                rejected += 1;
                assert!(began.elapsed() < IMMEDIATE, "{:?}", began.elapsed());
            }
            _ => panic!("key {key}: {reply:?}"),
        }
    }
    let machines = machines_that_received(&deployment, "bound-");
    assert!(machines.is_subset(&BTreeSet::from([4, 5])), "{machines:?}");
    assert!(served > 0 && rejected > 0, "{served} {rejected}");
}

/// Time at which requests are sent that wait for a slot; the slots become free at 1.5 s.
const FULL_AFTER: Duration = Duration::from_millis(1_100);

// Guards against a request that waits at its home while the configuration moves the homes elsewhere,
// and then runs in either.
#[test]
fn a_request_does_not_run_after_its_homes_have_changed_while_it_waited() {
    let deployment = start(193, &[(BOUND, &["r-1"])]);
    deployment.await_status(0, BOUND, 200, SETTLE_TIMEOUT);
    let in_force = std::thread::scope(|scope| {
        let deployment = &deployment;
        let send = |prefix: &'static str, machine| {
            let path = "/bound/slow/";
            scope.spawn(move || deployment.request_with_prefix(prefix, machine, "GET", path, None));
        };
        for _ in 0..SLOTS {
            send("fill-", FAR_ORDERS);
        }
        std::thread::sleep(FULL_AFTER);
        for machine in [0, 1, FAR_ORDERS, 4] {
            send("wait-", machine);
        }
        std::thread::sleep(Duration::from_millis(50));
        deployment
            .store
            .write_homes_config(2, &[BOUND, "/second/"], &[(BOUND, &["r"])]);
        for machine in [0, 1, FAR_ORDERS, 4] {
            deployment.await_reply(
                machine,
                "/second/",
                None,
                |r| r.status != 404,
                SETTLE_TIMEOUT,
            );
        }
        Instant::now()
    });
    let late: Vec<_> = deployment
        .arrivals("wait-")
        .into_iter()
        .filter(|a| a.at > in_force)
        .collect();
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(deployment.arrivals("fill-").len(), SLOTS);
}
