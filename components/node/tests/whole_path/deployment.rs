//! A small deployment on loopback addresses: every third machine serves `orders`, the others own
//! the keys of `lists`.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use http1::response::Response;
use platform::settings::Settings;
use serde_json::json;
use stand_ins::back_end::{BackEnd, Grant, Observer};
use stand_ins::caller::CallerRequest;
use stand_ins::forwarder::Forwarder;
use stand_ins::http;
use stand_ins::key_holders::KeyHolders;
use stand_ins::layout::{self, Layout, NodeSettings};
use stand_ins::store::Store;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use crate::SETTLE_TIMEOUT;

/// Path of a keyed request that may be executed more than once.
pub(crate) const LISTING: &str = "/list/today";
/// Path of a request that must be executed at most once.
pub(crate) const ORDER: &str = "/orders/new";

/// Retries that all machines together may make in a window, on top of a share of the requests.
pub(crate) const EXTRA_RETRIES: usize = 40;

/// Request timeout that callers state.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);
/// Path of the readiness checks.
const READINESS_PATH: &str = "/plantaingauge/readiness";
/// Port on which nobody listens.
const UNUSED_PORT: u16 = 7_099;
/// Longest time for a process to start.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two attempts while a test waits for an outcome.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Response as the caller receives it.
#[derive(Debug)]
pub(crate) struct Reply {
    /// HTTP status, 0 if there was no response.
    pub(crate) status: u16,
    response: Option<Response>,
}

impl Reply {
    /// Returns the value of a header field.
    pub(crate) fn text(&self, name: &str) -> Option<String> {
        let response = self.response.as_ref()?;
        response.headers.text(name).map(str::to_owned)
    }

    /// Returns the caller that the back end saw in the request.
    pub(crate) fn caller(&self) -> String {
        self.text("X-Caller").unwrap_or_default()
    }

    /// Returns the back end that executed the request.
    pub(crate) fn back_end(&self) -> String {
        self.text("X-Back-End").unwrap_or_default()
    }
}

/// The start of a request at a back end.
#[derive(Clone, Debug)]
pub(crate) struct Execution {
    /// Id of the request.
    pub(crate) request: String,
    /// When the back end began to run it.
    pub(crate) at: Instant,
}

/// The arrival of a request at a back end.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// Id of the back end.
    pub(crate) back_end: String,
    /// Id of the request.
    pub(crate) request: String,
    /// When it arrived.
    pub(crate) at: Instant,
}

/// Records what the back ends receive, run and hold.
#[derive(Default)]
struct ExecutionLog {
    arrivals: Mutex<Vec<Arrival>>,
    executions: Mutex<Vec<Execution>>,
    key_holders: Mutex<KeyHolders>,
}

impl Observer for ExecutionLog {
    fn on_grants(&self, back_end: &str, born: u64, grants: &[Grant], expires_at: Instant) {
        let mut holders = self.key_holders.lock().expect("no panic under the lock");
        holders.on_grants(back_end, born, grants, expires_at);
    }

    fn on_exit(&self, back_end: &str, born: u64) {
        let mut holders = self.key_holders.lock().expect("no panic under the lock");
        holders.on_exit(back_end, born);
    }

    fn on_arrival(&self, back_end: &str, request: &str) {
        let arrival = Arrival {
            back_end: back_end.to_owned(),
            request: request.to_owned(),
            at: Instant::now(),
        };
        let mut arrivals = self.arrivals.lock().expect("no panic under the lock");
        arrivals.push(arrival);
    }

    fn on_execute(&self, _back_end: &str, request: &str) {
        let execution = Execution {
            request: request.to_owned(),
            at: Instant::now(),
        };
        let mut executions = self.executions.lock().expect("no panic under the lock");
        executions.push(execution);
    }
}

enum Exit {
    Stop,
    Kill,
}

struct Process {
    exit: Option<oneshot::Sender<Exit>>,
    thread: JoinHandle<()>,
}

/// Machines, each with a process and a back end, and the store.
pub(crate) struct Deployment {
    layout: Layout,
    /// Stand-in for the platform's store.
    pub(crate) store: Store,
    processes: Vec<Option<Process>>,
    back_ends: Vec<BackEnd>,
    executions: Arc<ExecutionLog>,
    /// `born` of the back end started last.
    last_born: u64,
    next_id: AtomicU64,
    /// Machines whose process was replaced by another one at the same address.
    replaced: Vec<usize>,
    /// Whether no process reaches another one.
    isolated: bool,
    /// Whether the machines start for the first time.
    first_start: bool,
    /// Grace period of a planned stop in seconds.
    grace_s: u32,
    /// Whether each machine reaches the store through a forwarder of its own.
    forwards_store: bool,
    forwarders: Vec<Forwarder>,
}

