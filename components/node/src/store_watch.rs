//! Reads the objects of one kind from the store and watches them for changes.

use std::rc::Rc;
use std::time::Duration;

use platform::store::{Listing, NamedObject, StoreError};
use rand::Rng;
use shards::revision::Revision;

use crate::node::Node;
use crate::pause;
use crate::relay::StoreClient;

/// First pause after a failed request; doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after a failed request.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Reads the objects of a kind, possibly through a peer, then watches them on a direct connection;
/// starts over when the store no longer has the history since the last revision, and, after a
/// random part of `era_spread`, when it is restored from a snapshot. Passes each object to
/// `apply`, at the start and on every change.
pub async fn run(
    node: Rc<Node>,
    store: Rc<StoreClient>,
    kind: &'static str,
    era_spread: Duration,
    apply: impl Fn(NamedObject),
) {
    let mut backoff = FIRST_BACKOFF;
    let mut last_revision: Option<Revision> = None;
    loop {
        let listing = match last_revision {
            None => list(&node, &store, kind).await,
            Some(since) => watch(&node, &store, kind, since).await,
        };
        match listing {
            Ok(listing) => {
                backoff = FIRST_BACKOFF;
                last_revision = Some(listing.revision);
                listing.objects.into_iter().for_each(&apply);
            }
            Err(StoreError::HistoryGone) => last_revision = None,
            Err(StoreError::EraChanged) if last_revision.is_some() => {
                last_revision = None;
                pause::random_part(era_spread).await;
            }
            Err(error) => {
                log::warn!(event = "watch-failed", kind, error:% = error; "");
                let jitter = rand::rng().random_range(0.7..1.3);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Lists the objects of the latest known era.
async fn list(node: &Node, store: &StoreClient, kind: &str) -> Result<Listing, StoreError> {
    let listing = store.list(kind).await?;
    if listing.revision.era() < node.store_era() {
        return Err(StoreError::EraChanged);
    }
    Ok(listing)
}

/// Waits for changes after a revision, for as long as its era is the latest known one.
async fn watch(
    node: &Node,
    store: &StoreClient,
    kind: &str,
    since: Revision,
) -> Result<Listing, StoreError> {
    let changes = tokio::select! {
        changes = store.watch(kind, since) => changes,
        _ = node.later_store_era(since.era()) => Err(StoreError::EraChanged),
    };
    if since.era() < node.store_era() {
        return Err(StoreError::EraChanged);
    }
    changes
}
