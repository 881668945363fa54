//! Which machines receive keys while the back ends of some are cold.

mod common;

use rstest::rstest;
use shards::assignment::{Assignment, Holder};
use shards::key_report::{HeldKeys, KeyReport, ReleasedKeys};
use shards::lease::Lease;
use shards::manager::{PeerState, ShardManager, StoreOp, StoreOutcome, Timing, with_drift};
use shards::revision::StoreEra;
use shards::span::{Span, subtract};
use world::instant::BootInstant;
use world::name::MachineName;

use common::{at, incarnation, stored};

const OWN: &str = "own";
/// Number of all keys.
const ALL_KEYS: u32 = 65_536;

fn machine(name: &str) -> MachineName {
    MachineName::new(name)
}

fn holder(name: &str) -> Holder {
    Holder {
        epoch: 1,
        incarnation: incarnation(name),
    }
}

fn report(sequence: u64) -> KeyReport {
    KeyReport {
        incarnation: incarnation(OWN),
        sequence,
        draining: false,
        held_keys: Vec::new(),
        released_keys: Vec::new(),
    }
}

fn renew_lease(manager: &mut ShardManager, at: BootInstant) {
    let lease = Lease::default().next_epoch();
    let op = StoreOp::Create(lease);
    let done = StoreOutcome::Done(stored(3, lease));
    manager.on_lease_outcome(at, StoreEra::FIRST, &op, done);
}

/// Returns the manager of a machine with a back end and a lease, before it knows an assignment.
fn starting_manager() -> ShardManager {
    let mut manager = ShardManager::new(machine(OWN), Timing::default(), at(0));
    let _ = manager.on_report(at(0), &report(1));
    renew_lease(&mut manager, at(2_000));
    manager
}

/// Returns the manager of a machine; `owners` have an equal share of the keys each, `others` none.
fn manager(owners: &[&str], others: &[&str]) -> ShardManager {
    let mut manager = starting_manager();
    let holders = owners.iter().map(|m| (machine(m), holder(m)));
    let mut assignment = Assignment::new(holders.collect()).expect("holders");
    for other in others {
        assignment.set_holder(&machine(other), holder(other));
    }
    let done = StoreOutcome::Done(stored(4, assignment));
    manager.on_assignment_outcome(StoreEra::FIRST, &StoreOp::Read, done);
    manager
}

fn set_peer(manager: &mut ShardManager, name: &str, connected: bool, cold: bool) {
    let peer = PeerState {
        connected,
        link_changed_at: at(2_000),
        incarnation: Some(incarnation(name)),
        lease: Some(stored(5, Lease::default().next_epoch())),
        lease_received_at: at(2_000),
        utilization: 0.0,
        cold,
    };
    manager.set_peer(machine(name), peer);
}

/// Returns the assignment that the manager writes.
fn written(manager: &ShardManager, now: BootInstant) -> Assignment {
    match manager.assignment_op(now) {
        Some(StoreOp::Create(written)) => written,
        Some(StoreOp::Replace(written)) => written.value,
        op => panic!("{op:?}"),
    }
}

/// Returns the number of keys of each of these machines.
fn shares<const N: usize>(assignment: &Assignment, names: [&str; N]) -> [u32; N] {
    names.map(|name| assignment.key_count(&machine(name)))
}

/// Lets the busy machine move keys by load, and its back end release them; `before_write` is called when
/// it has. Returns the assignment that the manager writes, `None` if no keys move.
fn rebalance(
    manager: &mut ShardManager,
    before_write: impl FnOnce(&mut ShardManager),
) -> Option<Assignment> {
    let spans = |reply: Option<shards::key_report::GrantReply>| -> Vec<Span> {
        let reply = reply.expect("it holds keys");
        reply.grants.iter().map(|g| g.span).collect()
    };
    let before = spans(manager.on_report(at(3_000), &report(2)));
    if manager.rebalance(at(3_000), 0.9) == 0 {
        return None;
    }
    let kept = spans(manager.on_report(at(3_050), &report(3)));
    let released = kept.iter().fold(before, |rest, k| subtract(&rest, *k));
    let record = |span: &Span| ReleasedKeys {
        span: *span,
        handover: "record".to_owned(),
    };
    let held = |span: &Span| HeldKeys {
        span: *span,
        fence: 2,
    };
    let next = KeyReport {
        held_keys: kept.iter().map(held).collect(),
        released_keys: released.iter().map(record).collect(),
        ..report(4)
    };
    let _ = manager.on_report(at(3_100), &next);
    before_write(manager);
    Some(written(manager, at(3_200)))
}

