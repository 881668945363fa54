//! Which requests are denied for good, so that their callers do not try again.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

use crate::SETTLE_TIMEOUT;
use crate::deployment::{Deployment, ORDER, Reply};
use crate::restored_store::{
    CONFIG_APPLY_LIMIT, assert_in_force, await_in_force, restore, write_fillers,
};

/// Time for which requests are sent.
const OBSERVED_TIME: Duration = Duration::from_secs(3);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Longer than a request head may be without a configuration.
const LONG_HEADER_BYTES: usize = 17_000;
/// Longer than denials are withheld after a restore (`REWRITE_TIME`), so that none is hidden.
const WITHHELD_TIME: Duration = Duration::from_secs(11);

/// Requests `path` from each machine for [`OBSERVED_TIME`]; returns how many of the responses were 404, and
/// how many there were.
fn count_denials(deployment: &Deployment, machines: &[usize], path: &str) -> (usize, usize) {
    let mut statuses = Vec::new();
    let began = Instant::now();
    while began.elapsed() < OBSERVED_TIME {
        for machine in machines {
            let reply = deployment.request(*machine, "GET", path, None);
            statuses.push(reply.status);
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    let denials = statuses.iter().filter(|s| **s == 404).count();
    (denials, statuses.len())
}

/// Panics unless each machine serves each of `paths`, now and until no denial is withheld any more.
fn assert_served(deployment: &Deployment, machines: &[usize], paths: &[&str]) {
    let mut failures: BTreeMap<(usize, &str, u16), usize> = BTreeMap::new();
    let began = Instant::now();
    while began.elapsed() < WITHHELD_TIME {
        for machine in machines {
            for path in paths {
                let status = deployment.request(*machine, "GET", path, None).status;
                if status != 200 {
                    *failures.entry((*machine, path, status)).or_default() += 1;
                }
            }
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    assert!(
        failures.is_empty(),
        "not served, by machine, path and status: {failures:?}"
    );
}

fn assert_no_denials(deployment: &Deployment, machines: &[usize], path: &str) {
    let (denials, requests) = count_denials(deployment, machines, path);
    assert_eq!(denials, 0, "{denials} of {requests} requests were denied");
}

// Guards against 404 for routes that were added after a restore of the store, under revisions below those
// that were lost.
#[test]
fn routes_added_after_a_restore_are_not_denied() {
    let machines = [0, 1, 2];
    let deployment = Deployment::start(121, machines.len());
    deployment.await_serving(SETTLE_TIMEOUT);
    let copied_at = Instant::now();
    write_fillers(&deployment);
    deployment.store.write_config(2, &["/second/"]);
    await_in_force(&deployment, &machines, "/second/");
    restore(&deployment, copied_at);
    deployment.store.write_config(2, &["/second/"]);
    deployment.store.write_config(3, &["/second/", "/third/"]);
    std::thread::sleep(CONFIG_APPLY_LIMIT);
    assert_served(&deployment, &machines, &["/second/", "/third/"]);
}

// Guards against 404 for routes that were added in quick versions, over two restores and a restart.
#[test]
fn routes_added_in_quick_versions_over_two_restores_are_served() {
    let machines = [0, 1, 2];
    let mut deployment = Deployment::start(131, machines.len());
    deployment.await_serving(SETTLE_TIMEOUT);
    let copied_at = Instant::now();
    write_fillers(&deployment);
    deployment.store.write_config(2, &["/second/"]);
    await_in_force(&deployment, &machines, "/second/");
    restore(&deployment, copied_at);
    deployment.store.write_config(2, &["/second/"]);
    deployment.store.write_config(3, &["/second/", "/third/"]);
    await_in_force(&deployment, &machines, "/third/");
    deployment.kill_process(1);
    restore(&deployment, copied_at);
    deployment.start_process(1);
    deployment.store.write_config(2, &["/second/"]);
    deployment.store.write_config(3, &["/second/", "/third/"]);
    deployment
        .store
        .write_config(4, &["/second/", "/third/", "/fourth/"]);
    deployment
        .store
        .write_config(5, &["/second/", "/third/", "/fourth/", "/fifth/"]);
    std::thread::sleep(CONFIG_APPLY_LIMIT);
    let paths = ["/second/", "/third/", "/fourth/", "/fifth/"];
    assert_served(&deployment, &machines, &paths);
}

// Guards against 404 for routes of a version that the store has lost, when every process has restarted and
// only the operator still knows it.
#[test]
fn routes_of_a_lost_version_are_not_denied_when_all_processes_have_restarted() {
    let machines = [0, 1, 2];
    let mut deployment = Deployment::start(122, machines.len());
    deployment.await_serving(SETTLE_TIMEOUT);
    let copied_at = Instant::now();
    deployment.store.write_config(2, &["/second/"]);
    await_in_force(&deployment, &machines, "/second/");
    for machine in machines {
        deployment.kill_process(machine);
    }
    restore(&deployment, copied_at);
    for machine in machines {
        deployment.start_process(machine);
    }
    assert_no_denials(&deployment, &machines, "/second/");
    deployment.store.write_config(2, &["/second/"]);
    assert_in_force(&deployment, &machines, "/second/", Instant::now());
}

// Guards against 404 for routes of a version that a process cannot know, as neither the store nor a peer
// has told it anything for long.
#[test]
fn routes_of_a_later_version_are_not_denied_by_a_process_that_is_cut_off() {
    let deployment = Deployment::start_isolated(123, 1);
    deployment.await_status(0, "/added/", 200, SETTLE_TIMEOUT);
    deployment.store.go_away();
    deployment.store.write_config(2, &["/added/", "/second/"]);
    std::thread::sleep(CONFIG_APPLY_LIMIT);
    assert_no_denials(&deployment, &[0], "/second/");
    let reply = deployment.request(0, "GET", "/added/", None);
    assert_eq!(reply.status, 200, "what is known is served: {reply:?}");
}

// Guards against 431 by the limit that holds without a configuration, which the operator may have raised.
#[test]
fn a_long_head_is_not_denied_before_the_first_configuration() {
    let deployment = Deployment::start_unconfigured(124, 1);
    let path = format!("/{}", "a".repeat(LONG_HEADER_BYTES));
    let is_response = |r: &Reply| r.status != 0;
    let reply = deployment.await_reply(0, &path, None, is_response, SETTLE_TIMEOUT);
    assert_eq!(reply.status, 503);
    assert!(reply.text("Retry-After").is_some(), "{reply:?}");
}

// Guards against 413 by a limit that was replaced while the body arrived.
#[test]
fn a_body_is_not_denied_by_a_limit_that_is_no_longer_in_force() {
    let deployment = Deployment::start_unconfigured(130, 1);
    let paths = ["/first/", "/second/"];
    deployment
        .store
        .write_limited_config(1, &paths[..1], 1_000, 1_000);
    await_in_force(&deployment, &[0], paths[0]);
    let mut connection = deployment.connect(0);
    let chunk = format!("320\r\n{}\r\n", "b".repeat(800));
    let head = format!("POST {ORDER} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    connection.write_all(head.as_bytes()).expect("it is read");
    connection.write_all(chunk.as_bytes()).expect("it is read");
    let paths = ["/second/"];
    deployment
        .store
        .write_limited_config(2, &paths, 1_000, 10_000);
    await_in_force(&deployment, &[0], paths[0]);
    connection.write_all(chunk.as_bytes()).expect("it is read");
    let mut status = [0; 12];
    connection.read_exact(&mut status).expect("a response");
    assert_eq!(&status, b"HTTP/1.1 503");
}

// Guards against denials that are deferred where nothing is stale.
#[test]
fn a_route_that_no_version_has_is_denied_while_the_store_responds() {
    let deployment = Deployment::start(125, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    let (denials, requests) = count_denials(&deployment, &[0, 1], "/nowhere/");
    assert_eq!(denials, requests);
}

// Guards against 404 on a route that is there: with a small weight only, or with none above zero.
#[test]
fn a_request_on_a_route_is_not_denied_whatever_its_weights_are() {
    let deployment = Deployment::start(128, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    let paths = [("/known/", 1.0), ("/small/", 0.0004), ("/zero/", 0.0)];
    deployment.store.write_weighted_config(2, &paths);
    await_in_force(&deployment, &[0, 1], "/known/");
    let replies = paths.map(|(path, _)| deployment.request(1, "GET", path, None));
    assert_eq!(replies.each_ref().map(|r| r.status), [200, 200, 503]);
    let refusal = &replies[2];
    assert!(refusal.text("Retry-After").is_some(), "{refusal:?}");
}

// Guards against 404 for a target in absolute form, and for a host that is not in lower case.
#[test]
fn a_request_in_absolute_form_is_not_denied() {
    let deployment = Deployment::start_with_added_path(129, 2);
    let path = "http://H.EXAMPLE/added/";
    let reply = deployment.request(1, "GET", path, None);
    assert_eq!(reply.status, 200, "{reply:?}");
}
