//! Reads the objects of one kind from the store and watches them for changes.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::{Fuse, FusedFuture};
use platform::object::NameChange;
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
/// Time after which a watch ends that this process need not hold any more.
const SURPLUS_TIME: Duration = Duration::from_secs(2);
/// Longest pause after a failed request.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Receives what a watch finds, and may ask between changes whether it has missed any.
pub trait Observer {
    /// Handles an object, at the start and on every change.
    fn on_object(&self, object: NamedObject);

    /// Handles the names in a list of all objects, also of malformed ones.
    fn on_list(&self, _revision: Revision, _names: &[NameChange]) {}

    /// Handles the names of objects that have changed or were removed, the oldest change first.
    fn on_changes(&self, _revision: Revision, _names: &[NameChange]) {}

    /// Handles a proof that all changes up to `sent` have been handled.
    fn on_current(&self, _sent: BootInstant) {}

    /// Handles a failed request to the store.
    fn on_failure(&self) {}

    /// Waits until the observer asks for such a proof.
    fn check_requested(&self) -> impl Future<Output = ()> {
        std::future::pending()
    }

    /// Whether this process watches the store; otherwise it learns of changes from its peers.
    fn watches_store(&self) -> bool {
        true
    }

    /// Waits until that may have changed.
    fn role_changed(&self) -> impl Future<Output = ()> {
        std::future::pending()
    }

    /// Returns the revision up to which peers have told of all changes, [`Revision::NONE`] if they have not.
    fn known_revision(&self) -> Revision {
        Revision::NONE
    }

    /// Whether the objects are listed after a failure, as one list is shorter than many missed changes.
    fn lists_after_failure(&self) -> bool {
        false
    }
}

impl<F: Fn(NamedObject)> Observer for F {
    fn on_object(&self, object: NamedObject) {
        self(object);
    }
}

/// Objects from the store.
struct Received {
    listing: Listing,
    /// When the request was sent, if it shows all changes up to then.
    current_at: Option<BootInstant>,
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
        let started = BootClock.now();
        let received = match last_revision {
            None => list(&node, &store, kind).await,
            Some(since) => watch(&node, &store, kind, since, &observer).await,
        };
        match received {
            Ok(received) => {
                backoff = FIRST_BACKOFF;
                let is_list = last_revision.is_none();
                let Listing {
                    revision, names, ..
                } = &received.listing;
                if is_list {
                    observer.on_list(*revision, names);
                } else {
                    observer.on_changes(*revision, names);
                }
                last_revision = Some(*revision);
                for object in received.listing.objects {
                    observer.on_object(object);
                }
                if let Some(sent) = received.current_at {
                    observer.on_current(sent);
                }
            }
            Err(StoreError::HistoryGone) => last_revision = None,
            Err(StoreError::EraChanged) if last_revision.is_some() => {
                last_revision = None;
                pause::random_part(era_spread).await;
            }
            Err(error) => {
                let call = if last_revision.is_none() {
                    "list"
                } else {
                    "watch"
                };
                let after_ms = BootClock.now().since(started).as_millis() as u64;
                log::warn!(event = "watch-failed", kind, call, after_ms, error:% = error; "");
                observer.on_failure();
                if observer.lists_after_failure() {
                    last_revision = None;
                }
                let jitter = rand::rng().random_range(0.7..1.3);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Lists the objects of the latest known era.
async fn list(node: &Node, store: &StoreClient, kind: &str) -> Result<Received, StoreError> {
    let sent = BootClock.now();
    let listing = store.list(kind).await?;
    if listing.revision.era() < node.store_era() {
        return Err(StoreError::EraChanged);
    }
    Ok(Received {
        listing,
        current_at: Some(sent),
    })
}

/// Waits for changes after a revision, for as long as its era is the latest known one; asks for them at
/// once whenever the observer requests it.
async fn watch(
    node: &Node,
    store: &StoreClient,
    kind: &str,
    last_revision: Revision,
    observer: &impl Observer,
) -> Result<Received, StoreError> {
    let changes = Fuse::terminated();
    let running_check = Fuse::terminated();
    tokio::pin!(changes, running_check);
    let mut unneeded_since = None;
    let received = loop {
        let since = last_revision.max(observer.known_revision());
        if observer.watches_store() {
            unneeded_since = None;
            if changes.is_terminated() {
                changes.set(store.watch(kind, since).fuse());
            }
        } else {
            let now = BootClock.now();
            if now.since(*unneeded_since.get_or_insert(now)) >= SURPLUS_TIME {
                changes.set(Fuse::terminated());
            }
        }
        tokio::select! {
            changes = &mut changes, if !changes.is_terminated() => {
                break changes.map(|listing| Received { listing, current_at: None });
            }
            _ = node.later_store_era(last_revision.era()) => break Err(StoreError::EraChanged),
            () = observer.role_changed() => {}
            () = observer.check_requested(), if running_check.is_terminated() => {
                running_check.set(check(store, kind, since, observer).fuse());
            }
            received = &mut running_check, if !running_check.is_terminated() => {
                if let Some(received) = received {
                    break received;
                }
            }
        }
    };
    if last_revision.era() < node.store_era() {
        return Err(StoreError::EraChanged);
    }
    received
}

/// Asks for changes after a revision; `None` if the watch for them goes on, as there are none or the
/// request has failed.
async fn check(
    store: &StoreClient,
    kind: &str,
    since: Revision,
    observer: &impl Observer,
) -> Option<Result<Received, StoreError>> {
    let sent = BootClock.now();
    match store.changes(kind, since).await {
        Ok(listing) if listing.revision.era() != since.era() => Some(Err(StoreError::EraChanged)),
        Ok(listing) if listing.objects.is_empty() => {
            observer.on_current(sent);
            None
        }
        Ok(listing) => Some(Ok(Received {
            listing,
            current_at: Some(sent),
        })),
        Err(StoreError::HistoryGone) => Some(Err(StoreError::HistoryGone)),
        Err(error) => {
            log::warn!(event = "check-failed", kind, error:% = error; "");
            observer.on_failure();
            None
        }
    }
}
