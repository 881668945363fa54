//! Stand-in of a back end: counts executions per key, limits concurrent requests to its slots,
//! checks fencing tokens and lease sessions, and misbehaves on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use daemon::announcement::{AnnouncedOperation, Announcement};
use daemon::back_end as headers;
use http::{HeaderMap, HeaderName, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use timer::{BootClock, Clock};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use world::instant::BootInstant;

use crate::stand_in::record::{Execution, Recorder};
use crate::stand_in::server::{Reply, Server, reply};

/// Time between two announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(300);

/// Number of lease sessions above which expired ones are removed.
const MAX_SESSIONS: usize = 64;

/// Configuration of a stand-in back end.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Machine that it runs on.
    pub machine: String,
    /// Service that it offers.
    pub service: String,
    /// True when each key must have one owner.
    pub keyed: bool,
    /// True when it checks fencing tokens and lease sessions.
    pub checks_fences: bool,
    /// Lookups that it offers.
    pub lookups: Vec<String>,
    /// Orders that it offers.
    pub orders: Vec<String>,
    /// Requests that it executes at the same time.
    pub slots: u32,
    /// Time that one request takes.
    pub service_time: Duration,
}

/// Injected misbehaviour of a back end; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// True while it neither executes nor answers requests, nor announces itself.
    pub frozen: bool,
    /// True while it announces that it is draining.
    pub draining: bool,
    /// True while it rejects every request as shed.
    pub shedding: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Number of requests that took effect, per key.
    counts: HashMap<String, u64>,
    /// Highest fencing token received, per shard.
    fences: HashMap<u32, u64>,
    /// Lease end by session.
    sessions: HashMap<u64, BootInstant>,
    running: u32,
}

#[derive(Debug)]
struct Shared {
    profile: Profile,
    recorder: Recorder,
    state: Mutex<State>,
    behaviour: watch::Sender<Behaviour>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the back end is frozen.
    async fn wait_unfrozen(&self) {
        let mut behaviour = self.behaviour.subscribe();
        let _ = behaviour.wait_for(|b| !b.frozen).await;
    }
}

/// A running stand-in; dropping it closes its connections without an answer, as a crash would.
#[derive(Debug)]
pub struct BackEnd {
    shared: Arc<Shared>,
    server: Server,
    announcer: Option<JoinHandle<()>>,
}

impl BackEnd {
    /// Starts a back end that does not announce itself yet.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start(profile: Profile, recorder: Recorder) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            profile,
            recorder,
            state: Mutex::default(),
            behaviour: watch::Sender::new(Behaviour::default()),
        });
        let handler_state = Arc::clone(&shared);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(any, move |request| {
            let shared = Arc::clone(&handler_state);
            async move { handle(&shared, request).await }
        });
        Ok(Self {
            shared,
            server: server.await?,
            announcer: None,
        })
    }

    /// Returns the address that it serves requests at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Announces itself periodically as a new instance to the daemon at `admin`, and no longer to
    /// any other.
    pub fn announce_to(&mut self, admin: SocketAddr) {
        if let Some(previous) = self.announcer.take() {
            previous.abort();
        }
        let shared = Arc::clone(&self.shared);
        let address = self.address();
        self.announcer = Some(tokio::spawn(announce(
            shared,
            address,
            admin,
            rand::random(),
        )));
    }

    /// Replaces the injected misbehaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.behaviour.send_replace(behaviour);
    }
}

impl Drop for BackEnd {
    fn drop(&mut self) {
        if let Some(announcer) = &self.announcer {
            announcer.abort();
        }
    }
}

