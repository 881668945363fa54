//! Which configuration a process that starts puts in force first.

use std::rc::Rc;

use node::frame::{Features, Frame};
use node::node::Node;
use node::{catalog_watch, relay};
use platform::configuration::{KIND, NAME};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::task::{LocalSet, spawn_local};

use crate::fake_peer::FakePeer;
use crate::small_store::{SmallStore, until};

fn document(version: u64) -> Value {
    let empty = json!({"columns": [], "rows": []});
    json!({"version": version, "routes": empty, "services": empty})
}

/// Starts a process whose store has version 2, after so many restores from a snapshot.
async fn start(returns: u32) -> Rc<Node> {
    let (store, node) = SmallStore::start().await;
    for _ in 0..returns {
        store.come_back_empty();
    }
    store.write(KIND, NAME, document(2));
    node
}

fn watch(node: &Rc<Node>) {
    let client = Rc::new(relay::client(node));
    spawn_local(catalog_watch::run(Rc::clone(node), client));
}

async fn receive_request(peer: &mut FakePeer) {
    while !matches!(peer.receive().await, Frame::CatalogRequest) {}
}

// Guards against a process that starts with a configuration that the store has brought back, and
// handles requests by it until it hears from its peers.
#[tokio::test]
async fn a_later_version_of_a_peer_comes_before_the_restored_one() {
    let test = async {
        let node = start(1).await;
        let mut peer = FakePeer::connect(&node, Features::SUPPORTED, 3).await;
        watch(&node);
        receive_request(&mut peer).await;
        assert_eq!(node.configuration_version(), 0);
        let later = Frame::Catalog {
            version: 3,
            document: document(3).to_string().into_bytes(),
        };
        peer.send(&later).await;
        until("a configuration", || node.active_config().is_some()).await;
        assert_eq!(node.configuration_version(), 3);
    };
    LocalSet::new().run_until(test).await;
}

#[rstest]
#[case::in_the_first_era(0, None)]
#[case::without_peers(1, None)]
#[case::peer_that_starts_too(1, Some((Features::SUPPORTED, 0)))]
#[case::same_version(1, Some((Features::SUPPORTED, 2)))]
#[case::peer_that_does_not_respond(1, Some((Features::SUPPORTED, 3)))]
#[case::revision_of_an_earlier_version(1, Some((Features::default(), 70_000)))]
#[tokio::test]
async fn without_a_later_one_the_version_of_the_store_is_put_in_force(
    #[case] returns: u32,
    #[case] other: Option<(Features, u64)>,
) {
    let test = async {
        let node = start(returns).await;
        let mut peer = None;
        if let Some((features, version)) = other {
            peer = Some(FakePeer::connect(&node, features, version).await);
        }
        watch(&node);
        until("a configuration", || node.active_config().is_some()).await;
        assert_eq!(node.configuration_version(), 2);
        drop(peer);
    };
    LocalSet::new().run_until(test).await;
}
