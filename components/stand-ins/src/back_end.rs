//! Stand-in of a back end: it sends heartbeats, holds keys and runs requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http1::request::Request;
use http1::response::Response;
use serde_json::{Value, json};

use crate::http;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Time that a request to a slow path takes.
const SLOW_TIME: Duration = Duration::from_millis(1_500);
/// Time that a request to a stuck path takes, longer than anybody waits.
const STUCK_TIME: Duration = Duration::from_secs(30);
/// Requests that a back end runs at once.
const SLOTS: u32 = 8;

/// A held run of keys and its fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Rises with each change of holder.
    pub fence: u64,
}

impl Grant {
    /// Whether both have a key in common.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        self.from <= other.to && other.from <= self.to
    }

    fn covers(&self, other: &Self) -> bool {
        self.from <= other.from && other.to <= self.to
    }
}

/// Hears of what back ends do, to check it.
pub trait Observer: Send + Sync + 'static {
    /// A back end begins to run a request.
    fn on_run(&self, _back_end: &str, _request: &str) {}

    /// A boot of a back end holds these keys until `until`, and no others.
    fn on_grants(&self, _back_end: &str, _born: u64, _grants: &[Grant], _until: Instant) {}

    /// A boot of a back end has ended.
    fn on_end(&self, _back_end: &str, _born: u64) {}
}

/// Heeds nothing.
pub struct Unobserved;

impl Observer for Unobserved {}

#[derive(Default)]
struct Keys {
    grants: Vec<Grant>,
    freed: Vec<(u16, u16, String)>,
    until: Option<Instant>,
}

impl Keys {
    fn expire(&mut self) {
        if self.until.is_some_and(|until| until <= Instant::now()) {
            self.grants.clear();
        }
    }
}

/// Where a back end is and what it offers.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
    /// The address that its heartbeats tell.
    pub told_address: SocketAddr,
    /// Where its heartbeats go.
    pub heartbeats: SocketAddr,
}

struct State {
    place: Place,
    born: u64,
    observer: Arc<dyn Observer>,
    gone: AtomicBool,
    silent: AtomicBool,
    draining: AtomicBool,
    drain_confirmed: AtomicBool,
    orders: AtomicU64,
    keys: Mutex<Keys>,
}

/// One boot of a back end.
pub struct BackEnd {
    state: Arc<State>,
    server: http::Acceptor,
}

impl BackEnd {
    /// Starts a back end.
    #[must_use]
    pub fn start(place: Place, born: u64, observer: Arc<dyn Observer>) -> Self {
        let state = Arc::new(State {
            place,
            born,
            observer,
            gone: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drain_confirmed: AtomicBool::new(false),
            orders: AtomicU64::new(0),
            keys: Mutex::default(),
        });
        let served = Arc::clone(&state);
        let handler: http::Handler = Arc::new(move |request| served.run(request));
        let server = http::serve(state.place.address, handler);
        let beating = Arc::clone(&state);
        std::thread::spawn(move || beating.beat());
        Self { state, server }
    }

    /// Loses the back end's machine: it answers nothing any more.
    pub fn end(&self) {
        let state = &self.state;
        let _keys = state.keys();
        state.gone.store(true, Ordering::SeqCst);
        state.observer.on_end(&state.place.id, state.born);
    }

    /// Ends the back end's process: nobody listens any more.
    pub fn crash(&self) {
        self.end();
        self.server.close();
    }

    /// Lets it send no heartbeats for a while.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.store(silent, Ordering::SeqCst);
    }

    /// Says that it leaves for good, and serves on.
    ///
    /// # Errors
    /// Fails if the process beside it does not answer.
    pub fn deregister(&self) -> std::io::Result<()> {
        let place = &self.state.place;
        let text = format!(
            "POST /plantaingauge/Instances.Deregister/{} HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
            place.id
        );
        http::call(place.heartbeats, &text, Duration::from_secs(1)).map(drop)
    }

    /// Announces that it leaves, and waits until that is confirmed.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::SeqCst);
        while !self.state.drain_confirmed.load(Ordering::SeqCst) {
            std::thread::sleep(HEARTBEAT / 4);
        }
    }

    /// Number of orders that it has run.
    #[must_use]
    pub fn orders(&self) -> u64 {
        self.state.orders.load(Ordering::SeqCst)
    }
}