/// Second byte of the addresses of these tests.
const ADDRESS_BLOCK: u8 = 77;
/// Machine number of the store.
const STORE_MACHINE: usize = 99;

impl Deployment {
    /// Starts machines with a configuration; each test has its own `net`, the third byte of its
    /// addresses.
    pub(crate) fn start(net: u8, machines: usize) -> Self {
        let deployment = Self::start_unconfigured(net, machines);
        deployment.store.write_config(1, &[]);
        deployment
    }

    /// Starts machines that all serve the idempotent path `/added/`, besides orders and keys.
    pub(crate) fn start_with_added_path(net: u8, machines: usize) -> Self {
        let deployment = Self::start(net, machines);
        deployment.store.write_config(2, &["/added/"]);
        deployment.await_serving(SETTLE_TIMEOUT);
        for machine in 0..machines {
            deployment.await_status(machine, "/added/", 200, SETTLE_TIMEOUT);
        }
        deployment
    }

    /// Starts machines whose planned stop has this grace period.
    pub(crate) fn start_with_grace(net: u8, machines: usize, grace_s: u32) -> Self {
        let mut deployment = Self::new(net, start_store(net));
        deployment.grace_s = grace_s;
        deployment.store.write_config(1, &[]);
        deployment.start_machines(machines);
        deployment
    }

    /// Starts machines each of which can be cut off from the store with
    /// [`Self::silence_store`].
    pub(crate) fn start_with_forwarders(net: u8, machines: usize) -> Self {
        let mut deployment = Self::new(net, start_store(net));
        deployment.forwards_store = true;
        deployment.store.write_config(1, &[]);
        deployment.start_machines(machines);
        deployment
    }

    /// Lets no more bytes pass between a machine and the store, without closing any connection.
    pub(crate) fn silence_store(&self, machine: usize) {
        self.forwarders[machine].silence();
    }

    /// Starts machines without a configuration.
    pub(crate) fn start_unconfigured(net: u8, machines: usize) -> Self {
        Self::start_with_store(net, machines, start_store(net))
    }

    /// Starts machines while the stored assignment gives all keys to a machine that no longer
    /// exists and whose address machine 1 uses.
    pub(crate) fn start_with_stale_owner(net: u8, machines: usize) -> Self {
        let store = start_store(net);
        let record = json!({
            "machine": "ghost",
            "address": Layout::new(ADDRESS_BLOCK, net).address(1, layout::PEER_PORT)
        });
        store.write("plantaingauge-members", "ghost", record);
        let lease = json!({"epoch": 1, "count": 5, "fenced": false});
        store.write("plantaingauge-leases", "ghost", lease);
        let assignment = json!({
            "fence": 1,
            "holders": {"ghost": {"epoch": 1, "life": {"id": "g", "born": 0}}},
            "ranges": [[0, 65_535, 1, ""]]
        });
        store.write("plantaingauge-assignments", "lists", assignment);
        store.write_config(1, &[]);
        let mut deployment = Self::new(net, store);
        deployment.first_start = false;
        deployment.start_machines(machines);
        deployment
    }

    /// Starts machines with a configuration on a store whose era is `era`.
    pub(crate) fn start_in_era(net: u8, machines: usize, era: u64) -> Self {
        let store = Store::start_in_era(store_address(net), era);
        store.write_config(1, &[]);
        Self::start_with_store(net, machines, store)
    }

    /// Starts machines with the stored record of one more peer, whose listener `listen` opens
    /// first.
    pub(crate) fn start_with_peer(
        net: u8,
        machines: usize,
        listen: impl FnOnce(SocketAddr),
    ) -> Self {
        let store = start_store(net);
        let address = Layout::new(ADDRESS_BLOCK, net).address(50, layout::PEER_PORT);
        listen(address);
        let record = json!({"machine": "slow", "address": address});
        store.write("plantaingauge-members", "slow", record);
        store.write_config(1, &[]);
        Self::start_with_store(net, machines, store)
    }

    /// Starts machines with a configuration that reach the store, but not each other.
    pub(crate) fn start_isolated(net: u8, machines: usize) -> Self {
        let mut deployment = Self::new(net, start_store(net));
        deployment.isolated = true;
        deployment.store.write_config(1, &["/added/"]);
        deployment.start_machines(machines);
        deployment
    }