async fn announce(shared: Arc<Shared>, address: SocketAddr, admin: SocketAddr, instance: u64) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    loop {
        shared.wait_unfrozen().await;
        let announcement = announcement(&shared, address, instance);
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        let request = Request::builder()
            .method(Method::PUT)
            .uri(format!("http://{admin}/v1/back-end"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        if let Ok(request) = request {
            match client.request(request).await {
                Ok(response) if response.status().is_success() => {}
                Ok(response) => log::warn!(
                    event = "announcement_refused",
                    status = response.status().as_u16();
                    ""
                ),
                Err(_) => log::debug!(event = "announcement_unanswered"; ""),
            }
        }
        tokio::time::sleep(ANNOUNCE_PERIOD).await;
    }
}

fn announcement(shared: &Shared, address: SocketAddr, instance: u64) -> Announcement {
    let profile = &shared.profile;
    let operation = |order| {
        move |name: &String| AnnouncedOperation {
            name: name.clone(),
            order,
        }
    };
    let lookups = profile.lookups.iter().map(operation(false));
    let orders = profile.orders.iter().map(operation(true));
    Announcement {
        address: address.to_string(),
        instance,
        service: profile.service.clone(),
        keyed: profile.keyed,
        checks_fences: profile.checks_fences,
        operations: lookups.chain(orders).collect(),
        slots: profile.slots,
        draining: shared.behaviour.borrow().draining,
    }
}

/// The parts of a request that the back end uses.
struct ParsedRequest {
    operation: String,
    request: String,
    customer: String,
    key: String,
    shard: u32,
    fence: u64,
    session: u64,
    ticket: String,
    deadline: Instant,
    body: Bytes,
}

async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Reply {
    shared.wait_unfrozen().await;
    if request.uri().path() == "/pg/lease" {
        extend_session(shared, request.headers());
        return Some(reply(204, Bytes::new()));
    }
    if shared.behaviour.borrow().shedding {
        return Some(not_run(Rejection {
            reason: "shed",
            status: 503,
        }));
    }
    // Each request also carries the lease under which it was sent.
    extend_session(shared, request.headers());
    let parsed = parse(request).await?;
    let _slot = match acquire_slot(shared, &parsed) {
        Ok(slot) => slot,
        Err(rejection) => return Some(not_run(rejection)),
    };
    if !shared.profile.service_time.is_zero() {
        tokio::time::sleep(shared.profile.service_time).await;
    }
    shared.wait_unfrozen().await;
    Some(commit(shared, &parsed))
}

/// Occupies a slot until it is dropped, which also happens when the caller cancels.
struct SlotGuard(Arc<Shared>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

/// Extends the lease session named in the headers; a lease end is never moved back.
fn extend_session(shared: &Shared, headers: &HeaderMap) {
    let session = number(headers, &headers::SESSION);
    if session == 0 {
        return;
    }
    let lease_end = BootInstant::from_millis(number(headers, &headers::LEASE_UNTIL));
    let mut state = shared.lock();
    let session_end = state.sessions.entry(session).or_default();
    *session_end = lease_end.max(*session_end);
    if state.sessions.len() > MAX_SESSIONS {
        let now = BootClock.now();
        state.sessions.retain(|_, end| now < *end);
    }
}

/// Returns a header's number, or 0 when it is absent or malformed.
fn number(headers: &HeaderMap, name: &HeaderName) -> u64 {
    let text = headers.get(name).and_then(|v| v.to_str().ok());
    text.and_then(|t| t.parse().ok()).unwrap_or(0)
}

fn text(headers: &HeaderMap, name: &HeaderName) -> String {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

async fn parse(request: Request<Incoming>) -> Option<ParsedRequest> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let headers = &parts.headers;
    let query = parts.uri.query().unwrap_or_default();
    let request = query.split('&').find_map(|p| p.strip_prefix("request="));
    let deadline = Duration::from_millis(number(headers, &headers::DEADLINE));
    Some(ParsedRequest {
        operation: parts.uri.path().trim_start_matches('/').to_owned(),
        request: request.unwrap_or_default().to_owned(),
        customer: text(headers, &headers::CUSTOMER),
        key: text(headers, &headers::KEY),
        shard: u32::try_from(number(headers, &headers::SHARD)).unwrap_or(0),
        fence: number(headers, &headers::FENCE),
        session: number(headers, &headers::SESSION),
        ticket: text(headers, &headers::ORDER),
        deadline: Instant::now() + deadline,
        body,
    })
}

/// Occupies a slot, unless none is free or the fencing token is outdated.
fn acquire_slot(shared: &Arc<Shared>, parsed: &ParsedRequest) -> Result<SlotGuard, Rejection> {
    let mut state = shared.lock();
    if state.running >= shared.profile.slots {
        return Err(Rejection {
            reason: "slots",
            status: 503,
        });
    }
    if shared.profile.checks_fences && shared.profile.keyed {
        let highest = state.fences.entry(parsed.shard).or_default();
        if parsed.fence < *highest {
            return Err(Rejection {
                reason: "fence",
                status: 409,
            });
        }
        *highest = parsed.fence;
    }
    state.running += 1;
    drop(state);
    Ok(SlotGuard(Arc::clone(shared)))
}

/// Reason and status of a request that is not executed.
struct Rejection {
    reason: &'static str,
    status: u16,
}

fn not_run(rejection: Rejection) -> Response<Full<Bytes>> {
    let mut response = reply(rejection.status, Bytes::new());
    let reason = http::HeaderValue::from_static(rejection.reason);
    response.headers_mut().insert(headers::NOT_RUN, reason);
    response
}

/// Executes the request, unless its deadline has passed, its lease has expired or a higher fencing
/// token has been received.
fn commit(shared: &Shared, parsed: &ParsedRequest) -> Response<Full<Bytes>> {
    let mut count = 0;
    let mut reject_reason = "lease";
    let committed = shared.recorder.commit(|| {
        let mut state = shared.lock();
        if let Err(reason) = check_commit(shared, &state, parsed) {
            reject_reason = reason;
            return None;
        }
        let entry = state.counts.entry(parsed.key.clone()).or_default();
        *entry += 1;
        count = *entry;
        Some(execution(shared, parsed))
    });
    if !committed {
        return not_run(Rejection {
            reason: reject_reason,
            status: 409,
        });
    }
    let body = serde_json::json!({
        "request": parsed.request,
        "customer": parsed.customer,
        "key": parsed.key,
        "operation": parsed.operation,
        "count": count,
        "body": String::from_utf8_lossy(&parsed.body),
    });
    let mut response = reply(200, body.to_string());
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}

fn check_commit(
    shared: &Shared,
    state: &State,
    parsed: &ParsedRequest,
) -> Result<(), &'static str> {
    if Instant::now() >= parsed.deadline {
        return Err("deadline");
    }
    if !(shared.profile.checks_fences && shared.profile.keyed) {
        return Ok(());
    }
    let lease_end = state
        .sessions
        .get(&parsed.session)
        .copied()
        .unwrap_or_default();
    if BootClock.now() >= lease_end {
        return Err("lease");
    }
    if state
        .fences
        .get(&parsed.shard)
        .is_some_and(|highest| parsed.fence < *highest)
    {
        return Err("fence");
    }
    Ok(())
}

fn execution(shared: &Shared, parsed: &ParsedRequest) -> Execution {
    Execution {
        machine: shared.profile.machine.clone(),
        service: shared.profile.service.clone(),
        operation: parsed.operation.clone(),
        customer: parsed.customer.clone(),
        key: parsed.key.clone(),
        ticket: parsed.ticket.clone(),
        request: parsed.request.clone(),
        fence: parsed.fence,
        at: BootClock.now(),
    }
}
