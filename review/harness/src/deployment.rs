//! A small deployment on loopback addresses: the store, and machines with a node process and a back
//! end each.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use stand_ins::store::Store;

use crate::back_end::{Ailment, BackEnd, Config};
use crate::record::Record;

pub const STORE_PORT: u16 = 8_309;
const IN_PORT: u16 = 8_300;
const BACK_END_PORT: u16 = 8_301;
const READY_PORT: u16 = 8_302;
const CALLER_PORT: u16 = 8_304;
const CONTROL_PORT: u16 = 8_306;
const FIRST_INTERNAL_PORT: u16 = 7_620;
const LAST_INTERNAL_PORT: u16 = 7_635;

/// Why a case could not run or what it has found.
#[derive(Debug)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun(String),
}

/// Addresses 127.77.NET.x that nobody uses.
#[derive(Clone, Copy, Debug)]
pub struct Net(u8);

impl Net {
    pub fn find() -> Option<Self> {
        let start = std::process::id() as usize;
        (0..200)
            .map(|i| ((start + i) % 200 + 20) as u8)
            .map(Self)
            .find(|net| {
                [STORE_PORT, CALLER_PORT, BACK_END_PORT]
                    .iter()
                    .all(|p| (1..=8).all(|m| TcpListener::bind(net.address(m, *p)).is_ok()))
            })
    }

    /// Address of a port on machine `machine`; 200 is the store's.
    pub fn address(self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 77, self.0, machine], port))
    }

    pub fn store(self) -> SocketAddr {
        self.address(200, STORE_PORT)
    }
}

/// One machine of a deployment.
#[derive(Clone, Debug)]
pub struct MachineSpec {
    pub service: String,
    pub sharded: bool,
    pub slots: usize,
    pub work: Duration,
    pub answer_bytes: usize,
    pub limit: Option<&'static str>,
    pub ailing: Option<Ailment>,
}

impl MachineSpec {
    pub fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            sharded: false,
            slots: 12,
            work: Duration::from_millis(80),
            answer_bytes: 5_000,
            limit: None,
            ailing: None,
        }
    }
}

/// Where a node's standard output goes.
pub enum Output {
    File,
    Pipe,
}

pub struct Deployment {
    pub net: Net,
    pub record: Record,
    pub store: Store,
    directory: PathBuf,
    /// Root of the repository, in which the platform starts the program.
    root: PathBuf,
    program: PathBuf,
    /// Address at which the nodes find the store.
    store_address: SocketAddr,
    specs: Vec<MachineSpec>,
    pub nodes: Vec<Option<Child>>,
    pub back_ends: Vec<Arc<BackEnd>>,
}

impl Deployment {
    pub fn new(case: &Path, specs: &[MachineSpec]) -> Result<Self, String> {
        let root = case
            .join("../..")
            .canonicalize()
            .map_err(|e| e.to_string())?;
        let program = root.join("target/release/plantaingauge-node");
        if !program.exists() {
            return Err("the build of the deploy file has not run".to_owned());
        }
        let record = Record::create(&case.join("record.txt")).map_err(|e| e.to_string())?;
        let net = Net::find().ok_or("no free addresses")?;
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(|e| e.to_string())?;
        Ok(Self {
            net,
            record,
            store: Store::start(net.store()),
            directory,
            root,
            program,
            store_address: net.store(),
            specs: specs.to_vec(),
            nodes: specs.iter().map(|_| None).collect(),
            back_ends: Vec::new(),
        })
    }

    /// Has the nodes reach the store at another address, such as that of a proxy.
    pub fn set_store_address(&mut self, address: SocketAddr) {
        self.store_address = address;
    }

    /// Writes a configuration; the store's response is its confirmation.
    pub fn configure(&self, version: u64, routes: &[Value]) {
        self.configure_with(version, routes, 67_108_864);
    }

