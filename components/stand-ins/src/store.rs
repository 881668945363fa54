//! Stand-in for the platform's object store: revisions, conditional writes and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http1::request::Request;
use http1::response::Response;
use serde_json::{Value, json};

use crate::http;

/// Connections that a back end takes if a test needs no other number.
const DEFAULT_CONNECTION_CAP: usize = 100;

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
}

#[derive(Default)]
struct State {
    revision: u64,
    fault: StoreFault,
    /// Number of write requests handled.
    writes: u64,
    /// Revision up to which the history has been discarded.
    compacted: u64,
    /// Specification and revision by kind and name.
    objects: BTreeMap<(String, String), (Value, u64)>,
    /// Revision, kind and object of each change since the last compaction.
    history: Vec<(u64, String, Value)>,
}

/// The store; clones share its objects.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Address that it listens on.
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

fn json_response(status: u16, body: &Value) -> Response {
    let mut response = Response::new(status).with("Content-Type", "application/json");
    response.body = body.to_string().into();
    response
}

impl Store {
    /// Starts an empty store.
    #[must_use]
    pub fn start(address: SocketAddr) -> Self {
        let store = Self {
            state: Arc::default(),
            address,
        };
        let handler_store = store.clone();
        let handler: http::Handler = Arc::new(move |request| handler_store.handle(request).into());
        // The acceptor is dropped without being closed: the store listens until the process ends.
        let _ = http::serve(address, handler);
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no panic under the lock")
    }

    /// Switches between [`StoreFault::Unavailable`] and no fault.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.set_fault(if unavailable {
            StoreFault::Unavailable
        } else {
            StoreFault::None
        });
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
        self.state.1.notify_all();
    }

    /// Returns the injected fault.
    #[must_use]
    pub fn fault(&self) -> StoreFault {
        self.lock().fault
    }

    /// Discards the history: a watch from an earlier revision gets a 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Writes an object without checking its revision.
    pub fn write(&self, kind: &str, name: &str, specification: Value) {
        self.lock().write(kind, name, specification);
        self.state.1.notify_all();
    }

    /// Writes the configuration: the routes `list` and `order`, and one route per extra path.
    pub fn write_config(&self, version: u64, extra_paths: &[&str]) {
        self.write_capped_config(version, extra_paths, DEFAULT_CONNECTION_CAP);
    }

    /// Writes a configuration in which back ends take at most `cap` connections.
    pub fn write_capped_config(&self, version: u64, extra_paths: &[&str], cap: usize) {
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
        for path in extra_paths {
            rows.push(json!([
                path,
                "h.example",
                path,
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
                "rows": [["lists", "/health", cap, true], ["orders", "/health", cap, null]]
            }
        });
        let mut state = self.lock();
        state.write("config", "main", document);
        self.state.1.notify_all();
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        let fault = self.lock().fault;
        match fault {
            StoreFault::Unavailable => return Some(Response::new(503)),
            StoreFault::Slow(delay) => std::thread::sleep(delay),
            StoreFault::None | StoreFault::LoseResponses => {}
        }
        let path = request.path().strip_prefix("/plantaingauge/objects/")?;
        let target = std::str::from_utf8(&request.target).ok()?;
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let parameter = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        if let Some(since) = parameter("watch") {
            let timeout_ms = parameter("waitMs").unwrap_or(0);
            return Some(self.watch(path, since, Duration::from_millis(timeout_ms)));
        }
        let mut state = self.lock();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let response = match request.method.as_ref() {
            b"GET" if name.is_empty() => state.list(kind),
            b"GET" => state.get(kind, name),
            b"DELETE" => state.remove(kind, name),
            _ => state.put(kind, &serde_json::from_slice(&request.body).ok()?),
        };
        self.state.1.notify_all();
        if request.method.as_ref() != b"GET" {
            state.writes += 1;
            let loses_response =
                state.fault == StoreFault::LoseResponses && state.writes.is_multiple_of(2);
            if loses_response {
                return None;
            }
        }
        Some(response)
    }

    fn watch(&self, kind: &str, since: u64, timeout: Duration) -> Response {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|(revision, changed_kind, _)| *revision > since && changed_kind == kind)
                .map(|(_, _, object)| json!({"removed": false, "object": object}))
                .collect();
            if since < state.compacted {
                return Response::new(410);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if state.fault == StoreFault::Unavailable {
                return Response::new(503);
            }
            if !events.is_empty() || remaining.is_zero() {
                return json_response(200, &json!({"events": events, "at": state.revision}));
            }
            let wait_result = self.state.1.wait_timeout(state, remaining);
            state = wait_result.expect("no panic under the lock").0;
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
        json_response(200, &page)
    }

    fn get(&self, kind: &str, name: &str) -> Response {
        match self.find(kind, name) {
            Some((specification, revision)) => {
                json_response(200, &object(name, specification, *revision))
            }
            None => Response::new(404),
        }
    }

    fn put(&mut self, kind: &str, body: &Value) -> Response {
        let name = body["metadata"]["name"].as_str().unwrap_or_default();
        let expected_revision = body["metadata"]["revision"].as_u64();
        let found = self.find(kind, name).cloned();
        let found_revision = found.as_ref().map(|(_, revision)| *revision);
        if expected_revision != found_revision {
            return match found {
                Some((specification, revision)) => {
                    json_response(409, &object(name, &specification, revision))
                }
                None => Response::new(404),
            };
        }
        let written = self.write(kind, name, body["specification"].clone());
        json_response(200, &written)
    }

    fn remove(&mut self, kind: &str, name: &str) -> Response {
        self.objects.remove(&(kind.to_owned(), name.to_owned()));
        json_response(200, &json!({}))
    }
}
