//! Of two configurations, the one of the higher version is in force, whatever their revisions.

mod common;

use std::rc::Rc;

use node::frame::{Features, Frame, NodeStatus};
use node::frame_stream;
use node::link_queue::Write;
use node::node::Node;
use rstest::rstest;
use serde_json::{Value, json};

use common::offline_node;

fn document(version: impl Into<Value>, service: &str) -> Value {
    json!({
        "version": version.into(),
        "routes": {"columns": [], "rows": []},
        "services": {"columns": ["name"], "rows": [[service]]},
    })
}

/// What a peer sends; `claimed` is the number beside the document.
fn from_peer(claimed: u64, document: &Value) -> Frame {
    Frame::Catalog {
        version: claimed,
        document: document.to_string().into_bytes(),
    }
}

fn receive(node: &Rc<Node>, frame: Frame) {
    let (sender, _frames) = frame_stream::channel(&node.queued_bytes);
    node.on_frame(frame, &sender);
}

/// Returns the version and the only service of the configuration in force.
fn in_force(node: &Node) -> Option<(u64, String)> {
    let config = node.active_config()?;
    let service = config.catalog.services.keys().next().expect("one service");
    Some((config.catalog.version, service.as_str().to_owned()))
}

// Guards against a store that has been restored from a snapshot, where the revisions of what the
// operator writes are below those known before.
#[test]
fn only_a_higher_version_is_put_in_force() {
    let node = offline_node();
    assert!(node.on_configuration(document(5, "a"), "store"));
    assert!(!node.on_configuration(document(3, "old"), "store"));
    assert!(!node.on_configuration(document(5, "same"), "store"));
    assert_eq!(in_force(&node), Some((5, "a".to_owned())));
    assert!(node.on_configuration(document(9, "b"), "store"));
    assert_eq!(in_force(&node), Some((9, "b".to_owned())));
    assert_eq!(node.status().catalog_version, 9);
}

// A peer of an earlier version sends a revision beside the document.
#[rstest]
#[case::older(4, 5, "a")]
#[case::same(5, 5, "a")]
#[case::newer(6, 6, "b")]
fn the_version_of_a_peers_document_counts(
    #[case] version: u64,
    #[case] expected: u64,
    #[case] service: &str,
    #[values(0, 6, 70_000)] claimed: u64,
) {
    let node = offline_node();
    assert!(node.on_configuration(document(5, "a"), "store"));
    receive(&node, from_peer(claimed, &document(version, "b")));
    assert_eq!(in_force(&node), Some((expected, service.to_owned())));
}

#[rstest]
#[case::missing(json!(null))]
#[case::text(json!("7"))]
#[case::negative(json!(-7))]
#[case::fraction(json!(7.5))]
fn a_document_without_a_readable_version_is_refused(#[case] version: Value) {
    let node = offline_node();
    assert!(!node.on_configuration(document(version.clone(), "b"), "store"));
    assert_eq!(in_force(&node), None);
    assert!(node.on_configuration(document(5, "a"), "store"));
    assert!(!node.on_configuration(document(version.clone(), "b"), "store"));
    receive(&node, from_peer(9, &document(version, "b")));
    assert_eq!(in_force(&node), Some((5, "a".to_owned())));
}

// Guards against requests for the configuration of a peer that announces a revision.
#[rstest]
#[case::later(8, Features::SUPPORTED, true)]
#[case::same(7, Features::SUPPORTED, false)]
#[case::earlier(6, Features::SUPPORTED, false)]
#[case::revision(70_000, Features { configuration_versions: false, ..Features::SUPPORTED }, false)]
fn a_peer_is_ahead_only_by_its_version(
    #[case] number: u64,
    #[case] features: Features,
    #[case] expected: bool,
) {
    let status = NodeStatus {
        catalog_version: number,
        features,
        ..offline_node().status()
    };
    assert_eq!(status.has_later_configuration(7), expected);
}

#[test]
fn a_configuration_is_sent_with_its_version() {
    let node = offline_node();
    let sent = document(5, "a");
    assert!(node.on_configuration(sent.clone(), "store"));
    let (sender, frames) = frame_stream::channel(&node.queued_bytes);
    node.on_frame(Frame::CatalogRequest, &sender);
    let Some(Write::Frames(bytes)) = frames.try_next_write() else {
        panic!("a frame");
    };
    let mut buf = bytes::BytesMut::from(&bytes[..]);
    let frame = node::frame::decode(&mut buf).expect("well-formed");
    let Some(Frame::Catalog { version, document }) = frame else {
        panic!("{frame:?}");
    };
    assert_eq!(version, 5);
    let received: Value = serde_json::from_slice(&document).expect("JSON");
    assert_eq!(received, sent);
}
