//! Distributes the lists: the coordinator reads them from the store and relays them to members.
//!
//! The highest known version wins. A member with newer lists sends them to its coordinator, so that
//! an accepted edit reaches every daemon even while the store does not respond.

use std::sync::Arc;
use std::time::Duration;

use lists::LISTS_OBJECT;
use peers::wire::ListsDocument;
use store::client::Store;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use world::instant::BootInstant;

use crate::control::{Control, Event, ListsWatch};
use crate::shared::ActiveLists;

/// Longest wait of one watch on the lists.
const LISTS_WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a failed watch is repeated.
const LISTS_RETRY_DELAY: Duration = Duration::from_millis(200);

impl<S: Store> Control<S> {
    /// Makes newer lists the active ones. A document that does not parse is logged and ignored.
    pub(super) fn activate_lists(&self, document: ListsDocument) {
        let current = self.shared.lists.load().as_ref().map_or(0, |l| l.version);
        if document.version <= current {
            return;
        }
        match lists::document::parse(&document.text) {
            Ok(lists) => {
                log::info!(event = "lists_in_force", version = document.version; "");
                let in_force = ActiveLists {
                    version: document.version,
                    text: document.text,
                    lists,
                };
                self.shared.lists.store(Some(Arc::new(in_force)));
            }
            Err(diagnostics) => {
                let diagnostics = diagnostics.to_string().replace('\n', "; ");
                log::error!(
                    event = "lists_refused",
                    version = document.version,
                    faults = diagnostics.as_str();
                    ""
                );
            }
        }
    }

    /// Activates lists that an operator's tool reports as accepted, and sends the coordinator a
    /// heartbeat with their version at once.
    pub(super) fn on_lists_accepted(&mut self, now: BootInstant, document: ListsDocument) {
        self.activate_lists(document);
        self.relay_if_newer(self.lists_document());
        self.next_heartbeat = now;
    }

    /// As coordinator, relays the lists to members if they are newer than those relayed so far.
    pub(super) fn relay_if_newer(&mut self, document: Option<ListsDocument>) {
        let Some(role) = &mut self.role else { return };
        let current = role.lists.as_ref().map_or(0, |l| l.version);
        let newer = document.filter(|d| d.version > current);
        if newer.is_some() {
            role.lists = newer;
        }
    }

    /// The active lists of this daemon; `None` until the first have arrived.
    pub(super) fn lists_document(&self) -> Option<ListsDocument> {
        let lists = self.shared.lists.load();
        lists.as_ref().map(|lists| ListsDocument {
            version: lists.version,
            text: lists.text.clone(),
        })
    }

    /// Returns the active lists if the coordinator has asked for them, and clears that request.
    pub(super) fn take_requested_lists(&mut self) -> Option<ListsDocument> {
        let requested = std::mem::take(&mut self.lists_requested);
        requested.then(|| self.lists_document()).flatten()
    }

    /// Starts to watch the lists in the store, until the returned value is dropped.
    pub(super) fn watch_lists(&self) -> ListsWatch {
        ListsWatch(watch_lists(self.store.clone(), self.events.clone()))
    }
}

/// Sends the lists to the control thread now and after every change.
fn watch_lists<S: Store>(store: S, events: mpsc::Sender<Event>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut version = 0;
        loop {
            match store
                .watch(LISTS_OBJECT, version, LISTS_WATCH_TIMEOUT)
                .await
            {
                Ok(Some(object)) => {
                    version = object.version;
                    let text = String::from_utf8_lossy(&object.value).into_owned();
                    let document = ListsDocument {
                        version: object.version,
                        text,
                    };
                    if events.send(Event::ListsRead(document)).await.is_err() {
                        return;
                    }
                }
                Ok(None) => {}
                Err(_) => tokio::time::sleep(LISTS_RETRY_DELAY).await,
            }
        }
    })
}
