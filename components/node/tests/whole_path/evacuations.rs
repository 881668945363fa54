//! Evacuations of an availability zone.

use std::time::{Duration, Instant};

use serde_json::json;
use stand_ins::layout;

use crate::SETTLE_TIMEOUT;
use crate::deployment::{Deployment, LISTING};

/// Kind of the operator's objects.
const KIND: &str = "evacuations";
/// Time after which nothing may reach the zone.
const BOUND: Duration = Duration::from_secs(5);
/// Time for which requests are sent and must not reach the zone.
const OBSERVED_TIME: Duration = Duration::from_secs(2);
/// Time for which a zone stays evacuated after a restore has lost its object.
const REWRITE_TIME: Duration = Duration::from_secs(10);
/// Machines in two zones of one region: 0 to 2 in `z`, 3 to 5 in `z-1`.
const MACHINES: usize = 6;
const FREE: &str = "/free/";
const KEYS: [u16; 4] = [0, 20_000, 45_000, 65_535];

fn start(net: u8, machines: usize) -> Deployment {
    let zones = machines / 3;
    let deployment = Deployment::start_spread(net, machines, 1, zones);
    deployment.store.write_config(1, &[FREE]);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment
}

fn evacuate(deployment: &Deployment, zone: &str) {
    deployment
        .store
        .write(KIND, zone, json!({"any": "content"}));
}

/// Sends requests with and without a key from every machine for `time`; returns those that failed.
fn failures(deployment: &Deployment, time: Duration) -> Vec<String> {
    let mut failures = Vec::new();
    let began = Instant::now();
    while began.elapsed() < time {
        for machine in 0..MACHINES {
            let free = deployment.request(machine, "GET", FREE, None);
            let keyed = KEYS.map(|key| deployment.request(machine, "GET", LISTING, Some(key)));
            let replies = keyed.into_iter().chain([free]);
            failures.extend(
                replies
                    .filter(|r| r.status != 200)
                    .map(|r| format!("{r:?}")),
            );
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    failures
}

/// Returns how many requests reached the back ends of zone `z-1` after `since`.
fn arrivals_in_far_zone(deployment: &Deployment, since: Instant) -> usize {
    let arrivals = deployment.arrivals("").into_iter();
    let late = arrivals.filter(|a| layout::machine_of(&a.back_end) >= MACHINES / 2 && a.at > since);
    late.count()
}

/// Sends requests until one without a key is run in zone `z-1`.
fn await_far_zone(deployment: &Deployment, limit: Duration) {
    let since = Instant::now();
    while arrivals_in_far_zone(deployment, since) == 0 {
        assert!(since.elapsed() < limit, "the zone gets no requests");
        deployment.request(3, "GET", FREE, None);
        std::thread::sleep(Duration::from_millis(50));
    }
}

// Guards against requests that reach an evacuated zone after the bound, keys that stay there, and a
// zone that gets nothing after the evacuation has ended.
#[test]
fn an_evacuated_zone_gets_nothing_and_its_keys_are_served_elsewhere() {
    let deployment = start(194, MACHINES);
    evacuate(&deployment, "z-1");
    std::thread::sleep(BOUND);
    let bound = Instant::now();
    let failed = failures(&deployment, OBSERVED_TIME);
    assert!(failed.is_empty(), "{failed:?}");
    assert_eq!(arrivals_in_far_zone(&deployment, bound), 0);
    let gauge = "plantaingauge_evacuated_zones 1";
    assert!(deployment.metrics(0).contains(gauge));
    assert_eq!(deployment.key_violations(), Vec::<String>::new());
    deployment.store.remove(KIND, "z-1");
    await_far_zone(&deployment, SETTLE_TIMEOUT);
}

// Guards against keys that are lost, and against requests that wait, when no other zone can serve them.
#[test]
fn without_another_zone_requests_are_rejected_at_once_and_keys_stay() {
    let deployment = start(195, 3);
    evacuate(&deployment, "z");
    std::thread::sleep(BOUND);
    for key in [None, Some(20_000)] {
        let path = if key.is_some() { LISTING } else { FREE };
        let began = Instant::now();
        let reply = deployment.request(0, "GET", path, key);
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.text("Retry-After").is_some(), "{reply:?}");
        assert!(began.elapsed() < Duration::from_millis(700), "{key:?}");
    }
    let writes = deployment.store.writes_of("plantaingauge-assignments");
    deployment.store.remove(KIND, "z");
    let served = |r: &crate::deployment::Reply| r.status == 200;
    deployment.await_reply(0, LISTING, Some(20_000), served, Duration::from_secs(2));
    assert_eq!(
        deployment.store.writes_of("plantaingauge-assignments"),
        writes
    );
    assert_eq!(deployment.key_violations(), Vec::<String>::new());
}

// Guards against an evacuation that ends because a restore of the store has lost its object, before the
// operator can write it again, and against one that goes on for ever.
#[test]
fn an_evacuation_outlasts_a_restore_that_has_lost_it() {
    let deployment = start(196, MACHINES);
    let before = Instant::now();
    evacuate(&deployment, "z-1");
    std::thread::sleep(BOUND);
    deployment.store.restore_to(before);
    let restored = Instant::now();
    std::thread::sleep(Duration::from_secs(4));
    deployment.request(3, "GET", FREE, None);
    failures(&deployment, OBSERVED_TIME);
    assert_eq!(arrivals_in_far_zone(&deployment, restored), 0);
    await_far_zone(&deployment, REWRITE_TIME);
    assert_eq!(deployment.key_violations(), Vec::<String>::new());
}

// Guards against an evacuation that the operator has taken back and that a restore does not bring back:
// the store has its object again.
#[test]
fn an_evacuation_that_a_restore_brings_back_is_in_force_until_it_is_removed() {
    let deployment = start(197, MACHINES);
    evacuate(&deployment, "z-1");
    std::thread::sleep(Duration::from_secs(1));
    let during = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    deployment.store.remove(KIND, "z-1");
    await_far_zone(&deployment, SETTLE_TIMEOUT);
    deployment.store.restore_to(during);
    std::thread::sleep(BOUND);
    let bound = Instant::now();
    failures(&deployment, OBSERVED_TIME);
    assert_eq!(arrivals_in_far_zone(&deployment, bound), 0);
    deployment.store.remove(KIND, "z-1");
    await_far_zone(&deployment, SETTLE_TIMEOUT);
    assert_eq!(deployment.key_violations(), Vec::<String>::new());
}
