//! End-to-end tests: processes, back ends and callers with a stand-in for the platform's store.

mod cold_back_ends;
mod configuration_storms;
mod crash_causing_copies;
mod crash_causing_requests;
mod delayed_peer;
mod denials;
mod departures;
mod deployment;
mod endless;
mod evacuations;
mod foreign_heartbeats;
mod home_regions;
mod late_copies;
mod named_limits;
mod odd_objects;
mod planned_stops;
mod restored_store;
mod turned_away;
mod unsigned;

use std::collections::HashSet;
use std::io::Read;
use std::time::Duration;

use deployment::{Deployment, LISTING, ORDER, Reply};
use stand_ins::back_end::LONG_BODY_BYTES;
use stand_ins::layout;

/// Longest time until every key has an owner, or a change is in force on every machine.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn a_deployment_without_faults_serves_every_request() {
    let deployment = Deployment::start(1, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    for machine in 0..3 {
        for key in [0, 17_000, 40_000, 65_535] {
            let reply = deployment.request(machine, "GET", LISTING, Some(key));
            assert_eq!(reply.status, 200, "{reply:?}");
            assert_eq!(reply.caller(), layout::service(machine));
        }
        assert_eq!(deployment.request(machine, "POST", ORDER, None).status, 200);
        assert_eq!(
            deployment.request(machine, "GET", "/nowhere/", None).status,
            404
        );
    }
    assert_eq!(
        deployment.executed_orders(),
        3,
        "each order is executed once"
    );
}

