//! `bench lists`: edits by two operators at once, with losses right after one was accepted.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bench::deployment::{self, Deployment};
use bench::quantile;
use bench::stand_in::platform::Faults;
use bytes::Bytes;
use daemon::admin_api::AcceptedLists;
use daemon::shared::Shared;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use lists::LISTS_OBJECT;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use store::client::{PutOutcome, Store, StoreError};
use store::http_client::HttpStore;
use tokio::time::Instant;

use crate::cli::ListsOptions;
use crate::cmd::Error;

/// Longest time from the acceptance of an edit until it is in force everywhere.
const MAX_FORCE: Duration = Duration::from_secs(6);

/// Edits of each operator before and after the loss.
const EDITS: u32 = 10;

/// Operators that edit at once.
const OPERATORS: u32 = 2;

/// Length of an outage or a cut.
const LENGTH: Duration = Duration::from_secs(8);

/// Time between two looks at the daemons.
const LOOK_PERIOD: Duration = Duration::from_millis(2);

/// Longest pause of an operator between two edits.
const MAX_PAUSE_MS: u64 = 60;

/// What happens right after an edit was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Nothing,
    StoreDown,
    AnswersLost,
    CoordinatorLost,
    StoreDownAndCoordinatorLost,
    RegionsCut,
    StoreDownAndDaemonJoins,
}

const CASES: [(&str, Loss); 7] = [
    ("quiet", Loss::Nothing),
    ("store-down", Loss::StoreDown),
    ("answers-lost", Loss::AnswersLost),
    ("coordinator-lost", Loss::CoordinatorLost),
    (
        "store-down-coordinator-lost",
        Loss::StoreDownAndCoordinatorLost,
    ),
    ("regions-cut", Loss::RegionsCut),
    ("store-down-daemon-joins", Loss::StoreDownAndDaemonJoins),
];

/// What is known of the edits and of the daemons that serve.
#[derive(Default)]
struct Ledger {
    /// Acceptance of each version, with the customer that the edit added.
    accepted: BTreeMap<u64, (Instant, String)>,
    /// Time from acceptance until every serving daemon had the version in force.
    forced: BTreeMap<u64, Duration>,
    /// Texts seen in force, by version.
    texts: BTreeMap<u64, String>,
    conflicts: u32,
    unsettled: u32,
    reverted: u32,
    split: u32,
}

type SharedLedger = Arc<Mutex<Ledger>>;

fn lock(ledger: &SharedLedger) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Daemons that are looked at, each with the highest version seen in force there.
type Watched = Arc<Mutex<Vec<(Arc<Shared>, u64)>>>;

/// Runs the cases. Gives false when an edit was late, lost, reverted or split.
///
/// # Errors
/// Fails when a deployment does not come up.
pub(crate) async fn run(options: &ListsOptions) -> Result<bool, Error> {
    println!(
        "{:<28} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8} {:>5} {:>8} {:>5}",
        "case",
        "accepted",
        "conflicts",
        "unsettled",
        "p50_ms",
        "p99_ms",
        "max_ms",
        "lost",
        "reverted",
        "split"
    );
    let (mut accepted, mut broken, mut late) = (0, 0, 0);
    let mut longest = Duration::ZERO;
    let wanted = |name: &str| options.case.as_deref().is_none_or(|case| case == name);
    for (name, loss) in CASES.iter().filter(|(name, _)| wanted(name)) {
        let (ledger, lost) = measure(*loss, options).await?;
        let mut times: Vec<Duration> = ledger.forced.values().copied().collect();
        times.sort_unstable();
        let missing = ledger.accepted.len() - times.len();
        let over = times.iter().filter(|t| **t > MAX_FORCE).count() + missing;
        print_row(name, &ledger, &times, lost);
        accepted += ledger.accepted.len();
        broken += lost + ledger.reverted + ledger.split;
        late += over;
        longest = longest.max(times.last().copied().unwrap_or_default());
    }
    let ok = accepted > 0 && broken == 0 && late == 0;
    println!(
        "result={} accepted={accepted} broken={broken} late={late} longest_ms={} bound_ms={}",
        if ok { "ok" } else { "failed" },
        longest.as_millis(),
        MAX_FORCE.as_millis()
    );
    Ok(ok)
}

