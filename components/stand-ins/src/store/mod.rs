//! Stand-in for the platform's object store: revisions, conditional writes, watches, and restores
//! from a snapshot.

mod call;
mod config;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http1::request::Request;
use http1::response::Response;
use serde_json::Value;

use self::call::{Call, Condition, Write};
use self::state::State;
use crate::http;

/// Fault injected into the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every request gets a 503, open watches included.
    Unavailable,
    /// Requests are handled after this delay.
    Slow(Duration),
    /// Every second write is executed, but its connection is closed without a response.
    LoseResponses,
    /// Every second write gets no response, and is executed after this delay if its condition
    /// holds then.
    DelayWrites(Duration),
}

/// What becomes of a write.
enum Fate {
    Executed,
    ResponseLost,
    Delayed(Duration),
    Held,
}

/// The store; clones share its objects.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store in era 0.
    #[must_use]
    pub fn start(address: SocketAddr) -> Self {
        Self::start_in_era(address, 0)
    }

    /// Starts an empty store in this era.
    #[must_use]
    pub fn start_in_era(address: SocketAddr, era: u64) -> Self {
        let store = Self {
            state: Arc::default(),
            address,
        };
        store.lock().era = era;
        let handler_store = store.clone();
        let handler: http::Handler = Arc::new(move |request| handler_store.reply(request));
        // The acceptor is dropped without being closed: the store listens until the process ends.
        let _ = http::serve(address, handler);
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no panic under the lock")
    }

    fn notify(&self) {
        self.state.1.notify_all();
    }

    /// Switches between [`StoreFault::Unavailable`] and no fault.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.set_fault(if unavailable {
            StoreFault::Unavailable
        } else {
            StoreFault::None
        });
    }

    /// Limits the rate at which all responses together are sent, in bytes per second.
    pub fn set_link_rate(&self, rate: f64) {
        self.lock().link = Some(Arc::new(http::SharedLink::new(rate)));
    }

    /// Returns how many objects of a kind all responses to lists and watches have held.
    #[must_use]
    pub fn objects_sent(&self, kind: &str) -> u64 {
        let state = self.lock();
        let sent = state.objects_sent.borrow().get(kind).copied();
        sent.unwrap_or(0)
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
        self.notify();
    }

    /// Returns the injected fault.
    #[must_use]
    pub fn fault(&self) -> StoreFault {
        self.lock().fault
    }

    /// Discards the history: a watch from an earlier revision gets a 410.
    pub fn compact(&self) {
        self.lock().compact();
    }

    /// Makes the store unavailable until it is restored, whatever other fault it has.
    pub fn go_away(&self) {
        self.lock().away = true;
        self.notify();
    }

    /// Returns whether [`Self::go_away`] has made the store unavailable.
    #[must_use]
    pub fn is_away(&self) -> bool {
        self.lock().away
    }

    /// Comes back from the copy that it had `age` ago and begins the next era.
    ///
    /// Objects, history and revision are those of the copy; a watch from a revision that it does not
    /// have gets a 410.
    pub fn restore(&self, age: Duration) {
        if let Some(at) = Instant::now().checked_sub(age) {
            self.restore_to(at);
        }
    }

    /// Like [`Self::restore`], with the time of the copy.
    pub fn restore_to(&self, at: Instant) {
        self.lock().restore(at);
        self.notify();
    }

    /// Holds the next write of an object whose kind begins with `kind`.
    ///
    /// It gets no response, and is executed as soon as its condition holds in a later era. Once that
    /// has begun, the object's next revision is the one that the write waits for, if possible.
    pub fn hold_next_write(&self, kind: &str) {
        self.lock().hold_next = Some(kind.to_owned());
    }

    /// Returns the number of writes that are held.
    #[must_use]
    pub fn held_writes(&self) -> usize {
        self.lock().held_count()
    }

    /// Returns the number of write requests for objects of a kind.
    #[must_use]
    pub fn writes_of(&self, kind: &str) -> u64 {
        let state = self.lock();
        state.writes_by_kind.get(kind).copied().unwrap_or(0)
    }

    /// Writes an object of another writer: wherever the object named `name` is sent, `text` is sent in
    /// its place.
    pub fn write_odd(&self, kind: &str, name: &str, text: &[u8]) {
        let mark = self.lock().add_odd(text);
        self.write(kind, name, mark);
    }

    /// Writes an object without checking its revision.
    pub fn write(&self, kind: &str, name: &str, specification: Value) {
        let mut write = Write {
            kind: kind.to_owned(),
            name: name.to_owned(),
            condition: Condition::Present,
            specification: Some(specification),
        };
        let mut state = self.lock();
        if state.execute(&write).status == 404 {
            write.condition = Condition::Absent;
            state.execute(&write);
        }
        self.notify();
    }

    /// Removes an object without checking its revision; does nothing if there is none.
    pub fn remove(&self, kind: &str, name: &str) {
        let write = Write {
            kind: kind.to_owned(),
            name: name.to_owned(),
            condition: Condition::Present,
            specification: None,
        };
        self.lock().execute(&write);
        self.notify();
    }

    fn reply(&self, request: &Request) -> http::Reply {
        let response = self.handle(request);
        let link = self.lock().link.clone();
        match (response, link) {
            (Some(response), Some(link)) => http::Reply::Paced(Box::new(response), link),
            (response, _) => response.into(),
        }
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if let StoreFault::Slow(delay) = self.fault() {
            std::thread::sleep(delay);
        }
        if let Some(refusal) = self.refusal() {
            return Some(refusal);
        }
        match Call::decode(request)? {
            Call::Watch {
                kind,
                since,
                timeout,
            } => Some(self.watch(&kind, since, timeout)),
            Call::List { kind } => Some(self.lock().list(&kind)),
            Call::Get { kind, name } => Some(self.lock().get(&kind, &name)),
            Call::Write(write) => self.on_write(write),
        }
    }

    fn refusal(&self) -> Option<Response> {
        let state = self.lock();
        state.is_unavailable().then(|| state.empty_response(503))
    }

    fn on_write(&self, write: Write) -> Option<Response> {
        let mut state = self.lock();
        *state.writes_by_kind.entry(write.kind.clone()).or_default() += 1;
        let fate = state.next_fate(&write);
        match fate {
            Fate::Executed | Fate::ResponseLost => {
                let response = state.execute(&write);
                self.notify();
                matches!(fate, Fate::Executed).then_some(response)
            }
            Fate::Delayed(delay) => {
                let store = self.clone();
                std::thread::spawn(move || store.execute_late(&write, delay));
                None
            }
            Fate::Held => {
                state.hold(write);
                None
            }
        }
    }

    fn execute_late(&self, write: &Write, delay: Duration) {
        std::thread::sleep(delay);
        let mut state = self.lock();
        while state.is_unavailable() {
            state = self.state.1.wait(state).expect("no panic under the lock");
        }
        state.execute(write);
        self.notify();
    }

    fn watch(&self, kind: &str, since: u64, timeout: Duration) -> Response {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        let restores = state.restore_count();
        loop {
            if let Some(response) = state.poll_watch(kind, since, restores) {
                return response;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return state.watch_response(&[]);
            }
            let wait_result = self.state.1.wait_timeout(state, remaining);
            state = wait_result.expect("no panic under the lock").0;
        }
    }
}

impl State {
    fn next_fate(&mut self, write: &Write) -> Fate {
        if self
            .hold_next
            .as_ref()
            .is_some_and(|k| write.kind.starts_with(k))
        {
            self.hold_next = None;
            return Fate::Held;
        }
        self.writes += 1;
        match self.fault {
            StoreFault::LoseResponses if self.writes.is_multiple_of(2) => Fate::ResponseLost,
            StoreFault::DelayWrites(delay) if self.writes.is_multiple_of(2) => Fate::Delayed(delay),
            _ => Fate::Executed,
        }
    }
}
