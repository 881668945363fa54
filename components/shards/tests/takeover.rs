//! When the keys of a machine that is out of reach are taken over.

use std::collections::BTreeMap;
use std::time::Duration;

use shards::assignment::{Assignment, Holder};
use shards::check_in::CheckIn;
use shards::keeper::{Call, Keeper, Outcome, Peer, Stored, Timing};
use shards::lease::Lease;
use shards::life::Life;
use world::moment::Moment;
use world::name::MachineName;

fn at(ms: u64) -> Moment {
    Moment::from_millis(1_000_000 + ms)
}

fn life(id: &str) -> Life {
    Life {
        id: id.to_owned(),
        born: 1,
    }
}

fn stored<T>(revision: u64, value: T) -> Stored<T> {
    Stored { revision, value }
}

fn renewed_lease() -> Lease {
    Lease::default().next_epoch()
}

/// A machine that holds its lease, beside another that holds keys.
fn keeper() -> Keeper {
    let own = MachineName::new("own");
    let mut keeper = Keeper::new(own.clone(), Timing::default(), at(0));
    let report = CheckIn {
        life: life("i-own"),
        sequence: 1,
        draining: false,
        held: Vec::new(),
        freed: Vec::new(),
    };
    let _ = keeper.on_check_in(at(0), &report);
    let lease = renewed_lease();
    let call = Call::Create(lease);
    keeper.on_lease(at(0), &call, Outcome::Done(stored(3, lease)));
    let holders: BTreeMap<_, _> = [(own, "i-own"), (MachineName::new("other"), "i-other")]
        .into_iter()
        .map(|(machine, id)| {
            let holder = Holder {
                epoch: 1,
                life: life(id),
            };
            (machine, holder)
        })
        .collect();
    let assignment = Assignment::new(holders).expect("two holders");
    keeper.on_view(stored(4, assignment));
    keeper
}

/// The other machine's connection was lost at `since`; its lease was last heard of at `seen`.
fn lose(keeper: &mut Keeper, since: u64, seen: u64) {
    let peer = Peer {
        connected: false,
        since: at(since),
        life: Some(life("i-other")),
        lease: Some(stored(5, renewed_lease())),
        lease_seen: at(seen),
        busy: 0.0,
    };
    keeper.set_peer(MachineName::new("other"), peer);
}

#[test]
fn a_machine_out_of_reach_is_not_fenced_before_its_renewal_is_overdue() {
    let timing = Timing::default();
    let mut keeper = keeper();
    lose(&mut keeper, 1_000, 900);
    let late = at(1_000) + timing.suspicion + Duration::from_millis(300);
    assert!(late < at(900) + timing.renewal + timing.suspicion);
    assert_eq!(keeper.fence_call(late), None);
}

#[test]
fn a_machine_that_has_not_renewed_is_fenced_well_before_its_lease_runs_out() {
    let timing = Timing::default();
    let mut keeper = keeper();
    lose(&mut keeper, 1_000, 900);
    let overdue = at(900) + timing.renewal + timing.suspicion;
    let call = keeper.fence_call(overdue + Duration::from_millis(600));
    assert!(matches!(call, Some((_, Call::Replace(_)))), "{call:?}");
    assert!(timing.renewal + timing.suspicion < timing.lease / 2);
}
