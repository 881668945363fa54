//! The node processes under test, each with its back end and the proxies on its connections.
//!
//! The connections of each [`Link`] pass a [`Proxy`], which injects faults; callers bypass them.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use snafu::{ResultExt, Snafu};
use stand_ins::back_end::{BackEnd, BackEndConfig};
use stand_ins::layout::{self, Layout, NodeSettings};
use stand_ins::store::Store;

use crate::invariants::InvariantChecker;
use crate::notices::Notice;
use crate::plan::Link;
use crate::proxy::{LinkFault, Proxy};
use crate::run::STORE_MACHINE;

/// Time limit of a graceful shutdown (`graceS`), after which the process is killed.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(6);
/// Time from the end of a process or back end to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Number of machines that are cut off at once from the store and all peers.
const CUT_OFF_MACHINES: usize = 2;

/// Second octet of the addresses of soaks.
const SECOND_OCTET: u8 = 78;
/// Number of third octets from which a soak takes one.
const THIRD_OCTETS: u64 = 251;
/// Machine and port on which a soak listens for as long as it uses its third octet.
const CLAIM: (usize, u16) = (253, 7_999);
/// Offset of a proxy's port from the port behind it.
const PROXY_OFFSET: u16 = 100;

/// Returns the port of the proxy in front of a port.
fn proxy_port(port: u16) -> u16 {
    port + PROXY_OFFSET
}

/// Error when a node cannot be started.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A settings or log file cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The program cannot be started.
    #[snafu(display("cannot start {}: {source}", program.display()))]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// Why.
        source: std::io::Error,
    },
}

/// Addresses and files of one soak.
#[derive(Clone, Debug)]
pub struct Environment {
    /// Addresses of the deployment.
    pub layout: Layout,
    /// Keeps other soaks from the addresses; `None` if all are in use.
    _claim: Option<Arc<TcpListener>>,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Program that the nodes run.
    pub program: PathBuf,
}

impl Environment {
    /// Creates the environment of a soak.
    ///
    /// Its addresses are those of no other soak that runs at the same time.
    #[must_use]
    pub fn new(directory: PathBuf, program: PathBuf, seed: u64) -> Self {
        let first = seed.wrapping_add(u64::from(std::process::id()).wrapping_mul(61));
        let layout = |i: u64| {
            let octet = first.wrapping_add(i) % THIRD_OCTETS;
            Layout::new(SECOND_OCTET, u8::try_from(octet).unwrap_or_default())
        };
        let claimed = (0..THIRD_OCTETS).find_map(|i| Some((layout(i), claim(layout(i))?)));
        let (layout, claim) = claimed.map_or((layout(0), None), |(l, c)| (l, Some(Arc::new(c))));
        Self {
            layout,
            _claim: claim,
            directory,
            program,
        }
    }

    fn settings_path(&self, machine: usize) -> PathBuf {
        self.directory.join(format!("m-{machine}.json"))
    }
}

/// Listens on the address that stands for all of a layout; `None` if another soak does or its store
/// still listens.
fn claim(layout: Layout) -> Option<TcpListener> {
    let (machine, port) = CLAIM;
    let listener = TcpListener::bind(layout.address(machine, port)).ok()?;
    TcpListener::bind(layout.address(STORE_MACHINE, layout::STORE_PORT)).ok()?;
    Some(listener)
}

enum Process {
    Running(Child),
    Stopping { child: Child, since: Instant },
    Down { restart_at: Instant },
}

impl Process {
    /// Kills the process if it is running and schedules its restart.
    fn kill(&mut self) {
        if let Process::Running(child) | Process::Stopping { child, .. } = self {
            // Fails only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
        let restart_at = Instant::now() + RESTART_DELAY;
        *self = Process::Down { restart_at };
    }

    /// Sends SIGTERM unless the process is already stopping or down.
    fn stop(&mut self) {
        let now = Instant::now();
        *self = match std::mem::replace(self, Process::Down { restart_at: now }) {
            Process::Running(child) => {
                let stopping = Process::Stopping { child, since: now };
                stopping.signal(Signal::TERM);
                stopping
            }
            other => other,
        };
    }

    /// Sends a signal to the process unless it is down.
    fn signal(&self, signal: Signal) {
        let (Process::Running(child) | Process::Stopping { child, .. }) = self else {
            return;
        };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // Fails only if the process has exited, which the next poll detects.
            let _ = kill_process(pid, signal);
        }
    }