// Guards against: load balancing gives keys to a back end that takes few requests.
#[rstest]
#[case::without_keys(&[OWN], &["peer"])]
#[case::with_keys(&[OWN, "peer"], &[])]
fn keys_move_by_load_to_a_machine_once_it_is_warm(
    #[case] owners: &[&str],
    #[case] others: &[&str],
) {
    let mut manager = manager(owners, others);
    set_peer(&mut manager, "peer", true, true);
    assert_eq!(rebalance(&mut manager.clone(), |_| ()), None);
    set_peer(&mut manager, "peer", true, false);
    let before = if owners.len() == 1 { 0 } else { ALL_KEYS / 2 };
    let after = rebalance(&mut manager, |_| ()).expect("keys move");
    assert!(shares(&after, ["peer"])[0] > before, "{after:?}");
}

#[test]
fn keys_move_by_load_to_the_warm_one_of_two_machines() {
    let mut manager = manager(&[OWN], &["cold", "warm"]);
    set_peer(&mut manager, "cold", true, true);
    set_peer(&mut manager, "warm", true, false);
    let after = rebalance(&mut manager, |_| ()).expect("keys move");
    let [cold, warm] = shares(&after, ["cold", "warm"]);
    assert!(cold == 0 && warm > 0, "{after:?}");
}

// Guards against: released keys go to a machine that has become cold since their release began.
#[test]
fn keys_on_the_move_go_elsewhere_if_their_recipient_becomes_cold() {
    let mut manager = manager(&[OWN], &["peer"]);
    set_peer(&mut manager, "peer", true, false);
    let becomes_cold = |m: &mut ShardManager| set_peer(m, "peer", true, true);
    let after = rebalance(&mut manager, becomes_cold).expect("keys are released");
    assert_eq!(shares(&after, ["peer", OWN]), [0, ALL_KEYS]);
}

#[test]
fn a_cold_machine_moves_keys_by_load_to_cold_ones_as_to_warm_ones() {
    let mut manager = manager(&[OWN], &["peer"]);
    manager.set_cold(true);
    set_peer(&mut manager, "peer", true, true);
    let after = rebalance(&mut manager, |_| ()).expect("keys move");
    assert!(shares(&after, ["peer"])[0] > 0, "{after:?}");
}

// Guards against: keys that must move are left without a machine, or go to a cold one although another
// is warm.
#[rstest]
#[case::one_warm(false, [0, ALL_KEYS])]
#[case::none_warm(true, [ALL_KEYS / 2, ALL_KEYS / 2])]
fn keys_of_a_back_end_that_has_exited_go_to_warm_machines_if_there_are_any(
    #[case] all_cold: bool,
    #[case] expected: [u32; 2],
) {
    let mut manager = manager(&[OWN], &["cold", "other"]);
    set_peer(&mut manager, "cold", true, true);
    set_peer(&mut manager, "other", true, all_cold);
    manager.on_back_end_exit(at(3_000));
    manager.on_tick(at(3_000));
    let after = written(&manager, at(3_000));
    assert_eq!(shares(&after, ["cold", "other"]), expected);
}

// Guards against the same when a machine is lost.
#[rstest]
#[case::own_warm(false, true, [ALL_KEYS, 0])]
#[case::other_warm(true, false, [0, ALL_KEYS])]
#[case::both_cold(true, true, [ALL_KEYS / 2, ALL_KEYS / 2])]
fn keys_of_a_lost_machine_go_to_warm_machines_if_there_are_any(
    #[case] own_cold: bool,
    #[case] other_cold: bool,
    #[case] expected: [u32; 2],
) {
    let mut manager = manager(&["lost"], &[OWN, "other"]);
    manager.set_cold(own_cold);
    set_peer(&mut manager, "other", true, other_cold);
    set_peer(&mut manager, "lost", false, false);
    let fenced = at(6_000);
    let (lost, op) = manager.fence_op(fenced).expect("the lease is fenced");
    let done = StoreOutcome::Done(stored(6, Lease::default().next_epoch().to_fenced()));
    manager.on_fence_outcome(fenced, StoreEra::FIRST, &lost, &op, done);
    let expired = fenced + with_drift(Timing::default().lease);
    renew_lease(&mut manager, expired);
    let after = written(&manager, expired);
    let found = shares(&after, [OWN, "other"]);
    let is_equal = found.iter().zip(expected).all(|(f, e)| f.abs_diff(e) <= 16);
    assert!(is_equal, "{found:?} instead of {expected:?}");
}

// Guards against: a whole system that has just started, where all back ends are cold, does not distribute
// its keys.
#[test]
fn the_first_distribution_gives_keys_to_all_machines_although_they_are_cold() {
    let mut manager = starting_manager();
    manager.set_cold(true);
    set_peer(&mut manager, "peer", true, true);
    let absent = StoreOutcome::Absent;
    manager.on_assignment_outcome(StoreEra::FIRST, &StoreOp::Read, absent);
    let first = written(&manager, at(4_000));
    assert_eq!(
        shares(&first, [OWN, "peer"]),
        [ALL_KEYS / 2, ALL_KEYS / 2],
        "{first:?}"
    );
}
