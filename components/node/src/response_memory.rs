//! Bounds the memory that incomplete responses of the back end take together.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// Part of the process's memory that incomplete responses may take.
const MEMORY_DIVISOR: u64 = 16;

/// Sizes of the incomplete responses; their sum exceeds the limit by what is read at once, at most.
///
/// A response that would exceed the limit evicts the largest one, which may be itself: it is the most
/// likely to have no end, and the others go on.
pub struct ResponseMemory {
    limit: usize,
    next_id: Cell<u64>,
    responses: RefCell<BTreeMap<u64, Rc<Entry>>>,
}

#[derive(Default)]
struct Entry {
    bytes: Cell<usize>,
    evicted: Cell<bool>,
    notify: Notify,
}

/// The share of one response; released when it is dropped.
pub struct ResponseShare<'a> {
    memory: &'a ResponseMemory,
    id: u64,
    entry: Rc<Entry>,
}

impl ResponseMemory {
    /// Creates the bound of a process with `process_memory` bytes.
    #[must_use]
    pub fn new(process_memory: u64) -> Self {
        Self {
            limit: usize::try_from(process_memory / MEMORY_DIVISOR).unwrap_or(usize::MAX),
            next_id: Cell::new(0),
            responses: RefCell::default(),
        }
    }

    /// Returns the largest sum of incomplete responses, in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns how many bytes the incomplete responses take now.
    #[must_use]
    pub fn in_use(&self) -> usize {
        let responses = self.responses.borrow();
        responses.values().map(|e| e.bytes.get()).sum()
    }

    /// Begins to account for a response.
    #[must_use]
    pub fn share(&self) -> ResponseShare<'_> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = Rc::new(Entry::default());
        self.responses.borrow_mut().insert(id, Rc::clone(&entry));
        ResponseShare {
            memory: self,
            id,
            entry,
        }
    }

    /// Evicts the largest responses until the others fit into the limit.
    fn evict_largest(&self) {
        let responses = self.responses.borrow();
        let mut kept: Vec<&Rc<Entry>> = responses.values().filter(|e| !e.evicted.get()).collect();
        kept.sort_by_key(|e| e.bytes.get());
        let mut sum: usize = kept.iter().map(|e| e.bytes.get()).sum();
        while sum > self.limit {
            let Some(largest) = kept.pop() else { return };
            sum -= largest.bytes.get();
            largest.evicted.set(true);
            largest.notify.notify_one();
        }
    }
}

impl ResponseShare<'_> {
    /// Records that the response takes `bytes` now; returns false if it has been evicted and must be
    /// dropped.
    #[must_use]
    pub fn resize(&self, bytes: usize) -> bool {
        self.entry.bytes.set(bytes);
        if self.memory.in_use() > self.memory.limit {
            self.memory.evict_largest();
        }
        !self.entry.evicted.get()
    }

    /// Completes once the response has been evicted.
    pub async fn evicted(&self) {
        while !self.entry.evicted.get() {
            self.entry.notify.notified().await;
        }
    }
}

impl Drop for ResponseShare<'_> {
    fn drop(&mut self) {
        self.memory.responses.borrow_mut().remove(&self.id);
    }
}