    fn is_down(&self) -> bool {
        matches!(self, Process::Down { .. })
    }
}

struct Machine {
    process: Process,
    paused: bool,
    back_end: Option<BackEnd>,
    born: u64,
    back_end_restart_at: Option<Instant>,
    proxies: BTreeMap<Link, Proxy>,
    /// Number of starts of the process so far.
    process_run: u64,
    /// Time of the last fault here that may have aborted or delayed a caller's request.
    last_fault_at: Instant,
}

impl Machine {
    fn is_halted(&self) -> bool {
        self.paused || !matches!(self.process, Process::Running(_))
    }
}

/// All machines of the deployment.
pub struct Fleet {
    environment: Environment,
    checker: Arc<InvariantChecker>,
    machines: Vec<Machine>,
    reloads: u64,
}

impl Fleet {
    /// Starts all machines with `store` as their object store.
    ///
    /// # Errors
    /// Fails if a file cannot be written or the program cannot be started.
    pub fn start(
        environment: Environment,
        machines: usize,
        store: &Store,
        checker: Arc<InvariantChecker>,
    ) -> Result<Self, FleetError> {
        let mut fleet = Self {
            environment,
            checker,
            machines: Vec::new(),
            reloads: 0,
        };
        for machine in 0..machines {
            let proxies = fleet.start_proxies(machine, store);
            fleet.write_settings(machine, true)?;
            fleet.machines.push(Machine {
                process: Process::Running(fleet.spawn(machine)?),
                paused: false,
                back_end: Some(fleet.start_back_end(machine, 1)),
                born: 1,
                back_end_restart_at: None,
                proxies,
                process_run: 1,
                last_fault_at: Instant::now(),
            });
        }
        Ok(fleet)
    }

    fn start_proxies(&self, machine: usize, store: &Store) -> BTreeMap<Link, Proxy> {
        let address = |port| self.environment.layout.address(machine, port);
        let proxies = [
            (Link::Peers, layout::PEER_PORT, address(layout::PEER_PORT)),
            (Link::Store, layout::STORE_PORT, store.address),
            (
                Link::BackEnd,
                layout::BACK_END_PORT,
                address(layout::BACK_END_PORT),
            ),
            (
                Link::Heartbeats,
                layout::HEARTBEAT_PORT,
                address(layout::HEARTBEAT_PORT),
            ),
        ];
        proxies
            .into_iter()
            .map(|(link, port, target)| (link, Proxy::start(address(proxy_port(port)), target)))
            .collect()
    }

    fn start_back_end(&self, machine: usize, born: u64) -> BackEnd {
        let proxy_address = |port| self.environment.layout.address(machine, proxy_port(port));
        let config = BackEndConfig {
            advertised_address: proxy_address(layout::BACK_END_PORT),
            heartbeat_address: proxy_address(layout::HEARTBEAT_PORT),
            ..self.environment.layout.back_end_config(machine)
        };
        let checker = Arc::clone(&self.checker);
        BackEnd::start(config, born, checker)
    }

    fn write_settings(&self, machine: usize, first_start: bool) -> Result<(), FleetError> {
        let proxy_address = |port| self.environment.layout.address(machine, proxy_port(port));
        let extra_retries = 8 + self.reloads % 4;
        let settings = NodeSettings {
            name: &format!("m-{machine}"),
            back_end: proxy_address(layout::BACK_END_PORT),
            store: proxy_address(layout::STORE_PORT),
            bounds: &[
                format!("graceS={}", SHUTDOWN_LIMIT.as_secs()),
                "holdMaxMs=10000".to_owned(),
                "retryBudgetRatio=0.2".to_owned(),
                format!("budgetExtraRetries={extra_retries}"),
            ],
            first_start,
        };
        let text = self.environment.layout.settings(machine, &settings);
        let path = self.environment.settings_path(machine);
        std::fs::write(&path, text).context(FileSnafu { path })
    }

