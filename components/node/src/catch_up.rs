//! Asks other processes for what this one has missed.
//!
//! News normally arrives by itself: each process watches the configuration in the store, and changes
//! of assignments are told to all. Asking at the first sign of something newer would have every
//! process ask every other after a restart of all.

use std::rc::Rc;
use std::time::Duration;

use crate::frame::Frame;
use crate::node::Node;
use crate::pause;

/// Time between two looks at what is missing.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// What was missing, with somebody to ask, at the last look; it is asked for if it still is at the
/// next.
#[derive(Debug, Default)]
struct Missing {
    configuration: bool,
    assignments: bool,
}

/// Looks again and again at what is missing.
pub async fn run(node: Rc<Node>) {
    let mut missing = Missing::default();
    loop {
        pause::jittered(LOOK_INTERVAL).await;
        missing = look(&node, &missing);
    }
}

fn look(node: &Node, before: &Missing) -> Missing {
    let newest = node.active_config().map_or(0, |c| c.revision);
    let ahead = node.draw_peer(|m| m.catalog_revision > newest);
    let outdated = node.outdated_assignments();
    let holder = node.draw_peer(|m| outdated.contains(&m.service));
    if let Some(peer) = ahead.as_ref().filter(|_| before.configuration) {
        peer.send(&Frame::CatalogRequest);
    }
    if let Some(peer) = holder.as_ref().filter(|_| before.assignments) {
        peer.send(&node.assignment_question());
    }
    Missing {
        configuration: ahead.is_some(),
        assignments: holder.is_some(),
    }
}
