//! Asks other processes for what this one has missed.
//!
//! News normally arrives by itself: each process watches the configuration in the store, and changes
//! of assignments are told to all. Asking at the first sign of something newer would have every
//! process ask every other after a restart of all.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::frame::{Frame, Member};
use crate::link::Peer;
use crate::node::Node;

/// Time between two looks at what is missing.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// What was missing at the last look; it is asked for if it still is at the next.
#[derive(Debug, Default)]
struct Missing {
    configuration: bool,
    assignments: bool,
}

/// Looks again and again at what is missing.
pub async fn run(node: Rc<Node>) {
    let mut missing = Missing::default();
    loop {
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(LOOK_INTERVAL.mul_f64(jitter)).await;
        missing = look(&node, &missing);
    }
}

fn look(node: &Node, before: &Missing) -> Missing {
    let newest = node.in_force().map_or(0, |c| c.revision);
    let ahead = |member: &Member| member.catalog > newest;
    let configuration = ask_one(node, before.configuration, &Frame::AskCatalog, ahead);
    let services = node.outdated_assignments();
    let question = node.assignment_question();
    let holds = |member: &Member| services.contains(&member.service);
    Missing {
        configuration,
        assignments: ask_one(node, before.assignments, &question, holds),
    }
}

/// Whether a process can help; if one could before too, one is asked.
fn ask_one(node: &Node, before: bool, question: &Frame, helps: impl Fn(&Member) -> bool) -> bool {
    let peers = node.peers();
    let helpers: Vec<&Rc<Peer>> = peers
        .iter()
        .filter(|p| p.is_connected() && p.with_member(&helps) == Some(true))
        .collect();
    if before && let Some(peer) = helpers.choose(&mut rand::rng()) {
        peer.send(question);
    }
    !helpers.is_empty()
}