    fn spawn(&self, machine: usize) -> Result<Child, FleetError> {
        let path = self.environment.directory.join(format!("m-{machine}.log"));
        let log = File::options().create(true).append(true).open(&path);
        let log = log.context(FileSnafu { path })?;
        let program = &self.environment.program;
        Command::new(program)
            .env(
                "PLANTAINGAUGE_NODE_FILE",
                self.environment.settings_path(machine),
            )
            .env(
                "PLANTAINGAUGE_PEER_ADDRESS",
                self.environment
                    .layout
                    .address(machine, proxy_port(layout::PEER_PORT))
                    .to_string(),
            )
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .context(StartSnafu { program })
    }

    /// Returns the number of machines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Returns whether there are no machines.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Returns how often the node on a machine has been started.
    #[must_use]
    pub fn process_run(&self, machine: usize) -> u64 {
        self.machines[machine].process_run
    }

    /// Returns whether a fault since `since` may have aborted or delayed a caller's request there.
    #[must_use]
    pub fn had_fault_since(&self, machine: usize, since: Instant) -> bool {
        let m = &self.machines[machine];
        m.paused || m.last_fault_at >= since || m.process.is_down()
    }

    /// Suspends a node process with SIGSTOP.
    pub fn pause(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        m.process.signal(Signal::STOP);
        m.paused = !m.process.is_down();
    }

    /// Resumes a node process that [`Self::pause`] suspended.
    pub fn resume(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        if !std::mem::replace(&mut m.paused, false) {
            return;
        }
        m.process.signal(Signal::CONT);
        m.last_fault_at = Instant::now();
    }

    /// Kills a node process, which [`Self::poll`] restarts.
    pub fn kill(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        if !m.process.is_down() {
            m.process.kill();
            m.paused = false;
            m.last_fault_at = Instant::now();
        }
    }

    /// Kills all node processes, which [`Self::poll`] restarts.
    pub fn kill_all(&mut self) {
        for machine in 0..self.machines.len() {
            self.kill(machine);
        }
    }

    /// Stops a node process with SIGTERM; [`Self::poll`] restarts it.
    pub fn stop(&mut self, machine: usize) {
        self.machines[machine].process.stop();
    }

    /// Rewrites a node's settings with a new bound; every second call also sends SIGHUP.
    ///
    /// # Errors
    /// Fails if the settings file cannot be written.
    pub fn reload(&mut self, machine: usize) -> Result<(), FleetError> {
        self.reloads += 1;
        self.write_settings(machine, false)?;
        let process = &self.machines[machine].process;
        if matches!(process, Process::Running(_)) && self.reloads.is_multiple_of(2) {
            process.signal(Signal::HUP);
        }
        Ok(())
    }

    /// Crashes a back end, which [`Self::poll`] restarts as a new incarnation.
    pub fn crash_back_end(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        if let Some(back_end) = m.back_end.take() {
            back_end.crash();
            m.back_end_restart_at = Some(Instant::now() + RESTART_DELAY);
        }
    }

    /// Lets the back end of a machine say something in its responses; returns which incarnation that
    /// is, `None` if there is none.
    pub fn begin_notice(&self, machine: usize, notice: Notice) -> Option<u64> {
        let m = &self.machines[machine];
        let back_end = m.back_end.as_ref()?;
        let id = self.environment.layout.back_end_config(machine).id;
        self.checker.on_notice_begin(&id, notice);
        match notice {
            Notice::Limit(rate) => back_end.set_limit(Some(&rate.to_string())),
            Notice::Leaving => back_end.set_leaving(true),
        }
        Some(m.born)
    }

    /// Ends what an incarnation of a machine's back end says in its responses: a limit is withdrawn, a
    /// back end that leaves exits. No effect on a later incarnation.
    pub fn end_notice(&mut self, machine: usize, born: u64, notice: Notice) {
        let m = &self.machines[machine];
        let Some(back_end) = m.back_end.as_ref().filter(|_| m.born == born) else {
            return;
        };
        match notice {
            Notice::Limit(_) => {
                let id = self.environment.layout.back_end_config(machine).id;
                self.checker.on_notice_end(&id);
                back_end.set_limit(None);
            }
            Notice::Leaving => self.crash_back_end(machine),
        }
    }

