//! What a process does when the store comes back from an older copy.

use std::rc::Rc;

use node::node::Node;
use platform::settings::Settings;
use serde_json::json;
use shards::revision::StoreEra;

fn node() -> Rc<Node> {
    let settings = json!({
        "nodeName": "m", "ip": "127.0.0.1", "zone": "z", "region": "r", "zones": {"z": "r"},
        "listenAddresses": {"outbound": "127.0.0.1:1", "ready": "127.0.0.1:2",
            "control": "127.0.0.1:3", "inbound": "127.0.0.1:4"},
        "internalPortRange": [5, 6], "bounds": [],
        "applicationAddress": "127.0.0.1:7", "service": "s",
        "platform": {"address": "127.0.0.1:8"},
    });
    let settings = Settings::from_json(settings.to_string().as_bytes()).expect("well-formed");
    Rc::new(Node::new(settings, 1))
}

fn era(number: u64) -> StoreEra {
    StoreEra::new(number).expect("a small number")
}

#[tokio::test]
async fn a_process_knows_the_latest_era_of_any_response() {
    let node = node();
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
    let node = node();
    node.on_store_era(era(2));
    assert_eq!(node.later_store_era(era(1)).await, era(2), "known already");
    let later = node.later_store_era(era(2));
    let begin = async {
        tokio::task::yield_now().await;
        node.on_store_era(era(5));
    };
    assert_eq!(tokio::join!(later, begin).0, era(5));
}
