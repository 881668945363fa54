//! Keeps the operator's configuration as the store has it.

use std::rc::Rc;
use std::time::Duration;

use platform::configuration::{KIND, NAME};

use crate::node::Node;
use crate::relay::StoreClient;
use crate::store_watch;

/// Time over which the processes spread their lists in a new era; short, as the operator's next
/// configuration must not be late.
const ERA_SPREAD: Duration = Duration::from_millis(500);

/// Puts each new configuration in force, for as long as the process runs.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>) {
    let apply_node = Rc::clone(&node);
    store_watch::run(node, store, KIND, ERA_SPREAD, |object| {
        if object.name == NAME {
            apply_node.on_configuration(object.stored.value, "store");
        }
    })
    .await;
}