    /// Replaces the fault of one kind of connections of a machine.
    pub fn set_link_fault(&self, machine: usize, link: Link, fault: LinkFault) {
        self.machines[machine].proxies[&link].set_fault(fault);
    }

    /// Replaces the fault of the connections of a machine and the next one to the store, and of all
    /// connections between peers.
    pub fn set_cut_off(&self, machine: usize, fault: LinkFault) {
        for offset in 0..CUT_OFF_MACHINES {
            let machine = (machine + offset) % self.machines.len();
            self.set_link_fault(machine, Link::Store, fault);
        }
        for machine in 0..self.machines.len() {
            self.set_link_fault(machine, Link::Peers, fault);
        }
    }

    /// Restarts what has been down for long enough and checks how processes exited.
    ///
    /// An unexpected exit, a failed one and a shutdown beyond its time limit are violations.
    ///
    /// # Errors
    /// Fails if a node cannot be started.
    pub fn poll(&mut self) -> Result<(), FleetError> {
        for machine in 0..self.machines.len() {
            self.poll_process(machine)?;
            self.poll_back_end(machine);
        }
        Ok(())
    }

    /// Returns the machines whose node or one of its connections is under a fault.
    #[must_use]
    pub fn disturbed(&self) -> Vec<usize> {
        let has_link_fault = |m: &Machine| m.proxies.values().any(|p| p.fault() != LinkFault::None);
        self.select(|m| m.is_halted() || has_link_fault(m))
    }

    /// Returns the machines whose process does not run or is to stop.
    #[must_use]
    pub fn halted(&self) -> Vec<usize> {
        self.select(Machine::is_halted)
    }

    fn select(&self, predicate: impl Fn(&Machine) -> bool) -> Vec<usize> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(_, m)| predicate(m))
            .map(|(machine, _)| machine)
            .collect()
    }

    fn poll_back_end(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        if m.back_end.as_ref().is_some_and(BackEnd::is_halted) {
            m.back_end = None;
            m.back_end_restart_at = Some(Instant::now() + RESTART_DELAY);
        }
        if m.back_end_restart_at.is_some_and(|at| at <= Instant::now()) {
            let born = m.born + 1;
            let back_end = self.start_back_end(machine, born);
            let m = &mut self.machines[machine];
            m.back_end = Some(back_end);
            m.born = born;
            m.back_end_restart_at = None;
        }
    }

    fn poll_process(&mut self, machine: usize) -> Result<(), FleetError> {
        let now = Instant::now();
        let m = &mut self.machines[machine];
        let violation = match &mut m.process {
            Process::Down { restart_at } if *restart_at <= now => {
                self.write_settings(machine, false)?;
                let child = self.spawn(machine)?;
                let m = &mut self.machines[machine];
                m.process = Process::Running(child);
                m.process_run += 1;
                return Ok(());
            }
            Process::Down { .. } => return Ok(()),
            Process::Running(child) => match child.try_wait() {
                Ok(Some(status)) => Some(format!("m-{machine} exited unexpectedly: {status}")),
                _ => return Ok(()),
            },
            Process::Stopping { child, since } => match child.try_wait() {
                Ok(Some(status)) if status.success() => None,
                Ok(Some(status)) => Some(format!("m-{machine} failed during shutdown: {status}")),
                _ if now.duration_since(*since) < SHUTDOWN_LIMIT || m.paused => return Ok(()),
                _ if m.last_fault_at > *since => None,
                _ => Some(format!("m-{machine} did not stop in time")),
            },
        };
        if let Some(violation) = violation {
            self.checker.add_violation(violation);
        }
        let m = &mut self.machines[machine];
        m.process.kill();
        m.paused = false;
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for m in &mut self.machines {
            m.process.kill();
            if let Some(back_end) = m.back_end.take() {
                back_end.crash();
            }
            for proxy in m.proxies.values() {
                proxy.close();
            }
        }
    }
}

/// Returns the path of `plantaingauge-node` in the directory of the given program.
#[must_use]
pub fn sibling_program(program: &Path) -> PathBuf {
    program.with_file_name("plantaingauge-node")
}
