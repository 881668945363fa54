//! Stand-in of the platform's object API: versioned objects in memory with conditional updates and
//! watches, and faults on demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use store::http_client::{EXPECTED_VERSION_HEADER, MAX_OBJECT_BYTES, VERSION_HEADER};
use tokio::sync::watch;

use crate::stand_in::server::{Reply, Server, reply};

/// Upper bound of a watch's wait in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Injected faults of the platform; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// True while requests are dropped without effect or response.
    pub down: bool,
    /// Delay before each request is processed.
    pub latency: Duration,
    /// True while updates take effect but their responses are dropped.
    pub responses_lost: bool,
}

/// Number of requests by kind since the start. A watch counts once, however long it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Reads.
    pub reads: u64,
    /// Conditional updates, also those that conflict.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

#[derive(Clone, Debug)]
struct Object {
    version: u64,
    value: Bytes,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Object>,
    faults: Faults,
    request_counts: RequestCounts,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Incremented after each update to wake waiting watches.
    changes: watch::Sender<u64>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Platform {
    /// Starts a stand-in without objects.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts a stand-in without objects at an address.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub async fn start_at(address: SocketAddr) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        });
        let handler_state = Arc::clone(&shared);
        let server = Server::start(address, move |request| {
            let shared = Arc::clone(&handler_state);
            async move { handle(&shared, request).await }
        });
        Ok(Self {
            shared,
            server: server.await?,
        })
    }

    /// Returns the address of the object API.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Returns the number of requests so far.
    #[must_use]
    pub fn request_counts(&self) -> RequestCounts {
        self.shared.lock().request_counts
    }

    /// Returns the content of an object, or `None` when it does not exist.
    #[must_use]
    pub fn object(&self, name: &str) -> Option<Bytes> {
        self.shared
            .lock()
            .objects
            .get(name)
            .map(|o| o.value.clone())
    }

    /// Writes an object unconditionally and returns its new version.
    pub fn put(&self, name: &str, value: impl Into<Bytes>) -> u64 {
        let version = write_object(&mut self.shared.lock(), name, value.into());
        self.shared.changes.send_modify(|count| *count += 1);
        version
    }
}

fn write_object(state: &mut State, name: &str, value: Bytes) -> u64 {
    let version = state.objects.get(name).map_or(0, |o| o.version) + 1;
    state
        .objects
        .insert(name.to_owned(), Object { version, value });
    version
}

async fn handle(shared: &Shared, request: Request<Incoming>) -> Reply {
    let faults = shared.lock().faults;
    if faults.down {
        return None;
    }
    if !faults.latency.is_zero() {
        tokio::time::sleep(faults.latency).await;
    }
    let name = request.uri().path().strip_prefix("/objects/")?.to_owned();
    if request.method() == Method::PUT {
        return update(shared, &name, request).await;
    }
    match parse_watch(request.uri().query()) {
        Some((above, wait)) => watch_object(shared, &name, above, wait).await,
        None => {
            shared.lock().request_counts.reads += 1;
            Some(read(shared, &name))
        }
    }
}

fn parse_watch(query: Option<&str>) -> Option<(u64, Duration)> {
    let mut above = None;
    let mut wait = None;
    for pair in query?.split('&') {
        match pair.split_once('=')? {
            ("above", text) => above = text.parse().ok(),
            ("wait_ms", text) => wait = text.parse::<u64>().ok(),
            _ => {}
        }
    }
    Some((above?, Duration::from_millis(wait?.min(MAX_WAIT_MS))))
}

fn with_version(mut response: Response<Full<Bytes>>, version: u64) -> Response<Full<Bytes>> {
    response
        .headers_mut()
        .insert(VERSION_HEADER, version.into());
    response
}

fn read(shared: &Shared, name: &str) -> Response<Full<Bytes>> {
    match shared.lock().objects.get(name) {
        Some(object) => with_version(reply(200, object.value.clone()), object.version),
        None => reply(404, Bytes::new()),
    }
}

async fn watch_object(shared: &Shared, name: &str, above: u64, wait: Duration) -> Reply {
    shared.lock().request_counts.watches += 1;
    let mut changes = shared.changes.subscribe();
    let newer = async {
        loop {
            changes.borrow_and_update();
            let version = shared.lock().objects.get(name).map_or(0, |o| o.version);
            if version > above {
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    let found = tokio::time::timeout(wait, newer).await.is_ok();
    if shared.lock().faults.down {
        return None;
    }
    Some(if found {
        read(shared, name)
    } else {
        reply(204, Bytes::new())
    })
}

async fn update(shared: &Shared, name: &str, request: Request<Incoming>) -> Reply {
    let expected = request
        .headers()
        .get(EXPECTED_VERSION_HEADER)?
        .to_str()
        .ok()?
        .parse::<u64>()
        .ok()?;
    let value = request.into_body().collect().await.ok()?.to_bytes();
    if value.len() > MAX_OBJECT_BYTES {
        return Some(reply(413, Bytes::new()));
    }
    let (response, lost) = {
        let mut state = shared.lock();
        state.request_counts.writes += 1;
        let current = state.objects.get(name).map_or(0, |o| o.version);
        if current != expected {
            (with_version(reply(409, Bytes::new()), current), false)
        } else {
            let version = write_object(&mut state, name, value);
            (
                with_version(reply(200, Bytes::new()), version),
                state.faults.responses_lost,
            )
        }
    };
    shared.changes.send_modify(|count| *count += 1);
    if lost { None } else { Some(response) }
}
