//! Keys of a back end that has just started are granted with its first report.

use std::collections::BTreeMap;
use std::time::Duration;

use shards::assignment::{Assignment, Holder};
use shards::check_in::CheckIn;
use shards::keeper::{Call, Keeper, Outcome, Stored, Timing};
use shards::lease::Lease;
use shards::life::Life;
use world::moment::Moment;
use world::name::MachineName;

fn at(ms: u64) -> Moment {
    Moment::from_millis(1_000_000 + ms)
}

fn report(sequence: u64) -> CheckIn {
    CheckIn {
        life: Life {
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
fn enrolled_late() -> Keeper {
    let own = MachineName::new("own");
    let mut keeper = Keeper::new(own.clone(), Timing::default(), at(0));
    assert!(keeper.on_check_in(at(0), &report(1)).is_none());
    let lease = Lease::default().next_epoch();
    let created = Outcome::Done(Stored {
        revision: 3,
        value: lease,
    });
    keeper.on_lease(at(100), &Call::Create(lease), created);
    assert!(keeper.on_late_answer(at(0), at(150), &report(1)).is_none());
    let holder = Holder {
        epoch: lease.epoch,
        life: report(1).life,
    };
    let holders: BTreeMap<_, _> = [(own, holder)].into();
    let value = Assignment::new(holders).expect("one holder");
    keeper.on_view(Stored { revision: 4, value });
    keeper
}

#[test]
fn a_late_answer_grants_what_has_come_meanwhile() {
    let mut keeper = enrolled_late();
    let reply = keeper.on_late_answer(at(0), at(200), &report(1));
    let reply = reply.expect("it owns every key");
    assert_eq!(reply.grants.len(), 1);
    assert!(keeper.serves(at(300), 7));
}

#[test]
fn a_late_grant_counts_from_the_report() {
    let mut keeper = enrolled_late();
    let reply = keeper.on_late_answer(at(0), at(200), &report(1));
    let hold = reply.expect("it owns every key").hold;
    assert!(keeper.serves(at(0) + hold - Duration::from_millis(1), 7));
    assert!(!keeper.serves(at(0) + hold, 7));
}

#[test]
fn a_report_that_was_followed_by_another_is_not_answered_late() {
    let mut keeper = enrolled_late();
    let _ = keeper.on_check_in(at(190), &report(2));
    assert!(keeper.on_late_answer(at(0), at(200), &report(1)).is_none());
}
