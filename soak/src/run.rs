//! One soak from start to verdict.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use stand_ins::layout;
use stand_ins::store::{Store, Trouble};

use crate::callers::{Caller, Kind, Scene, version_path};
use crate::fleet::{Fleet, FleetError, Site};
use crate::ledger::{Counts, Ledger};
use crate::plan::{self, Event, Fault, Link};
use crate::proxy::Cut;

/// Time in which all is served after the start, and again after the last fault.
const RECOVERY: Duration = Duration::from_secs(15);
/// Position of the store's machine.
const STORE_MACHINE: usize = 98;
/// Callers on each machine.
const CALLERS: u64 = 2;
/// Time between two looks at the processes.
const LOOK: Duration = Duration::from_millis(10);
/// Keys that must be served once all faults are over.
const SAMPLE_KEYS: [u16; 5] = [0, 13_000, 30_000, 47_000, 65_535];

/// What to soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the faults and the callers.
    pub seed: u64,
    /// Number of machines.
    pub machines: usize,
    /// How long faults are injected.
    pub length: Duration,
    /// Where everything is.
    pub site: Site,
}

/// How a soak went.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Broken promises.
    pub broken: Vec<String>,
    /// How requests ended.
    pub counts: Counts,
    /// Number of faults.
    pub faults: usize,
    /// Time until all was served after the last fault.
    pub recovery: Duration,
}

/// What ends when a fault is over.
#[derive(Clone, Copy)]
enum Restore {
    Resume(usize),
    Link(usize, Link),
    Store,
}

/// Runs a soak.
///
/// # Errors
/// Fails if the processes cannot be run.
pub fn run(options: &Options) -> Result<Verdict, FleetError> {
    let store = Store::start(options.site.layout.at(STORE_MACHINE, layout::STORE));
    store.configure(1, &[&version_path(1)]);
    let ledger = Arc::new(Ledger::default());
    let site = options.site.clone();
    let fleet = Fleet::start(site.clone(), options.machines, &store, Arc::clone(&ledger))?;
    let scene = Arc::new(Scene::new(site, fleet, ledger));
    await_served(&scene)?;
    let events = plan::draw(options.seed, options.machines, options.length);
    let callers: Vec<_> = (0..options.machines)
        .flat_map(|machine| (0..CALLERS).map(move |n| (machine, n)))
        .map(|(machine, n)| {
            let caller = Caller::new(Arc::clone(&scene), machine);
            let seed = options.seed ^ (machine as u64 * CALLERS + n) << 32;
            std::thread::spawn(move || caller.run(seed))
        })
        .collect();
    play(&scene, &store, &events, options.length)?;
    let recovery = await_served(&scene)?;
    scene.open.store(false, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let (broken, counts) = scene.ledger.finish();
    Ok(Verdict {
        broken,
        counts,
        faults: events.len(),
        recovery,
    })
}

/// Injects the faults and ends each when it is over.
fn play(
    scene: &Scene,
    store: &Store,
    events: &[Event],
    length: Duration,
) -> Result<(), FleetError> {
    let start = Instant::now();
    let mut restores: Vec<(Duration, Restore)> = Vec::new();
    let mut next = events.iter().peekable();
    while start.elapsed() < length {
        let now = start.elapsed();
        while let Some(event) = next.next_if(|e| e.at <= now) {
            let restore = begin(scene, store, event)?;
            restores.extend(restore.map(|r| (event.at + event.lasts, r)));
        }
        restores.retain(|(at, restore)| {
            let over = *at <= now;
            if over {
                end(scene, store, *restore);
            }
            !over
        });
        scene.fleet().look()?;
        std::thread::sleep(LOOK);
    }
    for (_, restore) in restores {
        end(scene, store, restore);
    }
    Ok(())
}

fn begin(scene: &Scene, store: &Store, event: &Event) -> Result<Option<Restore>, FleetError> {
    let machine = event.machine;
    let mut fleet = scene.fleet();
    match event.fault {
        Fault::Pause => {
            fleet.pause(machine);
            return Ok(Some(Restore::Resume(machine)));
        }
        Fault::Kill => fleet.kill(machine),
        Fault::Stop => fleet.stop(machine),
        Fault::Reload => fleet.reload(machine)?,
        Fault::CrashBackEnd => fleet.crash_back_end(machine),
        Fault::Link(link, cut) => {
            fleet.set_cut(machine, link, cut);
            return Ok(Some(Restore::Link(machine, link)));
        }
        Fault::Store(trouble) => {
            store.set_trouble(trouble);
            return Ok(Some(Restore::Store));
        }
        Fault::Compact => store.compact(),
        Fault::Configure => configure(scene, store),
    }
    Ok(None)
}

fn configure(scene: &Scene, store: &Store) {
    let version = scene.version.load(Ordering::SeqCst) + 1;
    let paths: Vec<String> = (1..=version).map(version_path).collect();
    let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
    store.configure(version, &paths);
    scene.version.store(version, Ordering::SeqCst);
}

fn end(scene: &Scene, store: &Store, restore: Restore) {
    match restore {
        Restore::Resume(machine) => scene.fleet().resume(machine),
        Restore::Link(machine, link) => scene.fleet().set_cut(machine, link, Cut::None),
        Restore::Store => store.set_trouble(Trouble::None),
    }
}

/// Waits until every machine serves orders, keys and the newest configuration.
///
/// Returns how long that took; notes a breach if it took too long.
fn await_served(scene: &Arc<Scene>) -> Result<Duration, FleetError> {
    let start = Instant::now();
    let machines = scene.fleet().len();
    let version = scene.version.load(Ordering::SeqCst);
    let keys = SAMPLE_KEYS.map(Kind::Listing);
    for machine in 0..machines {
        let mut caller = Caller::new(Arc::clone(scene), machine);
        let kinds = [Kind::Order, Kind::Version(version)];
        for kind in kinds.into_iter().chain(keys) {
            while caller.request(kind) != 200 {
                scene.fleet().look()?;
                if start.elapsed() > RECOVERY {
                    let breach = format!("m-{machine} does not serve {kind:?} after {RECOVERY:?}");
                    scene.ledger.note(breach);
                    return Ok(start.elapsed());
                }
                std::thread::sleep(LOOK);
            }
        }
    }
    Ok(start.elapsed())
}

/// Directory for the settings and logs of a seed.
#[must_use]
pub fn directory(base: &std::path::Path, seed: u64) -> PathBuf {
    base.join(format!("seed-{seed}"))
}
