//! A store that is restored from a snapshot: what it has lost, and revisions that it gives out
//! again.

use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;

use crate::SETTLE_TIMEOUT;
use crate::crash_causing_requests::{Attempts, IDEMPOTENT, await_blocked, is_blocked};
use crate::deployment::{Deployment, LISTING, ORDER, Reply};

/// Time for which the store is away before it comes back.
const AWAY: Duration = Duration::from_millis(300);
/// Longest time from the confirmation of a configuration until it is in force (`configApplyMs`).
pub(crate) const CONFIG_APPLY_LIMIT: Duration = Duration::from_millis(2_500);
/// Time in which the keys of a lost machine are served again.
const LOST_MACHINE_LIMIT: Duration = Duration::from_secs(8);
/// Longest time until keys are served whose holder nobody knows.
const RECOVERY_LIMIT: Duration = Duration::from_secs(40);
/// Time after a change until the writes that follow from it are done.
const QUIET_TIME: Duration = Duration::from_millis(1_500);
/// Time for which grants are observed after the keys are served again.
const OBSERVED_TIME: Duration = Duration::from_secs(4);
/// Time between two requests while a test waits.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Number of other writes, more than the processes make in the lost seconds.
const FILLER_WRITES: u32 = 300;
/// Violations that a failed test shows.
const MAX_SHOWN: usize = 4;
/// Keys that stand for all.
const KEYS: [u16; 6] = [0, 9_000, 25_000, 40_000, 52_000, 65_535];

/// Lets the store be away for a moment and come back as it was at `copied_at`.
pub(crate) fn restore(deployment: &Deployment, copied_at: Instant) {
    deployment.store.go_away();
    std::thread::sleep(AWAY);
    deployment.store.restore_to(copied_at);
}

/// Starts machines; returns them when they serve and nothing more is to be written.
fn start_settled(net: u8, machines: usize) -> Deployment {
    let deployment = Deployment::start(net, machines);
    deployment.await_serving(SETTLE_TIMEOUT);
    std::thread::sleep(QUIET_TIME);
    deployment
}

/// Raises the revision of the store.
pub(crate) fn write_fillers(deployment: &Deployment) {
    for number in 0..FILLER_WRITES {
        deployment.store.write("filler", "filler", json!(number));
    }
}

/// Panics unless every machine serves `path` within [`CONFIG_APPLY_LIMIT`] from `since`.
pub(crate) fn assert_in_force(
    deployment: &Deployment,
    machines: &[usize],
    path: &str,
    since: Instant,
) {
    for machine in machines {
        deployment.await_status(*machine, path, 200, SETTLE_TIMEOUT);
        let elapsed = since.elapsed();
        assert!(
            elapsed <= CONFIG_APPLY_LIMIT,
            "machine {machine} serves {path} only after {elapsed:?}"
        );
    }
}

pub(crate) fn await_in_force(deployment: &Deployment, machines: &[usize], path: &str) {
    for machine in machines {
        deployment.await_status(*machine, path, 200, SETTLE_TIMEOUT);
    }
}

