//! Measures the delay of the links to other regions, which the processes of a region share.

use std::rc::Rc;
use std::time::Duration;

use timer::{BootClock, Clock};

use crate::frame::Frame;
use crate::node::Node;
use crate::pause;

/// Time between two delay probes of a region.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Sends a probe to a random peer in each other region at intervals, for as long as the process
/// runs.
pub async fn run(node: Rc<Node>) {
    loop {
        pause::jittered(PROBE_INTERVAL).await;
        probe_regions(&node);
    }
}

fn probe_regions(node: &Node) {
    for region in node.other_regions() {
        let Some(peer) = node.random_peer(|m| m.region == region) else {
            continue;
        };
        if let Some(probe) = node.start_probe(&region, BootClock.now()) {
            peer.send(&Frame::Ping { probe });
        }
    }
}
