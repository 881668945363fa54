//! A store that is restored from a snapshot when a test says so, for one process.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http1::request::{Bounds, Request, RequestReader};
use http1::response::{Response, encode};
use node::node::Node;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::common;

/// Time after which a test that waits has failed.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of what a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const BOUNDS: Bounds = Bounds {
    head_bytes: 16_384,
    body_bytes: 1 << 20,
};

/// Objects by path, each with its revision and specification.
type Objects = BTreeMap<String, (u64, Value)>;

/// A call that the store has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Call {
    pub(crate) era: u64,
    pub(crate) method: String,
    pub(crate) path: String,
}

/// The store; each response names its era.
#[derive(Default)]
pub(crate) struct SmallStore {
    era: Cell<u64>,
    revision: Cell<u64>,
    objects: RefCell<Objects>,
    calls: RefCell<Vec<Call>>,
    end_watches: Notify,
}

impl SmallStore {
    /// Starts a store and makes a process on machine `m` that uses it.
    pub(crate) async fn start() -> (Rc<Self>, Rc<Node>) {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).await.expect("a free port");
        let node = common::node("m", listener.local_addr().expect("a bound listener"));
        let store: Rc<Self> = Rc::default();
        spawn_local(Rc::clone(&store).serve(listener));
        (store, node)
    }

    /// Writes an object.
    pub(crate) fn write(&self, kind: &str, name: &str, value: Value) {
        let path = format!("/plantaingauge/objects/{kind}/{name}");
        self.insert(path, value);
    }

    fn insert(&self, path: String, value: Value) {
        self.revision.set(self.revision.get() + 1);
        let stored = (self.revision.get(), value);
        self.objects.borrow_mut().insert(path, stored);
    }

    /// Comes back from a copy without objects, in the next era; watches go on.
    pub(crate) fn come_back_empty(&self) {
        self.era.set(self.era.get() + 1);
        self.revision.set(1);
        self.objects.borrow_mut().clear();
    }

    /// Ends the watches that wait, with nothing to tell.
    pub(crate) fn end_watches(&self) {
        self.end_watches.notify_waiters();
    }

    /// Returns the number of calls of a method in an era on a path or below it.
    pub(crate) fn count(&self, era: u64, method: &str, path: &str) -> usize {
        let calls = self.calls.borrow();
        let matching = calls
            .iter()
            .filter(|c| c.era == era && c.method == method && c.path.contains(path));
        matching.count()
    }

    /// Returns an object.
    pub(crate) fn object(&self, kind: &str, name: &str) -> Option<Value> {
        let path = format!("/plantaingauge/objects/{kind}/{name}");
        self.objects.borrow().get(&path).map(|(_, v)| v.clone())
    }

    /// Returns the names of the objects of a kind.
    pub(crate) fn names(&self, kind: &str) -> Vec<String> {
        let prefix = format!("/plantaingauge/objects/{kind}/");
        let objects = self.objects.borrow();
        let names = objects.keys().filter_map(|p| p.strip_prefix(&prefix));
        names.map(str::to_owned).collect()
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(Rc::clone(&self).serve_connection(stream));
        }
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream) {
        let mut reader = RequestReader::default();
        let mut buf = BytesMut::new();
        loop {
            let request = reader.next(&mut buf, BOUNDS).expect("a request");
            let Some(request) = request else {
                match stream.read_buf(&mut buf).await {
                    Ok(n) if n > 0 => continue,
                    _ => return,
                }
            };
            let response = self.respond(&request).await;
            let mut out = BytesMut::new();
            encode(&mut out, &response, false);
            if stream.write_all(&out).await.is_err() {
                return;
            }
        }
    }

    async fn respond(&self, request: &Request) -> Response {
        let method = String::from_utf8_lossy(&request.method).into_owned();
        let is_watch = request.target.windows(6).any(|w| w == b"watch=");
        if is_watch {
            let ended = self.end_watches.notified();
            let _ = tokio::time::timeout(watch_wait(request), ended).await;
        }
        let call = Call {
            era: self.era.get(),
            method,
            path: request.path().to_owned(),
        };
        let (status, body) = match call.method.as_str() {
            "GET" if is_watch => (200, json!({"events": [], "at": self.revision.get()})),
            "GET" => self.list(&call.path),
            "POST" => self.create(&call.path, &request.body),
            _ => self.replace(&call.path, &request.body),
        };
        self.calls.borrow_mut().push(call);
        let mut response = Response::new(status).with("Store-Era", self.era.get().to_string());
        response.body = body.to_string().into();
        response
    }

    fn list(&self, path: &str) -> (u16, Value) {
        let objects = self.objects.borrow();
        let prefix = format!("{path}/");
        let of_kind = objects.keys().filter(|p| p.starts_with(&prefix));
        let items: Vec<Value> = of_kind.map(|p| to_json(&objects, p)).collect();
        (200, json!({"items": items, "at": self.revision.get()}))
    }

    fn create(&self, kind_path: &str, body: &[u8]) -> (u16, Value) {
        let object: Value = serde_json::from_slice(body).expect("JSON");
        let name = object["metadata"]["name"].as_str().expect("a name");
        let path = format!("{kind_path}/{name}");
        let exists = self.objects.borrow().contains_key(&path);
        if !exists {
            self.insert(path.clone(), object["specification"].clone());
        }
        let status = if exists { 409 } else { 201 };
        (status, to_json(&self.objects.borrow(), &path))
    }

    fn replace(&self, path: &str, body: &[u8]) -> (u16, Value) {
        let object: Value = serde_json::from_slice(body).expect("JSON");
        self.insert(path.to_owned(), object["specification"].clone());
        (200, to_json(&self.objects.borrow(), path))
    }
}

/// Returns for how long a watch waits.
fn watch_wait(request: &Request) -> Duration {
    let target = String::from_utf8_lossy(&request.target);
    let wait = target.split("waitMs=").nth(1);
    let wait_ms = wait.and_then(|w| w.parse().ok()).expect("a watch waits");
    Duration::from_millis(wait_ms)
}

fn to_json(objects: &Objects, path: &str) -> Value {
    let (revision, specification) = &objects[path];
    let name = path.rsplit('/').next();
    json!({"metadata": {"name": name, "revision": revision}, "specification": specification})
}

/// Waits until `done`.
pub(crate) async fn until(what: &str, done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, wait).await;
    assert!(waited.is_ok(), "{what}");
}
