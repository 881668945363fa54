//! A small deployment on loopback: every third machine offers orders, the others hold the keys of
//! lists.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use http1::response::Response;
use platform::settings::Settings;
use serde_json::json;
use stand_ins::back_end::{BackEnd, NoopObserver};
use stand_ins::caller::CallerRequest;
use stand_ins::http;
use stand_ins::layout::{self, Layout, NodeSettings};
use stand_ins::store::Store;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Path of a keyed request that may run more than once.
pub(crate) const LISTING: &str = "/list/today";
/// Path of a request that must run once at most.
pub(crate) const ORDER: &str = "/orders/new";

/// Time that callers state as their patience.
const PATIENCE: Duration = Duration::from_secs(4);
/// Time in which a process starts.
const START_TIME: Duration = Duration::from_secs(5);
/// Pause between two tries of a caller that waits for an outcome.
const PAUSE: Duration = Duration::from_millis(50);

/// An answer as a caller sees it.
#[derive(Debug)]
pub(crate) struct Reply {
    /// Status, 0 if there was no answer.
    pub(crate) status: u16,
    response: Option<Response>,
}

impl Reply {
    /// A header field.
    pub(crate) fn text(&self, name: &str) -> Option<String> {
        let response = self.response.as_ref()?;
        response.headers.text(name).map(str::to_owned)
    }

    /// The caller that the back end was told.
    pub(crate) fn caller(&self) -> String {
        self.text("X-Caller").unwrap_or_default()
    }

    /// The back end that ran the request.
    pub(crate) fn back_end(&self) -> String {
        self.text("X-Back-End").unwrap_or_default()
    }
}

enum End {
    Stop,
    Kill,
}

struct Process {
    end: Option<oneshot::Sender<End>>,
    thread: JoinHandle<()>,
}

/// The deployment.
pub(crate) struct Deployment {
    layout: Layout,
    /// The store.
    pub(crate) store: Store,
    processes: Vec<Option<Process>>,
    back_ends: Vec<BackEnd>,
    next_id: AtomicU64,
    /// Machines that took the addresses of lost ones.
    replaced: Vec<usize>,
}

/// Second byte of the addresses of these tests.
const BLOCK: u8 = 77;
/// Position of the store's machine.
const STORE_MACHINE: usize = 99;

impl Deployment {
    /// Starts `machines` machines under a configuration; `net` keeps tests apart.
    pub(crate) fn start(net: u8, machines: usize) -> Self {
        let day = Self::start_unconfigured(net, machines);
        day.store.write_config(1, &[]);
        day
    }

    /// Starts machines without a configuration.
    pub(crate) fn start_unconfigured(net: u8, machines: usize) -> Self {
        Self::start_beside(net, machines, start_store(net))
    }

    /// Starts machines whose keys are stored as those of a machine that is gone, and whose address
    /// machine 1 has now.
    pub(crate) fn start_after_ghost(net: u8, machines: usize) -> Self {
        let store = start_store(net);
        let entry = json!({
            "machine": "ghost",
            "address": Layout::new(BLOCK, net).address(1, layout::PEER_PORT)
        });
        store.write("plantaingauge-members", "ghost", entry);
        let lease = json!({"epoch": 1, "count": 5, "fenced": false});
        store.write("plantaingauge-leases", "ghost", lease);
        let assignment = json!({
            "fence": 1,
            "holders": {"ghost": {"epoch": 1, "life": {"id": "g", "born": 0}}},
            "ranges": [[0, 65_535, 1, ""]]
        });
        store.write("plantaingauge-assignments", "lists", assignment);
        store.write_config(1, &[]);
        Self::start_beside(net, machines, store)
    }

    /// Starts machines beside a process that listens at the returned address already.
    pub(crate) fn start_beside_slow(
        net: u8,
        machines: usize,
        listen: impl FnOnce(SocketAddr),
    ) -> Self {
        let store = start_store(net);
        let slow = Layout::new(BLOCK, net).address(50, layout::PEER_PORT);
        listen(slow);
        let entry = json!({"machine": "slow", "address": slow});
        store.write("plantaingauge-members", "slow", entry);
        store.write_config(1, &[]);
        Self::start_beside(net, machines, store)
    }

    fn start_beside(net: u8, machines: usize, store: Store) -> Self {
        let mut day = Self {
            layout: Layout::new(BLOCK, net),
            store,
            processes: Vec::new(),
            back_ends: Vec::new(),
            next_id: AtomicU64::new(1),
            replaced: Vec::new(),
        };
        for machine in 0..machines {
            day.processes.push(None);
            day.start_process(machine);
            day.back_ends.push(day.start_back_end(machine, 1));
        }
        day
    }

