//! Keys of a back end that has just started are granted with its first report.

use std::collections::BTreeMap;
use std::time::Duration;

use shards::assignment::{Assignment, Holder};
use shards::incarnation::BackEndIncarnation;
use shards::key_report::KeyReport;
use shards::lease::Lease;
use shards::manager::{ShardManager, StoreOp, StoreOutcome, Timing, Versioned};
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
        held: Vec::new(),
        freed: Vec::new(),
    }
}

/// A machine that learns at 200 ms that its back end owns every key.
fn enrolled_late() -> ShardManager {
    let own = MachineName::new("own");
    let mut manager = ShardManager::new(own.clone(), Timing::default(), at(0));
    assert!(manager.on_check_in(at(0), &report(1)).is_none());
    let lease = Lease::default().next_epoch();
    let created = StoreOutcome::Done(Versioned {
        revision: 3,
        value: lease,
    });
    manager.on_lease(at(100), &StoreOp::Create(lease), created);
    assert!(manager.on_late_answer(at(0), at(150), &report(1)).is_none());
    let holder = Holder {
        epoch: lease.epoch,
        incarnation: report(1).incarnation,
    };
    let holders: BTreeMap<_, _> = [(own, holder)].into();
    let value = Assignment::new(holders).expect("one holder");
    manager.on_view(Versioned { revision: 4, value });
    manager
}

#[test]
fn a_late_answer_grants_what_has_come_meanwhile() {
    let mut manager = enrolled_late();
    let reply = manager.on_late_answer(at(0), at(200), &report(1));
    let reply = reply.expect("it owns every key");
    assert_eq!(reply.grants.len(), 1);
    assert!(manager.serves(at(300), 7));
}

#[test]
fn a_late_grant_counts_from_the_report() {
    let mut manager = enrolled_late();
    let reply = manager.on_late_answer(at(0), at(200), &report(1));
    let hold = reply.expect("it owns every key").hold;
    assert!(manager.serves(at(0) + hold - Duration::from_millis(1), 7));
    assert!(!manager.serves(at(0) + hold, 7));
}

#[test]
fn a_report_that_was_followed_by_another_is_not_answered_late() {
    let mut manager = enrolled_late();
    let _ = manager.on_check_in(at(190), &report(2));
    assert!(manager.on_late_answer(at(0), at(200), &report(1)).is_none());
}