    /// Starts machines, three in each zone, in this number of regions with as many zones each; the
    /// configuration is not written.
    pub(crate) fn start_spread(
        net: u8,
        machines: usize,
        regions: usize,
        zones_per_region: usize,
    ) -> Self {
        let mut deployment = Self::new(net, start_store(net));
        deployment.layout = deployment.layout.spread(regions, zones_per_region);
        deployment.start_machines(machines);
        deployment
    }

    fn start_with_store(net: u8, machines: usize, store: Store) -> Self {
        let mut deployment = Self::new(net, store);
        deployment.start_machines(machines);
        deployment
    }

    fn new(net: u8, store: Store) -> Self {
        Self {
            layout: Layout::new(ADDRESS_BLOCK, net),
            store,
            processes: Vec::new(),
            back_ends: Vec::new(),
            executions: Arc::default(),
            last_born: 1,
            next_id: AtomicU64::new(1),
            replaced: Vec::new(),
            isolated: false,
            first_start: true,
            grace_s: 6,
            forwards_store: false,
            forwarders: Vec::new(),
        }
    }

    fn start_machines(&mut self, machines: usize) {
        for _ in 0..machines {
            self.add_machine();
        }
        self.first_start = false;
    }

    /// Starts one more machine; returns its number.
    pub(crate) fn add_machine(&mut self) -> usize {
        let machine = self.processes.len();
        if self.forwards_store {
            let listen = self.layout.address(machine, layout::STORE_PORT);
            let forwarder = Forwarder::start(listen, self.store.address);
            self.forwarders.push(forwarder);
        }
        self.processes.push(None);
        self.start_process(machine);
        self.back_ends.push(self.start_back_end(machine, 1));
        machine
    }

    fn start_back_end(&self, machine: usize, born: u64) -> BackEnd {
        let config = self.layout.back_end_config(machine);
        let executions = Arc::clone(&self.executions);
        BackEnd::start(config, born, executions)
    }

    /// Crashes a machine's back end.
    pub(crate) fn crash_back_end(&self, machine: usize) {
        self.back_ends[machine].crash();
    }

    /// Starts a machine's back end again, as a new incarnation.
    pub(crate) fn restart_back_end(&mut self, machine: usize) {
        self.last_born += 1;
        self.back_ends[machine] = self.start_back_end(machine, self.last_born);
    }

    /// Returns the machines whose back end has crashed and was not restarted.
    pub(crate) fn crashed_back_ends(&self) -> Vec<usize> {
        let machines = 0..self.back_ends.len();
        machines
            .filter(|m| self.back_ends[*m].is_halted())
            .collect()
    }

    /// Returns the arrivals at back ends of requests whose id begins with `prefix`.
    pub(crate) fn arrivals(&self, prefix: &str) -> Vec<Arrival> {
        let arrivals = self.executions.arrivals.lock();
        let arrivals = arrivals.expect("no panic under the lock");
        let matching = arrivals.iter().filter(|a| a.request.starts_with(prefix));
        matching.cloned().collect()
    }

    /// Returns when requests arrived at the back end of a machine.
    pub(crate) fn arrivals_at(&self, machine: usize) -> Vec<Instant> {
        let id = self.layout.back_end_config(machine).id;
        let arrivals = self.arrivals("").into_iter();
        arrivals
            .filter(|a| a.back_end == id)
            .map(|a| a.at)
            .collect()
    }

    /// Returns how keys were held by two back ends at once or under fencing tokens that did not rise.
    pub(crate) fn key_violations(&self) -> Vec<String> {
        let holders = self.executions.key_holders.lock();
        let holders = holders.expect("no panic under the lock");
        holders.violations().to_vec()
    }

    /// Returns the back end of a machine.
    pub(crate) fn back_end(&self, machine: usize) -> &BackEnd {
        &self.back_ends[machine]
    }

    /// Returns the executions of requests whose id begins with `prefix`, in their order.
    pub(crate) fn executions(&self, prefix: &str) -> Vec<Execution> {
        let executions = self.executions.executions.lock();
        let executions = executions.expect("no panic under the lock");
        let matching = executions.iter().filter(|e| e.request.starts_with(prefix));
        matching.cloned().collect()
    }

    fn name(&self, machine: usize) -> String {
        let replaced = self.replaced.contains(&machine);
        format!("m-{machine}{}", if replaced { "-new" } else { "" })
    }

