//! Objects of the store, their history and the earlier states that it can go back to.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http1::response::Response;
use serde_json::{Value, json};

use super::StoreFault;
use super::call::{Condition, Write};
use crate::http::SharedLink;

/// Time for which earlier states are kept.
const COPY_AGE: Duration = Duration::from_secs(60);

/// Kind and name of an object.
type Key = (String, String);

#[derive(Clone, Debug, PartialEq)]
struct Stored {
    specification: Value,
    revision: u64,
}

/// A change of an object.
struct Change {
    revision: u64,
    kind: String,
    object: Value,
    removed: bool,
}

/// What a change has replaced.
struct Undo {
    at: Instant,
    key: Key,
    before: Option<Stored>,
    /// Revision of the store before the change.
    revision: u64,
}

/// A write without a response, which waits for its condition to hold in a later era.
struct Held {
    era: u64,
    write: Write,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) era: u64,
    pub(super) fault: StoreFault,
    /// Whether the store is away until the next restore.
    pub(super) away: bool,
    /// Number of write requests received.
    pub(super) writes: u64,
    /// The same by the kind of the object.
    pub(super) writes_by_kind: BTreeMap<String, u64>,
    /// Number of objects of each kind in responses to lists and watches.
    pub(super) objects_sent: RefCell<BTreeMap<String, u64>>,
    /// Link over which all responses are sent; `None` without a limit.
    pub(super) link: Option<Arc<SharedLink>>,
    /// Beginning of the kind of the next write that is held.
    pub(super) hold_next: Option<String>,
    held: Vec<Held>,
    revision: u64,
    /// Revision up to which the history has been discarded.
    compacted: u64,
    /// Revision of the copy at each restore.
    restored: Vec<u64>,
    objects: BTreeMap<Key, Stored>,
    /// Texts of odd objects.
    odd: Vec<Vec<u8>>,
    /// Changes since the last compaction.
    history: Vec<Change>,
    /// Changes of the last [`COPY_AGE`].
    undo: VecDeque<Undo>,
}

/// Start of the content of an odd object; its number follows.
const ODD_MARK: &str = "@odd-";

fn object(name: &str, stored: &Stored) -> Value {
    if is_odd(&stored.specification) {
        return stored.specification.clone();
    }
    json!({
        "metadata": {"name": name, "revision": stored.revision, "created": 1, "finalizers": [],
            "deletionRequested": false},
        "specification": stored.specification,
        "status": null
    })
}

fn is_odd(specification: &Value) -> bool {
    let text = specification.as_str();
    text.is_some_and(|t| t.starts_with(ODD_MARK))
}

fn replace_all(text: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    let mut replaced = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some(at) = rest.windows(from.len()).position(|w| w == from) {
        replaced.extend_from_slice(&rest[..at]);
        replaced.extend_from_slice(to);
        rest = &rest[at + from.len()..];
    }
    replaced.extend_from_slice(rest);
    replaced
}

impl State {
    /// Returns the content that stands for an object of which every byte is given.
    pub(super) fn add_odd(&mut self, text: &[u8]) -> Value {
        self.odd.push(text.to_vec());
        Value::String(format!("{ODD_MARK}{}", self.odd.len() - 1))
    }

    /// Returns a response without a body.
    pub(super) fn empty_response(&self, status: u16) -> Response {
        Response::new(status).with("Store-Era", self.era.to_string())
    }

    fn json_response(&self, status: u16, body: &Value) -> Response {
        let response = self.empty_response(status);
        let mut response = response.with("Content-Type", "application/json");
        let mut text = body.to_string().into_bytes();
        for (number, odd) in self.odd.iter().enumerate() {
            let mark = format!("\"{ODD_MARK}{number}\"");
            text = replace_all(&text, mark.as_bytes(), odd);
        }
        response.body = text.into();
        response
    }

    /// Returns whether every request gets a 503.
    pub(super) fn is_unavailable(&self) -> bool {
        self.away || self.fault == StoreFault::Unavailable
    }

    /// Returns how often the store has been restored.
    pub(super) fn restore_count(&self) -> usize {
        self.restored.len()
    }

    /// Discards the history.
    pub(super) fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// Comes back with the state at `at` and begins the next era.
    pub(super) fn restore(&mut self, at: Instant) {
        let kept = self.undo.partition_point(|u| u.at <= at);
        for undo in self.undo.split_off(kept).into_iter().rev() {
            self.revision = undo.revision;
            match undo.before {
                Some(stored) => self.objects.insert(undo.key, stored),
                None => self.objects.remove(&undo.key),
            };
        }
        self.history.retain(|c| c.revision <= self.revision);
        self.compacted = self.compacted.min(self.revision);
        self.restored.push(self.revision);
        self.era += 1;
        self.away = false;
        self.execute_held();
    }

    pub(super) fn list(&self, kind: &str) -> Response {
        let of_kind = self.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<Value> = of_kind.map(|((_, name), s)| object(name, s)).collect();
        self.count_sent(kind, items.len());
        let page = json!({"items": items, "hasMore": false, "at": self.revision});
        self.json_response(200, &page)
    }