    /// The same with a limit on the bytes of a body.
    pub fn configure_with(&self, version: u64, routes: &[Value], body_bytes: u64) {
        let mut services: Vec<(&str, bool)> = self
            .specs
            .iter()
            .map(|s| (s.service.as_str(), s.sharded))
            .collect();
        services.sort_unstable();
        services.dedup();
        let services: Vec<Value> = services
            .iter()
            .map(|(name, sharded)| json!([name, "/health", 110, "h1", false, sharded]))
            .collect();
        self.store.write(
            "config",
            "main",
            json!({
                "version": version,
                "routes": {
                    "columns": ["name", "host", "pathPrefix", "kind", "timeoutMs",
                        "targetLatencyMs", "priority", "service", "attempts"],
                    "rows": routes,
                },
                "services": {
                    "columns": ["name", "healthCheckPath", "connectionCap", "protocol", "tls",
                        "sharded"],
                    "rows": services,
                },
                "limits": {"headerBytes": 16_384, "bodyBytes": body_bytes,
                    "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
            }),
        );
        self.record
            .say(&format!("config confirmed version={version}"));
    }

    fn settings(&self, machine: usize, first_start: bool) -> Value {
        let m = u8::try_from(machine + 1).unwrap_or(255);
        let at = |port| self.net.address(m, port);
        json!({
            "nodeName": format!("sidecar-z1-{m}"), "role": "router", "machineClass": "sidecar",
            "serves": ["sidecar"], "ip": at(CALLER_PORT).ip(), "zone": "z1", "region": "r1",
            "zones": {"z1": "r1"},
            "listenAddresses": {"inbound": at(IN_PORT), "outbound": at(CALLER_PORT),
                "ready": at(READY_PORT), "control": at(CONTROL_PORT)},
            "internalPortRange": [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT], "seeds": [],
            "firstStart": first_start, "countsTowardTolerance": false,
            "limits": {"cpuShare": 0.2, "cpuCores": 1, "memoryMb": 260, "fileDescriptors": 4100,
                "linkMbps": 1000.0, "diskMb": 0},
            "dataDirectory": null, "discovery": "local", "entry": "local",
            "heartbeatIntervalMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": ["seedLagS=3", "addressReuseS=2", "stabilityWindowMs=3000", "ackMs=4000",
                "catchUpS=4", "drainMs=2500", "graceS=6", "lossSlackMs=200", "configApplyMs=2500",
                "downgradeSlackMs=250", "maxStretchMs=5000", "retryBudgetRatio=0.2",
                "budgetWindowS=10", "budgetExtraRetries=58", "recoveryS=15", "holdMaxMs=10000",
                "thawSlackMs=300"],
            "grants": "heartbeat", "applicationAddress": at(BACK_END_PORT),
            "service": self.specs[machine].service,
            "platform": {"address": self.store_address, "form": "objects", "writesPerS": 400,
                "readsPerS": 2000, "historyS": 20, "valueBytes": 1_048_576, "minTtlMs": 1000},
        })
    }

    /// Starts the node of a machine, as the deploy file does.
    pub fn start_node(
        &mut self,
        machine: usize,
        first: bool,
        output: Output,
    ) -> Result<(), String> {
        let path = self.directory.join(format!("m-{machine}.json"));
        let settings = self.settings(machine, first).to_string();
        std::fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = self.directory.join(format!("m-{machine}.log"));
        let stdout = match output {
            Output::Pipe => Stdio::piped(),
            Output::File => {
                let file = File::options().create(true).append(true).open(log);
                file.map_err(|e| e.to_string())?.into()
            }
        };
        let child = Command::new(&self.program)
            .current_dir(&self.root)
            .env_clear()
            .env("PLANTAINGAUGE_NODE_FILE", path)
            .stdin(Stdio::null())
            .stdout(stdout)
            .spawn()
            .map_err(|e| e.to_string())?;
        self.record.say(&format!(
            "node started machine={machine} pid={}",
            child.id()
        ));
        watch_over(child.id());
        self.nodes[machine] = Some(child);
        Ok(())
    }

    /// Starts all nodes and back ends.
    pub fn start_all(&mut self) -> Result<(), String> {
        for machine in 0..self.specs.len() {
            self.start_node(machine, true, Output::File)?;
            self.start_back_end(machine);
        }
        Ok(())
    }

    pub fn start_back_end(&mut self, machine: usize) {
        let spec = self.specs[machine].clone();
        let config = Config {
            id: format!("i-{:08x}", 0x51a0 + machine),
            service: spec.service,
            address: self.back_end_address(machine),
            control: self.control(machine),
            slots: spec.slots,
            heartbeat: Duration::from_millis(1_500),
            sharded: spec.sharded,
            work: spec.work,
            answer_bytes: spec.answer_bytes,
            limit: spec.limit,
            ailing: spec.ailing,
        };
        self.back_ends.push(BackEnd::start(config, &self.record));
    }

    fn at(&self, machine: usize, port: u16) -> SocketAddr {
        self.net
            .address(u8::try_from(machine + 1).unwrap_or(255), port)
    }

    pub fn callers(&self, machine: usize) -> SocketAddr {
        self.at(machine, CALLER_PORT)
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        self.at(machine, CONTROL_PORT)
    }

    pub fn ready(&self, machine: usize) -> SocketAddr {
        self.at(machine, READY_PORT)
    }

    pub fn back_end_address(&self, machine: usize) -> SocketAddr {
        self.at(machine, BACK_END_PORT)
    }

    pub fn pid(&self, machine: usize) -> u32 {
        self.nodes[machine].as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to a node that this deployment started.
    pub fn signal(&self, machine: usize, signal: &str) {
        let pid = self.pid(machine);
        if pid != 0 {
            send_signal(pid, signal);
            self.record
                .say(&format!("signal machine={machine} {signal}"));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.nodes.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
        self.record.flush();
    }
}

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn watch_over(pid: u32) {
    STARTED.lock().unwrap().push(pid);
}

/// Sends a signal to a process that the script has started.
pub fn send_signal(pid: u32, signal: &str) {
    let kill = format!("kill -{signal} {pid}");
    let _ = Command::new("sh").args(["-c", &kill]).status();
}

/// Ends the script and its processes if it takes longer than `limit`.
pub fn start_watchdog(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for pid in STARTED.lock().unwrap().iter() {
            send_signal(*pid, "KILL");
        }
        println!("the script took too long");
        std::process::exit(2);
    });
}

/// A row of the table of routes.
pub fn route(name: &str, path: &str, kind: &str, timeout_ms: u64, service: &str) -> Value {
    json!([
        name,
        "h.example",
        path,
        kind,
        timeout_ms,
        500,
        1,
        service,
        2
    ])
}

/// Waits until `done` returns true; false if that takes longer than `limit`.
pub fn wait_for(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
