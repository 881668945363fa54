//! When the lease of an unreachable machine is fenced.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use shards::assignment::{Assignment, Holder};
use shards::key_report::KeyReport;
use shards::lease::Lease;
use shards::manager::{PeerState, ShardManager, StoreOp, StoreOutcome, Timing};
use shards::revision::StoreEra;
use world::name::MachineName;

use common::{at, incarnation, stored};

fn lease() -> Lease {
    Lease::default().next_epoch()
}

/// Returns the manager of a machine that holds its lease, while another also owns keys.
fn manager() -> ShardManager {
    let own = MachineName::new("own");
    let mut manager = ShardManager::new(own.clone(), Timing::default(), at(0));
    let report = KeyReport {
        incarnation: incarnation("i-own"),
        sequence: 1,
        draining: false,
        held_keys: Vec::new(),
        released_keys: Vec::new(),
    };
    let _ = manager.on_report(at(0), &report);
    let lease = lease();
    let op = StoreOp::Create(lease);
    manager.on_lease_outcome(
        at(0),
        StoreEra::FIRST,
        &op,
        StoreOutcome::Done(stored(3, lease)),
    );
    let holders: BTreeMap<_, _> = [(own, "i-own"), (MachineName::new("other"), "i-other")]
        .into_iter()
        .map(|(machine, id)| {
            let holder = Holder {
                epoch: 1,
                incarnation: incarnation(id),
            };
            (machine, holder)
        })
        .collect();
    let assignment = Assignment::new(holders).expect("two holders");
    manager.on_assignment(stored(4, assignment));
    manager
}

/// Disconnects the other machine at `since`; its lease was last received at `seen`.
fn disconnect(manager: &mut ShardManager, since: u64, seen: u64) {
    let peer = PeerState {
        connected: false,
        link_changed_at: at(since),
        incarnation: Some(incarnation("i-other")),
        lease: Some(stored(5, lease())),
        lease_received_at: at(seen),
        utilization: 0.0,
        cold: false,
    };
    manager.set_peer(MachineName::new("other"), peer);
}

#[test]
fn an_unreachable_machine_is_not_fenced_before_its_renewal_is_overdue() {
    let timing = Timing::default();
    let mut manager = manager();
    disconnect(&mut manager, 1_000, 900);
    let suspected = at(1_000) + timing.suspicion_timeout + Duration::from_millis(300);
    assert!(suspected < at(900) + timing.renewal_interval + timing.suspicion_timeout);
    assert_eq!(manager.fence_op(suspected), None);
}

#[test]
fn a_machine_that_has_not_renewed_is_fenced_well_before_its_lease_expires() {
    let timing = Timing::default();
    let mut manager = manager();
    disconnect(&mut manager, 1_000, 900);
    let overdue = at(900) + timing.renewal_interval + timing.suspicion_timeout;
    let op = manager.fence_op(overdue + Duration::from_millis(600));
    assert!(matches!(op, Some((_, StoreOp::Replace(_)))), "{op:?}");
    assert!(timing.renewal_interval + timing.suspicion_timeout < timing.lease / 2);
}