    fn count_sent(&self, kind: &str, objects: usize) {
        let mut sent = self.objects_sent.borrow_mut();
        *sent.entry(kind.to_owned()).or_default() += objects as u64;
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Response {
        match self.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(stored) => self.json_response(200, &object(name, stored)),
            None => self.empty_response(404),
        }
    }

    /// Returns the response to a watch that began after `restores` restores; `None` while there is
    /// nothing to report.
    pub(super) fn poll_watch(&self, kind: &str, since: u64, restores: usize) -> Option<Response> {
        let is_lost = self.restored[restores..].iter().any(|r| since > *r);
        if since < self.compacted || since > self.revision || is_lost {
            return Some(self.empty_response(410));
        }
        if self.is_unavailable() {
            return Some(self.empty_response(503));
        }
        let is_new = |c: &&Change| c.revision > since && c.kind == kind;
        let changes = self.history.iter().filter(is_new);
        let events: Vec<Value> = changes
            .map(|c| json!({"removed": c.removed, "object": c.object}))
            .collect();
        self.count_sent(kind, events.len());
        (!events.is_empty()).then(|| self.watch_response(&events))
    }

    /// Returns the response to a watch with these events.
    pub(super) fn watch_response(&self, events: &[Value]) -> Response {
        self.json_response(200, &json!({"events": events, "at": self.revision}))
    }

    /// Executes a write if its condition holds.
    pub(super) fn execute(&mut self, write: &Write) -> Response {
        let response = self.execute_one(write);
        self.execute_held();
        response
    }

    fn execute_one(&mut self, write: &Write) -> Response {
        let key = (write.kind.clone(), write.name.clone());
        let found = self.objects.get(&key);
        if !is_met(write.condition, found) {
            return match found {
                Some(stored) => self.json_response(409, &object(&write.name, stored)),
                None => self.empty_response(404),
            };
        }
        let Some(specification) = &write.specification else {
            self.remove(key);
            return self.json_response(200, &json!({}));
        };
        if found.is_none_or(|f| f.specification != *specification) {
            self.put(key.clone(), specification.clone());
        }
        let stored = &self.objects[&key];
        self.json_response(200, &object(&write.name, stored))
    }

    fn put(&mut self, key: Key, specification: Value) {
        let revision = self.next_revision(&key);
        let stored = Stored {
            specification,
            revision,
        };
        let written = object(&key.1, &stored);
        let before = self.objects.insert(key.clone(), stored);
        self.record(key, revision, written, before);
    }

    fn remove(&mut self, key: Key) {
        let revision = self.revision + 1;
        if let Some(stored) = self.objects.remove(&key) {
            let removed = object(&key.1, &stored);
            self.record(key, revision, removed, Some(stored));
        }
    }

    fn record(&mut self, key: Key, revision: u64, object: Value, before: Option<Stored>) {
        let at = Instant::now();
        self.history.push(Change {
            revision,
            kind: key.0.clone(),
            removed: !self.objects.contains_key(&key),
            object,
        });
        self.undo.push_back(Undo {
            at,
            key,
            before,
            revision: self.revision,
        });
        let expired = self
            .undo
            .partition_point(|u| at.duration_since(u.at) > COPY_AGE);
        self.undo.drain(..expired);
        self.revision = revision;
    }

    /// Returns the next revision; the one that a held write of the object waits for, if that is
    /// later, as if other objects had been written in between.
    fn next_revision(&self, key: &Key) -> u64 {
        let next = self.revision + 1;
        let of_key = self
            .held
            .iter()
            .filter(|h| (&h.write.kind, &h.write.name) == (&key.0, &key.1) && h.era < self.era);
        let awaited = of_key.filter_map(|h| match h.write.condition {
            Condition::Revision(revision) => Some(revision),
            Condition::Absent | Condition::Present => None,
        });
        awaited.filter(|r| *r >= next).min().unwrap_or(next)
    }

    /// Holds a write until its condition holds in a later era.
    pub(super) fn hold(&mut self, write: Write) {
        let era = self.era;
        self.held.push(Held { era, write });
    }

    /// Returns the number of held writes.
    pub(super) fn held_count(&self) -> usize {
        self.held.len()
    }

    fn execute_held(&mut self) {
        loop {
            let due = self.held.iter().position(|h| {
                let key = (h.write.kind.clone(), h.write.name.clone());
                h.era < self.era && is_met(h.write.condition, self.objects.get(&key))
            });
            let Some(due) = due else { return };
            let held = self.held.remove(due);
            self.execute_one(&held.write);
        }
    }
}

fn is_met(condition: Condition, found: Option<&Stored>) -> bool {
    match condition {
        Condition::Absent => found.is_none(),
        Condition::Present => found.is_some(),
        Condition::Revision(revision) => found.is_some_and(|f| f.revision == revision),
    }
}