    fn settings(&self, machine: usize) -> Settings {
        let extra = format!("budgetExtraRetries={EXTRA_RETRIES}");
        let grace = format!("graceS={}", self.grace_s);
        let bounds = [
            &*grace,
            "holdMaxMs=10000",
            "coldOverage=1.5",
            "coldSlack=8",
            "evacuationMs=5000",
            &extra,
        ];
        let forwarder = self.forwarders.get(machine);
        let process = NodeSettings {
            name: &self.name(machine),
            back_end: self.layout.address(machine, layout::BACK_END_PORT),
            store: forwarder.map_or(self.store.address, Forwarder::address),
            bounds: &bounds.map(ToOwned::to_owned),
            first_start: self.first_start,
        };
        let text = self.layout.settings(machine, &process);
        let mut settings = Settings::from_json(text.as_bytes()).expect("well-formed");
        if self.isolated {
            settings.advertised_address = self.layout.address(machine, UNUSED_PORT);
        }
        settings
    }

    /// Starts a machine's process.
    pub(crate) fn start_process(&mut self, machine: usize) {
        let settings = self.settings(machine);
        let (exit, exit_requested) = oneshot::channel();
        let thread = std::thread::spawn(move || run_process(settings, exit_requested));
        self.processes[machine] = Some(Process {
            exit: Some(exit),
            thread,
        });
    }

    fn end_process(&mut self, machine: usize, how: Exit) {
        let Some(mut process) = self.processes[machine].take() else {
            return;
        };
        if let Some(exit) = process.exit.take() {
            let _ = exit.send(how);
        }
        process.thread.join().expect("the process ends");
    }

    /// Ends a machine's process without a graceful shutdown.
    pub(crate) fn kill_process(&mut self, machine: usize) {
        self.end_process(machine, Exit::Kill);
    }

    /// Starts the graceful shutdown of a machine's process.
    pub(crate) fn request_stop(&mut self, machine: usize) {
        let process = self.processes[machine].as_mut();
        if let Some(exit) = process.and_then(|p| p.exit.take()) {
            let _ = exit.send(Exit::Stop);
        }
    }

    /// Shuts a machine's process down gracefully and waits until it has ended.
    pub(crate) fn stop_process(&mut self, machine: usize) {
        self.end_process(machine, Exit::Stop);
    }

    /// Ends a machine's process and back end for good.
    pub(crate) fn kill_machine(&mut self, machine: usize) {
        self.back_ends[machine].halt();
        self.kill_process(machine);
    }

    /// Kills a machine and starts another one, without a back end, at its address.
    pub(crate) fn reuse_address(&mut self, machine: usize) {
        self.kill_machine(machine);
        self.replaced.push(machine);
        self.start_process(machine);
    }

