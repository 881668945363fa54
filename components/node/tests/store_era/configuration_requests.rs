//! A process that lacks a version of the configuration asks its peers for it.

use std::rc::Rc;
use std::time::Duration;

use node::frame::{Features, Frame};
use node::peer_sync;
use serde_json::json;
use tokio::task::{LocalSet, spawn_local};

use crate::common::offline_node;
use crate::fake_peer::FakePeer;
use crate::small_store::until;

/// Returns how many requests for the configuration arrive at the peer within `time`.
async fn requests(peer: &mut FakePeer, time: Duration) -> usize {
    tokio::time::sleep(time).await;
    let mut count = 0;
    while let Some(frame) = peer.receive_queued() {
        count += usize::from(matches!(frame, Frame::CatalogRequest));
    }
    count
}

// Guards against a process that asks again several times a second while a large configuration is on its
// way, so that each copy makes the next one later.
#[tokio::test]
async fn a_process_does_not_ask_again_while_a_configuration_is_on_its_way() {
    let test = async {
        let node = offline_node();
        let mut peer = FakePeer::connect(&node, Features::SUPPORTED, 5).await;
        spawn_local(peer_sync::run(node));
        let count = requests(&mut peer, Duration::from_millis(1_200)).await;
        assert!(count <= 1, "{count} requests");
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a process that asks without end for a configuration that it cannot decode.
#[tokio::test]
async fn a_configuration_that_cannot_be_decoded_is_not_asked_for_again() {
    let test = async {
        let node = offline_node();
        let mut peer = FakePeer::connect(&node, Features::SUPPORTED, 5).await;
        spawn_local(peer_sync::run(node));
        while !matches!(peer.receive().await, Frame::CatalogRequest) {}
        let malformed = json!({"version": 5, "routes": 7, "services": 7});
        peer.send(&Frame::Catalog {
            version: 5,
            document: malformed.to_string().into_bytes(),
        })
        .await;
        let count = requests(&mut peer, Duration::from_millis(2_500)).await;
        assert_eq!(count, 0, "further requests");
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a process that goes on relying on readers of the configuration that are frozen.
#[tokio::test]
async fn frozen_readers_are_pinged_and_passed_over() {
    let test = async {
        let node = offline_node();
        let mut readers = Vec::new();
        for machine in ["a", "b"] {
            let reader = FakePeer::connect_as(machine, &node, Features::SUPPORTED, 0).await;
            readers.push(reader);
        }
        spawn_local(peer_sync::run(Rc::clone(&node)));
        assert!(!node.is_config_reader());
        until("the process reads", || node.is_config_reader()).await;
        for reader in &mut readers {
            while !matches!(reader.receive().await, Frame::Ping { .. }) {}
            reader.send(&Frame::Pong { probe: 0 }).await;
        }
        until("the others read again", || !node.is_config_reader()).await;
    };
    LocalSet::new().run_until(test).await;
}
