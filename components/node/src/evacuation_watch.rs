//! Keeps the set of evacuated zones as the store has it.

use std::rc::Rc;
use std::time::Duration;

use platform::object::NameChange;
use platform::store::{EVACUATIONS, NamedObject};
use shards::revision::Revision;
use timer::{BootClock, Clock};
use world::name::ZoneName;

use crate::node::Node;
use crate::relay::StoreClient;
use crate::store_watch::{self, Observer};

/// Time over which the processes spread their lists in a new era; short against the time within which
/// an evacuation must be in force.
const ERA_SPREAD: Duration = Duration::from_millis(500);

/// Time between two checks whether the deployment knows evacuations.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Applies each change of the set, for as long as the process runs; begins once the bounds of the
/// deployment name a time for evacuations.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>) {
    while node.bounds().evacuation.is_none() {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let observer = EvacuationObserver(Rc::clone(&node));
    store_watch::run(node, store, EVACUATIONS, ERA_SPREAD, observer).await;
}

struct EvacuationObserver(Rc<Node>);

impl Observer for EvacuationObserver {
    /// The content of the objects does not matter.
    fn on_object(&self, _object: NamedObject) {}

    fn on_list(&self, revision: Revision, names: &[NameChange]) {
        let zones: Vec<ZoneName> = names.iter().map(|n| ZoneName::new(&n.name)).collect();
        let now = BootClock.now();
        self.0
            .update_evacuations("store", |e| e.on_list(now, revision, &zones));
    }

    fn on_changes(&self, revision: Revision, names: &[NameChange]) {
        let now = BootClock.now();
        self.0
            .update_evacuations("store", |e| e.on_changes(now, revision, names));
    }
}
