//! Parts of a process without network.

use std::net::SocketAddr;
use std::rc::Rc;

use node::node::Node;
use platform::settings::Settings;
use serde_json::json;

/// Makes the state of a process whose store is at `store`.
pub(crate) fn node(machine: &str, store: SocketAddr) -> Rc<Node> {
    let settings = json!({
        "nodeName": machine, "ip": "127.0.0.1", "zone": "z", "region": "r", "zones": {"z": "r"},
        "listenAddresses": {"outbound": "127.0.0.1:1", "ready": "127.0.0.1:2",
            "control": "127.0.0.1:3", "inbound": "127.0.0.1:4"},
        "internalPortRange": [5, 6], "bounds": [],
        "applicationAddress": "127.0.0.1:7", "service": "s",
        "platform": {"address": store},
    });
    let settings = Settings::from_json(settings.to_string().as_bytes()).expect("well-formed");
    Rc::new(Node::new(settings, 1))
}

/// Makes the state of a process on machine `m` that does not call its store.
pub(crate) fn offline_node() -> Rc<Node> {
    node("m", ([127, 0, 0, 1], 8).into())
}
