//! Bounds the memory that the messages of others take together: requests that are being received or
//! handled, responses that wait for their callers, and incomplete responses of the back end.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use timer::{BootClock, Clock};
use tokio::sync::Notify;
use world::instant::BootInstant;

/// Part of the process's memory that all messages may take.
const MESSAGES_DIVISOR: u64 = 2;
/// Part of the process's memory that incomplete responses of the back end may take.
const RESPONSES_DIVISOR: u64 = 16;

/// Largest size of a message that may also use the reserve, so that ordinary requests are served while
/// large ones take up the limit.
const SMALL_BYTES: usize = 16_384;
/// The reserve as a part of the limit.
const RESERVE_DIVISOR: usize = 8;

/// What a share is for; in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holding {
    /// A message of which more is awaited: nothing depends on it yet.
    Incomplete,
    /// Responses that their caller does not read. Evicted only if no message is incomplete.
    Unread,
    /// A request that is being handled: never evicted.
    Accepted,
}

/// Sizes of messages; their sum exceeds the limit by the reserve and by what is read at once, at most.
///
/// A message that would exceed the limit evicts the largest incomplete one, which may be itself: it is
/// the most likely to be hostile and frees the most. Of equal ones it is the oldest.
pub struct MemoryAccount {
    limit: usize,
    used: Cell<usize>,
    next_id: Cell<u64>,
    shares: RefCell<BTreeMap<u64, Rc<Entry>>>,
    /// Account whose limit includes this one.
    parent: Option<Rc<MemoryAccount>>,
}

struct Entry {
    bytes: Cell<usize>,
    holding: Cell<Holding>,
    since: BootInstant,
    evicted: Cell<bool>,
    notify: Notify,
}

/// The share of one message; released when it is dropped.
pub struct Share {
    account: Rc<MemoryAccount>,
    id: u64,
    entry: Rc<Entry>,
}

fn part(process_memory: u64, divisor: u64) -> usize {
    usize::try_from(process_memory / divisor).unwrap_or(usize::MAX)
}

impl MemoryAccount {
    fn new(limit: usize, parent: Option<Rc<Self>>) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: Cell::new(0),
            next_id: Cell::new(0),
            shares: RefCell::default(),
            parent,
        })
    }

    /// Creates the account of all messages in a process with `process_memory` bytes.
    #[must_use]
    pub fn of_messages(process_memory: u64) -> Rc<Self> {
        Self::new(part(process_memory, MESSAGES_DIVISOR), None)
    }

    /// Creates the account of incomplete responses of the back end, which are part of `messages` if it
    /// is given.
    #[must_use]
    pub fn of_responses(process_memory: u64, messages: Option<Rc<Self>>) -> Rc<Self> {
        Self::new(part(process_memory, RESPONSES_DIVISOR), messages)
    }

    /// Returns the largest sum of messages, in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns how many bytes the messages take now, without those that were evicted.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.used.get()
    }

    /// Begins to account for an incomplete message.
    #[must_use]
    pub fn share(self: &Rc<Self>) -> Share {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = Rc::new(Entry {
            bytes: Cell::new(0),
            holding: Cell::new(Holding::Incomplete),
            since: BootClock.now(),
            evicted: Cell::new(false),
            notify: Notify::new(),
        });
        self.shares.borrow_mut().insert(id, Rc::clone(&entry));
        Share {
            account: Rc::clone(self),
            id,
            entry,
        }
    }

    fn change(&self, before: usize, after: usize) {
        self.used.set(self.used.get() + after - before);
        if let Some(parent) = &self.parent {
            parent.change(before, after);
        }
    }

    /// Evicts messages until the others fit into the limit, as far as any can be evicted.
    fn make_room(&self) {
        if let Some(parent) = &self.parent {
            parent.make_room();
        }
        while self.used.get() > self.limit {
            let is_reserve_full = self.used.get() > self.limit + self.limit / RESERVE_DIVISOR;
            let shares = self.shares.borrow();
            let candidates = shares
                .values()
                .filter(|e| !e.evicted.get() && e.bytes.get() > 0)
                .filter(|e| is_reserve_full || e.bytes.get() > SMALL_BYTES)
                .filter(|e| e.holding.get() != Holding::Accepted);
            let rank = |e: &Entry| {
                let age: Duration = BootClock.now().since(e.since);
                (std::cmp::Reverse(e.holding.get()), e.bytes.get(), age)
            };
            let Some(victim) = candidates.max_by_key(|e| rank(e)) else {
                return;
            };
            victim.evicted.set(true);
            victim.notify.notify_one();
            self.change(victim.bytes.get(), 0);
        }
    }
}

impl Share {
    /// Records that the message takes `bytes` now; returns false if it has been evicted and must be
    /// dropped.
    #[must_use]
    pub fn resize(&self, bytes: usize) -> bool {
        let before = self.entry.bytes.replace(bytes);
        if self.entry.evicted.get() {
            return false;
        }
        self.account.change(before, bytes);
        if bytes > before {
            self.account.make_room();
        }
        !self.entry.evicted.get()
    }

    /// Returns how many bytes the message takes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.entry.bytes.get()
    }

    /// Changes what the share is for.
    pub fn hold(&self, holding: Holding) {
        self.entry.holding.set(holding);
    }

    /// Completes once the message has been evicted.
    pub async fn evicted(&self) {
        while !self.entry.evicted.get() {
            self.entry.notify.notified().await;
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if !self.entry.evicted.get() {
            self.account.change(self.entry.bytes.get(), 0);
        }
        self.account.shares.borrow_mut().remove(&self.id);
    }
}