fn print_row(name: &str, ledger: &Ledger, times: &[Duration], lost: u32) {
    let time = |quantile| quantile::millis(times, quantile);
    println!(
        "{name:<28} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8} {lost:>5} {:>8} {:>5}",
        ledger.accepted.len(),
        ledger.conflicts,
        ledger.unsettled,
        time(0.5),
        time(0.99),
        time(1.0),
        ledger.reverted,
        ledger.split
    );
}

async fn measure(loss: Loss, options: &ListsOptions) -> Result<(Ledger, u32), Error> {
    let seed = options.seed;
    let mut deployment = Deployment::start(deployment::press_office()).await?;
    deployment.await_ready().await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let coordinator = deployment.coordinator().await.ok_or("no coordinator")?;
    let ledger = SharedLedger::default();
    let watched = Watched::default();
    watch_all(&deployment, &watched);
    let ended = Arc::new(AtomicBool::new(false));
    let watcher = tokio::spawn(watch(
        Arc::clone(&watched),
        Arc::clone(&ledger),
        Arc::clone(&ended),
    ));
    let mut daemons = admin_addresses(&deployment, &coordinator);
    if options.store_alone {
        daemons.clear();
    }
    let store = deployment.platform.address();
    edit_all(store, &daemons, &ledger, seed, "before").await?;
    // The loss follows at once on the answer to one more edit.
    let mut random = StdRng::seed_from_u64(seed);
    let one = edit(&HttpStore::new(store), "last", &ledger).await;
    bring_about(&mut deployment, loss, &coordinator).await;
    if let Some(one) = one {
        tell(&daemons, &one, &mut random).await;
    }
    watch_all(&deployment, &watched);
    if loss != Loss::Nothing {
        tokio::time::sleep(LENGTH).await;
    }
    deployment.platform.set_faults(Faults::default());
    deployment.mend();
    edit_all(store, &daemons, &ledger, seed + 1, "after").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    ended.store(true, Ordering::Relaxed);
    watcher.await?;
    let text = deployment.platform.object(LISTS_OBJECT).unwrap_or_default();
    let text = String::from_utf8_lossy(&text).into_owned();
    deployment.end().await;
    let ledger = std::mem::take(&mut *lock(&ledger));
    let kept = |customer: &str| text.contains(&format!("{customer} = "));
    let lost = ledger.accepted.values().filter(|(_, c)| !kept(c)).count();
    Ok((ledger, u32::try_from(lost)?))
}

/// Adds the daemons that run now and are not looked at yet.
fn watch_all(deployment: &Deployment, watched: &Watched) {
    let mut watched = watched.lock().unwrap_or_else(PoisonError::into_inner);
    for node in deployment.nodes.values() {
        let Some(daemon) = &node.daemon else { continue };
        let shared = daemon.shared();
        if !watched.iter().any(|(known, _)| Arc::ptr_eq(known, shared)) {
            watched.push((Arc::clone(shared), 0));
        }
    }
}

/// Admin addresses of two daemons in different zones, neither of them the coordinator's.
fn admin_addresses(deployment: &Deployment, coordinator: &str) -> Vec<SocketAddr> {
    let mut zones = BTreeSet::new();
    let mut addresses = Vec::new();
    for (name, node) in &deployment.nodes {
        let Some(daemon) = node.daemon.as_ref().filter(|_| name != coordinator) else {
            continue;
        };
        if addresses.len() < 2 && zones.insert(deployment.zone_of(name)) {
            addresses.push(daemon.listen().admin);
        }
    }
    addresses
}