impl State {
    fn keys(&self) -> MutexGuard<'_, Keys> {
        self.keys.lock().expect("no panic under the lock")
    }

    fn is_gone(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    fn holds(&self, key: u16) -> bool {
        let keys = self.keys();
        let valid = keys.until.is_some_and(|until| Instant::now() < until);
        valid && keys.grants.iter().any(|g| (g.from..=g.to).contains(&key))
    }

    fn run(&self, request: &Request) -> Option<Response> {
        if self.is_gone() {
            return None;
        }
        let text = |name| request.headers.text(name).unwrap_or_default().to_owned();
        let path = request.path();
        let key: Option<u16> = request
            .headers
            .text("Shard-Key")
            .and_then(|t| t.parse().ok());
        let foreign = text("Expect-Instance") != self.place.id;
        let unheld = self.place.service == "lists" && !key.is_some_and(|k| self.holds(k));
        if foreign || unheld {
            return Some(Response::new(421).with("Not-Executed", "1"));
        }
        self.observer.on_run(&self.place.id, &text("Request-Id"));
        if path.starts_with("/orders/") {
            self.orders.fetch_add(1, Ordering::SeqCst);
        }
        if path.ends_with("/cut/") {
            return None;
        }
        if path.ends_with("/slow/") {
            std::thread::sleep(SLOW_TIME);
        }
        if path.ends_with("/late-cut/") {
            std::thread::sleep(SLOW_TIME);
            return None;
        }
        if path.ends_with("/stuck/") {
            std::thread::sleep(STUCK_TIME);
        }
        let mut response = Response::new(200)
            .with("Request-Id", text("Request-Id"))
            .with("Response-Stamp", "0.1.2")
            .with("X-Caller", text("Caller-Service"))
            .with("X-Back-End", self.place.id.clone());
        response.body = format!("answer to {path}").into();
        Some(response)
    }

    fn beat(&self) {
        let mut sequence = 0;
        while !self.is_gone() {
            if self.silent.load(Ordering::SeqCst) {
                std::thread::sleep(HEARTBEAT);
                continue;
            }
            sequence += 1;
            let sent = Instant::now();
            let draining = self.draining.load(Ordering::SeqCst);
            let report = self.report(sequence, draining);
            let text = format!(
                "POST /plantaingauge/Instances.Heartbeat/{} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{report}",
                self.place.id,
                report.len()
            );
            if let Ok(response) = http::call(self.place.heartbeats, &text, Duration::from_secs(1))
                && response.status == 200
            {
                self.take(sent, &response.body);
                self.drain_confirmed.fetch_or(draining, Ordering::SeqCst);
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn report(&self, sequence: u64, draining: bool) -> String {
        let mut keys = self.keys();
        keys.expire();
        let holds: Vec<Value> = keys
            .grants
            .iter()
            .map(|g| json!([g.from, g.to, g.fence]))
            .collect();
        json!({
            "service": self.place.service, "address": self.place.told_address, "zone": "z",
            "version": "v1", "slots": SLOTS, "state": if draining { "draining" } else { "ready" },
            "coldRemainingMs": 0, "sequence": sequence, "born": self.born,
            "holds": holds, "freed": keys.freed
        })
        .to_string()
    }

    fn take(&self, sent: Instant, body: &[u8]) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut keys = self.keys();
        if self.is_gone() {
            return;
        }
        keys.freed.clear();
        keys.expire();
        let Some(rows) = value["holds"].as_array() else {
            return;
        };
        let granted: Vec<Grant> = rows.iter().filter_map(decode_grant).collect();
        let freed: Vec<Grant> = keys
            .grants
            .iter()
            .filter(|old| !granted.iter().any(|g| g.covers(old) || g.overlaps(old)))
            .copied()
            .collect();
        for old in freed {
            keys.freed
                .push((old.from, old.to, format!("h{}", old.fence)));
        }
        let hold = Duration::from_millis(value["holdMs"].as_u64().unwrap_or(0));
        let until = sent + hold;
        let born = self.born;
        self.observer
            .on_grants(&self.place.id, born, &granted, until);
        keys.grants = granted;
        keys.until = Some(until);
    }
}

fn decode_grant(row: &Value) -> Option<Grant> {
    let number = |i: usize| row[i].as_u64();
    Some(Grant {
        from: u16::try_from(number(0)?).ok()?,
        to: u16::try_from(number(1)?).ok()?,
        fence: number(2)?,
    })
}
