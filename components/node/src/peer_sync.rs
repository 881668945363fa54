//! Fetches configurations and assignments from peers that have newer ones than this process.
//!
//! A configuration is requested as soon as a peer nearby has a later one, but by the readers of the
//! [`config_readers`] only if their own watch is late. Changes of assignments are broadcast, so a request
//! is sent only if the newer one is still missing one check later; otherwise every process would ask
//! every other one after a restart of all.

use std::rc::Rc;
use std::time::Duration;

use timer::{BootClock, Clock};

use crate::node::Node;
use crate::{config_readers, pause};

/// Time between two checks for newer ones.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two looks at whether a requested configuration has arrived.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Requests the configuration of a peer that has a later one, unless a request is in flight, and waits until
/// a later one is in force, for `timeout` at most.
pub(crate) async fn await_later_configuration(node: &Rc<Node>, timeout: Duration) {
    let version = node.configuration_version();
    let Some((peer, _)) = node.nearest_peer(|s| s.has_later_configuration(version)) else {
        return;
    };
    node.request_configuration(&peer);
    let until = BootClock.now() + timeout;
    while node.configuration_version() <= version {
        if BootClock.now() >= until {
            node.config_check.on_timeout(timeout);
            return;
        }
        tokio::time::sleep(ARRIVAL_CHECK_INTERVAL).await;
    }
}

/// Checks for newer configurations and assignments, periodically and when a peer has a later
/// configuration, for as long as the process runs.
pub async fn run(node: Rc<Node>) {
    let mut assignments_missing = false;
    loop {
        tokio::select! {
            () = pause::jittered(CHECK_INTERVAL) => {
                assignments_missing = request_assignments(&node, assignments_missing);
                node.ping_config_readers();
            }
            () = node.config_lag.heard_more() => {}
        }
        request_configuration(&node);
    }
}

/// Requests a later configuration once it has been missing for as long as it may arrive otherwise.
fn request_configuration(node: &Node) {
    let seen = node.last_seen_version();
    let Some((peer, distance)) = node.nearest_peer(|s| s.has_later_configuration(seen)) else {
        return;
    };
    let missing_for = node.config_lag.missing_for(BootClock.now());
    if missing_for >= config_readers::patience(node.is_config_reader(), distance) {
        node.request_configuration(&peer);
    }
}

/// Requests newer assignments of a peer that are `missing` since the last check; returns whether any are.
fn request_assignments(node: &Node, missing: bool) -> bool {
    let outdated = node.assignments_to_fetch();
    let peer = node.random_peer(|m| outdated.contains(&m.service));
    if let Some(peer) = peer.as_ref().filter(|_| missing) {
        node.request_assignments(peer);
    }
    peer.is_some()
}
