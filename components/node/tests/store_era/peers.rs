//! A process tells its peers of the store's era.

use node::frame::{Features, Frame};
use rstest::rstest;
use tokio::task::LocalSet;

use crate::common::offline_node;
use crate::era;
use crate::fake_peer::FakePeer;

/// Returns the eras of which the peer is told before the response to a ping.
async fn eras(peer: &mut FakePeer) -> Vec<u32> {
    peer.send(&Frame::Ping { probe: 3 }).await;
    let mut eras = Vec::new();
    loop {
        match peer.receive().await {
            Frame::StoreEra(era) => eras.push(era.number()),
            Frame::Pong { probe: 3 } => return eras,
            _ => {}
        }
    }
}

// Guards against a process that waits in a watch of the earlier era for up to 25 s, while others know
// of the later one.
#[rstest]
#[case::this_version(Features::SUPPORTED, &[2], &[3])]
#[case::earlier_version(Features::default(), &[], &[])]
#[tokio::test]
async fn peers_are_told_of_an_era_when_they_connect_and_when_it_begins(
    #[case] features: Features,
    #[case] connected: &[u32],
    #[case] begun: &[u32],
) {
    let test = async {
        let node = offline_node();
        node.on_store_era(era(2));
        let mut peer = FakePeer::connect(&node, features, 0).await;
        assert_eq!(eras(&mut peer).await, connected);
        node.on_store_era(era(3));
        node.on_store_era(era(3));
        assert_eq!(eras(&mut peer).await, begun);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_store_without_eras_takes_no_frames() {
    let test = async {
        let node = offline_node();
        let mut peer = FakePeer::connect(&node, Features::SUPPORTED, 0).await;
        assert!(eras(&mut peer).await.is_empty());
    };
    LocalSet::new().run_until(test).await;
}
