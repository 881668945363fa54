//! Runs one soak: starts the fleet, injects the faults and collects the violations.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use stand_ins::layout;
use stand_ins::store::{Store, StoreFault};

use crate::callers::{Caller, RequestKind, SharedState};
use crate::configuration::Configuration;
use crate::crashing::{self, CrashingRequest};
use crate::denials::Denials;
use crate::fleet::{Environment, Fleet, FleetError};
use crate::invariants::{Counts, InvariantChecker};
use crate::notices::{self, ScheduledNotice};
use crate::plan::{self, Fault, Link, ScheduledFault};
use crate::proxy::LinkFault;

/// Time limit for all requests to be served after the start, and again after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Machine index of the store in the layout.
pub(crate) const STORE_MACHINE: usize = 98;
/// Number of callers that send to each machine.
const CALLERS_PER_MACHINE: u64 = 2;
/// Time between two polls of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Keys that must be served once all faults are over.
const SAMPLE_KEYS: [u16; 5] = [0, 13_000, 30_000, 47_000, 65_535];

/// Options of a soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the faults and the callers.
    pub seed: u64,
    /// Number of machines.
    pub machines: usize,
    /// Time for which faults are injected.
    pub duration: Duration,
    /// Whether requests that crash back ends are among them.
    pub crashing: bool,
    /// Whether back ends name limits and say that they leave.
    pub notices: bool,
    /// Whether the store is restored from snapshots and executes writes late.
    pub restores: bool,
    /// Whether processes miss changes of the configuration, and all restart while the store lacks some.
    pub outdated: bool,
    /// Addresses, files and the program to run.
    pub environment: Environment,
}

/// Result of a soak.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Descriptions of the violated invariants.
    pub broken: Vec<String>,
    /// Numbers of requests by outcome.
    pub counts: Counts,
    /// Numbers of denials.
    pub denials: Denials,
    /// Number of injected faults.
    pub faults: usize,
    /// Time from the end of the faults until all requests were served.
    pub recovery: Duration,
}

/// What ends a fault, or follows on its start.
#[derive(Clone, Copy)]
enum Revert {
    Resume(usize),
    /// The links of a [`Fault::CutOff`] from this machine on work again.
    CutOff(usize),
    /// The operator writes the next configuration.
    ChangeConfig,
    Link(usize, Link),
    Store,
    /// The store comes back as it was at this time, and all processes are killed if that is set.
    RestoreStore(Instant, bool),
    /// The operator writes the newest configuration again.
    RewriteConfig,
}

