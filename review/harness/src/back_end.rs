//! Stand-in for a back end, as the protocol page describes it: it sends check-ins, holds keys, and
//! runs a request only if that names its id, a slot is free and, if its service is divided by key,
//! it holds the key.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http1::request::Request;
use http1::response::Response;
use serde_json::{Value, json};
use stand_ins::http;

use crate::record::Record;
use crate::server::{Reply, Server};

/// Time for which a check-in waits for its confirmation.
const CHECK_IN_TIMEOUT: Duration = Duration::from_secs(1);

/// Milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(0)
}

/// How a back end is ill.
#[derive(Clone, Copy, Debug)]
pub struct Ailment {
    /// Of a thousand requests, how many it sheds.
    pub shed: u64,
    /// Of a thousand answers, how many it sends a second time, late.
    pub again: u64,
}

/// What a back end is.
#[derive(Clone, Debug)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Address of the node for check-ins.
    pub control: SocketAddr,
    pub slots: usize,
    pub heartbeat: Duration,
    /// Whether its service is divided by key.
    pub sharded: bool,
    /// Running time of a request.
    pub work: Duration,
    /// Length of a response's body.
    pub answer_bytes: usize,
    /// Value of `Server-Limit` in its answers.
    pub limit: Option<&'static str>,
    /// Whether it sheds part of its requests and sends part of its answers twice.
    pub ailing: Option<Ailment>,
}

/// The start of a request at a back end.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub request: String,
    pub service: String,
    pub caller: String,
}

/// Keys held from `since` to `until`.
#[derive(Clone, Debug)]
pub struct Hold {
    pub from: u64,
    pub to: u64,
    pub fence: u64,
    pub since: Instant,
    pub until: Instant,
}

#[derive(Default)]
struct Keys {
    /// All holds so far; those in force are the ones with an end in the future.
    holds: Vec<Hold>,
    freed: Vec<(u64, u64, String)>,
}

pub struct BackEnd {
    pub config: Config,
    born: u64,
    running: Mutex<usize>,
    /// Number of answers so far.
    answers: AtomicU64,
    /// Whether its ailment shows now.
    pub is_ill: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    keys: Mutex<Keys>,
    /// Number of the next check-in.
    sequence: AtomicU64,
    /// Whether it has said that it leaves.
    has_left: AtomicBool,
    /// Whether its check-ins say `draining`.
    pub draining: AtomicBool,
    /// Number of check-ins with that state that were confirmed.
    pub drain_confirmed: AtomicU64,
    server: OnceLock<Server>,
    record: Record,
}

impl BackEnd {
    pub fn start(config: Config, record: &Record) -> Arc<Self> {
        Self::start_born(config, record, unix_ms())
    }

    /// Starts a boot whose `born` is that of a clock which may have been set.
    pub fn start_born(config: Config, record: &Record, born: u64) -> Arc<Self> {
        let back_end = Arc::new(Self {
            config,
            born,
            running: Mutex::new(0),
            answers: AtomicU64::new(0),
            is_ill: AtomicBool::new(false),
            runs: Mutex::default(),
            keys: Mutex::default(),
            sequence: AtomicU64::new(1),
            has_left: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drain_confirmed: AtomicU64::new(0),
            server: OnceLock::new(),
            record: record.clone(),
        });
        let handler = Arc::clone(&back_end);
        let server = Server::start(
            back_end.config.address,
            Arc::new(move |request| handler.reply(request)),
        );
        let _ = back_end.server.set(server);
        let check_ins = Arc::clone(&back_end);
        std::thread::spawn(move || check_ins.send_check_ins());
        back_end
    }

    fn header(request: &Request, name: &str) -> String {
        request.headers.text(name).unwrap_or_default().to_owned()
    }

    fn reply(&self, request: &Request) -> Reply {
        let number = self.answers.fetch_add(1, Ordering::SeqCst);
        let is_ill = self.is_ill.load(Ordering::SeqCst);
        let Some(ailment) = self.config.ailing.filter(|_| is_ill) else {
            let response = self.respond(request);
            let again = false;
            return Reply { response, again };
        };
        let part = |salt: u64| scatter(number ^ (salt << 32)) % 1_000;
        let id = Self::header(request, "Request-Id");
        let again = part(1) < ailment.again;
        let response = if part(0) < ailment.shed {
            self.record
                .line(&format!("shed by={} id={id}", self.config.id));
            // As the example of the wire has it, without an id.
            Response::new(503).with("Not-Executed", "1")
        } else {
            self.respond(request)
        };
        if again {
            let status = response.status;
            self.record.line(&format!(
                "late-copy by={} of id={id} status={status}",
                self.config.id
            ));
        }
        Reply { response, again }
    }

