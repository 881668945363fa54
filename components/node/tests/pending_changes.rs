//! Order in which buffered assignment changes are applied.

use std::collections::BTreeMap;

use node::pending_changes::PendingChanges;
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
fn a_change_is_kept_until_its_base_revision_arrives() {
    let service = ServiceName::new("lists");
    let mut pending = PendingChanges::default();
    pending.insert(&service, 11.into(), 14.into(), change());
    assert_eq!(pending.take(&service, 7.into()).map(|c| c.0), None);
    pending.insert(&service, 7.into(), 11.into(), change());
    assert_eq!(
        pending.take(&service, 7.into()).map(|c| c.0),
        Some(11.into())
    );
    assert_eq!(
        pending.take(&service, 11.into()).map(|c| c.0),
        Some(14.into())
    );
    assert_eq!(pending.take(&service, 14.into()).map(|c| c.0), None);
}

#[test]
fn a_change_with_equal_revisions_only_notes_the_revision() {
    let service = ServiceName::new("lists");
    let mut pending = PendingChanges::default();
    pending.insert(&service, 9.into(), 9.into(), change());
    assert_eq!(pending.take(&service, 9.into()).map(|c| c.0), None);
    assert_eq!(
        pending.latest().collect::<Vec<_>>(),
        vec![(&service, 9.into())]
    );
}

#[test]
fn keeps_a_bounded_number_of_changes() {
    let service = ServiceName::new("lists");
    let mut pending = PendingChanges::default();
    for base in 0..1_000_u32 {
        pending.insert(&service, base.into(), (base + 1).into(), change());
    }
    let kept = (0..1_000_u32).filter(|base| pending.take(&service, (*base).into()).is_some());
    assert!(kept.count() <= 16);
}
