//! Probes of the links to other regions, which many processes share.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use timer::{BootClock, Clock};

use crate::frame::Frame;
use crate::link::Peer;
use crate::node::Node;

/// Time between two probes of a region.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Probes the links to each other region by turns, at a process drawn at random.
pub async fn run(node: Rc<Node>) {
    loop {
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(PROBE_INTERVAL.mul_f64(jitter)).await;
        probe_regions(&node);
    }
}

fn probe_regions(node: &Node) {
    let peers = node.peers();
    for region in node.other_regions() {
        let there: Vec<&Rc<Peer>> = peers
            .iter()
            .filter(|p| p.is_connected() && p.with_member(|m| m.region == region) == Some(true))
            .collect();
        let Some(peer) = there.choose(&mut rand::rng()) else {
            continue;
        };
        if let Some(probe) = node.start_probe(&region, BootClock.now()) {
            peer.send(&Frame::Ping { probe });
        }
    }
}
