//! Fetches configurations and assignments from peers that have newer ones than this process.
//!
//! Normally both arrive without a request: each process watches the configuration in the store, and
//! changes of assignments are broadcast. A request is therefore sent only if the newer one is still
//! missing one check later; otherwise every process would ask every other one after a restart
//! of all.

use std::rc::Rc;
use std::time::Duration;

use timer::{BootClock, Clock};

use crate::node::Node;
use crate::pause;

/// Time between two checks for newer ones.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two looks at whether a requested configuration has arrived.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Requests the configuration of a peer that has a later one, unless a request is in flight, and waits until
/// a later one is in force, for `timeout` at most.
pub(crate) async fn await_later_configuration(node: &Rc<Node>, timeout: Duration) {
    let version = node.configuration_version();
    let Some(peer) = node.random_peer(|s| s.has_later_configuration(version)) else {
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

/// What a connected peer had in a newer state at the last check.
#[derive(Debug, Default)]
struct Missing {
    configuration: bool,
    assignments: bool,
}

/// Checks periodically for newer configurations and assignments, for as long as the process runs.
pub async fn run(node: Rc<Node>) {
    let mut missing = Missing::default();
    loop {
        pause::jittered(CHECK_INTERVAL).await;
        missing = request_missing(&node, &missing);
    }
}

fn request_missing(node: &Node, previous: &Missing) -> Missing {
    let seen = node.last_seen_version();
    let config_source = node.random_peer(|m| m.has_later_configuration(seen));
    let outdated = node.assignments_to_fetch();
    let assignment_source = node.random_peer(|m| outdated.contains(&m.service));
    if let Some(peer) = config_source.as_ref().filter(|_| previous.configuration) {
        node.request_configuration(peer);
    }
    if let Some(peer) = assignment_source.as_ref().filter(|_| previous.assignments) {
        node.request_assignments(peer);
    }
    Missing {
        configuration: config_source.is_some(),
        assignments: assignment_source.is_some(),
    }
}
