//! Stand-in for a back end: sends heartbeats, holds keys and runs requests.
//!
//! The end of a request's path selects what else happens: `/slow/` and `/stuck/` run long, `/cut/`
//! and `/late-cut/` lose their response, `/endless-head/` and `/endless-body/` get bytes without end,
//! `/turned-away/` is answered with 421, `/crash/` crashes the
//! back end as it begins to run, `/late-crash/` a moment later. `/signed/STATUS/` and
//! `/unsigned/STATUS/` are answered with that status after they have run, with or without a signature,
//! `/long/` with a body of [`LONG_BODY_BYTES`], `/large/` with one of [`LARGE_BODY_BYTES`].

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

use http1::request::Request;
use http1::response::Response;
use serde_json::{Value, json};

use crate::http::{self, Reply};

/// Pause between the end of one heartbeat exchange and the next.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Running time of a request to a slow path.
const SLOW_DURATION: Duration = Duration::from_millis(1_500);
/// Running time of a request to a stuck path, longer than any caller's timeout.
const STUCK_DURATION: Duration = Duration::from_secs(30);
/// Time from the start of a request to a late-crash path to the crash.
const LATE_CRASH_DELAY: Duration = Duration::from_millis(100);
/// Ends of paths that are answered without end: the first bytes, and those that repeat.
const ENDLESS: [(&str, &[u8], &[u8]); 2] = [
    (
        "/endless-head/",
        b"HTTP/1.1 200 OK\r\n",
        b"X-Filler: filler\r\n",
    ),
    ("/endless-body/", b"HTTP/1.1 200 OK\r\n\r\n", b"filler"),
];
/// Length of the body of a response to a long path, more than the buffers of a connection hold.
pub const LONG_BODY_BYTES: usize = 14_000_000;
/// Length of the body of a response to a large path, the largest that a download is expected to have.
pub const LARGE_BODY_BYTES: usize = 540_000;
/// Number of requests that a back end announces it can run at once.
const SLOTS: u32 = 8;

/// A range of keys granted to a back end, with its fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// First key of the range.
    pub from: u16,
    /// Last key of the range, inclusive.
    pub to: u16,
    /// Fencing token; increases with each change of holder.
    pub fence: u64,
}

impl Grant {
    /// Returns whether the two ranges have a key in common.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        self.from <= other.to && other.from <= self.to
    }

    fn covers(&self, other: &Self) -> bool {
        self.from <= other.from && other.to <= self.to
    }
}

/// Receives the events of back ends, so that a test can check them.
pub trait Observer: Send + Sync + 'static {
    /// A back end receives the request with id `_request`, which it may turn away.
    fn on_arrival(&self, _back_end: &str, _request: &str) {}

    /// A back end starts to run the request with id `_request`.
    fn on_execute(&self, _back_end: &str, _request: &str) {}

    /// An incarnation of a back end holds exactly these grants until `_expires_at`.
    fn on_grants(&self, _back_end: &str, _born: u64, _grants: &[Grant], _expires_at: Instant) {}

    /// An incarnation of a back end has ended and holds no keys.
    fn on_exit(&self, _back_end: &str, _born: u64) {}
}

/// Ignores all events.
pub struct NoopObserver;

impl Observer for NoopObserver {}

#[derive(Default)]
struct HeldKeys {
    grants: Vec<Grant>,
    released: Vec<(u16, u16, String)>,
    expires_at: Option<Instant>,
}

impl HeldKeys {
    fn expire(&mut self) {
        if self.expires_at.is_some_and(|at| at <= Instant::now()) {
            self.grants.clear();
        }
    }
}

/// Identity, service and addresses of a back end.
#[derive(Clone, Debug)]
pub struct BackEndConfig {
    /// Instance id.
    pub id: String,
    /// Service that it offers.
    pub service: &'static str,
    /// Availability zone that its heartbeats name.
    pub zone: String,
    /// Address that it listens on.
    pub listen_address: SocketAddr,
    /// Address that its heartbeats announce.
    pub advertised_address: SocketAddr,
    /// Address that it sends its heartbeats to.
    pub heartbeat_address: SocketAddr,
}