fn await_ready(deployment: &Deployment, machine: usize) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while deployment.try_readiness(machine) != Some(200) {
        assert!(Instant::now() < deadline, "machine {machine} is not ready");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until `machine` gets every key served, by `back_end` if that is given.
fn await_keys(deployment: &Deployment, machine: usize, back_end: Option<&str>, limit: Duration) {
    for key in KEYS {
        let served = |r: &Reply| r.status == 200 && back_end.is_none_or(|b| r.back_end() == b);
        deployment.await_reply(machine, LISTING, Some(key), served, limit);
    }
}

/// Moves all keys of machine 1 by a crash of its back end, which comes back without keys.
fn move_keys_by_crash(deployment: &mut Deployment, recipient: &str) {
    deployment.crash_back_end(1);
    await_keys(deployment, 0, Some(recipient), SETTLE_TIMEOUT);
    deployment.restart_back_end(1);
    std::thread::sleep(QUIET_TIME);
}

fn assert_one_holder(deployment: &Deployment) {
    std::thread::sleep(OBSERVED_TIME);
    let violations = deployment.key_violations();
    let count = violations.len();
    let first: Vec<String> = violations.into_iter().take(MAX_SHOWN).collect();
    assert!(first.is_empty(), "{count} violations, first {first:#?}");
}

// Guards against a new version that is taken for an old one, because the lost one had a higher
// revision.
#[test]
fn a_new_version_is_in_force_in_time_though_a_lost_one_had_a_higher_revision() {
    let deployment = Deployment::start(101, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    let copied_at = Instant::now();
    write_fillers(&deployment);
    deployment.store.write_config(2, &["/second/"]);
    await_in_force(&deployment, &[0, 1, 2], "/second/");
    restore(&deployment, copied_at);
    deployment.store.write_config(2, &["/second/"]);
    std::thread::sleep(QUIET_TIME);
    deployment.store.write_config(3, &["/second/", "/third/"]);
    assert_in_force(&deployment, &[0, 1, 2], "/third/", Instant::now());
}

// Guards against a running process that goes back to an earlier version, which is written again
// under a higher revision.
#[test]
fn a_version_that_is_written_again_does_not_replace_a_later_one() {
    let deployment = Deployment::start(102, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    let copied_at = Instant::now();
    deployment.store.write_config(2, &["/second/"]);
    deployment.store.write_config(3, &["/second/", "/third/"]);
    await_in_force(&deployment, &[0, 1, 2], "/third/");
    restore(&deployment, copied_at);
    write_fillers(&deployment);
    deployment.store.write_config(2, &["/second/"]);
    let written = Instant::now();
    while written.elapsed() < CONFIG_APPLY_LIMIT {
        for machine in 0..3 {
            let reply = deployment.request(machine, "GET", "/third/", None);
            assert_eq!(reply.status, 200, "machine {machine} has gone back");
        }
    }
    deployment.store.write_config(3, &["/second/", "/third/"]);
    std::thread::sleep(QUIET_TIME);
    deployment.store.write_config(4, &["/fourth/"]);
    assert_in_force(&deployment, &[0, 1, 2], "/fourth/", Instant::now());
}

// Guards against a process that starts with the restored version and keeps it while its peers have
// a later one.
#[rstest]
#[case::nothing_written_again(103, false)]
#[case::an_earlier_version_written_again(104, true)]
fn a_process_that_starts_after_the_restore_has_the_latest_version_of_its_peers(
    #[case] net: u8,
    #[case] writes_earlier: bool,
) {
    let mut deployment = Deployment::start(net, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    let copied_at = Instant::now();
    deployment.store.write_config(2, &["/second/"]);
    deployment.store.write_config(3, &["/second/", "/third/"]);
    await_in_force(&deployment, &[0, 1, 2], "/third/");
    deployment.kill_process(1);
    restore(&deployment, copied_at);
    if writes_earlier {
        write_fillers(&deployment);
        deployment.store.write_config(2, &["/second/"]);
    }
    deployment.start_process(1);
    await_ready(&deployment, 1);
    assert_in_force(&deployment, &[1], "/third/", Instant::now());
    std::thread::sleep(QUIET_TIME);
    await_in_force(&deployment, &[0, 1, 2], "/third/");
}

// Guards against keys that processes without memory grant by the restored assignment, while the back
// ends to which they moved in the lost seconds still hold them.
#[rstest]
#[case::former_holder(105, &[1], &[])]
#[case::former_holder_without_the_new_one(106, &[1], &[2])]
#[case::both(107, &[1, 2], &[])]
#[case::all(108, &[0, 1, 2], &[])]
fn keys_that_moved_in_the_lost_seconds_have_one_holder_after_a_restart(
    #[case] net: u8,
    #[case] restarted: &[usize],
    #[case] restarted_later: &[usize],
) {
    let mut deployment = start_settled(net, 3);
    let copied_at = Instant::now();
    move_keys_by_crash(&mut deployment, "i-2");
    for machine in restarted.iter().chain(restarted_later) {
        deployment.kill_process(*machine);
    }
    restore(&deployment, copied_at);
    for machine in restarted {
        deployment.start_process(*machine);
    }
    std::thread::sleep(OBSERVED_TIME);
    for machine in restarted_later {
        deployment.start_process(*machine);
    }
    deployment.await_serving(RECOVERY_LIMIT);
    await_keys(&deployment, 0, None, RECOVERY_LIMIT);
    assert_one_holder(&deployment);
}

// Guards against the restored assignment, which one process without memory puts in force at all others
// when the revisions have passed the lost ones.
#[test]
fn a_process_without_memory_brings_back_no_earlier_holder_under_a_higher_revision() {
    let mut deployment = start_settled(109, 5);
    let copied_at = Instant::now();
    deployment.drain(1);
    for key in KEYS {
        let moved = |r: &Reply| r.status == 200 && r.back_end() != "i-1";
        deployment.await_reply(0, LISTING, Some(key), moved, SETTLE_TIMEOUT);
    }
    std::thread::sleep(QUIET_TIME);
    deployment.crash_back_end(1);
    restore(&deployment, copied_at);
    write_fillers(&deployment);
    deployment.restart_back_end(1);
    deployment.kill_process(1);
    deployment.start_process(1);
    await_keys(&deployment, 0, None, LOST_MACHINE_LIMIT);
    assert_one_holder(&deployment);
}

// Guards against keys of a lost machine that had moved to another one, which cannot tell anybody.
#[test]
fn keys_taken_over_from_a_lost_machine_have_one_holder_when_it_starts_again_without_peers() {
    let mut deployment = Deployment::start_isolated(110, 3);
    let owner = await_holder(&deployment, &[1, 2]);
    let other = 3 - owner;
    let copied_at = Instant::now();
    deployment.kill_process(owner);
    await_keys(&deployment, other, None, RECOVERY_LIMIT);
    restore(&deployment, copied_at);
    deployment.start_process(owner);
    std::thread::sleep(LOST_MACHINE_LIMIT + OBSERVED_TIME);
    await_holder(&deployment, &[1, 2]);
    assert_one_holder(&deployment);
}

/// Waits until one of these machines, which do not reach each other, serves a key; returns it.
fn await_holder(deployment: &Deployment, machines: &[usize]) -> usize {
    let deadline = Instant::now() + RECOVERY_LIMIT;
    loop {
        let serves = |m: &&usize| {
            let reply = deployment.request(**m, "GET", LISTING, Some(KEYS[0]));
            reply.status == 200
        };
        if let Some(machine) = machines.iter().find(serves) {
            return *machine;
        }
        assert!(Instant::now() < deadline, "no machine serves keys");
        std::thread::sleep(POLL_INTERVAL);
    }
}

// Guards against a write of an assignment that was sent before the restore and takes effect after it,
// when its revision has been given out again.
#[test]
fn a_late_write_of_an_assignment_brings_back_no_earlier_holder() {
    let mut deployment = start_settled(111, 3);
    let copied_at = Instant::now();
    write_fillers(&deployment);
    move_keys_by_crash(&mut deployment, "i-2");
    deployment
        .store
        .hold_next_write("plantaingauge-assignments");
    deployment.back_end(2).deregister().expect("a response");
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while deployment.store.held_writes() == 0 {
        assert!(Instant::now() < deadline, "no assignment is written");
        std::thread::sleep(POLL_INTERVAL);
    }
    for machine in 0..3 {
        deployment.kill_process(machine);
    }
    restore(&deployment, copied_at);
    // Its write gives the revision out again for which the held one waits.
    deployment.start_process(2);
    let served = |reply: &Reply| reply.status == 200;
    deployment.await_reply(2, LISTING, Some(65_535), served, RECOVERY_LIMIT);
    deployment.start_process(0);
    deployment.start_process(1);
    deployment.await_serving(RECOVERY_LIMIT);
    assert_one_holder(&deployment);
}

/// Longest time in which each key was not served, over `duration`.
fn longest_gaps(deployment: &Deployment, duration: Duration) -> [Duration; KEYS.len()] {
    let began = Instant::now();
    let mut last_served = [began; KEYS.len()];
    let mut longest = [Duration::ZERO; KEYS.len()];
    while began.elapsed() < duration {
        for (i, key) in KEYS.into_iter().enumerate() {
            let reply = deployment.request(0, "GET", LISTING, Some(key));
            let now = Instant::now();
            longest[i] = longest[i].max(now - last_served[i]);
            if reply.status == 200 {
                last_served[i] = now;
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    longest
}

// Guards against keys that nobody serves after a restore, though their holders run on.
#[rstest]
#[case::nothing_moved(112, false, 1)]
#[case::nothing_moved_and_two_restores(113, false, 2)]
#[case::moved(114, true, 1)]
#[case::moved_and_two_restores(115, true, 2)]
fn keys_whose_holders_run_on_are_served_again_before_those_of_a_lost_machine(
    #[case] net: u8,
    #[case] moves: bool,
    #[case] restores: u32,
) {
    let mut deployment = start_settled(net, 3);
    let copied_at = Instant::now();
    if moves {
        move_keys_by_crash(&mut deployment, "i-2");
    }
    let gaps = std::thread::scope(|scope| {
        let sampled = scope.spawn(|| longest_gaps(&deployment, 2 * LOST_MACHINE_LIMIT));
        std::thread::sleep(AWAY);
        for _ in 0..restores {
            restore(&deployment, copied_at);
            std::thread::sleep(AWAY);
        }
        sampled.join().expect("no panic")
    });
    assert!(
        gaps.iter().all(|g| *g < LOST_MACHINE_LIMIT),
        "not served for {gaps:?}"
    );
    assert_one_holder(&deployment);
}

// Guards against keys that can no longer move, because the restored assignment has a lower revision
// than the one that the processes know.
#[test]
fn keys_of_a_back_end_that_crashes_after_a_restore_are_served_by_others() {
    let mut deployment = start_settled(116, 3);
    let copied_at = Instant::now();
    move_keys_by_crash(&mut deployment, "i-2");
    restore(&deployment, copied_at);
    await_keys(&deployment, 0, None, LOST_MACHINE_LIMIT);
    deployment.crash_back_end(2);
    await_keys(&deployment, 0, Some("i-1"), LOST_MACHINE_LIMIT);
    assert_one_holder(&deployment);
}

// Guards against keys that nobody serves, because their back end has crashed unnoticed: no request reaches
// it once its grants have run out.
#[test]
fn keys_of_a_back_end_that_crashes_while_no_request_comes_are_served_by_others() {
    let deployment = start_settled(137, 3);
    deployment.crash_back_end(2);
    std::thread::sleep(OBSERVED_TIME);
    await_keys(&deployment, 0, Some("i-1"), LOST_MACHINE_LIMIT);
}

// Guards against a machine that joined in the lost seconds and is found by nobody who starts later.
#[test]
fn a_machine_whose_record_was_lost_is_found_by_one_that_joins_later() {
    let mut deployment = start_settled(117, 3);
    let copied_at = Instant::now();
    let joined = deployment.add_machine();
    deployment.crash_back_end(0);
    let by_joined = |r: &Reply| r.status == 200 && r.back_end() == "i-3";
    deployment.store.write_config(2, &["/added/"]);
    deployment.await_reply(joined, "/added/", None, by_joined, SETTLE_TIMEOUT);
    // It has listed the records as often as it does while it knows no peer.
    std::thread::sleep(OBSERVED_TIME);
    restore(&deployment, copied_at);
    deployment.store.write_config(2, &["/added/"]);
    let last = deployment.add_machine();
    deployment.await_reply(last, "/added/", None, by_joined, SETTLE_TIMEOUT);
    assert_eq!(deployment.request(last, "POST", ORDER, None).status, 200);
}

// Guards against a block that was saved in the lost seconds and is unknown to processes that start
// later.
#[test]
fn a_block_that_was_lost_is_found_by_a_process_that_starts_later() {
    let mut deployment = Deployment::start_isolated(118, 4);
    for machine in [0, 3] {
        deployment.await_status(machine, "/added/", 200, SETTLE_TIMEOUT);
    }
    let copied_at = Instant::now();
    let mut attempts = Attempts::new(IDEMPOTENT, 12);
    attempts.request.senders = [0; 6];
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while !is_blocked(&deployment, 0) {
        assert!(Instant::now() < deadline, "the request is not blocked");
        attempts.send(&mut deployment);
    }
    await_blocked(&deployment, 3);
    // What follows from the last crash is saved as well.
    for machine in deployment.crashed_back_ends() {
        deployment.restart_back_end(machine);
    }
    std::thread::sleep(OBSERVED_TIME);
    deployment.kill_process(3);
    restore(&deployment, copied_at);
    deployment.start_process(3);
    await_ready(&deployment, 3);
    await_blocked(&deployment, 3);
}

// Guards against a store that already is in a later era when the deployment starts.
#[test]
fn a_deployment_on_a_store_in_a_later_era_keeps_its_keys_over_a_restart() {
    let mut deployment = Deployment::start_in_era(119, 3, 4);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.kill_process(1);
    deployment.start_process(1);
    deployment.await_serving(SETTLE_TIMEOUT);
    await_keys(&deployment, 0, None, LOST_MACHINE_LIMIT);
    assert_one_holder(&deployment);
}
