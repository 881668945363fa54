//! Reads the objects of one kind from the store and watches them for changes.

use std::rc::Rc;
use std::time::Duration;

use platform::store::{NamedObject, StoreError};
use rand::Rng;

use crate::relay::StoreClient;

/// First pause after a failed request; doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after a failed request.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Reads the objects of a kind, possibly through a peer, then watches them on a direct connection;
/// starts over when the store no longer has the history since the last revision. Passes each object
/// to `apply`, at the start and on every change.
pub async fn run(store: Rc<StoreClient>, kind: &'static str, apply: impl Fn(NamedObject)) {
    let mut backoff = FIRST_BACKOFF;
    let mut last_revision = None;
    loop {
        let listing = match last_revision {
            None => store.list(kind).await,
            Some(since) => store.watch(kind, since).await,
        };
        match listing {
            Ok(listing) => {
                backoff = FIRST_BACKOFF;
                last_revision = Some(listing.revision);
                listing.objects.into_iter().for_each(&apply);
            }
            Err(StoreError::HistoryGone) => last_revision = None,
            Err(error) => {
                log::warn!(event = "watch-failed", kind, error:% = error; "");
                let jitter = rand::rng().random_range(0.7..1.3);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}
