//! A process knows the latest era of the store of which it has heard.

use node::frame::{Frame, NodeStatus};
use rstest::rstest;
use shards::assignment::{Assignment, Holder};
use shards::incarnation::BackEndIncarnation;
use shards::lease::Lease;
use shards::revision::{Revision, StoreEra};
use world::name::{MachineName, ServiceName};

use crate::common::offline_node;
use crate::era;

fn assignment() -> Assignment {
    let holder = Holder {
        epoch: 1,
        incarnation: BackEndIncarnation {
            id: "i".to_owned(),
            born: 1,
        },
    };
    Assignment::new([(MachineName::new("m"), holder)].into()).expect("one holder")
}

#[tokio::test]
async fn a_process_knows_the_latest_era_of_any_response() {
    let node = offline_node();
    assert_eq!(node.store_era(), StoreEra::FIRST);
    node.on_store_era(era(2));
    node.on_store_era(era(1));
    node.on_store_era(era(2));
    assert_eq!(node.store_era(), era(2));
    assert!(
        node.metrics
            .render(&[])
            .contains("plantaingauge_store_era_changes_total 1\n")
    );
}

#[tokio::test]
async fn tasks_wait_for_an_era_later_than_theirs() {
    let node = offline_node();
    node.on_store_era(era(2));
    assert_eq!(node.later_store_era(era(1)).await, era(2), "known already");
    let later = node.later_store_era(era(2));
    let begin = async {
        tokio::task::yield_now().await;
        node.on_store_era(era(5));
    };
    assert_eq!(tokio::join!(later, begin).0, era(5));
}

fn lease(era_number: u64) -> Option<(Revision, Lease)> {
    let revision = Revision::new(era(era_number), 9).expect("a small number");
    Some((revision, Lease::default()))
}

fn hello() -> Frame {
    Frame::Hello(Box::new(NodeStatus {
        lease: lease(4),
        ..offline_node().status()
    }))
}

#[rstest]
#[case::lease(hello())]
#[case::assignment(Frame::Assignment {
    service: ServiceName::new("s"),
    revision: Revision::new(era(4), 1).expect("a small number"),
    assignment: Box::new(assignment()),
})]
#[case::change(Frame::AssignmentChange {
    service: ServiceName::new("s"),
    base: Revision::new(era(4), 1).expect("a small number"),
    revision: Revision::new(era(4), 2).expect("a small number"),
    change: Box::new(assignment().diff(&assignment())),
})]
#[case::era(Frame::StoreEra(era(4)))]
#[tokio::test]
async fn a_process_learns_of_an_era_from_its_peers(#[case] frame: Frame) {
    let node = offline_node();
    let (sender, _frames) = node::frame_stream::channel(&node.queued_bytes);
    node.on_frame(frame, &sender);
    assert_eq!(node.store_era(), era(4));
}

#[tokio::test]
async fn a_process_learns_of_an_era_from_a_renewed_lease() {
    let node = offline_node();
    let before = node.status();
    let renewed = NodeStatus {
        lease: lease(4),
        ..before.clone()
    };
    let update = renewed.update_since(&before).expect("a small change");
    node.on_status_update(&MachineName::new("other"), 7, update);
    assert_eq!(node.store_era(), era(4));
}
