//! Keeps the operator's configuration up to date.

use std::rc::Rc;
use std::time::Duration;

use platform::configuration::{KIND, NAME};
use platform::store::{Client, Listing, StoreError};
use rand::Rng;

use crate::node::Node;
use crate::relay::StoreClient;

/// First pause after a failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Reads the configuration and follows its changes.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>) {
    let watcher = Client::new(node.direct.clone());
    let mut backoff = FIRST_BACKOFF;
    let mut at = None;
    loop {
        let listing = match at {
            None => store.list(KIND).await,
            Some(since) => watcher.watch(KIND, since).await,
        };
        match listing {
            Ok(listing) => {
                backoff = FIRST_BACKOFF;
                at = Some(listing.revision);
                take_over(&node, listing);
            }
            Err(StoreError::HistoryGone) => at = None,
            Err(error) => {
                log::warn!(event = "configuration-watch-failed", error:% = error; "");
                let jitter = rand::rng().random_range(0.7..1.3);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

fn take_over(node: &Rc<Node>, listing: Listing) {
    for object in listing.objects {
        if object.name == NAME {
            node.on_configuration(object.stored.revision, object.stored.value, "store");
        }
    }
}