    fn start_back_end(&self, machine: usize, born: u64) -> BackEnd {
        let config = self.layout.back_end_config(machine);
        BackEnd::start(config, born, Arc::new(NoopObserver))
    }

    /// Ends the process of a machine's back end.
    pub(crate) fn crash_back_end(&self, machine: usize) {
        self.back_ends[machine].crash();
    }

    /// Starts a machine's back end again, as another boot.
    pub(crate) fn restart_back_end(&mut self, machine: usize) {
        self.back_ends[machine] = self.start_back_end(machine, 2);
    }

    fn name(&self, machine: usize) -> String {
        let replaced = self.replaced.contains(&machine);
        format!("m-{machine}{}", if replaced { "-new" } else { "" })
    }

    fn settings(&self, machine: usize) -> Settings {
        let bounds = ["graceS=6", "holdMaxMs=10000", "budgetExtraRetries=40"];
        let process = NodeSettings {
            name: &self.name(machine),
            back_end: self.layout.address(machine, layout::BACK_END_PORT),
            store: self.store.address,
            bounds: &bounds.map(str::to_owned),
        };
        let text = self.layout.settings(machine, &process);
        Settings::from_json(text.as_bytes()).expect("well-formed")
    }

    /// Starts a machine's process.
    pub(crate) fn start_process(&mut self, machine: usize) {
        let settings = self.settings(machine);
        let (end, ended) = oneshot::channel();
        let thread = std::thread::spawn(move || run_process(settings, ended));
        self.processes[machine] = Some(Process {
            end: Some(end),
            thread,
        });
    }

    fn end_process(&mut self, machine: usize, how: End) {
        let Some(mut process) = self.processes[machine].take() else {
            return;
        };
        if let Some(end) = process.end.take() {
            let _ = end.send(how);
        }
        process.thread.join().expect("the process ends");
    }

    /// Ends a process at once.
    pub(crate) fn kill_process(&mut self, machine: usize) {
        self.end_process(machine, End::Kill);
    }

    /// Asks a process to stop.
    pub(crate) fn ask_to_stop(&mut self, machine: usize) {
        let process = self.processes[machine].as_mut();
        if let Some(end) = process.and_then(|p| p.end.take()) {
            let _ = end.send(End::Stop);
        }
    }

    /// Asks a process to stop and waits until it has.
    pub(crate) fn stop_process(&mut self, machine: usize) {
        self.end_process(machine, End::Stop);
    }

    /// Ends a machine's process and back end for good.
    pub(crate) fn lose_machine(&mut self, machine: usize) {
        self.back_ends[machine].halt();
        self.kill_process(machine);
    }

    /// Loses a machine and starts another process, without a back end, at its address.
    pub(crate) fn reuse_address(&mut self, machine: usize) {
        self.lose_machine(machine);
        self.replaced.push(machine);
        self.start_process(machine);
    }

    /// Starts a machine's process anew and lets its back end say that it leaves for good before it
    /// sends the next heartbeat.
    pub(crate) fn restart_and_deregister(&mut self, machine: usize) {
        self.back_ends[machine].set_heartbeats_paused(true);
        self.kill_process(machine);
        self.start_process(machine);
        let end = Instant::now() + START_TIME;
        while self.back_ends[machine].deregister().is_err() {
            assert!(Instant::now() < end, "machine {machine} does not start");
            std::thread::sleep(PAUSE);
        }
        self.back_ends[machine].set_heartbeats_paused(false);
    }

    /// Lets a machine's back end announce that it leaves, and waits until that is confirmed.
    pub(crate) fn drain(&self, machine: usize) {
        self.back_ends[machine].drain();
    }

    /// Orders that back ends have run.
    pub(crate) fn runs_of_orders(&self) -> u64 {
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
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        send(
            self.layout.address(machine, layout::CALLER_PORT),
            id,
            method,
            path,
            key,
        )
    }

    /// Sends an order and leaves without its answer after a while.
    pub(crate) fn order_and_leave(&self, machine: usize, after: Duration) {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let at = self.layout.address(machine, layout::CALLER_PORT);
        let mut stream = TcpStream::connect(at).expect("it listens");
        let text = encode(id, "POST", ORDER, None);
        stream.write_all(text.as_bytes()).expect("it reads");
        std::thread::sleep(after);
    }

