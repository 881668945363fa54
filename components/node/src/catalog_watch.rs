//! Keeps the operator's configuration as the store has it.

use std::rc::Rc;

use platform::configuration::{KIND, NAME};

use crate::node::Node;
use crate::relay::StoreClient;
use crate::store_watch;

/// Puts each new configuration in force, for as long as the process runs.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>) {
    let apply_node = Rc::clone(&node);
    store_watch::run(node, store, KIND, |object| {
        if object.name == NAME {
            apply_node.on_configuration(
                object.stored.revision.number(),
                object.stored.value,
                "store",
            );
        }
    })
    .await;
}
