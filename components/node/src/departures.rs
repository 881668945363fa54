//! Back ends of this machine that have said that they leave, also to an earlier run of this process.
//!
//! That a back end leaves is confirmed to it for all machines, and binds also after a restart of this
//! process. So it is confirmed only once the store has it, in this machine's member record, and a
//! process that starts reads it there before it counts a back end as ready. While the store cannot be
//! reached, it hears of it from its peers, which remember what the earlier run has told them.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shards::incarnation::BackEndIncarnation;
use shards::revision::StoreEra;
use tokio::sync::{Notify, watch};

/// Most departures that are remembered; there are more only if others than the back end send them.
const MAX_DEPARTURES: usize = 4;

/// Incarnations of a back end that have said that they leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the back end.
    pub id: String,
    /// Start of the latest incarnation that it covers, in Unix milliseconds. A later one may use the
    /// id again; it has not left.
    pub born: u64,
}

impl Departure {
    /// Returns whether an incarnation is among those that leave.
    #[must_use]
    pub fn covers(&self, incarnation: &BackEndIncarnation) -> bool {
        self.id == incarnation.id && incarnation.born <= self.born
    }
}

impl From<&BackEndIncarnation> for Departure {
    fn from(incarnation: &BackEndIncarnation) -> Self {
        Self {
            id: incarnation.id.clone(),
            born: incarnation.born,
        }
    }
}

/// What the store has.
#[derive(Clone, Debug)]
struct Stored {
    era: StoreEra,
    departures: Vec<Departure>,
}

/// What is known of departures, and what the store has of them.
#[derive(Default)]
pub struct Departures {
    /// The latest comes last; no id twice.
    known: RefCell<Vec<Departure>>,
    /// `None` before the store has been read.
    stored: watch::Sender<Option<Stored>>,
    /// Whether a heartbeat has waited for the store in vain.
    overdue: Cell<bool>,
    changed: Notify,
}

impl Departures {
    /// Records a departure; returns whether it is new. That of `current`, the incarnation that reported
    /// last, is not forgotten for others.
    pub fn insert(&self, departure: Departure, current: Option<&BackEndIncarnation>) -> bool {
        let mut known = self.known.borrow_mut();
        let same_id = known.iter().position(|d| d.id == departure.id);
        if same_id.is_some_and(|i| known[i].born >= departure.born) {
            return false;
        }
        if let Some(index) = same_id {
            known.remove(index);
        }
        if known.len() == MAX_DEPARTURES {
            let is_current = |d: &Departure| current.is_some_and(|c| d.covers(c));
            let oldest = known.iter().position(|d| !is_current(d));
            known.remove(oldest.unwrap_or(0));
        }
        known.push(departure);
        self.changed.notify_one();
        true
    }

    /// Takes over what an earlier run of this process has stored, before anything else is stored.
    pub fn restore(&self, stored: &[Departure]) {
        if self.stored.borrow().is_some() {
            return;
        }
        let mut known = self.known.borrow_mut();
        let is_new = |d: &&Departure| !known.iter().any(|k| k.id == d.id);
        let mut all: Vec<Departure> = stored.iter().filter(is_new).cloned().collect();
        all.append(&mut known);
        let surplus = all.len().saturating_sub(MAX_DEPARTURES);
        *known = all.split_off(surplus);
    }

    /// Returns whether an incarnation has said that it leaves.
    #[must_use]
    pub fn contain(&self, incarnation: &BackEndIncarnation) -> bool {
        let known = self.known.borrow();
        known.iter().any(|d| d.covers(incarnation))
    }

    /// Returns the departures to store.
    #[must_use]
    pub fn known(&self) -> Vec<Departure> {
        self.known.borrow().clone()
    }

    /// Waits until there is a departure that the store may not have.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that the store has these departures in an era.
    pub fn on_stored(&self, era: StoreEra, departures: Vec<Departure>) {
        self.stored.send_replace(Some(Stored { era, departures }));
    }

    /// Waits until the store has a departure in the latest era, which `era` returns; returns whether
    /// it has it in time.
    pub async fn await_stored(
        &self,
        departure: &Departure,
        era: impl Fn() -> StoreEra,
        timeout: Duration,
    ) -> bool {
        let covers = |d: &Departure| d.id == departure.id && d.born >= departure.born;
        let is_stored = |stored: &Option<Stored>| {
            let current = stored.as_ref().filter(|s| s.era >= era());
            current.is_some_and(|s| s.departures.iter().any(covers))
        };
        let mut stored = self.stored.subscribe();
        let wait = stored.wait_for(is_stored);
        matches!(tokio::time::timeout(timeout, wait).await, Ok(Ok(_)))
    }

    /// Waits until the store has been read, unless an earlier heartbeat has waited in vain.
    pub async fn await_read(&self, timeout: Duration) {
        if self.overdue.get() {
            return;
        }
        let mut stored = self.stored.subscribe();
        let wait = stored.wait_for(Option::is_some);
        if tokio::time::timeout(timeout, wait).await.is_err() {
            log::warn!(event = "departures-unknown"; "");
            self.overdue.set(true);
        }
    }
}