    fn respond(&self, request: &Request) -> Response {
        let id = Self::header(request, "Request-Id");
        let not_run = |status: u16, why: &str| {
            self.record.line(&format!(
                "turned-away by={} id={id} status={status} {why}",
                self.config.id
            ));
            Response::new(status)
                .with("Request-Id", id.clone())
                .with("Not-Executed", "1")
        };
        if Self::header(request, "Expect-Instance") != self.config.id {
            return not_run(421, "expects another");
        }
        if self.config.sharded {
            let key = Self::header(request, "Shard-Key").parse().ok();
            if !key.is_some_and(|key| self.holds_key(key)) {
                return not_run(421, "key not held");
            }
        }
        {
            let mut running = self.running.lock().unwrap();
            if *running >= self.config.slots {
                return not_run(503, "full");
            }
            *running += 1;
        }
        let run = Run {
            at: self.record.elapsed(),
            request: id.clone(),
            service: self.config.service.clone(),
            caller: Self::header(request, "Caller-Service"),
        };
        self.record.line(&format!(
            "run by={} id={id} service={} caller={} body={}",
            self.config.id,
            run.service,
            run.caller,
            request.body.len()
        ));
        self.runs.lock().unwrap().push(run);
        std::thread::sleep(self.config.work);
        *self.running.lock().unwrap() -= 1;
        self.record
            .line(&format!("ran by={} id={id}", self.config.id));
        let mut response = Response::new(200)
            .with("Request-Id", id)
            .with("Response-Stamp", "0.1.2");
        if let Some(limit) = self.config.limit {
            response = response.with("Server-Limit", limit);
        }
        response.body = vec![b'x'; self.config.answer_bytes].into();
        response
    }

    fn holds_key(&self, key: u64) -> bool {
        let now = Instant::now();
        let keys = self.keys.lock().unwrap();
        keys.holds
            .iter()
            .any(|h| now < h.until && (h.from..=h.to).contains(&key))
    }

    /// All holds so far.
    pub fn holds(&self) -> Vec<Hold> {
        self.keys.lock().unwrap().holds.clone()
    }

    /// Number of keys held now.
    pub fn held_now(&self) -> u64 {
        let now = Instant::now();
        let holds = self.holds();
        holds
            .iter()
            .filter(|h| now < h.until)
            .map(|h| h.to - h.from + 1)
            .sum()
    }

    fn send_check_ins(&self) {
        while !self.has_left.load(Ordering::SeqCst) {
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
            let sent = Instant::now();
            let is_draining = self.draining.load(Ordering::SeqCst);
            let body = self.check_in(sequence);
            let response = post(self.config.control, &self.check_in_path(), &body);
            let confirmed = response
                .as_ref()
                .is_some_and(|r| (200..300).contains(&r.status));
            if confirmed && is_draining {
                self.drain_confirmed.fetch_add(1, Ordering::SeqCst);
            }
            let mut again = self.config.heartbeat;
            if let Some(response) = response
                && (200..300).contains(&response.status)
                && response.body.len() <= 4_096
                && sent.elapsed() <= CHECK_IN_TIMEOUT
                && self.apply(sent, &response.body)
            {
                again = Duration::from_millis(100);
            }
            std::thread::sleep(again.saturating_sub(sent.elapsed()));
        }
    }