/// Runs a soak.
///
/// # Errors
/// Fails if a node cannot be started.
pub fn run(options: &Options) -> Result<Verdict, FleetError> {
    let store = Store::start(
        options
            .environment
            .layout
            .address(STORE_MACHINE, layout::STORE_PORT),
    );
    let configuration = Configuration::write_first(&store);
    let checker = Arc::new(InvariantChecker::default());
    let environment = options.environment.clone();
    let fleet = Fleet::start(
        environment.clone(),
        options.machines,
        &store,
        Arc::clone(&checker),
    )?;
    let shared = Arc::new(SharedState::new(environment, fleet, checker, configuration));
    await_served(&shared)?;
    let mut faults = plan::generate(
        options.seed,
        options.machines,
        options.duration,
        options.restores,
    );
    if options.outdated {
        let more = plan::generate_outdating(options.seed, options.machines, options.duration);
        faults.extend(more);
        faults.sort_by_key(|f| f.start);
    }
    let mut senders = start_crashing_requests(&shared, options);
    senders.extend(start_notices(&shared, options));
    let callers: Vec<_> = (0..options.machines)
        .flat_map(|machine| (0..CALLERS_PER_MACHINE).map(move |n| (machine, n)))
        .map(|(machine, n)| {
            let caller = Caller::new(Arc::clone(&shared), machine);
            let seed = options.seed ^ (machine as u64 * CALLERS_PER_MACHINE + n) << 32;
            std::thread::spawn(move || caller.run(seed))
        })
        .collect();
    inject_faults(&shared, &store, &faults, options.duration)?;
    shared.faulty.store(false, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    let recovery = await_served(&shared)?;
    shared.running.store(false, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let (broken, counts) = shared.checker.finish();
    Ok(Verdict {
        broken,
        counts,
        denials: shared.checker.denials(),
        faults: faults.len(),
        recovery,
    })
}

fn start_crashing_requests(shared: &Arc<SharedState>, options: &Options) -> Vec<JoinHandle<()>> {
    if !options.crashing {
        return Vec::new();
    }
    let requests = crashing::generate(options.seed, options.machines, options.duration);
    let start = |request: CrashingRequest| {
        let shared = Arc::clone(shared);
        std::thread::spawn(move || request.send_repeatedly(&shared))
    };
    requests.into_iter().map(start).collect()
}

fn start_notices(shared: &Arc<SharedState>, options: &Options) -> Vec<JoinHandle<()>> {
    if !options.notices {
        return Vec::new();
    }
    let notices = notices::generate(options.seed, options.machines, options.duration);
    let start = |notice: ScheduledNotice| {
        let shared = Arc::clone(shared);
        std::thread::spawn(move || notice.run(&shared))
    };
    notices.into_iter().map(start).collect()
}

/// Injects the faults as scheduled and reverts each after its duration.
fn inject_faults(
    shared: &SharedState,
    store: &Store,
    faults: &[ScheduledFault],
    duration: Duration,
) -> Result<(), FleetError> {
    let start = Instant::now();
    let mut reverts: Vec<(Duration, Revert)> = Vec::new();
    let mut pending = faults.iter().peekable();
    while start.elapsed() < duration {
        let now = start.elapsed();
        while let Some(fault) = pending.next_if(|f| f.start <= now) {
            reverts.extend(begin_fault(shared, store, fault)?);
        }
        reverts.retain(|(revert_at, revert)| {
            let is_over = *revert_at <= now;
            if is_over {
                end_fault(shared, store, *revert);
            }
            !is_over
        });
        shared.fleet().poll()?;
        record_disturbances(shared, store);
        std::thread::sleep(POLL_INTERVAL);
    }
    for (_, revert) in reverts {
        end_fault(shared, store, revert);
    }
    Ok(())
}

fn record_disturbances(shared: &SharedState, store: &Store) {
    let fleet = shared.fleet();
    let disturbed = if store.is_away() || store.fault() != StoreFault::None {
        (0..fleet.len()).collect()
    } else {
        fleet.disturbed()
    };
    let halted = fleet.halted();
    drop(fleet);
    shared.checker.on_disturbed(disturbed, halted);
}

/// Begins a fault; returns when what is to be done to end it.
fn begin_fault(
    shared: &SharedState,
    store: &Store,
    fault: &ScheduledFault,
) -> Result<Vec<(Duration, Revert)>, FleetError> {
    let machine = fault.machine;
    let end = fault.start + fault.duration;
    let mut fleet = shared.fleet();
    match fault.fault {
        Fault::Pause => {
            fleet.pause(machine);
            return Ok(vec![(end, Revert::Resume(machine))]);
        }
        Fault::PauseOverChange(delay) => {
            fleet.pause(machine);
            return Ok(vec![
                (fault.start + delay, Revert::ChangeConfig),
                (end, Revert::Resume(machine)),
            ]);
        }
        Fault::CutOff(link_fault, delay) => {
            fleet.set_cut_off(machine, link_fault);
            return Ok(vec![
                (fault.start + delay, Revert::ChangeConfig),
                (end, Revert::CutOff(machine)),
            ]);
        }
        Fault::Kill => fleet.kill(machine),
        Fault::Stop => fleet.stop(machine),
        Fault::Reload => fleet.reload(machine)?,
        Fault::CrashBackEnd => fleet.crash_back_end(machine),
        Fault::Link(link, link_fault) => {
            fleet.set_link_fault(machine, link, link_fault);
            return Ok(vec![(end, Revert::Link(machine, link))]);
        }
        Fault::Store(store_fault) => {
            store.set_fault(store_fault);
            return Ok(vec![(end, Revert::Store)]);
        }
        Fault::Compact => store.compact(),
        Fault::ChangeConfig => {
            drop(fleet);
            shared.configuration().write_next(store);
        }
        Fault::RestoreStore(restore) => {
            drop(fleet);
            store.go_away();
            let copied_at = Instant::now() - restore.copy_age;
            shared.configuration().on_away(copied_at);
            return Ok(vec![
                (end, Revert::RestoreStore(copied_at, restore.kills_all)),
                (end + restore.rewrite_delay, Revert::RewriteConfig),
            ]);
        }
    }
    Ok(Vec::new())
}

fn end_fault(shared: &SharedState, store: &Store, revert: Revert) {
    match revert {
        Revert::Resume(machine) => shared.fleet().resume(machine),
        Revert::Link(machine, link) => {
            shared
                .fleet()
                .set_link_fault(machine, link, LinkFault::None)
        }
        Revert::Store => store.set_fault(StoreFault::None),
        Revert::CutOff(machine) => {
            shared.fleet().set_cut_off(machine, LinkFault::None);
        }
        Revert::ChangeConfig => shared.configuration().write_next(store),
        Revert::RestoreStore(copied_at, kills_all) => {
            if kills_all {
                shared.fleet().kill_all();
            }
            shared.configuration().on_restore(copied_at);
            store.restore_to(copied_at);
        }
        Revert::RewriteConfig => shared.configuration().write_again(store),
    }
}

/// Waits until every machine serves orders, keys and the newest configuration.
///
/// Returns the time taken; records a violation after [`RECOVERY_LIMIT`].
fn await_served(shared: &Arc<SharedState>) -> Result<Duration, FleetError> {
    let start = Instant::now();
    let machines = shared.fleet().len();
    let version = shared.configuration().version();
    let keys = SAMPLE_KEYS.map(RequestKind::Listing);
    for machine in 0..machines {
        let mut caller = Caller::new(Arc::clone(shared), machine);
        let kinds = [RequestKind::Order, RequestKind::Version(version)];
        for kind in kinds.into_iter().chain(keys) {
            while caller.request(kind) != 200 {
                shared.fleet().poll()?;
                if start.elapsed() > RECOVERY_LIMIT {
                    let violation =
                        format!("m-{machine} does not serve {kind:?} after {RECOVERY_LIMIT:?}");
                    shared.checker.add_violation(violation);
                    return Ok(start.elapsed());
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }
    Ok(start.elapsed())
}

/// Returns the directory for the settings and logs of a seed.
#[must_use]
pub fn directory(base: &std::path::Path, seed: u64) -> PathBuf {
    base.join(format!("seed-{seed}"))
}
