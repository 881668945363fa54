//! Callers that send random requests on keep-alive connections and check every response.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http1::response::Response;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use stand_ins::caller::CallerRequest;
use stand_ins::http::Connection;
use stand_ins::layout;

use crate::configuration::{
    APPLY_LIMIT, Configuration, TEMPORARY_VERSIONS, limits, temporary_path, version_path,
};
use crate::crashing::{CrashingRequest, Target};
use crate::denials::{self, Requirement};
use crate::fleet::{Environment, Fleet};
use crate::invariants::{InvariantChecker, ReportedOutcome};

/// Timeout that requests state.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the timeout within which the response must have arrived.
const TIMEOUT_SLACK: Duration = Duration::from_secs(1);
/// Maximum pause of a caller between two requests in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// Probability that the one draw in ten that may be a slow order is one.
const SLOW_ORDER_PROBABILITY: f64 = 0.5;
/// Number of the latest versions whose temporary paths are requested; later ones are dropped.
const REQUESTED_VERSIONS: u64 = 4;
/// Range of the bytes by which a long head or body stays below the limit of the newest version.
const SPARE_BYTES: Range<usize> = 500..4_000;
/// What separates the head of a request from its body.
const HEAD_END: &str = "\r\n\r\n";
/// Path that no version of the configuration has.
const UNKNOWN_PATH: &str = "/nowhere/";
/// Pause after a failed connection attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Time after sending within which a connection may be closed without a response, because the node
/// may have closed it as idle while the request was in transit.
const IDLE_CLOSE_WINDOW: Duration = Duration::from_millis(200);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// An order, which must run at most once.
    Order,
    /// An order that runs slowly.
    SlowOrder,
    /// A read of the sharded service with this key.
    Listing(u16),
    /// A request to the route that this version of the configuration added.
    Version(u64),
    /// A request to the route that this version of the configuration and the next one have.
    Temporary(u64),
    /// A request without a route.
    Unknown,
    /// A request with this many bytes in its query and its body.
    Long(usize, usize),
    /// A request that crashes the back end that begins to run it.
    Crashing(CrashingRequest),
}

impl RequestKind {
    fn is_order(self) -> bool {
        match self {
            Self::Order | Self::SlowOrder => true,
            Self::Crashing(request) => request.target == Target::Order,
            Self::Listing(_)
            | Self::Version(_)
            | Self::Temporary(_)
            | Self::Unknown
            | Self::Long(..) => false,
        }
    }

    /// Returns the versions of the configuration that have its route.
    fn versions(self) -> Range<u64> {
        match self {
            Self::Version(version) => version..u64::MAX,
            Self::Temporary(version) => version..version + TEMPORARY_VERSIONS,
            Self::Unknown => 0..0,
            _ => 0..u64::MAX,
        }
    }

    fn id_prefix(self) -> String {
        match self {
            Self::Crashing(request) => request.id_prefix(),
            _ => "s".to_owned(),
        }
    }
}

/// State shared by the callers and the fault injection.
pub struct SharedState {
    /// Addresses, files and the program to run.
    pub environment: Environment,
    /// The nodes and back ends.
    pub fleet: Mutex<Fleet>,
    /// Checks what callers and back ends see.
    pub checker: Arc<InvariantChecker>,
    /// The configuration that the operator has written.
    pub configuration: Mutex<Configuration>,
    /// Whether callers continue to send requests.
    pub running: AtomicBool,
    /// Whether faults are injected.
    pub faulty: AtomicBool,
    next_id: AtomicU64,
}

impl SharedState {
    /// Creates the state at the start of a soak.
    #[must_use]
    pub fn new(
        environment: Environment,
        fleet: Fleet,
        checker: Arc<InvariantChecker>,
        configuration: Configuration,
    ) -> Self {
        Self {
            environment,
            fleet: Mutex::new(fleet),
            checker,
            configuration: Mutex::new(configuration),
            running: AtomicBool::new(true),
            faulty: AtomicBool::new(true),
            next_id: AtomicU64::new(1),
        }
    }

    /// Locks the fleet.
    ///
    /// # Panics
    /// Panics if another thread panicked while it held the lock.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no panic under the lock")
    }

    /// Locks the configuration; not to be held while [`Self::fleet`] is called.
    ///
    /// # Panics
    /// Panics if another thread panicked while it held the lock.
    pub fn configuration(&self) -> MutexGuard<'_, Configuration> {
        self.configuration.lock().expect("no panic under the lock")
    }

    fn next_id(&self, kind: RequestKind) -> String {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        format!("{}{number}", kind.id_prefix())
    }
}

