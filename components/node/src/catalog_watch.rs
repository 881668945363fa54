//! Keeps the operator's configuration as the store has it.

use std::rc::Rc;
use std::time::Duration;

use platform::configuration::{KIND, NAME};

use crate::node::Node;
use crate::relay::StoreClient;
use crate::store_watch;

/// Puts each new configuration in force, for as long as the process runs.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>) {
    let apply_node = Rc::clone(&node);
    // Not spread over time: the operator's next configuration must not be late.
    store_watch::run(node, store, KIND, Duration::ZERO, |object| {
        if object.name == NAME {
            apply_node.on_configuration(object.stored.value, "store");
        }
    })
    .await;
}