    /// Says that it leaves, as a back end does that never reports `draining`: it sends no further
    /// check-ins and goes on serving. The check-in that it sent last arrives `late`.
    ///
    /// Returns whether leaving was confirmed.
    pub fn deregister(self: &Arc<Self>, late: Duration) -> bool {
        self.has_left.store(true, Ordering::SeqCst);
        let last = self.check_in(self.sequence.fetch_add(1, Ordering::SeqCst));
        let back_end = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(late);
            let answer = post(back_end.config.control, &back_end.check_in_path(), &last);
            let status = answer.map_or(0, |r| r.status);
            let id = &back_end.config.id;
            back_end.record.say(&format!(
                "late check-in of {id} arrived: {last} status={status}"
            ));
        });
        let path = format!("/plantaingauge/Instances.Deregister/{}", self.config.id);
        let body = json!({ "born": self.born }).to_string();
        let answer = post(self.config.control, &path, &body);
        answer.is_some_and(|r| (200..300).contains(&r.status))
    }

    /// Ends the back end: its channels close, also those that carry a request.
    ///
    /// Returns how many requests it was running.
    pub fn exit(&self) -> usize {
        self.has_left.store(true, Ordering::SeqCst);
        let running = *self.running.lock().unwrap();
        if let Some(server) = self.server.get() {
            server.close();
        }
        running
    }

    fn check_in_path(&self) -> String {
        format!("/plantaingauge/Instances.Heartbeat/{}", self.config.id)
    }

    fn check_in(&self, sequence: u64) -> String {
        let now = Instant::now();
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let keys = self.keys.lock().unwrap();
        let holds: Vec<Value> = keys
            .holds
            .iter()
            .filter(|h| now < h.until)
            .map(|h| json!([h.from, h.to, h.fence]))
            .collect();
        json!({
            "service": self.config.service, "address": self.config.address, "zone": "z1",
            "version": "v1", "slots": self.config.slots, "state": state, "coldRemainingMs": 0,
            "sequence": sequence, "born": self.born, "holds": holds, "freed": keys.freed
        })
        .to_string()
    }

    /// Takes what a confirmation grants; returns whether keys were released.
    fn apply(&self, sent: Instant, body: &[u8]) -> bool {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut keys = self.keys.lock().unwrap();
        keys.freed.clear();
        let Some(rows) = value["holds"].as_array() else {
            return false;
        };
        let now = Instant::now();
        let until = sent + Duration::from_millis(value["holdMs"].as_u64().unwrap_or(0));
        let granted: Vec<(u64, u64, u64)> = rows
            .iter()
            .filter_map(|r| Some((r[0].as_u64()?, r[1].as_u64()?, r[2].as_u64()?)))
            .collect();
        let mut freed = Vec::new();
        for hold in keys.holds.iter_mut().filter(|h| now < h.until) {
            if granted.contains(&(hold.from, hold.to, hold.fence)) {
                hold.until = until;
            } else {
                // What is granted anew in other rows is held on; the rest is released.
                for (from, to) in outside((hold.from, hold.to), &granted) {
                    freed.push((from, to, format!("h{}", hold.fence)));
                }
                hold.until = now;
            }
        }
        for (from, to, fence) in granted {
            let known = keys
                .holds
                .iter()
                .any(|h| (h.from, h.to, h.fence) == (from, to, fence) && now < h.until);
            if !known {
                self.record.line(&format!(
                    "grant to={} keys={from}-{to} fence={fence} for_ms={}",
                    self.config.id,
                    until.saturating_duration_since(now).as_millis()
                ));
                keys.holds.push(Hold {
                    from,
                    to,
                    fence,
                    since: now,
                    until,
                });
            }
        }
        let released = !freed.is_empty();
        keys.freed = freed;
        released
    }
}

/// Scatters numbers evenly (the finalizer of SplitMix64).
fn scatter(number: u64) -> u64 {
    let mut n = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// The parts of a span that no granted row covers.
fn outside(span: (u64, u64), granted: &[(u64, u64, u64)]) -> Vec<(u64, u64)> {
    let mut parts = vec![span];
    for (from, to, _) in granted {
        parts = parts
            .into_iter()
            .flat_map(|(a, b)| {
                let mut rest = Vec::new();
                if b < *from || a > *to {
                    rest.push((a, b));
                } else {
                    if a < *from {
                        rest.push((a, from - 1));
                    }
                    if b > *to {
                        rest.push((to + 1, b));
                    }
                }
                rest
            })
            .collect();
    }
    parts
}

/// Posts a JSON body; `None` without a response within a second.
pub fn post(address: SocketAddr, path: &str, body: &str) -> Option<Response> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    http::call(address, &request, CHECK_IN_TIMEOUT).ok()
}