#[test]
fn the_operators_page_names_every_metric() {
    let deployment = Deployment::start(10, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.request(1, "POST", ORDER, None);
    let served: HashSet<String> = deployment
        .metrics(1)
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').next().map(str::to_owned))
        .collect();
    let page = include_str!("../../../../docs/OPERATIONS.md");
    let listed: HashSet<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `plantaingauge_"))
        .filter_map(|line| line.split('`').next())
        .map(|name| format!("plantaingauge_{name}"))
        .collect();
    assert_eq!(served, listed);
}

#[test]
fn each_key_is_served_by_one_back_end() {
    let deployment = Deployment::start(2, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    for key in (0..65_535).step_by(9_001) {
        let back_ends: HashSet<String> = (0..3)
            .map(|machine| deployment.request(machine, "GET", LISTING, Some(key)))
            .map(|reply| reply.back_end())
            .collect();
        assert_eq!(back_ends.len(), 1, "key {key}: {back_ends:?}");
    }
}

#[test]
fn a_changed_configuration_comes_into_force_everywhere_and_never_reverts() {
    let deployment = Deployment::start(3, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.store.write_config(2, &["/added/"]);
    for machine in 0..2 {
        let reply = deployment.await_status(machine, "/added/", 200, SETTLE_TIMEOUT);
        assert_eq!(reply.status, 200);
    }
    deployment.store.write_config(3, &[]);
    for machine in 0..2 {
        deployment.await_status(machine, "/added/", 404, SETTLE_TIMEOUT);
        for _ in 0..20 {
            assert_eq!(
                deployment.request(machine, "GET", "/added/", None).status,
                404
            );
        }
    }
}

#[test]
fn requests_are_served_while_the_store_is_unavailable_and_changes_arrive_afterwards() {
    let deployment = Deployment::start(4, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.store.set_unavailable(true);
    std::thread::sleep(Duration::from_secs(2));
    for machine in 0..2 {
        assert_eq!(deployment.request(machine, "POST", ORDER, None).status, 200);
        assert_eq!(
            deployment.request(machine, "GET", LISTING, Some(5)).status,
            200
        );
    }
    deployment.store.set_unavailable(false);
    deployment.store.write_config(2, &["/added/"]);
    for machine in 0..2 {
        deployment.await_status(machine, "/added/", 200, SETTLE_TIMEOUT);
    }
}

#[test]
fn keys_of_a_lost_machine_are_served_by_others() {
    let mut deployment = Deployment::start(5, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.kill_machine(1);
    for key in [0, 30_000, 65_535] {
        let served = |reply: &Reply| reply.status == 200;
        let reply = deployment.await_reply(0, LISTING, Some(key), served, 2 * SETTLE_TIMEOUT);
        assert_ne!(reply.back_end(), "i-1");
    }
}

#[test]
fn keys_of_a_vanished_owner_are_served_when_another_machine_has_its_address_at_start() {
    let deployment = Deployment::start_with_stale_owner(13, 3);
    for key in [0, 30_000, 65_535] {
        let served = |reply: &Reply| reply.status == 200;
        deployment.await_reply(0, LISTING, Some(key), served, 2 * SETTLE_TIMEOUT);
    }
}

#[test]
fn keys_of_a_lost_machine_are_served_after_its_address_is_reused() {
    let mut deployment = Deployment::start(14, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.reuse_address(1);
    for key in [0, 30_000, 65_535] {
        let served = |reply: &Reply| reply.status == 200;
        let reply = deployment.await_reply(0, LISTING, Some(key), served, 2 * SETTLE_TIMEOUT);
        assert_eq!(reply.back_end(), "i-2");
    }
}

#[test]
fn a_peer_with_a_late_hello_receives_what_was_announced_before_it() {
    let mut items = None;
    let deployment = Deployment::start_with_peer(15, 2, |address| {
        items = Some(delayed_peer::listen(address, Duration::from_secs(4)));
    });
    deployment.await_serving(SETTLE_TIMEOUT);
    let items = items.expect("the peer listens");
    let mut received = HashSet::new();
    while received.len() < 3 {
        let item = items.recv_timeout(SETTLE_TIMEOUT);
        received.insert(item.expect("two machine names and an assignment"));
    }
}

#[test]
fn a_restarted_process_keeps_its_keys() {
    let mut deployment = Deployment::start(6, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    let key = (0..60_000)
        .step_by(1_000)
        .find(|key| deployment.request(0, "GET", LISTING, Some(*key)).back_end() == "i-1")
        .expect("machine 1 owns some keys");
    deployment.kill_process(1);
    deployment.start_process(1);
    let served = |reply: &Reply| reply.status == 200;
    let reply = deployment.await_reply(0, LISTING, Some(key), served, SETTLE_TIMEOUT);
    assert_eq!(reply.back_end(), "i-1");
}

#[test]
fn a_graceful_shutdown_finishes_running_requests() {
    let mut deployment = Deployment::start(7, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    let slow = deployment.request_in_background(1, "POST", "/orders/slow/");
    std::thread::sleep(Duration::from_millis(200));
    deployment.stop_process(1);
    let reply = slow.join().expect("no panic");
    assert_eq!(reply.status, 200, "{reply:?}");
}

// Guards against: a stopping process exits while it writes a response, of which the caller gets a part.
#[test]
fn a_graceful_shutdown_finishes_writing_responses() {
    let mut deployment = Deployment::start(21, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    let mut response = deployment.send_order(1, "/orders/long/");
    // The response has begun, and the rest waits for its caller, beyond the time for new requests.
    let mut received = vec![0; 1];
    response.read_exact(&mut received).expect("a response");
    deployment.request_stop(1);
    std::thread::sleep(Duration::from_secs(3));
    response.read_to_end(&mut received).expect("the rest");
    assert!(received.len() > LONG_BODY_BYTES, "{}", received.len());
}

#[test]
fn a_request_that_outlasts_the_grace_period_gets_a_response_before_the_process_exits() {
    let mut deployment = Deployment::start(19, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    let late = deployment.request_after(1, "POST", "/orders/stuck/", Duration::from_millis(2_100));
    deployment.stop_process(1);
    let reply = late.join().expect("no panic");
    assert_eq!(reply.status, 504, "{reply:?}");
}

#[test]
fn a_stopping_process_responds_to_a_request_that_it_cannot_retry() {
    let mut deployment = Deployment::start(20, 4);
    deployment.store.write_config(2, &["/added/"]);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.await_status(0, "/added/", 200, SETTLE_TIMEOUT);
    deployment.crash_back_end(0);
    deployment.await_status(0, "/added/", 200, SETTLE_TIMEOUT);
    deployment.request_stop(0);
    std::thread::sleep(Duration::from_millis(1_100));
    // The response from machine 3 is lost when the back end of machine 0 is back, but the process
    // of machine 0 accepts no more requests by then.
    let retried = deployment.request_in_background(0, "GET", "/added/late-cut/");
    std::thread::sleep(Duration::from_millis(300));
    deployment.restart_back_end(0);
    let reply = retried.join().expect("no panic");
    assert!(matches!(reply.status, 502..=504), "{reply:?}");
}

#[test]
fn a_queued_request_is_not_executed_after_its_caller_disconnects() {
    let deployment = Deployment::start(16, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    let slow: Vec<_> = (0..8)
        .map(|_| deployment.request_in_background(0, "POST", "/orders/slow/"))
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    deployment.order_and_disconnect(1, Duration::from_millis(300));
    for reply in slow {
        assert_eq!(reply.join().expect("no panic").status, 200);
    }
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(
        deployment.executed_orders(),
        8,
        "the caller of the ninth order has disconnected"
    );
}

#[test]
fn malformed_frames_close_only_their_connection() {
    let deployment = Deployment::start(17, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    let complete = [[0, 0, 0, 9].as_slice(), &[0xff; 9]].concat();
    let too_long = [0xff; 64].to_vec();
    let truncated = vec![0, 0, 1, 0, 1, 2];
    for bytes in [complete, too_long, truncated] {
        deployment.send_to_peer_port(0, &bytes);
    }
    assert_eq!(deployment.request(0, "POST", ORDER, None).status, 200);
    assert_eq!(deployment.request(1, "POST", ORDER, None).status, 200);
}

#[test]
fn a_back_end_gets_no_request_after_its_drain_is_confirmed() {
    let deployment = Deployment::start(11, 4);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.drain(0);
    std::thread::sleep(Duration::from_millis(500));
    for machine in 0..4 {
        for _ in 0..5 {
            let reply = deployment.request(machine, "POST", ORDER, None);
            assert_eq!(reply.back_end(), "i-3", "{reply:?}");
        }
    }
}

#[test]
fn a_restarted_process_sends_no_request_to_a_back_end_that_deregisters_before_its_heartbeat() {
    let mut deployment = Deployment::start(18, 4);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.restart_and_deregister(0);
    std::thread::sleep(Duration::from_secs(1));
    for machine in 0..4 {
        for _ in 0..5 {
            let reply = deployment.request(machine, "POST", ORDER, None);
            assert_eq!(reply.back_end(), "i-3", "{reply:?}");
        }
    }
}

#[test]
fn keys_of_a_draining_back_end_move_to_others() {
    let deployment = Deployment::start(12, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.drain(1);
    for key in [0, 30_000, 65_535] {
        let moved = |reply: &Reply| reply.status == 200 && reply.back_end() == "i-2";
        deployment.await_reply(0, LISTING, Some(key), moved, SETTLE_TIMEOUT);
    }
}

#[test]
fn an_order_whose_response_is_lost_is_not_retried() {
    let deployment = Deployment::start(8, 2);
    deployment.await_serving(SETTLE_TIMEOUT);
    let before = deployment.executed_orders();
    let reply = deployment.request(0, "POST", "/orders/cut/", None);
    assert_eq!(reply.status, 502);
    assert_eq!(deployment.executed_orders(), before + 1);
}

#[test]
fn a_process_without_a_configuration_responds_503_with_retry_after() {
    let deployment = Deployment::start_unconfigured(9, 1);
    let reply = deployment.await_reply(0, LISTING, Some(1), |r| r.status == 503, SETTLE_TIMEOUT);
    assert!(reply.text("Retry-After").is_some());
    assert_ne!(deployment.readiness(0), 200);
}
