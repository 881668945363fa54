//! Retried grants: a back end that has just started gets its keys in reply to its first report.

use std::collections::BTreeMap;
use std::time::Duration;

use shards::assignment::{Assignment, Holder};
use shards::incarnation::BackEndIncarnation;
use shards::key_report::KeyReport;
use shards::lease::Lease;
use shards::manager::{ShardManager, StoreOp, StoreOutcome, Timing, Versioned};
use shards::revision::{Revision, StoreEra};
use world::instant::BootInstant;
use world::name::MachineName;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_millis(1_000_000 + ms)
}

fn report(sequence: u64) -> KeyReport {
    KeyReport {
        incarnation: BackEndIncarnation {
            id: "i".to_owned(),
            born: 2,
        },
        sequence,
        draining: false,
        held_keys: Vec::new(),
        released_keys: Vec::new(),
    }
}

/// Returns the manager of a machine whose assignment with every key arrives after the first report.
fn manager_with_late_assignment() -> ShardManager {
    let own = MachineName::new("own");
    let mut manager = ShardManager::new(own.clone(), Timing::default(), at(0));
    assert!(manager.on_report(at(0), &report(1)).is_none());
    let lease = Lease::default().next_epoch();
    let created = StoreOutcome::Done(Versioned {
        revision: Revision::from(3),
        value: lease,
    });
    manager.on_lease_outcome(at(100), StoreEra::FIRST, &StoreOp::Create(lease), created);
    assert!(manager.retry_report(at(0), at(150), &report(1)).is_none());
    let holder = Holder {
        epoch: lease.epoch,
        incarnation: report(1).incarnation,
    };
    let holders: BTreeMap<_, _> = [(own, holder)].into();
    let value = Assignment::new(holders).expect("one holder");
    let revision = Revision::from(4);
    manager.on_assignment(Versioned { revision, value });
    manager
}

#[test]
fn a_retried_report_grants_keys_assigned_meanwhile() {
    let mut manager = manager_with_late_assignment();
    let reply = manager.retry_report(at(0), at(200), &report(1));
    let reply = reply.expect("it owns every key");
    assert_eq!(reply.grants.len(), 1);
    assert!(manager.serves(at(300), 7));
}

#[test]
fn a_retried_grant_counts_from_the_report() {
    let mut manager = manager_with_late_assignment();
    let reply = manager.retry_report(at(0), at(200), &report(1));
    let duration = reply.expect("it owns every key").duration;
    assert!(manager.serves(at(0) + duration - Duration::from_millis(1), 7));
    assert!(!manager.serves(at(0) + duration, 7));
}

#[test]
fn a_report_followed_by_another_is_not_retried() {
    let mut manager = manager_with_late_assignment();
    let _ = manager.on_report(at(190), &report(2));
    assert!(manager.retry_report(at(0), at(200), &report(1)).is_none());
}
