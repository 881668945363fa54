//! Reads the objects of one kind from the store and watches them for changes.

use std::rc::Rc;
use std::time::Duration;

use platform::store::{Listing, NamedObject, StoreError};
use rand::Rng;
use shards::revision::Revision;
use timer::{BootClock, Clock};
use world::instant::BootInstant;

use crate::node::Node;
use crate::pause;
use crate::relay::StoreClient;

/// First pause after a failed request; doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after a failed request.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Receives what a watch finds.
pub trait Observer {
    /// Handles an object, at the start and on every change.
    fn on_object(&self, object: NamedObject);

    /// Handles the end of a listing that was sent at `sent`: all objects of the kind have been handled.
    fn on_listed(&self, _sent: BootInstant) {}
}

impl<F: Fn(NamedObject)> Observer for F {
    fn on_object(&self, object: NamedObject) {
        self(object);
    }
}

/// Reads the objects of a kind, possibly through a peer, then watches them on a direct connection;
/// starts over when the store no longer has the history since the last revision, and, after a
/// random part of `era_spread`, when it is restored from a snapshot.
pub async fn run(
    node: Rc<Node>,
    store: Rc<StoreClient>,
    kind: &'static str,
    era_spread: Duration,
    observer: impl Observer,
) {
    let mut backoff = FIRST_BACKOFF;
    let mut last_revision: Option<Revision> = None;
    loop {
        let sent = BootClock.now();
        let listing = match last_revision {
            None => list(&node, &store, kind).await,
            Some(since) => watch(&node, &store, kind, since).await,
        };
        match listing {
            Ok(listing) => {
                backoff = FIRST_BACKOFF;
                let is_list = last_revision.replace(listing.revision).is_none();
                for object in listing.objects {
                    observer.on_object(object);
                }
                if is_list {
                    observer.on_listed(sent);
                }
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