/// A caller that sends to the node on one machine.
pub struct Caller {
    shared: Arc<SharedState>,
    machine: usize,
    /// Open connection and the time of its last use.
    connection: Option<(Connection, Instant)>,
    /// Latest version served by the node and the process run that served it; version 0 before the
    /// first.
    last_served: (u64, u64),
}

impl Caller {
    /// Creates a caller without a connection.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, machine: usize) -> Self {
        Self {
            shared,
            machine,
            connection: None,
            last_served: (0, 0),
        }
    }

    /// Sends random requests until [`SharedState::running`] is cleared.
    pub fn run(mut self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        while self.shared.running.load(Ordering::SeqCst) {
            let kind = match rng.random_range(0..14) {
                10 => self.temporary_request(&mut rng),
                11 => RequestKind::Unknown,
                12 => self.long_request(&mut rng),
                0 | 13 => RequestKind::Version(self.shared.configuration().version()),
                1 if self.last_served.0 > 0 => RequestKind::Version(self.last_served.0),
                2 if rng.random_bool(SLOW_ORDER_PROBABILITY) => RequestKind::SlowOrder,
                1..=4 => RequestKind::Order,
                _ => RequestKind::Listing(rng.random()),
            };
            self.request(kind);
            let pause = rng.random_range(0..MAX_PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    fn temporary_request(&self, rng: &mut StdRng) -> RequestKind {
        let newest = self.shared.configuration().version();
        let age = rng.random_range(0..REQUESTED_VERSIONS);
        RequestKind::Temporary(newest.saturating_sub(age).max(1))
    }

    fn long_request(&self, rng: &mut StdRng) -> RequestKind {
        let limits = limits(self.shared.configuration().version());
        let spare = rng.random_range(SPARE_BYTES);
        if rng.random() {
            RequestKind::Long(limits.head_bytes - spare, 0)
        } else {
            RequestKind::Long(0, limits.body_bytes as usize - spare)
        }
    }

    /// Sends one request and checks its response; returns the status, or 0 without a response.
    pub fn request(&mut self, kind: RequestKind) -> u16 {
        let id = self.shared.next_id(kind);
        let run = self.shared.fleet().process_run(self.machine);
        let Some((mut connection, last_used)) = self.take_connection() else {
            std::thread::sleep(RECONNECT_PAUSE);
            return 0;
        };
        if kind.is_order() {
            self.shared.checker.on_order(&id);
        }
        self.shared.checker.on_send(&id, self.machine);
        let sent_at = Instant::now();
        let request = encode(&id, kind);
        let response = connection.call(&request, TIMEOUT + TIMEOUT_SLACK);
        let outcome = match &response {
            Ok(response) => {
                self.record_notices(response);
                check_response(&id, kind, response, &self.shared.checker)
            }
            Err(error) => {
                self.check_lost_response(&id, error, sent_at, last_used);
                ReportedOutcome::Unknown
            }
        };
        self.shared.checker.on_outcome(&id, &outcome);
        let Ok(response) = response else { return 0 };
        if denials::is_denial(&response) {
            self.check_denial(&id, kind, &request, sent_at, response.status);
        }
        if let RequestKind::Version(version) = kind {
            self.check_version(version, run, response.status);
            if response.status == 404 {
                self.check_in_force(version, sent_at);
            }
        }
        if !response.headers.has_token("Connection", "close") {
            self.connection = Some((connection, Instant::now()));
        }
        response.status
    }

    /// Records what a back end says about itself in a response.
    fn record_notices(&self, response: &Response) {
        let Some(back_end) = response.headers.text("X-Back-End") else {
            return;
        };
        for (header, is_limit) in [("Server-Limit", true), ("Server-Leaving", false)] {
            if response.headers.get(header).is_some() {
                self.shared
                    .checker
                    .on_told(self.machine, back_end, is_limit);
            }
        }
    }

    fn take_connection(&mut self) -> Option<(Connection, Instant)> {
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        let address = self
            .shared
            .environment
            .layout
            .address(self.machine, layout::CALLER_PORT);
        let connection = Connection::open(address, TIMEOUT).ok()?;
        Some((connection, Instant::now()))
    }

    /// Records a violation for a lost response unless a fault on this machine explains it.
    fn check_lost_response(
        &self,
        id: &str,
        error: &std::io::Error,
        sent_at: Instant,
        last_used: Instant,
    ) {
        let fleet = self.shared.fleet();
        let may_be_idle_close = sent_at.elapsed() < IDLE_CLOSE_WINDOW && last_used < sent_at;
        if may_be_idle_close || fleet.had_fault_since(self.machine, sent_at - TIMEOUT_SLACK) {
            return;
        }
        let ms = sent_at.elapsed().as_millis();
        let violation = format!(
            "{id} at m-{} got no response after {ms} ms: {error}",
            self.machine
        );
        self.shared.checker.add_violation(violation);
    }

    /// Counts a denial; records a violation if all versions that may be in force allow the request.
    fn check_denial(
        &self,
        id: &str,
        kind: RequestKind,
        request: &str,
        sent_at: Instant,
        status: u16,
    ) {
        let (head, body) = request.split_once(HEAD_END).unwrap_or((request, ""));
        let requirement = Requirement {
            versions: kind.versions(),
            head_bytes: head.len() + HEAD_END.len(),
            body_bytes: body.len() as u64,
        };
        let judgement = {
            let configuration = self.shared.configuration();
            let possible = configuration.possible(sent_at);
            let without_losses = configuration.possible_without_losses(sent_at);
            denials::judge(&requirement, &possible, &without_losses)
        };
        let checker = &self.shared.checker;
        checker.on_denial(id, self.machine, status, judgement);
    }

    /// Records a violation if a version that was not served at `sent_at` was due at a machine that has
    /// been undisturbed for long enough.
    fn check_in_force(&self, version: u64, sent_at: Instant) {
        let is_due = self.shared.configuration().is_due(sent_at);
        let checker = &self.shared.checker;
        if is_due && checker.was_undisturbed(self.machine, sent_at - APPLY_LIMIT) {
            let violation = format!(
                "m-{} does not serve version {version} {APPLY_LIMIT:?} after it was confirmed",
                self.machine
            );
            checker.add_violation(violation);
        }
    }

    /// Records a violation if a node that has served a version no longer serves it in the same run.
    fn check_version(&mut self, version: u64, run: u64, status: u16) {
        let same_run = self.shared.fleet().process_run(self.machine) == run;
        let (last_version, last_run) = self.last_served;
        match status {
            200 if same_run && last_run == run => {
                self.last_served = (last_version.max(version), run)
            }
            200 if same_run => self.last_served = (version, run),
            404 if same_run && last_run == run && version <= last_version => {
                let violation = format!(
                    "m-{} no longer serves version {version} after version {last_version}",
                    self.machine
                );
                self.shared.checker.add_violation(violation);
            }
            _ => {}
        }
    }
}

fn encode(id: &str, kind: RequestKind) -> String {
    let (method, path, key) = match kind {
        RequestKind::Order => ("POST", "/orders/new".to_owned(), None),
        RequestKind::SlowOrder => ("POST", "/orders/slow/".to_owned(), None),
        RequestKind::Listing(key) => ("GET", "/list/all".to_owned(), Some(key)),
        RequestKind::Version(version) => ("GET", version_path(version), None),
        RequestKind::Temporary(version) => ("GET", temporary_path(version), None),
        RequestKind::Unknown => ("GET", UNKNOWN_PATH.to_owned(), None),
        RequestKind::Long(query, _) => {
            let path = format!("{}?{}", version_path(1), "q".repeat(query));
            ("GET", path, None)
        }
        RequestKind::Crashing(request) => match request.target {
            Target::Order => ("POST", request.path(), None),
            Target::Idempotent => ("GET", request.path(), None),
            Target::Keyed(key) => ("GET", request.path(), Some(key)),
        },
    };
    let body = match kind {
        RequestKind::Long(_, body) => "b".repeat(body),
        _ => String::new(),
    };
    let request = CallerRequest {
        id,
        method,
        path: &path,
        key,
        timeout: TIMEOUT,
        body: &body,
    };
    request.to_string()
}

/// Checks that the response belongs to the request, and returns the outcome that it reports.
///
/// A failure of a long request may have no id, as the node may not have read the head.
fn check_response(
    id: &str,
    kind: RequestKind,
    response: &Response,
    checker: &InvariantChecker,
) -> ReportedOutcome {
    let text = |name| response.headers.text(name);
    let is_unread = matches!(kind, RequestKind::Long(..)) && response.status != 200;
    let expected = is_unread && text("Request-Id").is_none() || text("Request-Id") == Some(id);
    if !expected {
        checker.add_violation(format!(
            "{id} got a response with Request-Id {:?}",
            text("Request-Id")
        ));
    }
    if kind == RequestKind::Unknown && (200..300).contains(&response.status) {
        checker.add_violation(format!("{id} ran without a route"));
    }
    let from_back_end = text("Response-Stamp").is_some();
    match response.status {
        200 => ReportedOutcome::Ran(text("X-Back-End").unwrap_or_default().to_owned()),
        429 | 503 if !from_back_end => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Unknown,
    }
}