/// When the back end is cold, and what it got then.
#[derive(Default)]
struct ColdTime {
    until: Option<Instant>,
    /// When it began to run requests while it was cold.
    executions: Vec<Instant>,
}

impl ColdTime {
    /// Returns how long it stays cold.
    fn remaining(&self) -> Duration {
        let now = Instant::now();
        let left = self.until.map(|until| until.saturating_duration_since(now));
        left.unwrap_or_default()
    }
}

struct State {
    config: BackEndConfig,
    born: u64,
    observer: Arc<dyn Observer>,
    halted: AtomicBool,
    heartbeats_paused: AtomicBool,
    draining: AtomicBool,
    drain_confirmed: AtomicBool,
    order_count: AtomicU64,
    /// Value of the header with its limit; `None` leaves the header out.
    limit: Mutex<Option<String>>,
    leaving: AtomicBool,
    cold: Mutex<ColdTime>,
    /// Value of the header with its load; `None` leaves the header out.
    load: Mutex<Option<String>>,
    keys: Mutex<HeldKeys>,
    server: OnceLock<http::Acceptor>,
}

/// One incarnation of a back end.
pub struct BackEnd {
    state: Arc<State>,
}

impl BackEnd {
    /// Starts a back end; `born` distinguishes the incarnations of one id.
    #[must_use]
    pub fn start(config: BackEndConfig, born: u64, observer: Arc<dyn Observer>) -> Self {
        let state = Arc::new(State {
            config,
            born,
            observer,
            halted: AtomicBool::new(false),
            heartbeats_paused: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drain_confirmed: AtomicBool::new(false),
            order_count: AtomicU64::new(0),
            limit: Mutex::default(),
            leaving: AtomicBool::new(false),
            cold: Mutex::default(),
            load: Mutex::default(),
            keys: Mutex::default(),
            server: OnceLock::new(),
        });
        let handler_state = Arc::clone(&state);
        let handler: http::Handler = Arc::new(move |request| handler_state.reply(request));
        let server = http::serve(state.config.listen_address, handler);
        let _ = state.server.set(server);
        let heartbeat_state = Arc::clone(&state);
        std::thread::spawn(move || heartbeat_state.send_heartbeats());
        Self { state }
    }

    /// Halts the back end as if its machine were lost.
    ///
    /// It sends no heartbeats and closes connections without a response; its port stays bound.
    pub fn halt(&self) {
        self.state.halt();
    }

    /// Halts the back end and closes its listener, as if its process had crashed.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Returns whether it was halted, or crashed by [`Self::crash`] or by a request to a crash path.
    #[must_use]
    pub fn is_halted(&self) -> bool {
        self.state.is_halted()
    }

    /// Suspends or resumes its heartbeats.
    pub fn set_heartbeats_paused(&self, paused: bool) {
        self.state.heartbeats_paused.store(paused, Ordering::SeqCst);
    }

    /// Deregisters the back end, which continues to serve requests; returns the status of the response.
    ///
    /// # Errors
    /// Fails if the node at the heartbeat address does not respond within a second.
    pub fn deregister(&self) -> std::io::Result<u16> {
        let config = &self.state.config;
        let request = format!(
            "POST /plantaingauge/Instances.Deregister/{} HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
            config.id
        );
        let response = http::call(config.heartbeat_address, &request, Duration::from_secs(1));
        response.map(|r| r.status)
    }

