//! The real processes, each with its back end and the proxies around it.

use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use snafu::{ResultExt, Snafu};
use stand_ins::back_end::{BackEnd, Place};
use stand_ins::layout::{self, Layout, ProcessSettings};
use stand_ins::store::Store;

use crate::ledger::Ledger;
use crate::plan::Link;
use crate::proxy::{Cut, Proxy};

/// Time between the request to stop and the end by force.
const GRACE: Duration = Duration::from_secs(6);
/// Time until a process or back end that has ended starts again.
const RESTART_TIME: Duration = Duration::from_millis(700);

/// Second byte of the addresses of soaks.
const BLOCK: u8 = 78;
/// Distance between a port and that of the proxy in front of it.
const PROXY_OFFSET: u16 = 100;

/// Port of the proxy in front of a port.
fn proxied(port: u16) -> u16 {
    port + PROXY_OFFSET
}

/// Why the processes cannot be run.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A file of a process cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The program cannot be started.
    #[snafu(display("cannot start {}: {source}", program.display()))]
    Start {
        /// The program.
        program: PathBuf,
        /// Why.
        source: std::io::Error,
    },
}

/// Where everything of a soak is.
#[derive(Clone, Debug)]
pub struct Site {
    /// The addresses.
    pub layout: Layout,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// The program of the processes.
    pub program: PathBuf,
}

impl Site {
    /// Makes a site; soaks with other seeds or of other processes have other addresses.
    #[must_use]
    pub fn new(directory: PathBuf, program: PathBuf, seed: u64) -> Self {
        let mixed = seed.wrapping_add(u64::from(std::process::id()).wrapping_mul(61));
        Self {
            layout: Layout::new(BLOCK, u8::try_from(mixed % 251).unwrap_or_default()),
            directory,
            program,
        }
    }

    fn settings_path(&self, machine: usize) -> PathBuf {
        self.directory.join(format!("m-{machine}.json"))
    }
}

enum Process {
    Running(Child),
    Stopping { child: Child, since: Instant },
    Down { until: Instant },
}

