//! Keeps the operator's configuration as the store has it.

use std::rc::Rc;
use std::time::Duration;

use platform::configuration::{self, KIND, NAME};
use platform::store::{MEMBERS, NamedObject};
use serde_json::Value;
use shards::manager::Versioned;
use shards::revision::{Revision, StoreEra};
use timer::{BootClock, Clock};
use tokio::task::spawn_local;
use world::instant::BootInstant;

use crate::frame::NodeStatus;
use crate::node::Node;
use crate::relay::StoreClient;
use crate::store_watch::{self, Observer};

/// Time over which the processes spread their lists in a new era; short, as the operator's next
/// configuration must not be late.
const ERA_SPREAD: Duration = Duration::from_millis(500);
/// Longest time for which the first configuration waits for the version of a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two checks whether a peer has told its version.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two checks whether this process reads the configuration from the store.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two probes of the store by a reader, as its watch may be silent.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// Puts each new configuration in force, for as long as the process runs.
///
/// Only the readers of [`crate::config_readers`] watch the store; the others are told by their peers.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>) {
    let observer = ConfigurationObserver(Rc::clone(&node));
    let probing = probe_store(Rc::clone(&node), Rc::clone(&store));
    let watching = store_watch::run(node, store, KIND, ERA_SPREAD, observer);
    tokio::join!(watching, probing);
}

/// Probes the store while this process is a reader; its transport records, and announces to the peers that
/// rely on it, whether the store responds.
async fn probe_store(node: Rc<Node>, store: Rc<StoreClient>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        if node.is_config_reader()
            && let Err(error) = store.probe(MEMBERS, node.settings.machine.as_str()).await
        {
            log::debug!(event = "probe-failed", error:% = error; "");
        }
    }
}

struct ConfigurationObserver(Rc<Node>);

impl Observer for ConfigurationObserver {
    fn on_object(&self, object: NamedObject) {
        if object.name == NAME {
            apply(&self.0, object.stored);
        }
    }

    fn on_current(&self, sent: BootInstant) {
        self.0.on_configuration_confirmed(sent);
        self.0.config_check.on_success();
    }

    fn on_failure(&self) {
        self.0.config_check.on_failure();
    }

    async fn check_requested(&self) {
        self.0.config_check.requested().await;
    }

    fn watches_store(&self) -> bool {
        self.0.is_config_reader()
    }

    async fn role_changed(&self) {
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
    }

    fn known_revision(&self) -> Revision {
        self.0.configuration_revision()
    }

    fn lists_after_failure(&self) -> bool {
        true
    }
}

fn apply(node: &Rc<Node>, stored: Versioned<Value>) {
    let is_first = node.active_config().is_none();
    if is_first && node.store_era() > StoreEra::FIRST {
        spawn_local(apply_first(Rc::clone(node), stored));
    } else {
        node.on_stored_configuration(stored.value, stored.revision, "store");
    }
}

/// Puts the first configuration of this process in force, unless a peer has a later one: the store
/// may have come back without the version that is in force elsewhere.
///
/// Waits at most `PEER_TIMEOUT` for the status of a peer, and for the later configuration.
async fn apply_first(node: Rc<Node>, stored: Versioned<Value>) {
    let started = BootClock.now();
    let version = configuration::decode(&stored.value).map_or(0, |c| c.version);
    let mut requested = false;
    while node.active_config().is_none() && BootClock.now().since(started) < PEER_TIMEOUT {
        if let Some(peer) = node.random_peer(|s| s.has_later_configuration(version)) {
            requested = requested || node.request_configuration(&peer);
        } else if node.random_peer(NodeStatus::has_configuration).is_some() {
            break;
        }
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
    }
    node.on_stored_configuration(stored.value, stored.revision, "store");
}
