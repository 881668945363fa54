//! Stand-in of the platform's store: objects with revisions, conditional writes and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http1::request::Request;
use http1::response::Response;
use serde_json::{Value, json};

use crate::http;

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    /// It does not.
    #[default]
    None,
    /// It refuses every call.
    Away,
    /// It answers late.
    Slow(Duration),
    /// It does what every second write asks for, and does not answer.
    LostAnswers,
}

#[derive(Default)]
struct State {
    revision: u64,
    trouble: Trouble,
    /// Writes that were done.
    writes: u64,
    /// Revision up to which changes are forgotten.
    compacted: u64,
    /// Specification and revision by kind and name.
    objects: BTreeMap<(String, String), (Value, u64)>,
    /// Revision, kind and object of each change.
    history: Vec<(u64, String, Value)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Where it listens.
    pub address: SocketAddr,
}

fn object(name: &str, specification: &Value, revision: u64) -> Value {
    json!({
        "metadata": {"name": name, "revision": revision, "created": 1, "finalizers": [],
            "deletionRequested": false},
        "specification": specification,
        "status": null
    })
}

fn response(status: u16, body: &Value) -> Response {
    let mut response = Response::new(status).with("Content-Type", "application/json");
    response.body = body.to_string().into();
    response
}

impl Store {
    /// Starts the store.
    #[must_use]
    pub fn start(address: SocketAddr) -> Self {
        let store = Self {
            state: Arc::default(),
            address,
        };
        let served = store.clone();
        let handler: http::Handler = Arc::new(move |request| served.handle(request));
        // The store listens until the process ends.
        let _ = http::serve(address, handler);
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no panic under the lock")
    }

    /// Lets the store answer, or refuse every call.
    pub fn set_away(&self, away: bool) {
        self.set_trouble(if away { Trouble::Away } else { Trouble::None });
    }

    /// Changes how the store misbehaves.
    pub fn set_trouble(&self, trouble: Trouble) {
        self.lock().trouble = trouble;
        self.state.1.notify_all();
    }

    /// Forgets all past changes.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Writes an object without a condition.
    pub fn write(&self, kind: &str, name: &str, specification: Value) {
        self.lock().write(kind, name, specification);
        self.state.1.notify_all();
    }

    /// Writes a configuration with the usual routes and `added` ones.
    pub fn configure(&self, version: u64, added: &[&str]) {
        let mut rows = vec![
            json!([
                "list",
                "h.example",
                "/list/",
                "safe",
                5000,
                1000,
                1,
                "lists",
                2
            ]),
            json!([
                "order",
                "h.example",
                "/orders/",
                "unsafe",
                5000,
                1000,
                1,
                "orders",
                1
            ]),
        ];
        for prefix in added {
            rows.push(json!([
                prefix,
                "h.example",
                prefix,
                "safe",
                5000,
                1000,
                1,
                "orders",
                2
            ]));
        }
        let document = json!({
            "version": version,
            "routes": {
                "columns": ["name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs",
                    "priority", "service", "attempts"],
                "rows": rows
            },
            "services": {
                "columns": ["name", "healthCheckPath", "connectionCap", "sharded"],
                "rows": [["lists", "/health", 100, true], ["orders", "/health", 100, null]]
            }
        });
        let mut state = self.lock();
        state.write("config", "main", document);
        self.state.1.notify_all();
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        let trouble = self.lock().trouble;
        match trouble {
            Trouble::Away => return Some(Response::new(503)),
            Trouble::Slow(delay) => std::thread::sleep(delay),
            Trouble::None | Trouble::LostAnswers => {}
        }
        let path = request.path().strip_prefix("/plantaingauge/objects/")?;
        let target = std::str::from_utf8(&request.target).ok()?;
        let query = target.split_once('?').map_or("", |(_, q)| q);
        let number = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        if let Some(since) = number("watch") {
            let wait = number("waitMs").unwrap_or(0);
            return Some(self.watch(path, since, Duration::from_millis(wait)));
        }
        let mut state = self.lock();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let reply = match request.method.as_ref() {
            b"GET" if name.is_empty() => state.list(kind),
            b"GET" => state.get(kind, name),
            b"DELETE" => state.remove(kind, name),
            _ => state.put(kind, &serde_json::from_slice(&request.body).ok()?),
        };
        self.state.1.notify_all();
        if request.method.as_ref() != b"GET" {
            state.writes += 1;
            let lost = state.trouble == Trouble::LostAnswers && state.writes.is_multiple_of(2);
            if lost {
                return None;
            }
        }
        Some(reply)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Response {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|(revision, k, _)| *revision > since && k == kind)
                .map(|(_, _, object)| json!({"removed": false, "object": object}))
                .collect();
            if since < state.compacted {
                return Response::new(410);
            }
            let left = end.saturating_duration_since(Instant::now());
            if state.trouble == Trouble::Away {
                return Response::new(503);
            }
            if !events.is_empty() || left.is_zero() {
                return response(200, &json!({"events": events, "at": state.revision}));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.expect("no panic under the lock").0;
        }
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, specification: Value) -> Value {
        self.revision += 1;
        let written = object(name, &specification, self.revision);
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, (specification, self.revision));
        self.history
            .push((self.revision, kind.to_owned(), written.clone()));
        written
    }

    fn find(&self, kind: &str, name: &str) -> Option<&(Value, u64)> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    fn list(&self, kind: &str) -> Response {
        let items: Vec<Value> = self
            .objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .map(|((_, name), (specification, revision))| object(name, specification, *revision))
            .collect();
        let page = json!({"items": items, "hasMore": false, "at": self.revision});
        response(200, &page)
    }

    fn get(&self, kind: &str, name: &str) -> Response {
        match self.find(kind, name) {
            Some((specification, revision)) => {
                response(200, &object(name, specification, *revision))
            }
            None => Response::new(404),
        }
    }

    fn put(&mut self, kind: &str, body: &Value) -> Response {
        let name = body["metadata"]["name"].as_str().unwrap_or_default();
        let wanted = body["metadata"]["revision"].as_u64();
        let found = self.find(kind, name).cloned();
        let found_revision = found.as_ref().map(|(_, revision)| *revision);
        if wanted != found_revision {
            return match found {
                Some((specification, revision)) => {
                    response(409, &object(name, &specification, revision))
                }
                None => Response::new(404),
            };
        }
        let written = self.write(kind, name, body["specification"].clone());
        response(200, &written)
    }

    fn remove(&mut self, kind: &str, name: &str) -> Response {
        self.objects.remove(&(kind.to_owned(), name.to_owned()));
        response(200, &json!({}))
    }
}
