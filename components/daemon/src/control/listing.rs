//! The lists: read from the store by the coordinator, relayed to members, put in force.
//!
//! The highest version wins wherever it is known, so that an accepted edit reaches everybody also
//! when the store is silent: a member with newer lists hands them to its coordinator.

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
const LISTS_PATIENCE: Duration = Duration::from_secs(10);

/// Pause after a failed watch.
const LISTS_PAUSE: Duration = Duration::from_millis(200);

impl<S: Store> Control<S> {
    /// Puts newer lists in force. A document that does not parse leaves the old one in force.
    pub(super) fn take_lists(&self, document: ListsDocument) {
        let known = self.shared.lists.load().as_ref().map_or(0, |l| l.version);
        if document.version <= known {
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
            Err(faults) => {
                let faults = faults.to_string().replace('\n', "; ");
                log::error!(
                    event = "lists_refused",
                    version = document.version,
                    faults = faults.as_str();
                    ""
                );
            }
        }
    }

    /// Puts lists in force that an operator's tool has seen accepted, and tells the coordinator.
    pub(super) fn on_lists_accepted(&mut self, now: BootInstant, document: ListsDocument) {
        self.take_lists(document);
        self.relay_lists(self.lists_document());
        self.next_beat = now;
    }

    /// As coordinator, relays lists with a higher version than the ones known.
    pub(super) fn relay_lists(&mut self, document: Option<ListsDocument>) {
        let Some(role) = &mut self.role else { return };
        let known = role.lists.as_ref().map_or(0, |l| l.version);
        let newer = document.filter(|d| d.version > known);
        if newer.is_some() {
            role.lists = newer;
        }
    }

    /// The lists in force here.
    pub(super) fn lists_document(&self) -> Option<ListsDocument> {
        let lists = self.shared.lists.load();
        lists.as_ref().map(|lists| ListsDocument {
            version: lists.version,
            text: lists.text.clone(),
        })
    }

    /// The lists in force here, once after the coordinator has asked for them.
    pub(super) fn wanted_lists(&mut self) -> Option<ListsDocument> {
        let wanted = std::mem::take(&mut self.lists_wanted);
        wanted.then(|| self.lists_document()).flatten()
    }

    pub(super) fn watch_lists(&self) -> ListsWatch {
        ListsWatch(watch_lists(self.store.clone(), self.events.clone()))
    }
}

/// Reads the lists now and after every change.
fn watch_lists<S: Store>(store: S, events: mpsc::Sender<Event>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut known = 0;
        loop {
            match store.watch(LISTS_OBJECT, known, LISTS_PATIENCE).await {
                Ok(Some(object)) => {
                    known = object.version;
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
                Err(_) => tokio::time::sleep(LISTS_PAUSE).await,
            }
        }
    })
}
