//! Keys that a machine withdraws from its back end.

mod common;

use std::collections::BTreeMap;

use shards::assignment::{Assignment, Holder};
use shards::key_report::{GrantReply, HeldKeys, KeyReport, ReleasedKeys};
use shards::lease::Lease;
use shards::manager::{PeerState, ShardManager, StoreOp, StoreOutcome, Timing};
use shards::revision::StoreEra;
use shards::span::{ALL, Span, subtract};
use world::name::MachineName;

use common::{at, incarnation, stored};

/// Most writes that it may take to give keys back to the back end.
const MAX_WRITES: u32 = 3;

fn report(sequence: u64) -> KeyReport {
    KeyReport {
        incarnation: incarnation("i-own"),
        sequence,
        draining: false,
        held_keys: Vec::new(),
        released_keys: Vec::new(),
    }
}

/// Returns the manager of a machine that holds half of the keys, the other half being another's.
fn manager() -> ShardManager {
    let own = MachineName::new("own");
    let mut manager = ShardManager::new(own.clone(), Timing::default(), at(0));
    let _ = manager.on_report(at(0), &report(1));
    let lease = Lease::default().next_epoch();
    let op = StoreOp::Create(lease);
    let done = StoreOutcome::Done(stored(3, lease));
    manager.on_lease_outcome(at(2_000), StoreEra::FIRST, &op, done);
    let entry = |id: &str| Holder {
        epoch: 1,
        incarnation: incarnation(id),
    };
    let holders = BTreeMap::from([
        (own, entry("i-own")),
        (MachineName::new("other"), entry("i-other")),
    ]);
    let assignment = Assignment::new(holders).expect("two holders");
    let done = StoreOutcome::Done(stored(4, assignment));
    manager.on_assignment_outcome(StoreEra::FIRST, &StoreOp::Read, done);
    manager
}

fn set_connected(manager: &mut ShardManager, connected: bool) {
    let peer = PeerState {
        connected,
        link_changed_at: at(3_100),
        incarnation: Some(incarnation("i-other")),
        lease: Some(stored(5, Lease::default().next_epoch())),
        lease_received_at: at(3_000),
        utilization: 0.0,
        cold: false,
    };
    manager.set_peer(MachineName::new("other"), peer);
}

fn granted_spans(reply: Option<GrantReply>) -> Vec<Span> {
    let reply = reply.expect("it holds keys");
    reply.grants.iter().map(|g| g.span).collect()
}

/// Guards against writes without end, and keys that nobody holds, when the only machine that should
/// receive released keys is lost before they are handed over.
#[test]
fn released_keys_without_a_recipient_go_back_to_the_back_end() {
    let mut manager = manager();
    set_connected(&mut manager, true);
    let first = manager.on_report(at(3_000), &report(2));
    let before = granted_spans(first);
    assert_eq!(manager.rebalance(at(3_000), 0.9), 1);
    let shrunk = manager.on_report(at(3_050), &report(3));
    let kept = granted_spans(shrunk);
    let released = kept
        .iter()
        .fold(before.clone(), |rest, k| subtract(&rest, *k));
    assert!(!released.is_empty());
    let released_keys = released.iter().map(|span| ReleasedKeys {
        span: *span,
        handover: "record".to_owned(),
    });
    let held_keys = kept.iter().map(|span| HeldKeys {
        span: *span,
        fence: 2,
    });
    let next = KeyReport {
        held_keys: held_keys.collect(),
        released_keys: released_keys.collect(),
        ..report(4)
    };
    let _ = manager.on_report(at(3_100), &next);
    set_connected(&mut manager, false);
    let mut writes = 0;
    while let Some(op) = manager.assignment_op(at(3_200)) {
        let StoreOp::Replace(written) = &op else {
            panic!("{op:?}");
        };
        let done = StoreOutcome::Done(stored(10 + writes, written.value.clone()));
        manager.on_assignment_sent(at(3_200), &op);
        manager.on_assignment_outcome(StoreEra::FIRST, &op, done);
        writes += 1;
        assert!(writes <= MAX_WRITES, "writes do not end");
    }
    let after = granted_spans(manager.on_report(at(3_300), &report(5)));
    let granted: u32 = after.iter().map(|s| s.len()).sum();
    assert_eq!(granted, before.iter().map(|s| s.len()).sum::<u32>());
    assert!(granted < ALL.len());
}