/// Looks at all daemons until ended. A daemon without a lease or lists serves nobody.
async fn watch(watched: Watched, ledger: SharedLedger, ended: Arc<AtomicBool>) {
    while !ended.load(Ordering::Relaxed) {
        look(&watched, &ledger);
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}

fn look(watched: &Watched, ledger: &SharedLedger) {
    let mut watched = watched.lock().unwrap_or_else(PoisonError::into_inner);
    let mut ledger = lock(ledger);
    let mut lowest = None;
    for (shared, highest) in watched.iter_mut() {
        let lists = shared.lists.load_full();
        let Some(lists) = lists else { continue };
        ledger.reverted += u32::from(lists.version < *highest);
        *highest = lists.version.max(*highest);
        let text = ledger.texts.entry(lists.version);
        let differs = *text.or_insert_with(|| lists.text.clone()) != lists.text;
        ledger.split += u32::from(differs);
        if shared.lease.load().is_held(shared.now()) {
            lowest = Some(lowest.unwrap_or(lists.version).min(lists.version));
        }
    }
    let Some(lowest) = lowest else { return };
    let Ledger {
        accepted, forced, ..
    } = &mut *ledger;
    for (version, (at, _)) in accepted.range(..=lowest) {
        forced.entry(*version).or_insert_with(|| at.elapsed());
    }
}

async fn edit_all(
    store: SocketAddr,
    daemons: &[SocketAddr],
    ledger: &SharedLedger,
    seed: u64,
    phase: &str,
) -> Result<(), Error> {
    let mut operators = Vec::new();
    for operator in 0..OPERATORS {
        let store = HttpStore::new(store);
        let (daemons, ledger) = (daemons.to_vec(), Arc::clone(ledger));
        let mut random = StdRng::seed_from_u64(seed * 10 + u64::from(operator));
        let phase = phase.to_owned();
        operators.push(tokio::spawn(async move {
            for number in 0..EDITS {
                let customer = format!("{phase}-{operator}-{number}");
                if let Some(lists) = edit(&store, &customer, &ledger).await {
                    tell(&daemons, &lists, &mut random).await;
                }
                let pause = Duration::from_millis(random.random_range(0..MAX_PAUSE_MS));
                tokio::time::sleep(pause).await;
            }
        }));
    }
    for operator in operators {
        operator.await?;
    }
    Ok(())
}

/// Adds a customer to the lists as the command-line tool does, again after each conflict.
async fn edit(store: &HttpStore, customer: &str, ledger: &SharedLedger) -> Option<AcceptedLists> {
    loop {
        let Ok(Some(found)) = store.get(LISTS_OBJECT).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let text = String::from_utf8_lossy(&found.value).into_owned();
        if text.contains(&format!("{customer} = ")) {
            return Some(accept(ledger, customer, found.version, text));
        }
        let line = format!("[customers]\n{customer} = \"reader\"\n");
        let text = text.replacen("[customers]\n", &line, 1);
        let put = store.put(LISTS_OBJECT, found.version, Bytes::from(text.clone()));
        match put.await {
            Ok(PutOutcome::Written(version)) => {
                return Some(accept(ledger, customer, version, text));
            }
            Ok(PutOutcome::Conflict(_)) => lock(ledger).conflicts += 1,
            Err(StoreError::NoResponse { .. }) => lock(ledger).unsettled += 1,
            Err(StoreError::Rejected { .. }) => return None,
        }
    }
}

fn accept(ledger: &SharedLedger, customer: &str, version: u64, text: String) -> AcceptedLists {
    let entry = (Instant::now(), customer.to_owned());
    lock(ledger).accepted.entry(version).or_insert(entry);
    AcceptedLists { version, text }
}

/// Tells one of the daemons, as `lists put --admin` does.
async fn tell(daemons: &[SocketAddr], lists: &AcceptedLists, random: &mut StdRng) {
    if daemons.is_empty() {
        return;
    }
    let address = daemons[random.random_range(0..daemons.len())];
    let body = serde_json::to_vec(lists).unwrap_or_default();
    let request = Request::put(format!("http://{address}/v1/lists"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)));
    if let Ok(request) = request {
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let _ = client.request(request).await;
    }
}

async fn bring_about(deployment: &mut Deployment, loss: Loss, coordinator: &str) {
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    match loss {
        Loss::Nothing => {}
        Loss::StoreDown => deployment.platform.set_faults(down),
        Loss::AnswersLost => deployment.platform.set_faults(Faults {
            answers_lost: true,
            ..Faults::default()
        }),
        Loss::CoordinatorLost => deployment.kill(coordinator).await,
        Loss::StoreDownAndCoordinatorLost => {
            deployment.platform.set_faults(down);
            deployment.kill(coordinator).await;
        }
        Loss::RegionsCut => {
            let names = deployment.nodes.keys().cloned();
            let (nord, sud): (Vec<_>, Vec<_>) = names.partition(|n| n.starts_with("nord"));
            deployment.cut(&nord, &sud, true);
        }
        Loss::StoreDownAndDaemonJoins => {
            deployment.platform.set_faults(down);
            let mut names = deployment.nodes.keys().cloned();
            let Some(name) = names.find(|name| name != coordinator) else {
                return;
            };
            deployment.kill(&name).await;
            let _ = deployment.start_node(&name).await;
        }
    }
}
