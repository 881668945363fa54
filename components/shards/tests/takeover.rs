//! When the keys of a machine that is out of reach are taken over.

use std::collections::BTreeMap;
use std::time::Duration;

use shards::assignment::{Assignment, Holder};
use shards::incarnation::BackEndIncarnation;
use shards::key_report::KeyReport;
use shards::lease::Lease;
use shards::manager::{PeerState, ShardManager, StoreOp, StoreOutcome, Timing, Versioned};
use world::instant::BootInstant;
use world::name::MachineName;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_millis(1_000_000 + ms)
}

fn incarnation(id: &str) -> BackEndIncarnation {
    BackEndIncarnation {
        id: id.to_owned(),
        born: 1,
    }
}

fn stored<T>(revision: u64, value: T) -> Versioned<T> {
    Versioned { revision, value }
}

fn renewed_lease() -> Lease {
    Lease::default().next_epoch()
}

/// A machine that holds its lease, beside another that holds keys.
fn manager() -> ShardManager {
    let own = MachineName::new("own");
    let mut manager = ShardManager::new(own.clone(), Timing::default(), at(0));
    let report = KeyReport {
        incarnation: incarnation("i-own"),
        sequence: 1,
        draining: false,
        held: Vec::new(),
        freed: Vec::new(),
    };
    let _ = manager.on_check_in(at(0), &report);
    let lease = renewed_lease();
    let call = StoreOp::Create(lease);
    manager.on_lease(at(0), &call, StoreOutcome::Done(stored(3, lease)));
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
    manager.on_view(stored(4, assignment));
    manager
}

/// The other machine's connection was lost at `since`; its lease was last heard of at `seen`.
fn lose(manager: &mut ShardManager, since: u64, seen: u64) {
    let peer = PeerState {
        connected: false,
        since: at(since),
        incarnation: Some(incarnation("i-other")),
        lease: Some(stored(5, renewed_lease())),
        lease_seen: at(seen),
        busy: 0.0,
    };
    manager.set_peer(MachineName::new("other"), peer);
}

#[test]
fn a_machine_out_of_reach_is_not_fenced_before_its_renewal_is_overdue() {
    let timing = Timing::default();
    let mut manager = manager();
    lose(&mut manager, 1_000, 900);
    let late = at(1_000) + timing.suspicion + Duration::from_millis(300);
    assert!(late < at(900) + timing.renewal + timing.suspicion);
    assert_eq!(manager.fence_call(late), None);
}

#[test]
fn a_machine_that_has_not_renewed_is_fenced_well_before_its_lease_runs_out() {
    let timing = Timing::default();
    let mut manager = manager();
    lose(&mut manager, 1_000, 900);
    let overdue = at(900) + timing.renewal + timing.suspicion;
    let call = manager.fence_call(overdue + Duration::from_millis(600));
    assert!(matches!(call, Some((_, StoreOp::Replace(_)))), "{call:?}");
    assert!(timing.renewal + timing.suspicion < timing.lease / 2);
}
