//! A back end has said that it leaves, and the process beside it ends.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use crate::SETTLE_TIMEOUT;
use crate::deployment::{Deployment, ORDER};

/// A machine with a back end for orders; the only other one is that of machine 3.
const LEAVING: usize = 0;
const LEAVING_ID: &str = "i-0";
const MACHINES: usize = 4;
/// Time in which what a process announces reaches the others.
const SPREAD_TIME: Duration = Duration::from_millis(700);
/// `born` of the first back end of a machine.
const BORN: u64 = 1;

#[derive(Clone, Copy, Debug)]
enum Way {
    Deregistered,
    Drained,
    SaidInResponse,
}

#[derive(Clone, Copy, Debug)]
enum End {
    Killed,
    Stopped,
    /// Stopped before it has received a heartbeat after a kill.
    KilledAndStopped,
}

fn start(net: u8) -> Deployment {
    let deployment = Deployment::start(net, MACHINES);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment
}

/// Lets the back end say that it leaves; it sends no heartbeat from then on.
fn leave(deployment: &Deployment, way: Way) {
    let back_end = deployment.back_end(LEAVING);
    match way {
        Way::Deregistered => {
            back_end.set_heartbeats_paused(true);
            assert_eq!(back_end.deregister().expect("a response"), 200);
        }
        Way::Drained => {
            back_end.drain();
            back_end.set_heartbeats_paused(true);
        }
        Way::SaidInResponse => {
            back_end.set_heartbeats_paused(true);
            back_end.set_leaving(true);
            let told =
                |_| deployment.request(LEAVING, "POST", ORDER, None).back_end() == LEAVING_ID;
            assert!((0..20).any(told), "no request reaches the back end");
        }
    }
    std::thread::sleep(SPREAD_TIME);
}

fn restart(deployment: &mut Deployment, end: End) {
    match end {
        End::Killed => deployment.kill_process(LEAVING),
        End::Stopped => deployment.stop_process(LEAVING),
        End::KilledAndStopped => {
            deployment.kill_process(LEAVING);
            deployment.start_process(LEAVING);
            std::thread::sleep(SPREAD_TIME);
            deployment.stop_process(LEAVING);
        }
    }
    start_and_await_ready(deployment);
}

fn start_and_await_ready(deployment: &mut Deployment) {
    deployment.start_process(LEAVING);
    while deployment.try_readiness(LEAVING) != Some(200) {
        std::thread::sleep(SPREAD_TIME / 10);
    }
}

/// Sends a heartbeat of the back end; returns the status.
fn send_heartbeat(deployment: &Deployment, state: &str, sequence: u64) -> u16 {
    let body = json!({
        "service": "orders", "address": deployment.back_end_address(LEAVING), "zone": "z",
        "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0, "sequence": sequence,
        "born": BORN
    });
    deployment.send_heartbeat(LEAVING, LEAVING_ID, body.to_string().as_bytes())
}

/// Sends the heartbeat that the back end sent last before it left, which has been delayed.
fn deliver_late_heartbeat(deployment: &Deployment) {
    send_heartbeat(deployment, "ready", 9_999);
    std::thread::sleep(SPREAD_TIME);
}

/// Returns the back ends that run orders, whichever machine these begin at.
fn back_ends_in_use(deployment: &Deployment) -> Vec<String> {
    let requests = (0..MACHINES).flat_map(|machine| std::iter::repeat_n(machine, 6));
    let replies = requests.map(|machine| deployment.request(machine, "POST", ORDER, None));
    let mut ids: Vec<String> = replies.map(|r| r.back_end()).collect();
    ids.sort();
    ids.dedup();
    ids
}

// Guards against: a process that restarts forgets that its back end leaves, and sends it orders again.
#[rstest]
#[case::deregistered(160, Way::Deregistered, End::Killed)]
#[case::drained(161, Way::Drained, End::Killed)]
#[case::said_in_response(162, Way::SaidInResponse, End::Killed)]
#[case::deregistered_and_stopped(163, Way::Deregistered, End::Stopped)]
#[case::drained_and_stopped(164, Way::Drained, End::Stopped)]
#[case::deregistered_killed_and_stopped(165, Way::Deregistered, End::KilledAndStopped)]
fn a_back_end_that_leaves_gets_no_request_after_a_restart_of_its_process(
    #[case] net: u8,
    #[case] way: Way,
    #[case] end: End,
) {
    let mut deployment = start(net);
    leave(&deployment, way);
    restart(&mut deployment, end);
    deliver_late_heartbeat(&deployment);
    assert_eq!(back_ends_in_use(&deployment), ["i-3"]);
}

// Guards against: a restart of all while the store is away brings a back end back that leaves, for good.
#[test]
fn a_process_that_restarts_without_store_and_peers_learns_later_that_its_back_end_leaves() {
    let mut deployment = start(166);
    leave(&deployment, Way::Deregistered);
    deployment.store.set_unavailable(true);
    for machine in 0..MACHINES {
        deployment.kill_process(machine);
    }
    for machine in 0..MACHINES {
        deployment.start_process(machine);
    }
    std::thread::sleep(SPREAD_TIME);
    deliver_late_heartbeat(&deployment);
    deployment.store.set_unavailable(false);
    deployment.await_serving(SETTLE_TIMEOUT);
    assert_eq!(back_ends_in_use(&deployment), ["i-3"]);
}

