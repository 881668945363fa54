//! Keeps the operator's configuration as the store has it.

use std::rc::Rc;

use platform::configuration::{KIND, NAME};

use crate::node::Node;
use crate::relay::StoreClient;
use crate::store_watch;

/// Puts each new configuration in force, for as long as the process runs.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>) {
    store_watch::run(store, KIND, |object| {
        if object.name == NAME {
            node.on_configuration(object.stored.value, "store");
        }
    })
    .await;
}
