//! Stand-in of a back end: it sends heartbeats, holds keys and runs requests.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http1::answer::Answer;
use http1::request::Request;
use serde_json::{Value, json};

use crate::http;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// A held run of keys and its fence.
type Row = (u16, u16, u64);

#[derive(Default)]
struct Keys {
    rows: Vec<Row>,
    freed: Vec<(u16, u16, String)>,
    until: Option<Instant>,
}

/// A back end.
#[derive(Clone)]
pub(crate) struct BackEnd {
    id: String,
    service: &'static str,
    address: SocketAddr,
    heartbeats: SocketAddr,
    gone: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    drain_confirmed: Arc<AtomicBool>,
    orders: Arc<AtomicU64>,
    keys: Arc<Mutex<Keys>>,
}

impl BackEnd {
    /// Starts a back end at `address` whose heartbeats go to `heartbeats`.
    pub(crate) fn start(
        id: String,
        service: &'static str,
        address: SocketAddr,
        heartbeats: SocketAddr,
    ) -> Self {
        let back_end = Self {
            id,
            service,
            address,
            heartbeats,
            gone: Arc::default(),
            draining: Arc::default(),
            drain_confirmed: Arc::default(),
            orders: Arc::default(),
            keys: Arc::default(),
        };
        let listener = TcpListener::bind(address).expect("a free address");
        let served = back_end.clone();
        http::serve(listener, Arc::new(move |request| served.run(request)));
        let beating = back_end.clone();
        std::thread::spawn(move || beating.beat());
        back_end
    }

    /// Ends the back end: it answers nothing any more.
    pub(crate) fn end(&self) {
        self.gone.store(true, Ordering::SeqCst);
    }

    /// Announces that it leaves, and waits until that is confirmed.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        while !self.drain_confirmed.load(Ordering::SeqCst) {
            std::thread::sleep(HEARTBEAT / 4);
        }
    }

    /// Number of orders that it has run.
    pub(crate) fn orders(&self) -> u64 {
        self.orders.load(Ordering::SeqCst)
    }

    fn holds(&self, key: u16) -> bool {
        let keys = self.keys.lock().expect("no panic under the lock");
        let valid = keys.until.is_some_and(|until| Instant::now() < until);
        valid && keys.rows.iter().any(|r| (r.0..=r.1).contains(&key))
    }

    fn run(&self, request: &Request) -> Option<Answer> {
        if self.gone.load(Ordering::SeqCst) {
            return None;
        }
        let text = |name| request.fields.text(name).unwrap_or_default().to_owned();
        let path = request.path();
        let key: Option<u16> = request
            .fields
            .text("Shard-Key")
            .and_then(|t| t.parse().ok());
        let foreign = text("Expect-Instance") != self.id;
        let unheld = self.service == "lists" && !key.is_some_and(|k| self.holds(k));
        if foreign || unheld {
            return Some(Answer::new(421).with("Not-Executed", "1"));
        }
        if path.starts_with("/orders/") {
            self.orders.fetch_add(1, Ordering::SeqCst);
        }
        if path.ends_with("/cut/") {
            return None;
        }
        if path.ends_with("/slow/") {
            std::thread::sleep(Duration::from_millis(1_500));
        }
        let mut answer = Answer::new(200)
            .with("Request-Id", text("Request-Id"))
            .with("Response-Stamp", "0.1.2")
            .with("X-Caller", text("Caller-Service"))
            .with("X-Back-End", self.id.clone());
        answer.body = format!("answer to {path}").into();
        Some(answer)
    }

    fn beat(&self) {
        let mut sequence = 0;
        while !self.gone.load(Ordering::SeqCst) {
            sequence += 1;
            let sent = Instant::now();
            let draining = self.draining.load(Ordering::SeqCst);
            let report = self.report(sequence, draining);
            let text = format!(
                "POST /plantaingauge/Instances.Heartbeat/{} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{report}",
                self.id,
                report.len()
            );
            if let Ok(answer) = http::call(self.heartbeats, &text, Duration::from_secs(1))
                && answer.status == 200
            {
                self.take(sent, &answer.body);
                self.drain_confirmed.fetch_or(draining, Ordering::SeqCst);
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn report(&self, sequence: u64, draining: bool) -> String {
        let keys = self.keys.lock().expect("no panic under the lock");
        json!({
            "service": self.service, "address": self.address, "zone": "z", "version": "v1",
            "slots": 8, "state": if draining { "draining" } else { "ready" }, "coldRemainingMs": 0, "sequence": sequence, "born": 1,
            "holds": keys.rows, "freed": keys.freed
        })
        .to_string()
    }

    fn take(&self, sent: Instant, body: &[u8]) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut keys = self.keys.lock().expect("no panic under the lock");
        keys.freed.clear();
        let Some(rows) = value["holds"].as_array() else {
            return;
        };
        let granted: Vec<Row> = rows
            .iter()
            .filter_map(|r| {
                let number = |i: usize| r[i].as_u64();
                let from = u16::try_from(number(0)?).ok()?;
                let to = u16::try_from(number(1)?).ok()?;
                Some((from, to, number(2)?))
            })
            .collect();
        let dropped: Vec<Row> = keys
            .rows
            .iter()
            .filter(|old| !granted.iter().any(|g| g.0 <= old.0 && old.1 <= g.1))
            .copied()
            .collect();
        for old in dropped {
            let kept = granted.iter().any(|g| g.0 <= old.1 && old.0 <= g.1);
            if !kept {
                keys.freed.push((old.0, old.1, format!("h{}", old.2)));
            }
        }
        keys.rows = granted;
        let hold = Duration::from_millis(value["holdMs"].as_u64().unwrap_or(0));
        keys.until = Some(sent + hold);
    }
}