// Guards against: a restart while the store is away brings it back until the store returns.
#[test]
fn a_process_that_restarts_without_the_store_hears_from_its_peers_that_its_back_end_leaves() {
    let mut deployment = start(172);
    leave(&deployment, Way::Deregistered);
    deployment.kill_process(LEAVING);
    deployment.store.set_unavailable(true);
    start_and_await_ready(&mut deployment);
    deliver_late_heartbeat(&deployment);
    assert_eq!(back_ends_in_use(&deployment), ["i-3"]);
}

// Guards against: leaving is confirmed by one process alone, which may end before the store knows of it.
#[test]
fn leaving_is_not_confirmed_before_the_store_has_it() {
    let deployment = start(167);
    deployment.store.set_unavailable(true);
    let back_end = deployment.back_end(LEAVING);
    assert_eq!(back_end.deregister().expect("a response"), 503);
    std::thread::sleep(SPREAD_TIME);
    assert_eq!(back_ends_in_use(&deployment), ["i-3"]);
    deployment.store.set_unavailable(false);
    let confirmed = |_| {
        std::thread::sleep(SPREAD_TIME / 10);
        back_end.deregister().is_ok_and(|status| status == 200)
    };
    assert!((0..100).any(confirmed), "leaving is never confirmed");
}

// Guards against: the same, by a heartbeat that a later one has overtaken.
#[test]
fn an_overtaken_heartbeat_does_not_confirm_leaving_before_the_store_has_it() {
    let deployment = start(173);
    deployment.store.set_unavailable(true);
    deployment.back_end(LEAVING).set_heartbeats_paused(true);
    assert_eq!(send_heartbeat(&deployment, "draining", 9_999), 503);
    assert_eq!(send_heartbeat(&deployment, "draining", 9_998), 503);
    deployment.store.set_unavailable(false);
    std::thread::sleep(2 * SPREAD_TIME);
    assert_eq!(send_heartbeat(&deployment, "draining", 9_997), 200);
}

// Guards against: the next incarnation under the same id is taken for the one that has left.
#[test]
fn the_next_incarnation_under_the_same_id_has_not_left() {
    let mut deployment = start(168);
    leave(&deployment, Way::Deregistered);
    deployment.crash_back_end(LEAVING);
    restart(&mut deployment, End::Killed);
    deployment.restart_back_end(LEAVING);
    std::thread::sleep(2 * SPREAD_TIME);
    assert_eq!(back_ends_in_use(&deployment), ["i-0", "i-3"]);
    let late = json!({"born": BORN}).to_string();
    let status = deployment.send_deregistration(LEAVING, LEAVING_ID, late.as_bytes());
    assert_eq!(status, 200);
    std::thread::sleep(SPREAD_TIME);
    assert_eq!(back_ends_in_use(&deployment), ["i-0", "i-3"]);
}

// Guards against: deregistrations of another writer displace what is remembered of a back end.
#[test]
fn foreign_deregistrations_change_nothing() {
    let mut deployment = start(169);
    for id in 0..10 {
        let status = deployment.send_deregistration(LEAVING, &format!("w-{id}"), b"");
        assert_eq!(status, 200);
    }
    for body in [b"{\"born\":".as_slice(), b"\xff", b"{\"born\":\"1\"}"] {
        let status = deployment.send_deregistration(LEAVING, LEAVING_ID, body);
        assert_eq!(status, 400);
    }
    assert_eq!(back_ends_in_use(&deployment), ["i-0", "i-3"]);
    leave(&deployment, Way::Deregistered);
    for id in 10..20 {
        deployment.send_deregistration(LEAVING, &format!("w-{id}"), b"");
    }
    restart(&mut deployment, End::Killed);
    deliver_late_heartbeat(&deployment);
    assert_eq!(back_ends_in_use(&deployment), ["i-3"]);
}

// Guards against: a store that comes back from an older copy has lost that a back end leaves.
#[test]
fn a_restored_store_is_told_again_that_a_back_end_leaves() {
    let mut deployment = start(170);
    std::thread::sleep(3 * SPREAD_TIME);
    leave(&deployment, Way::Deregistered);
    deployment.store.restore(3 * SPREAD_TIME);
    std::thread::sleep(3 * SPREAD_TIME);
    restart(&mut deployment, End::Killed);
    deliver_late_heartbeat(&deployment);
    assert_eq!(back_ends_in_use(&deployment), ["i-3"]);
}

// Guards against: a deregistration from the far future covers every later incarnation under the id.
#[test]
fn a_deregistration_of_the_far_future_is_refused() {
    let deployment = start(171);
    let body = json!({"born": u64::MAX}).to_string();
    let status = deployment.send_deregistration(LEAVING, LEAVING_ID, body.as_bytes());
    assert_eq!(status, 400);
    assert_eq!(back_ends_in_use(&deployment), ["i-0", "i-3"]);
}