    /// Announces that it is draining and blocks until a heartbeat with that state is confirmed.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::SeqCst);
        while !self.state.drain_confirmed.load(Ordering::SeqCst) {
            std::thread::sleep(HEARTBEAT_INTERVAL / 4);
        }
    }

    /// Sets the limit in requests a second that its responses name, as text; `None` names none.
    pub fn set_limit(&self, limit: Option<&str>) {
        let mut current = self.state.limit.lock().expect("no panic under the lock");
        *current = limit.map(ToOwned::to_owned);
    }

    /// Sets whether its responses say that it leaves; its heartbeats do not say it.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Makes it cold for a time, as its heartbeats and responses say from now on.
    pub fn set_cold(&self, duration: Duration) {
        self.state.lock_cold().until = Some(Instant::now() + duration);
    }

    /// Returns when it began to run requests while it was cold.
    #[must_use]
    pub fn cold_executions(&self) -> Vec<Instant> {
        self.state.lock_cold().executions.clone()
    }

    /// Returns the most requests that it got in any second while it was cold.
    #[must_use]
    pub fn most_in_a_cold_second(&self) -> usize {
        let executions = self.cold_executions();
        let counts = executions.iter().map(|from| {
            let second = *from..*from + Duration::from_secs(1);
            executions.iter().filter(|at| second.contains(at)).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Sets the load that its responses name, as text; `None` names none.
    pub fn set_load(&self, load: Option<&str>) {
        let mut current = self.state.load.lock().expect("no panic under the lock");
        *current = load.map(ToOwned::to_owned);
    }

    /// Returns the number of orders started so far.
    #[must_use]
    pub fn order_count(&self) -> u64 {
        self.state.order_count.load(Ordering::SeqCst)
    }
}

impl State {
    fn lock_keys(&self) -> MutexGuard<'_, HeldKeys> {
        self.keys.lock().expect("no panic under the lock")
    }

    fn lock_cold(&self) -> MutexGuard<'_, ColdTime> {
        self.cold.lock().expect("no panic under the lock")
    }

    fn is_halted(&self) -> bool {
        self.halted.load(Ordering::SeqCst)
    }

    fn halt(&self) {
        let _keys = self.lock_keys();
        self.halted.store(true, Ordering::SeqCst);
        self.observer.on_exit(&self.config.id, self.born);
    }

    fn crash(&self) {
        self.halt();
        // `None` only while `BackEnd::start` has not returned.
        if let Some(server) = self.server.get() {
            server.close();
        }
    }

    fn holds(&self, key: u16) -> bool {
        let keys = self.lock_keys();
        let unexpired = keys.expires_at.is_some_and(|at| Instant::now() < at);
        unexpired && keys.grants.iter().any(|g| (g.from..=g.to).contains(&key))
    }

    fn reply(&self, request: &Request) -> Reply {
        let response = self.handle(request);
        let path = request.path();
        let endless = ENDLESS.iter().find(|(end, ..)| path.ends_with(end));
        match endless.filter(|_| response.is_some()) {
            Some((_, start, part)) => Reply::Endless(start, part),
            None => response.into(),
        }
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        let mut response = self.respond(request)?;
        let limit = self.limit.lock().expect("no panic under the lock").clone();
        if let Some(limit) = limit {
            response = response.with("Server-Limit", limit);
        }
        let load = self.load.lock().expect("no panic under the lock").clone();
        if let Some(load) = load {
            response = response.with("Server-Load", load);
        }
        let cold = self.lock_cold().remaining();
        if !cold.is_zero() {
            response = response.with("Cold-Ms", cold.as_millis().to_string());
        }
        if self.leaving.load(Ordering::SeqCst) {
            response = response.with("Server-Leaving", "1");
        }
        Some(response)
    }

    fn respond(&self, request: &Request) -> Option<Response> {
        if self.is_halted() {
            return None;
        }
        let header = |name| request.headers.text(name).unwrap_or_default().to_owned();
        let path = request.path();
        let key: Option<u16> = request
            .headers
            .text("Shard-Key")
            .and_then(|t| t.parse().ok());
        self.observer
            .on_arrival(&self.config.id, &header("Request-Id"));
        let wrong_instance = header("Expect-Instance") != self.config.id;
        let key_not_held = self.config.service == "lists" && !key.is_some_and(|k| self.holds(k));
        if wrong_instance || key_not_held || path.ends_with("/turned-away/") {
            return Some(Response::new(421).with("Not-Executed", "1"));
        }
        self.observer
            .on_execute(&self.config.id, &header("Request-Id"));
        let mut cold = self.lock_cold();
        if !cold.remaining().is_zero() {
            cold.executions.push(Instant::now());
        }
        drop(cold);
        if path.starts_with("/orders/") {
            self.order_count.fetch_add(1, Ordering::SeqCst);
        }
        if path.ends_with("/late-crash/") {
            std::thread::sleep(LATE_CRASH_DELAY);
        }
        if path.ends_with("/crash/") || path.ends_with("/late-crash/") {
            self.crash();
            return None;
        }
        if path.ends_with("/cut/") {
            return None;
        }
        if path.ends_with("/slow/") {
            std::thread::sleep(SLOW_DURATION);
        }
        if path.ends_with("/late-cut/") {
            std::thread::sleep(SLOW_DURATION);
            return None;
        }
        if path.ends_with("/stuck/") {
            std::thread::sleep(STUCK_DURATION);
        }
        let (status, is_signed) = stated_response(path).unwrap_or((200, true));
        let mut response = Response::new(status)
            .with("Request-Id", header("Request-Id"))
            .with("X-Caller", header("Caller-Service"))
            .with("X-Back-End", self.config.id.clone());
        if is_signed {
            response = response.with("Response-Stamp", "0.1.2");
        }
        response.body = if path.ends_with("/long/") {
            vec![b'x'; LONG_BODY_BYTES].into()
        } else if path.ends_with("/large/") {
            vec![b'x'; LARGE_BODY_BYTES].into()
        } else {
            format!("answer to {path}").into()
        };
        Some(response)
    }

    fn send_heartbeats(&self) {
        let mut sequence = 0;
        while !self.is_halted() {
            if self.heartbeats_paused.load(Ordering::SeqCst) {
                std::thread::sleep(HEARTBEAT_INTERVAL);
                continue;
            }
            sequence += 1;
            let sent_at = Instant::now();
            let draining = self.draining.load(Ordering::SeqCst);
            let heartbeat = self.encode_heartbeat(sequence, draining);
            let request = format!(
                "POST /plantaingauge/Instances.Heartbeat/{} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{heartbeat}",
                self.config.id,
                heartbeat.len()
            );
            if let Ok(response) = http::call(
                self.config.heartbeat_address,
                &request,
                Duration::from_secs(1),
            ) && response.status == 200
            {
                self.apply_grants(sent_at, &response.body);
                self.drain_confirmed.fetch_or(draining, Ordering::SeqCst);
            }
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn encode_heartbeat(&self, sequence: u64, draining: bool) -> String {
        let mut keys = self.lock_keys();
        keys.expire();
        let holds: Vec<Value> = keys
            .grants
            .iter()
            .map(|g| json!([g.from, g.to, g.fence]))
            .collect();
        let cold_ms = self.lock_cold().remaining().as_secs_f64() * 1e3;
        json!({
            "service": self.config.service, "address": self.config.advertised_address, "zone": self.config.zone,
            "version": "v1", "slots": SLOTS, "state": if draining { "draining" } else { "ready" },
            "coldRemainingMs": cold_ms, "sequence": sequence, "born": self.born,
            "holds": holds, "freed": keys.released
        })
        .to_string()
    }

    fn apply_grants(&self, sent_at: Instant, body: &[u8]) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut keys = self.lock_keys();
        if self.is_halted() {
            return;
        }
        keys.released.clear();
        keys.expire();
        let Some(rows) = value["holds"].as_array() else {
            return;
        };
        let granted: Vec<Grant> = rows.iter().filter_map(decode_grant).collect();
        let released: Vec<Grant> = keys
            .grants
            .iter()
            .filter(|old| !granted.iter().any(|g| g.covers(old) || g.overlaps(old)))
            .copied()
            .collect();
        for old in released {
            keys.released
                .push((old.from, old.to, format!("h{}", old.fence)));
        }
        let hold_time = Duration::from_millis(value["holdMs"].as_u64().unwrap_or(0));
        let expires_at = sent_at + hold_time;
        let born = self.born;
        self.observer
            .on_grants(&self.config.id, born, &granted, expires_at);
        keys.grants = granted;
        keys.expires_at = Some(expires_at);
    }
}

/// Returns the status that a path asks for, and whether its response is to be signed.
fn stated_response(path: &str) -> Option<(u16, bool)> {
    let (start, status) = path.strip_suffix('/')?.rsplit_once('/')?;
    let status = status.parse().ok()?;
    if start.ends_with("/unsigned") {
        return Some((status, false));
    }
    start.ends_with("/signed").then_some((status, true))
}

fn decode_grant(row: &Value) -> Option<Grant> {
    let number = |i: usize| row[i].as_u64();
    Some(Grant {
        from: u16::try_from(number(0)?).ok()?,
        to: u16::try_from(number(1)?).ok()?,
        fence: number(2)?,
    })
}
