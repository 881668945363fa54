//! Callers: each keeps its connection open until it is closed, and checks every answer.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http1::response::Response;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use stand_ins::call::Call;
use stand_ins::http::Connection;
use stand_ins::layout;

use crate::fleet::{Fleet, Site};
use crate::ledger::{Claim, Ledger};

/// Time that callers are ready to wait.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time beyond that in which an answer must have come.
const SLACK: Duration = Duration::from_secs(1);
/// Pause of a caller between two requests in milliseconds, at most.
const MAX_PAUSE_MS: u64 = 60;
/// Part of the orders of one draw that take long.
const SLOW_PART: f64 = 0.5;
/// Pause before a caller connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Time in which a connection that was idle may be closed while a request is on its way.
const IDLE_CLOSE: Duration = Duration::from_millis(200);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An order, which must run once at most.
    Order,
    /// An order that takes long.
    SlowOrder,
    /// A listing of a key.
    Listing(u16),
    /// The route that a version of the configuration added.
    Version(u64),
}

/// What callers share.
pub struct Scene {
    /// Where everything is.
    pub site: Site,
    /// The processes.
    pub fleet: Mutex<Fleet>,
    /// What was seen.
    pub ledger: Arc<Ledger>,
    /// Newest version of the configuration.
    pub version: AtomicU64,
    /// Whether callers go on.
    pub open: AtomicBool,
    next_id: AtomicU64,
}

impl Scene {
    /// Makes a scene whose configuration has version 1.
    #[must_use]
    pub fn new(site: Site, fleet: Fleet, ledger: Arc<Ledger>) -> Self {
        Self {
            site,
            fleet: Mutex::new(fleet),
            ledger,
            version: AtomicU64::new(1),
            open: AtomicBool::new(true),
            next_id: AtomicU64::new(1),
        }
    }

    /// The processes, while nothing is done to them.
    ///
    /// # Panics
    /// Panics if another thread has panicked with them.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no panic under the lock")
    }

    fn next_id(&self) -> String {
        format!("s{}", self.next_id.fetch_add(1, Ordering::SeqCst))
    }
}

/// A caller on one machine.
pub struct Caller {
    scene: Arc<Scene>,
    machine: usize,
    connection: Option<(Connection, Instant)>,
    /// Newest version seen in force, and the run of the process that it was seen at.
    seen: (u64, u64),
}

impl Caller {
    /// Makes a caller.
    #[must_use]
    pub fn new(scene: Arc<Scene>, machine: usize) -> Self {
        Self {
            scene,
            machine,
            connection: None,
            seen: (0, 0),
        }
    }

    /// Sends requests until the scene closes.
    pub fn run(mut self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        while self.scene.open.load(Ordering::SeqCst) {
            let kind = match rng.random_range(0..10) {
                0 => Kind::Version(self.scene.version.load(Ordering::SeqCst)),
                1 if self.seen.0 > 0 => Kind::Version(self.seen.0),
                2 if rng.random_bool(SLOW_PART) => Kind::SlowOrder,
                1..=4 => Kind::Order,
                _ => Kind::Listing(rng.random()),
            };
            self.request(kind);
            let pause = rng.random_range(0..MAX_PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Sends one request and checks its answer; returns the status, 0 without an answer.
    pub fn request(&mut self, kind: Kind) -> u16 {
        let id = self.scene.next_id();
        let run = self.scene.fleet().run(self.machine);
        let Some((mut connection, used)) = self.take_connection() else {
            std::thread::sleep(RECONNECT_PAUSE);
            return 0;
        };
        if matches!(kind, Kind::Order | Kind::SlowOrder) {
            self.scene.ledger.on_order(&id);
        }
        let sent = Instant::now();
        let answer = connection.call(&encode(&id, kind), PATIENCE + SLACK);
        let claim = match &answer {
            Ok(answer) => judge(&id, answer, &self.scene.ledger),
            Err(error) => {
                self.check_loss(&id, error, sent, used);
                Claim::Unknown
            }
        };
        self.scene.ledger.on_claim(&id, &claim);
        let Ok(answer) = answer else { return 0 };
        if let Kind::Version(version) = kind {
            self.check_version(version, run, answer.status);
        }
        if !answer.headers.has_token("Connection", "close") {
            self.connection = Some((connection, Instant::now()));
        }
        answer.status
    }

    fn take_connection(&mut self) -> Option<(Connection, Instant)> {
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        let address = self.scene.site.layout.at(self.machine, layout::CALLERS);
        let connection = Connection::open(address, PATIENCE).ok()?;
        Some((connection, Instant::now()))
    }

    /// A lost answer is a breach unless a fault on this machine explains it.
    fn check_loss(&self, id: &str, error: &std::io::Error, sent: Instant, used: Instant) {
        let fleet = self.scene.fleet();
        let early = sent.elapsed() < IDLE_CLOSE && used < sent;
        if early || fleet.was_disturbed(self.machine, sent - SLACK) {
            return;
        }
        let ms = sent.elapsed().as_millis();
        let breach = format!(
            "{id} at m-{} got no answer after {ms} ms: {error}",
            self.machine
        );
        self.scene.ledger.note(breach);
    }

    /// Versions in force must not fall while a process runs.
    fn check_version(&mut self, version: u64, run: u64, status: u16) {
        let same_run = self.scene.fleet().run(self.machine) == run;
        let (seen, seen_run) = self.seen;
        match status {
            200 if same_run && seen_run == run => self.seen = (seen.max(version), run),
            200 if same_run => self.seen = (version, run),
            404 if same_run && seen_run == run && version <= seen => {
                let breach = format!("m-{} lost version {version} of {seen}", self.machine);
                self.scene.ledger.note(breach);
            }
            _ => {}
        }
    }
}

fn encode(id: &str, kind: Kind) -> String {
    let (method, path, key) = match kind {
        Kind::Order => ("POST", "/orders/new".to_owned(), None),
        Kind::SlowOrder => ("POST", "/orders/slow/".to_owned(), None),
        Kind::Listing(key) => ("GET", "/list/all".to_owned(), Some(key)),
        Kind::Version(version) => ("GET", version_path(version), None),
    };
    let call = Call {
        id,
        method,
        path: &path,
        key,
        patience: PATIENCE,
    };
    call.to_string()
}

/// Path that exists from a version of the configuration on.
#[must_use]
pub fn version_path(version: u64) -> String {
    format!("/v/{version}/")
}

fn judge(id: &str, answer: &Response, ledger: &Ledger) -> Claim {
    let text = |name| answer.headers.text(name);
    if text("Request-Id") != Some(id) {
        ledger.note(format!("{id} got an answer to {:?}", text("Request-Id")));
    }
    let by_back_end = text("Response-Stamp").is_some();
    match answer.status {
        200 => Claim::Ran(text("X-Back-End").unwrap_or_default().to_owned()),
        429 | 503 if !by_back_end => Claim::NotRun,
        _ => Claim::Unknown,
    }
}
