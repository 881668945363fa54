//! What shows that the configuration in force is the newest, or that it may be stale.

use std::rc::Rc;
use std::time::Duration;

use catalog::freshness::StaleReason;
use node::denial::{find_route, refresh_if_stale};
use node::frame::{Features, Frame};
use node::node::Node;
use node::{catalog_watch, relay};
use platform::configuration::{KIND, NAME};
use serde_json::{Value, json};
use tokio::task::{LocalSet, spawn_local};

use crate::fake_peer::FakePeer;
use crate::small_store::{SmallStore, until};

/// Longer than a confirmation by the store counts.
const CONFIRMATION_AGE: Duration = Duration::from_millis(1_300);

/// Time for which a request waits.
const PATIENCE: Duration = Duration::from_secs(2);

fn document(version: u64) -> Value {
    let empty = json!({"columns": [], "rows": []});
    json!({"version": version, "routes": empty, "services": empty})
}

/// Starts a process with version 1, which the store has confirmed.
async fn start() -> (Rc<SmallStore>, Rc<Node>) {
    let (store, node) = SmallStore::start().await;
    store.write(KIND, NAME, document(1));
    let client = Rc::new(relay::client(&node));
    spawn_local(catalog_watch::run(Rc::clone(&node), client));
    until("a configuration", || node.config_staleness().is_none()).await;
    (store, node)
}

fn watches(store: &SmallStore) -> usize {
    store.count(0, "GET", KIND)
}

// Guards against a denial by a configuration that nobody has confirmed for long.
#[tokio::test]
async fn the_store_is_asked_when_its_last_word_is_old() {
    let test = async {
        let (store, node) = start().await;
        tokio::time::sleep(CONFIRMATION_AGE).await;
        assert_eq!(node.config_staleness(), Some(StaleReason::Unconfirmed));
        let before = watches(&store);
        refresh_if_stale(&node, PATIENCE).await;
        assert_eq!(node.config_staleness(), None);
        assert_eq!(watches(&store), before + 1);
        refresh_if_stale(&node, PATIENCE).await;
        assert_eq!(watches(&store), before + 1, "a recent word is enough");
    };
    LocalSet::new().run_until(test).await;
}

// Guards against as many calls to the store as there are requests that it denies.
#[tokio::test]
async fn requests_that_come_together_share_one_call_to_the_store() {
    let test = async {
        let (store, node) = start().await;
        tokio::time::sleep(CONFIRMATION_AGE).await;
        let before = watches(&store);
        let requests = (0..50).map(|_| find_route(&node, "h", "/nowhere/", PATIENCE));
        futures::future::join_all(requests).await;
        assert_eq!(node.config_staleness(), None);
        assert_eq!(watches(&store), before + 1);
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a denial by a configuration later than which a peer has one.
#[tokio::test]
async fn a_later_configuration_of_a_peer_is_requested_and_awaited() {
    let test = async {
        let (_store, node) = start().await;
        let mut peer = FakePeer::connect(&node, Features::SUPPORTED, 2).await;
        assert_eq!(node.config_staleness(), Some(StaleReason::LaterAtPeer));
        let reply = async {
            while !matches!(peer.receive().await, Frame::CatalogRequest) {}
            let later = Frame::Catalog {
                version: 2,
                document: document(2).to_string().into_bytes(),
            };
            peer.send(&later).await;
        };
        let (found, ()) = tokio::join!(find_route(&node, "h", "/nowhere/", PATIENCE), reply);
        assert_eq!(found.map(|(config, _)| config.catalog.version), Some(2));
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a request to a peer for each request that is denied, where that peer does not respond.
#[tokio::test]
async fn a_peer_that_does_not_respond_is_asked_once_for_many_requests() {
    let test = async {
        let (_store, node) = start().await;
        let mut peer = FakePeer::connect(&node, Features::SUPPORTED, 2).await;
        let requests = (0..50).map(|_| find_route(&node, "h", "/nowhere/", PATIENCE));
        futures::future::join_all(requests).await;
        find_route(&node, "h", "/nowhere/", PATIENCE).await;
        assert_eq!(node.config_staleness(), Some(StaleReason::LaterAtPeer));
        peer.announce(1).await;
        let mut asked = 0;
        while let Some(frame) = peer.receive_queued() {
            asked += usize::from(matches!(frame, Frame::CatalogRequest));
        }
        assert_eq!(asked, 1);
    };
    LocalSet::new().run_until(test).await;
}

// Guards against refusals of all for 1 s, as one caller of little patience counted as a failure.
#[tokio::test]
async fn a_caller_of_little_patience_ends_no_wait_of_others() {
    let test = async {
        let (_store, node) = start().await;
        let _peer = FakePeer::connect(&node, Features::SUPPORTED, 2).await;
        refresh_if_stale(&node, Duration::from_millis(5)).await;
        assert!(!node.config_check.has_just_failed());
    };
    LocalSet::new().run_until(test).await;
}

// Guards against proof by a store whose later configuration could not be decoded.
#[tokio::test]
async fn a_later_configuration_that_cannot_be_decoded_makes_the_one_in_force_stale() {
    let test = async {
        let (_store, node) = start().await;
        let malformed = json!({"version": 2, "routes": 0, "services": 0});
        node.on_configuration(malformed, "store");
        assert_eq!(node.config_staleness(), Some(StaleReason::Unreadable));
        refresh_if_stale(&node, PATIENCE).await;
        assert_eq!(node.config_staleness(), Some(StaleReason::Unreadable));
        node.on_configuration(document(2), "store");
        assert_eq!(node.config_staleness(), None);
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a denial by a restored configuration, when the first peer that connects has none itself.
#[tokio::test]
async fn a_peer_without_a_configuration_proves_nothing_of_a_restored_one() {
    let test = async {
        let (store, node) = SmallStore::start().await;
        store.come_back_empty();
        store.write(KIND, NAME, document(1));
        let mut starting = FakePeer::connect(&node, Features::SUPPORTED, 0).await;
        let client = Rc::new(relay::client(&node));
        spawn_local(catalog_watch::run(Rc::clone(&node), client));
        until("the store's listing", || store.count(1, "GET", KIND) > 0).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(node.active_config().is_none(), "it waits for a later one");
        starting.announce(2).await;
        while !matches!(starting.receive().await, Frame::CatalogRequest) {}
        let later = Frame::Catalog {
            version: 2,
            document: document(2).to_string().into_bytes(),
        };
        starting.send(&later).await;
        until("a configuration", || node.active_config().is_some()).await;
        assert_eq!(node.configuration_version(), 2);
    };
    LocalSet::new().run_until(test).await;
}