    /// Sends bytes where other processes connect, and waits until the connection is closed.
    pub(crate) fn send_to_peer_port(&self, machine: usize, bytes: &[u8]) {
        let at = self.layout.address(machine, layout::PEER_PORT);
        let mut stream = TcpStream::connect(at).expect("it listens");
        stream.write_all(bytes).expect("it reads");
        stream.shutdown(Shutdown::Write).expect("it is open");
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .expect("a valid time");
        let mut response = Vec::new();
        stream.read_to_end(&mut response).expect("it is closed");
    }

    /// Sends a request without waiting for its answer.
    pub(crate) fn request_in_background(
        &self,
        machine: usize,
        method: &'static str,
        path: &'static str,
    ) -> JoinHandle<Reply> {
        self.request_after(machine, method, path, Duration::ZERO)
    }

    /// Sends a request after a while, without waiting for its answer.
    pub(crate) fn request_after(
        &self,
        machine: usize,
        method: &'static str,
        path: &'static str,
        pause: Duration,
    ) -> JoinHandle<Reply> {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let at = self.layout.address(machine, layout::CALLER_PORT);
        std::thread::spawn(move || {
            std::thread::sleep(pause);
            send(at, id, method, path, None)
        })
    }

    /// Repeats a request until its answer is as wanted.
    pub(crate) fn await_reply(
        &self,
        machine: usize,
        path: &str,
        key: Option<u16>,
        wanted: impl Fn(&Reply) -> bool,
        limit: Duration,
    ) -> Reply {
        let end = Instant::now() + limit;
        loop {
            let reply = self.request(machine, "GET", path, key);
            if wanted(&reply) {
                return reply;
            }
            assert!(Instant::now() < end, "machine {machine} {path}: {reply:?}");
            std::thread::sleep(PAUSE);
        }
    }

    /// Repeats a request until its answer has the status.
    pub(crate) fn await_status(
        &self,
        machine: usize,
        path: &str,
        status: u16,
        limit: Duration,
    ) -> Reply {
        self.await_reply(machine, path, None, |r| r.status == status, limit)
    }

    /// Waits until every machine serves orders and the keys of lists.
    pub(crate) fn await_served(&self, limit: Duration) {
        let served = |reply: &Reply| reply.status == 200;
        for machine in 0..self.processes.len() {
            for key in [0, 20_000, 45_000, 65_535] {
                self.await_reply(machine, LISTING, Some(key), served, limit);
            }
            let end = Instant::now() + limit;
            while self.request(machine, "GET", "/orders-ready/", None).status != 404 {
                assert!(Instant::now() < end, "machine {machine} is not ready");
                std::thread::sleep(PAUSE);
            }
        }
    }

    fn ask(&self, machine: usize, port: u16, path: &str) -> Response {
        let text = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        http::call(
            self.layout.address(machine, port),
            &text,
            Duration::from_secs(5),
        )
        .expect("an answer")
    }

    /// Status of a process's readiness.
    pub(crate) fn readiness(&self, machine: usize) -> u16 {
        self.ask(machine, layout::READINESS_PORT, "/plantaingauge/readiness")
            .status
    }

    /// A process's metrics.
    pub(crate) fn metrics(&self, machine: usize) -> String {
        let response = self.ask(machine, layout::METRICS_PORT, "/metrics");
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
                && let Some(end) = process.end.take()
            {
                let _ = end.send(End::Kill);
            }
        }
    }
}

fn start_store(net: u8) -> Store {
    Store::start(Layout::new(BLOCK, net).address(STORE_MACHINE, layout::STORE_PORT))
}

fn encode(id: u64, method: &str, path: &str, key: Option<u16>) -> String {
    let call = CallerRequest {
        id: &format!("r{id}"),
        method,
        path,
        key,
        timeout: PATIENCE,
    };
    call.to_string()
}

fn send(at: SocketAddr, id: u64, method: &str, path: &str, key: Option<u16>) -> Reply {
    let text = encode(id, method, path, key);
    let response = http::call(at, &text, PATIENCE + Duration::from_secs(1)).ok();
    Reply {
        status: response.as_ref().map_or(0, |a| a.status),
        response,
    }
}

fn run_process(settings: Settings, ended: oneshot::Receiver<End>) {
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
            end = ended => {
                if let Ok(End::Stop) = end {
                    let _ = stop.send(());
                    serving.await.expect("the process stops");
                }
            }
        }
    });
}