    /// Restarts a machine's process and lets its back end deregister before it sends the next
    /// heartbeat.
    pub(crate) fn restart_and_deregister(&mut self, machine: usize) {
        self.back_ends[machine].set_heartbeats_paused(true);
        self.kill_process(machine);
        self.start_process(machine);
        let deadline = Instant::now() + START_TIMEOUT;
        while !matches!(self.back_ends[machine].deregister(), Ok(200)) {
            assert!(
                Instant::now() < deadline,
                "process of machine {machine} did not start"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
        self.back_ends[machine].set_heartbeats_paused(false);
    }

    /// Sends a heartbeat to the process on a machine; returns the status, 0 without a response.
    pub(crate) fn send_heartbeat(&self, machine: usize, id: &str, body: &[u8]) -> u16 {
        self.post(machine, &format!("Instances.Heartbeat/{id}"), body)
    }

    /// Sends a deregistration to the process on a machine; returns the status, 0 without a response.
    pub(crate) fn send_deregistration(&self, machine: usize, id: &str, body: &[u8]) -> u16 {
        self.post(machine, &format!("Instances.Deregister/{id}"), body)
    }

    fn post(&self, machine: usize, path: &str, body: &[u8]) -> u16 {
        let head = format!(
            "POST /plantaingauge/{path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let address = self.layout.address(machine, layout::HEARTBEAT_PORT);
        let request = [head.as_bytes(), body].concat();
        let response = http::call(address, request, Duration::from_secs(2));
        response.map_or(0, |r| r.status)
    }

    /// Returns the value of a metric without labels of the process on a machine.
    pub(crate) fn metric(&self, machine: usize, name: &str) -> Option<f64> {
        let address = self.layout.address(machine, layout::METRICS_PORT);
        let request = b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n";
        let response = http::call(address, request, Duration::from_secs(2)).ok()?;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let mut values = text.lines().filter_map(|l| l.strip_prefix(name));
        values.find_map(|v| v.trim().parse().ok())
    }

    /// Waits until a version of the configuration, or a later one, is in force on these machines.
    pub(crate) fn await_version(&self, machines: &[usize], version: u64, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        for machine in machines {
            let in_force = || self.metric(*machine, "plantaingauge_configuration_version");
            while in_force().is_none_or(|v| v < version as f64) {
                assert!(
                    Instant::now() < deadline,
                    "machine {machine} has no version {version} but {:?}",
                    in_force()
                );
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Returns the address of the process on a machine for callers.
    pub(crate) fn caller_address(&self, machine: usize) -> SocketAddr {
        self.layout.address(machine, layout::CALLER_PORT)
    }

    /// Returns the address of a machine's back end.
    pub(crate) fn back_end_address(&self, machine: usize) -> SocketAddr {
        self.layout.address(machine, layout::BACK_END_PORT)
    }

    /// Drains a machine's back end and waits until its process has confirmed the announcement.
    pub(crate) fn drain(&self, machine: usize) {
        self.back_ends[machine].drain();
    }

    fn next_id(&self) -> String {
        format!("r{}", self.next_id.fetch_add(1, Ordering::SeqCst))
    }

    /// Returns the number of orders that the back ends have executed.
    pub(crate) fn executed_orders(&self) -> u64 {
        self.back_ends.iter().map(BackEnd::order_count).sum()
    }

    /// Sends a request to the process on a machine.
    pub(crate) fn request(
        &self,
        machine: usize,
        method: &str,
        path: &str,
        key: Option<u16>,
    ) -> Reply {
        self.request_with_prefix("r", machine, method, path, key)
    }

    /// Sends a request whose id begins with `prefix`.
    pub(crate) fn request_with_prefix(
        &self,
        prefix: &str,
        machine: usize,
        method: &str,
        path: &str,
        key: Option<u16>,
    ) -> Reply {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{prefix}{number}");
        let at = self.layout.address(machine, layout::CALLER_PORT);
        send(at, &id, method, path, key)
    }

    /// Sends an order and closes the connection without reading the response after `delay`.
    pub(crate) fn order_and_disconnect(&self, machine: usize, delay: Duration) {
        let id = self.next_id();
        let at = self.layout.address(machine, layout::CALLER_PORT);
        let mut stream = TcpStream::connect(at).expect("the port is open");
        let text = encode(&id, "POST", ORDER, None);
        stream
            .write_all(text.as_bytes())
            .expect("the process reads the bytes");
        std::thread::sleep(delay);
    }

    /// Returns the address of a machine's process for its peers.
    pub(crate) fn peer_address(&self, machine: usize) -> SocketAddr {
        self.layout.address(machine, layout::PEER_PORT)
    }

    /// Sends an order and returns the connection on which its response will come.
    pub(crate) fn send_order(&self, machine: usize, path: &str) -> TcpStream {
        let mut stream = self.connect(machine);
        let text = encode(&self.next_id(), "POST", path, None);
        stream
            .write_all(text.as_bytes())
            .expect("the process reads the bytes");
        stream
    }

    /// Opens a connection for callers to the process on a machine.
    pub(crate) fn connect(&self, machine: usize) -> TcpStream {
        let at = self.layout.address(machine, layout::CALLER_PORT);
        TcpStream::connect(at).expect("the port is open")
    }

    /// Sends bytes to the port for peers and waits until the connection is closed.
    pub(crate) fn send_to_peer_port(&self, machine: usize, bytes: &[u8]) {
        let mut stream = TcpStream::connect(self.peer_address(machine)).expect("the port is open");
        stream
            .write_all(bytes)
            .expect("the process reads the bytes");
        stream
            .shutdown(Shutdown::Write)
            .expect("the connection is open");
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .expect("a valid time");
        let mut response = Vec::new();
        stream
            .read_to_end(&mut response)
            .expect("the process closes the connection");
    }

    /// Sends a request from another thread.
    pub(crate) fn request_in_background(
        &self,
        machine: usize,
        method: &'static str,
        path: &'static str,
    ) -> JoinHandle<Reply> {
        self.request_after(machine, method, path, Duration::ZERO)
    }

    /// Sends a request from another thread after `delay`.
    pub(crate) fn request_after(
        &self,
        machine: usize,
        method: &'static str,
        path: &'static str,
        delay: Duration,
    ) -> JoinHandle<Reply> {
        let id = self.next_id();
        let at = self.layout.address(machine, layout::CALLER_PORT);
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            send(at, &id, method, path, None)
        })
    }

    /// Repeats a request until its reply matches `predicate`; panics after `limit`.
    pub(crate) fn await_reply(
        &self,
        machine: usize,
        path: &str,
        key: Option<u16>,
        predicate: impl Fn(&Reply) -> bool,
        limit: Duration,
    ) -> Reply {
        let deadline = Instant::now() + limit;
        loop {
            let reply = self.request(machine, "GET", path, key);
            if predicate(&reply) {
                return reply;
            }
            assert!(
                Instant::now() < deadline,
                "machine {machine} {path}: {reply:?}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Repeats a request until its reply has the status; panics after `limit`.
    pub(crate) fn await_status(
        &self,
        machine: usize,
        path: &str,
        status: u16,
        limit: Duration,
    ) -> Reply {
        self.await_reply(machine, path, None, |r| r.status == status, limit)
    }

    /// Waits until requests for orders and for keys of lists succeed on every machine; panics after
    /// `limit`.
    pub(crate) fn await_serving(&self, limit: Duration) {
        let served = |reply: &Reply| reply.status == 200;
        for machine in 0..self.processes.len() {
            for key in [0, 20_000, 45_000, 65_535] {
                self.await_reply(machine, LISTING, Some(key), served, limit);
            }
            let deadline = Instant::now() + limit;
            while self.request(machine, "GET", "/orders-ready/", None).status != 404 {
                assert!(Instant::now() < deadline, "machine {machine} is not ready");
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }

    fn try_get(&self, machine: usize, port: u16, path: &str) -> std::io::Result<Response> {
        let text = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let address = self.layout.address(machine, port);
        http::call(address, &text, Duration::from_secs(5))
    }

    fn get(&self, machine: usize, port: u16, path: &str) -> Response {
        self.try_get(machine, port, path).expect("a response")
    }

    /// Returns the HTTP status of a machine's readiness endpoint, `None` while nobody listens.
    pub(crate) fn try_readiness(&self, machine: usize) -> Option<u16> {
        let response = self.try_get(machine, layout::READINESS_PORT, READINESS_PATH);
        response.ok().map(|r| r.status)
    }

    /// Returns the HTTP status of a machine's readiness endpoint.
    pub(crate) fn readiness(&self, machine: usize) -> u16 {
        self.try_readiness(machine).expect("a response")
    }

    /// Returns the metrics page of a machine's process.
    pub(crate) fn metrics(&self, machine: usize) -> String {
        let response = self.get(machine, layout::METRICS_PORT, "/metrics");
        String::from_utf8_lossy(&response.body).into_owned()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for back_end in &self.back_ends {
            back_end.halt();
        }
        for machine in 0..self.processes.len() {
            if let Some(process) = self.processes[machine].as_mut()
                && let Some(exit) = process.exit.take()
            {
                let _ = exit.send(Exit::Kill);
            }
        }
    }
}

fn store_address(net: u8) -> SocketAddr {
    Layout::new(ADDRESS_BLOCK, net).address(STORE_MACHINE, layout::STORE_PORT)
}

fn start_store(net: u8) -> Store {
    Store::start(store_address(net))
}

fn encode(id: &str, method: &str, path: &str, key: Option<u16>) -> String {
    let request = CallerRequest {
        id,
        method,
        path,
        key,
        timeout: CALLER_TIMEOUT,
        body: "",
    };
    request.to_string()
}

fn send(at: SocketAddr, id: &str, method: &str, path: &str, key: Option<u16>) -> Reply {
    let text = encode(id, method, path, key);
    let response = http::call(at, &text, CALLER_TIMEOUT + Duration::from_secs(1)).ok();
    Reply {
        status: response.as_ref().map_or(0, |r| r.status),
        response,
    }
}

fn run_process(settings: Settings, exit_requested: oneshot::Receiver<Exit>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let (stop, stopped) = oneshot::channel::<()>();
    LocalSet::new().block_on(&runtime, async move {
        let serving = node::run::serve(settings, async {
            let _ = stopped.await;
        });
        tokio::pin!(serving);
        tokio::select! {
            result = &mut serving => result.expect("the process starts"),
            exit = exit_requested => {
                if let Ok(Exit::Stop) = exit {
                    let _ = stop.send(());
                    serving.await.expect("the process stops");
                }
            }
        }
    });
}
