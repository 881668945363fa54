//! Reads the operator's configuration from the store and watches it for changes.

use std::rc::Rc;
use std::time::Duration;

use platform::configuration::{KIND, NAME};
use platform::store::{Client, Listing, StoreError};
use rand::Rng;

use crate::node::Node;
use crate::relay::StoreClient;

/// First pause after a failed request; doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after a failed request.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Reads the configuration, possibly through a peer, then watches it on a direct connection; starts
/// over when the store no longer has the history since the last revision.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>) {
    let watcher = Client::new(node.direct.clone());
    let mut backoff = FIRST_BACKOFF;
    let mut last_revision = None;
    loop {
        let listing = match last_revision {
            None => store.list(KIND).await,
            Some(since) => watcher.watch(KIND, since).await,
        };
        match listing {
            Ok(listing) => {
                backoff = FIRST_BACKOFF;
                last_revision = Some(listing.revision);
                apply(&node, listing);
            }
            Err(StoreError::HistoryGone) => last_revision = None,
            Err(error) => {
                log::warn!(event = "configuration-watch-failed", error:% = error; "");
                let jitter = rand::rng().random_range(0.7..1.3);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

fn apply(node: &Rc<Node>, listing: Listing) {
    for object in listing.objects {
        if object.name == NAME {
            node.on_configuration(object.stored.revision, object.stored.value, "store");
        }
    }
}
