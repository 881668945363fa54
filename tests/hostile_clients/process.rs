//! The process under test with its back end and store, and what it uses of its machine.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use stand_ins::back_end::{BackEnd, NoopObserver};
use stand_ins::caller::CallerRequest;
use stand_ins::http;
use stand_ins::layout::{self, Layout, NodeSettings};
use stand_ins::store::Store;

/// Second octet of the addresses of these tests.
const SECOND_OCTET: u8 = 83;
/// Machine of the store.
const STORE_MACHINE: usize = 100;
/// Time until the process serves, and until it answers an ordinary request.
const SERVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two attempts at an ordinary request.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one ordinary request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Length of a VmHWM unit in bytes.
const BYTES_PER_KB: u64 = 1_024;
const BYTES_PER_MB: u64 = 1_000_000;
/// Time between two looks at the peak memory and the descriptors, which are taken once neither has risen for
/// so many looks: until then the process may not have read what clients have sent.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
const STEADY_LOOKS: usize = 4;
const MAX_LOOKS: usize = 50;

/// Lets one test run at a time.
static LOCK: Mutex<()> = Mutex::new(());
/// Third octet of the addresses of the next test.
static NEXT_OCTET: AtomicU8 = AtomicU8::new(0);

/// Limits of the process, and those of the operator's configuration on requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Memory of the process in MB.
    pub(crate) memory_mb: u64,
    /// Descriptors of the process.
    pub(crate) descriptors: u64,
    /// Largest request head in bytes.
    pub(crate) head_bytes: usize,
    /// Largest request body in bytes.
    pub(crate) body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 96,
            descriptors: 256,
            head_bytes: 16_384,
            body_bytes: 8_000_000,
        }
    }
}

/// A running process.
pub(crate) struct Process {
    layout: Layout,
    limits: Limits,
    child: Child,
    back_end: BackEnd,
    directory: tempfile::TempDir,
    _lock: MutexGuard<'static, ()>,
}

impl Process {
    /// Starts a process and waits until it serves.
    pub(crate) fn start(limits: Limits) -> Self {
        let lock = LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let layout = Layout::new(SECOND_OCTET, NEXT_OCTET.fetch_add(1, Ordering::SeqCst));
        let store = Store::start(layout.address(STORE_MACHINE, layout::STORE_PORT));
        store.write("config", "main", configuration(limits));
        let back_end = BackEnd::start(layout.back_end_config(0), 1, Arc::new(NoopObserver));
        let directory = tempfile::tempdir().expect("a writable directory");
        let path = directory.path().join("settings.json");
        std::fs::write(&path, settings(layout, &store, limits)).expect("a writable file");
        let log = std::fs::File::create(directory.path().join("log")).expect("a writable file");
        let child = Command::new(PathBuf::from(env!("CARGO_BIN_EXE_plantaingauge-node")))
            .env("PLANTAINGAUGE_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the program starts");
        let process = Self {
            layout,
            limits,
            child,
            back_end,
            directory,
            _lock: lock,
        };
        process.await_ordinary_response();
        process
    }

    /// Returns the address of one of its ports.
    pub(crate) fn address(&self, port: u16) -> SocketAddr {
        self.layout.address(0, port)
    }

    /// Returns the answer to a request for `path` with `body`, or why there is none.
    pub(crate) fn call(&self, path: &str, body: &str, timeout: Duration) -> std::io::Result<u16> {
        let request = CallerRequest {
            id: "ordinary",
            method: "POST",
            path,
            key: None,
            timeout,
            body,
        };
        let address = self.address(layout::CALLER_PORT);
        http::call(address, request.to_string(), timeout).map(|r| r.status)
    }

    /// Checks all that a misbehaving client must not change; prints the figures.
    pub(crate) fn check(&mut self, case: &str) {
        let descriptors = self.await_steady();
        let answered = self.is_ordinary_request_answered();
        let ended = self.child.try_wait().expect("a child process");
        let peak = self.peak_memory();
        let log = std::fs::read_to_string(self.directory.path().join("log")).unwrap_or_default();
        println!(
            "{case}: peak {} kB, {} descriptors, answered {answered}, ended {ended:?}",
            peak / BYTES_PER_KB,
            descriptors
        );
        assert!(ended.is_none(), "{case}: the process ended: {log}");
        let memory = self.limits.memory_mb * BYTES_PER_MB;
        let most = self.limits.descriptors;
        assert!(
            peak <= memory && descriptors <= most && answered,
            "{case}: peak {peak} of {memory} bytes, {descriptors} of {most} descriptors, ordinary \
             request answered: {answered}; end of log: {}",
            log.lines().rev().take(20).collect::<Vec<_>>().join("\n")
        );
    }

    fn await_ordinary_response(&self) {
        assert!(self.is_ordinary_request_answered(), "the process serves");
    }

    /// Returns whether the process answers a caller's request and a readiness check in time.
    fn is_ordinary_request_answered(&self) -> bool {
        let end = Instant::now() + SERVE_TIMEOUT;
        while Instant::now() < end {
            let status = self.call("/orders/", "", REQUEST_TIMEOUT);
            if status.is_ok_and(|s| s == 200) && self.is_ready() {
                return true;
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        false
    }

    fn is_ready(&self) -> bool {
        let address = self.address(layout::READINESS_PORT);
        let request = "GET /plantaingauge/readiness HTTP/1.1\r\n\r\n";
        http::call(address, request, REQUEST_TIMEOUT).is_ok_and(|r| r.status == 200)
    }

    /// Waits until the process has read what clients have sent; returns the most descriptors seen.
    fn await_steady(&self) -> u64 {
        let mut most = (0, 0);
        let mut steady = 0;
        for _ in 0..MAX_LOOKS {
            let now = (self.peak_memory(), self.descriptors());
            let has_risen = now.0 > most.0 || now.1 > most.1;
            most = (most.0.max(now.0), most.1.max(now.1));
            steady = if has_risen { 0 } else { steady + 1 };
            if steady == STEADY_LOOKS {
                break;
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
        most.1
    }

    fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.map_or(u64::MAX, |n| n * BYTES_PER_KB)
    }

    fn descriptors(&self) -> u64 {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).map_or(u64::MAX, |entries| entries.count() as u64)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.back_end.crash();
    }
}

fn settings(layout: Layout, store: &Store, limits: Limits) -> String {
    let node = NodeSettings {
        name: "m-0",
        back_end: layout.address(0, layout::BACK_END_PORT),
        store: store.address,
        bounds: &[],
        first_start: true,
    };
    let mut settings: Value =
        serde_json::from_str(&layout.settings(0, &node)).expect("settings in JSON");
    settings["limits"] =
        json!({"memoryMb": limits.memory_mb, "fileDescriptors": limits.descriptors});
    settings.to_string()
}

fn configuration(limits: Limits) -> Value {
    json!({
        "version": 1,
        "routes": {
            "columns": ["name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs",
                "priority", "service", "attempts"],
            "rows": [["order", "h.example", "/orders/", "safe", 30_000, 10_000, 1, "orders", 1]]
        },
        "services": {
            "columns": ["name", "healthCheckPath", "connectionCap"],
            "rows": [["orders", "/health", 100]]
        },
        "limits": {"headerBytes": limits.head_bytes, "bodyBytes": limits.body_bytes}
    })
}
