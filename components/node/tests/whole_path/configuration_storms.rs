//! Large configurations that follow each other quickly, over links that do not carry one copy for each
//! process.

use std::time::{Duration, Instant};

use crate::SETTLE_TIMEOUT;
use crate::deployment::Deployment;
use crate::restored_store::CONFIG_APPLY_LIMIT;

/// Processes of an availability zone that read a configuration from the store.
const READERS_PER_ZONE: u64 = 2;
/// Routes of a large configuration.
const ROUTES: usize = 1_400;

/// Returns the paths of the routes of a large configuration.
fn paths() -> Vec<String> {
    (0..ROUTES).map(|n| format!("/large-{n:04}/")).collect()
}

fn write_large(deployment: &Deployment, version: u64, paths: &[String]) {
    let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
    deployment.store.write_config(version, &paths);
}

fn all(machines: usize) -> Vec<usize> {
    (0..machines).collect()
}

// Guards against a version that is not in force in time because every process reads it from the store:
// the link to the store then carries as many copies as there are processes.
#[test]
fn configurations_in_quick_succession_are_in_force_in_time_over_a_slow_link() {
    const MACHINES: usize = 12;
    const VERSIONS: u64 = 20;
    let deployment = Deployment::start(241, MACHINES);
    deployment.await_serving(SETTLE_TIMEOUT);
    // Carries 16 copies a second; 30 are needed for all processes, 5 for two of them.
    deployment.store.set_link_rate(1_500_000.0);
    let paths = paths();
    for version in 2..2 + VERSIONS {
        write_large(&deployment, version, &paths);
        std::thread::sleep(Duration::from_millis(400));
    }
    let last = 2 + VERSIONS;
    write_large(&deployment, last, &paths);
    let written = Instant::now();
    deployment.await_version(&all(MACHINES), last, SETTLE_TIMEOUT);
    let late = written.elapsed();
    assert!(late <= CONFIG_APPLY_LIMIT, "in force only after {late:?}");
}

// Guards against the same by the number of copies, whatever the link carries.
#[test]
fn a_configuration_is_read_from_the_store_by_a_few_processes_of_a_zone() {
    const MACHINES: usize = 9;
    let deployment = Deployment::start(242, MACHINES);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.store.write_config(2, &[]);
    deployment.await_version(&all(MACHINES), 2, SETTLE_TIMEOUT);
    // Watches that were begun before the processes knew each other have ended.
    std::thread::sleep(Duration::from_secs(3));
    let before = deployment.store.objects_sent("config");
    for version in 3..8 {
        deployment.store.write_config(version, &[]);
        deployment.await_version(&all(MACHINES), version, SETTLE_TIMEOUT);
    }
    let sent = deployment.store.objects_sent("config") - before;
    assert!(sent <= 5 * READERS_PER_ZONE, "{sent} copies of 5 versions");
}

// Guards against a list of the store that is given up after a second although it is arriving, and begun
// again from the start.
#[test]
fn a_configuration_that_takes_long_to_arrive_is_put_in_force() {
    let mut deployment = Deployment::start(243, 1);
    deployment.await_version(&[0], 1, SETTLE_TIMEOUT);
    write_large(&deployment, 2, &paths());
    deployment.kill_process(0);
    // A copy takes about 2 s.
    deployment.store.set_link_rate(50_000.0);
    deployment.start_process(0);
    deployment.await_version(&[0], 2, SETTLE_TIMEOUT);
}

// Guards against processes that rely on readers that are gone.
#[test]
fn the_readers_of_a_zone_are_replaced_when_they_are_gone() {
    const MACHINES: usize = 6;
    let mut deployment = Deployment::start(244, MACHINES);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.store.write_config(2, &[]);
    deployment.await_version(&all(MACHINES), 2, SETTLE_TIMEOUT);
    std::thread::sleep(Duration::from_secs(3));
    for machine in 0..MACHINES - 1 {
        deployment.kill_process(machine);
        let rest: Vec<usize> = (machine + 1..MACHINES).collect();
        let version = 3 + machine as u64;
        deployment.store.write_config(version, &[]);
        let written = Instant::now();
        deployment.await_version(&rest, version, SETTLE_TIMEOUT);
        let late = written.elapsed();
        assert!(late <= CONFIG_APPLY_LIMIT, "in force only after {late:?}");
    }
}

// Guards against processes that rely on readers whose connections to the store have fallen silent.
#[test]
fn readers_that_the_store_no_longer_reaches_are_passed_over() {
    const MACHINES: usize = 6;
    let deployment = Deployment::start_with_forwarders(247, MACHINES);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.store.write_config(2, &[]);
    deployment.await_version(&all(MACHINES), 2, SETTLE_TIMEOUT);
    std::thread::sleep(Duration::from_secs(3));
    for machine in 0..READERS_PER_ZONE as usize {
        deployment.silence_store(machine);
    }
    deployment.store.write_config(3, &[]);
    let written = Instant::now();
    deployment.await_version(&all(MACHINES), 3, SETTLE_TIMEOUT);
    let late = written.elapsed();
    assert!(late <= CONFIG_APPLY_LIMIT, "in force only after {late:?}");
}