impl Process {
    /// Ends the process at once, if it is there; it is to start again later.
    fn end(&mut self) {
        if let Process::Running(child) | Process::Stopping { child, .. } = self {
            // Fails only if it has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        let until = Instant::now() + RESTART_TIME;
        *self = Process::Down { until };
    }

    /// Asks the process to stop, if it has not been asked before.
    fn stop(&mut self) {
        let now = Instant::now();
        *self = match std::mem::replace(self, Process::Down { until: now }) {
            Process::Running(child) => {
                let stopping = Process::Stopping { child, since: now };
                stopping.signal(Signal::TERM);
                stopping
            }
            other => other,
        };
    }

    /// Sends a signal to the process, if it is there.
    fn signal(&self, signal: Signal) {
        let (Process::Running(child) | Process::Stopping { child, .. }) = self else {
            return;
        };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // Fails only if the process has ended, which the next look notices.
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
    restart: Option<Instant>,
    links: BTreeMap<Link, Proxy>,
    /// Number of the process's present run.
    run: u64,
    /// Last fault that may end or delay a request of a caller here.
    disturbed: Instant,
}

/// All machines.
pub struct Fleet {
    site: Site,
    ledger: Arc<Ledger>,
    machines: Vec<Machine>,
    reloads: u64,
}

impl Fleet {
    /// Starts all machines beside a store.
    ///
    /// # Errors
    /// Fails if the program cannot be started.
    pub fn start(
        site: Site,
        machines: usize,
        store: &Store,
        ledger: Arc<Ledger>,
    ) -> Result<Self, FleetError> {
        let mut fleet = Self {
            site,
            ledger,
            machines: Vec::new(),
            reloads: 0,
        };
        for machine in 0..machines {
            let links = fleet.start_links(machine, store);
            fleet.write_settings(machine)?;
            fleet.machines.push(Machine {
                process: Process::Running(fleet.spawn(machine)?),
                paused: false,
                back_end: Some(fleet.start_back_end(machine, 1)),
                born: 1,
                restart: None,
                links,
                run: 1,
                disturbed: Instant::now(),
            });
        }
        Ok(fleet)
    }

    fn start_links(&self, machine: usize, store: &Store) -> BTreeMap<Link, Proxy> {
        let at = |port| self.site.layout.at(machine, port);
        let proxies = [
            (Link::Peers, layout::PEERS, at(layout::PEERS)),
            (Link::Store, layout::STORE, store.address),
            (Link::BackEnd, layout::BACK_END, at(layout::BACK_END)),
            (Link::Heartbeats, layout::HEARTBEATS, at(layout::HEARTBEATS)),
        ];
        proxies
            .into_iter()
            .map(|(link, port, target)| (link, Proxy::start(at(proxied(port)), target)))
            .collect()
    }

    fn start_back_end(&self, machine: usize, born: u64) -> BackEnd {
        let at = |port| self.site.layout.at(machine, proxied(port));
        let place = Place {
            told_address: at(layout::BACK_END),
            heartbeats: at(layout::HEARTBEATS),
            ..self.site.layout.back_end(machine)
        };
        let ledger = Arc::clone(&self.ledger);
        BackEnd::start(place, born, ledger)
    }

    fn write_settings(&self, machine: usize) -> Result<(), FleetError> {
        let at = |port| self.site.layout.at(machine, proxied(port));
        let extra = 8 + self.reloads % 4;
        let process = ProcessSettings {
            name: &format!("m-{machine}"),
            back_end: at(layout::BACK_END),
            store: at(layout::STORE),
            bounds: &[
                format!("graceS={}", GRACE.as_secs()),
                "holdMaxMs=10000".to_owned(),
                "retryBudgetRatio=0.2".to_owned(),
                format!("budgetExtraRetries={extra}"),
            ],
        };
        let text = self.site.layout.settings(machine, &process);
        let path = self.site.settings_path(machine);
        std::fs::write(&path, text).context(FileSnafu { path })
    }

    fn spawn(&self, machine: usize) -> Result<Child, FleetError> {
        let path = self.site.directory.join(format!("m-{machine}.log"));
        let log = File::options().create(true).append(true).open(&path);
        let log = log.context(FileSnafu { path })?;
        let program = &self.site.program;
        Command::new(program)
            .env("PLANTAINGAUGE_NODE_FILE", self.site.settings_path(machine))
            .env(
                "PLANTAINGAUGE_PEER_ADDRESS",
                self.site
                    .layout
                    .at(machine, proxied(layout::PEERS))
                    .to_string(),
            )
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .context(StartSnafu { program })
    }

    /// Number of machines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether there is no machine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Number of the process's present run on a machine.
    #[must_use]
    pub fn run(&self, machine: usize) -> u64 {
        self.machines[machine].run
    }

    /// Whether a fault since `since` may have ended or delayed a request of a caller there.
    #[must_use]
    pub fn was_disturbed(&self, machine: usize, since: Instant) -> bool {
        let m = &self.machines[machine];
        m.paused || m.disturbed >= since || m.process.is_down()
    }

    /// Lets a process stand still.
    pub fn pause(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        m.process.signal(Signal::STOP);
        m.paused = !m.process.is_down();
    }

    /// Lets a process go on.
    pub fn resume(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        if !std::mem::replace(&mut m.paused, false) {
            return;
        }
        m.process.signal(Signal::CONT);
        m.disturbed = Instant::now();
    }

    /// Kills a process; it starts again.
    pub fn kill(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        if !m.process.is_down() {
            m.process.end();
            m.paused = false;
            m.disturbed = Instant::now();
        }
    }

    /// Asks a process to stop; it starts again.
    pub fn stop(&mut self, machine: usize) {
        self.machines[machine].process.stop();
    }

    /// Changes a process's settings, with a signal or without.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn reload(&mut self, machine: usize) -> Result<(), FleetError> {
        self.reloads += 1;
        self.write_settings(machine)?;
        let process = &self.machines[machine].process;
        if matches!(process, Process::Running(_)) && self.reloads.is_multiple_of(2) {
            process.signal(Signal::HUP);
        }
        Ok(())
    }

    /// Crashes a back end; it starts again as another boot.
    pub fn crash_back_end(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        if let Some(back_end) = m.back_end.take() {
            back_end.crash();
            m.restart = Some(Instant::now() + RESTART_TIME);
        }
    }

    /// Changes how connections of a machine misbehave.
    pub fn set_cut(&self, machine: usize, link: Link, cut: Cut) {
        self.machines[machine].links[&link].set_cut(cut);
    }

    /// Starts again what has been down long enough, and checks how processes ended.
    ///
    /// # Errors
    /// Fails if a process cannot be started.
    pub fn look(&mut self) -> Result<(), FleetError> {
        for machine in 0..self.machines.len() {
            self.look_at_process(machine)?;
            self.look_at_back_end(machine);
        }
        Ok(())
    }

    fn look_at_back_end(&mut self, machine: usize) {
        let m = &self.machines[machine];
        if m.restart.is_some_and(|at| at <= Instant::now()) {
            let born = m.born + 1;
            let back_end = self.start_back_end(machine, born);
            let m = &mut self.machines[machine];
            m.back_end = Some(back_end);
            m.born = born;
            m.restart = None;
        }
    }

    fn look_at_process(&mut self, machine: usize) -> Result<(), FleetError> {
        let now = Instant::now();
        let m = &mut self.machines[machine];
        let breach = match &mut m.process {
            Process::Down { until } if *until <= now => {
                let child = self.spawn(machine)?;
                let m = &mut self.machines[machine];
                m.process = Process::Running(child);
                m.run += 1;
                return Ok(());
            }
            Process::Down { .. } => return Ok(()),
            Process::Running(child) => match child.try_wait() {
                Ok(Some(status)) => Some(format!("m-{machine} ended by itself: {status}")),
                _ => return Ok(()),
            },
            Process::Stopping { child, since } => match child.try_wait() {
                Ok(Some(status)) if status.success() => None,
                Ok(Some(status)) => Some(format!("m-{machine} stopped badly: {status}")),
                _ if now.duration_since(*since) < GRACE || m.paused => return Ok(()),
                _ if m.disturbed > *since => None,
                _ => Some(format!("m-{machine} did not stop in time")),
            },
        };
        if let Some(breach) = breach {
            self.ledger.note(breach);
        }
        let m = &mut self.machines[machine];
        m.process.end();
        m.paused = false;
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for m in &mut self.machines {
            m.process.end();
            if let Some(back_end) = m.back_end.take() {
                back_end.crash();
            }
            for proxy in m.links.values() {
                proxy.close();
            }
        }
    }
}

/// The program that was built beside this one.
#[must_use]
pub fn program_beside(own: &Path) -> PathBuf {
    own.with_file_name("plantaingauge-node")
}
