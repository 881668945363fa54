//! Bounds the connections of one listener.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use timer::{BootClock, Clock};
use tokio::sync::Notify;
use world::instant::BootInstant;

/// What a connection is doing; in the order in which connections are closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has carried no message yet, or is receiving one.
    Incomplete,
    /// It has carried messages and waits for the next one.
    Idle,
    /// A message is being handled: it is not closed to make room.
    Busy,
}

/// The open connections of a listener.
#[derive(Default)]
pub struct ConnectionLimit {
    next_id: Cell<u64>,
    open: RefCell<BTreeMap<u64, Rc<Entry>>>,
}

struct Entry {
    phase: Cell<Phase>,
    since: Cell<BootInstant>,
    closed: Cell<bool>,
    notify: Notify,
}

/// An open connection; it ceases to count when it is dropped.
pub struct OpenConnection {
    limit: Rc<ConnectionLimit>,
    id: u64,
    entry: Rc<Entry>,
}

/// How a new connection is admitted.
pub enum Admission {
    /// There was room.
    Free(OpenConnection),
    /// Another connection is closed for it.
    InPlaceOfAnother(OpenConnection),
    /// All connections are busy.
    Refused,
}

impl ConnectionLimit {
    /// Admits a new connection of at most `most`.
    ///
    /// When all are taken, the connection is closed that has been incomplete longest, or else the one
    /// that has been idle longest.
    #[must_use]
    pub fn admit(self: &Rc<Self>, most: usize) -> Admission {
        if self.open.borrow().len() < most {
            return Admission::Free(self.insert());
        }
        if self.close_one() {
            Admission::InPlaceOfAnother(self.insert())
        } else {
            Admission::Refused
        }
    }

    fn insert(self: &Rc<Self>) -> OpenConnection {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = Rc::new(Entry {
            phase: Cell::new(Phase::Incomplete),
            since: Cell::new(BootClock.now()),
            closed: Cell::new(false),
            notify: Notify::new(),
        });
        self.open.borrow_mut().insert(id, Rc::clone(&entry));
        OpenConnection {
            limit: Rc::clone(self),
            id,
            entry,
        }
    }

    fn close_one(&self) -> bool {
        let mut open = self.open.borrow_mut();
        let candidates = open.iter().filter(|(_, e)| e.phase.get() != Phase::Busy);
        let oldest = candidates.min_by_key(|(_, e)| (e.phase.get(), e.since.get()));
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return false;
        };
        if let Some(entry) = open.remove(&id) {
            entry.closed.set(true);
            entry.notify.notify_one();
        }
        true
    }
}

impl OpenConnection {
    /// Records what the connection does now.
    pub fn set_phase(&self, phase: Phase) {
        if self.entry.phase.replace(phase) != phase {
            self.entry.since.set(BootClock.now());
        }
    }

    /// Completes once the connection is to be closed to make room for another.
    pub async fn closed(&self) {
        while !self.entry.closed.get() {
            self.entry.notify.notified().await;
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.limit.open.borrow_mut().remove(&self.id);
    }
}
