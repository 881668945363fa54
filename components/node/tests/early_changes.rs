//! Changes of an assignment that come in another order than they were made in.

use std::collections::BTreeMap;

use node::early_changes::EarlyChanges;
use shards::assignment::{Assignment, Change, Holder};
use shards::incarnation::BackEndIncarnation;
use world::name::{MachineName, ServiceName};

fn change() -> Change {
    let holder = Holder {
        epoch: 1,
        incarnation: BackEndIncarnation {
            id: "i".to_owned(),
            born: 1,
        },
    };
    let holders: BTreeMap<_, _> = [(MachineName::new("m"), holder)].into();
    let assignment = Assignment::new(holders).expect("one holder");
    assignment.diff(&assignment)
}

#[test]
fn a_change_that_comes_early_follows_the_one_before_it() {
    let service = ServiceName::new("lists");
    let mut early = EarlyChanges::default();
    early.insert(&service, 11, 14, change());
    assert_eq!(early.take(&service, 7).map(|c| c.0), None);
    early.insert(&service, 7, 11, change());
    assert_eq!(early.take(&service, 7).map(|c| c.0), Some(11));
    assert_eq!(early.take(&service, 11).map(|c| c.0), Some(14));
    assert_eq!(early.take(&service, 14).map(|c| c.0), None);
}

#[test]
fn a_notice_of_a_revision_is_no_change() {
    let service = ServiceName::new("lists");
    let mut early = EarlyChanges::default();
    early.insert(&service, 9, 9, change());
    assert_eq!(early.take(&service, 9).map(|c| c.0), None);
    assert_eq!(early.latest().collect::<Vec<_>>(), vec![(&service, 9)]);
}

#[test]
fn keeps_a_bounded_number_of_changes() {
    let service = ServiceName::new("lists");
    let mut early = EarlyChanges::default();
    for base in 0..1_000 {
        early.insert(&service, base, base + 1, change());
    }
    let kept = (0..1_000).filter(|base| early.take(&service, *base).is_some());
    assert!(kept.count() <= 16);
}
