//! `bench lists`: two operators edit the lists at once, and a failure is injected right after an
//! edit was accepted. Measures when edits are in force, and checks that none is lost, reverted or
//! split.

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

/// Longest time from the acceptance of an edit until it is in force in every serving daemon.
const MAX_PROPAGATION: Duration = Duration::from_secs(6);

/// Edits of each operator before the failure, and again after it.
const EDITS_PER_OPERATOR: u32 = 10;

/// Operators that edit concurrently.
const OPERATORS: u32 = 2;

/// Time until an outage of the store or a cut between regions is undone.
const FAILURE_DURATION: Duration = Duration::from_secs(8);

/// Time between two polls of the daemons.
const POLL_PERIOD: Duration = Duration::from_millis(2);

/// Upper limit of an operator's pause between two edits.
const MAX_PAUSE_MS: u64 = 60;

/// Failure that a case injects right after an edit was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    None,
    StoreDown,
    AnswersLost,
    CoordinatorLost,
    StoreDownAndCoordinatorLost,
    RegionsCut,
    StoreDownAndDaemonJoins,
}

const CASES: [(&str, Failure); 7] = [
    ("quiet", Failure::None),
    ("store-down", Failure::StoreDown),
    ("answers-lost", Failure::AnswersLost),
    ("coordinator-lost", Failure::CoordinatorLost),
    (
        "store-down-coordinator-lost",
        Failure::StoreDownAndCoordinatorLost,
    ),
    ("regions-cut", Failure::RegionsCut),
    ("store-down-daemon-joins", Failure::StoreDownAndDaemonJoins),
];

/// Observed edits and their effects.
#[derive(Default)]
struct EditLog {
    /// Instant of acceptance of each version, and the customer that the edit added.
    accepted: BTreeMap<u64, (Instant, String)>,
    /// Time from acceptance until every serving daemon had the version or a later one in force.
    propagation: BTreeMap<u64, Duration>,
    /// Text of each version, as first seen in force in a daemon.
    texts: BTreeMap<u64, String>,
    /// Updates that the store refused because of a concurrent edit.
    conflicts: u32,
    /// Updates that got no response, so that they may have taken effect.
    unsettled: u32,
    /// Times that a daemon went back to an earlier version.
    reverted: u32,
    /// Observations of a text that differs from that of the same version seen before.
    split: u32,
}

type SharedEditLog = Arc<Mutex<EditLog>>;

fn lock(edit_log: &SharedEditLog) -> MutexGuard<'_, EditLog> {
    edit_log.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Daemons that are polled, each with the highest version seen in force there.
type PolledDaemons = Arc<Mutex<Vec<(Arc<Shared>, u64)>>>;

/// Runs the cases. Returns false when an edit was late, lost, reverted or split.
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
    let selected = |name: &str| options.case.as_deref().is_none_or(|case| case == name);
    for (name, failure) in CASES.iter().filter(|(name, _)| selected(name)) {
        let (edit_log, lost) = measure(*failure, options).await?;
        let mut times: Vec<Duration> = edit_log.propagation.values().copied().collect();
        times.sort_unstable();
        let never_in_force = edit_log.accepted.len() - times.len();
        let too_late = times.iter().filter(|t| **t > MAX_PROPAGATION).count() + never_in_force;
        print_row(name, &edit_log, &times, lost);
        accepted += edit_log.accepted.len();
        broken += lost + edit_log.reverted + edit_log.split;
        late += too_late;
        longest = longest.max(times.last().copied().unwrap_or_default());
    }
    let ok = accepted > 0 && broken == 0 && late == 0;
    println!(
        "result={} accepted={accepted} broken={broken} late={late} longest_ms={} bound_ms={}",
        if ok { "ok" } else { "failed" },
        longest.as_millis(),
        MAX_PROPAGATION.as_millis()
    );
    Ok(ok)
}

fn print_row(name: &str, edit_log: &EditLog, times: &[Duration], lost: u32) {
    let time = |quantile| quantile::millis(times, quantile);
    println!(
        "{name:<28} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8} {lost:>5} {:>8} {:>5}",
        edit_log.accepted.len(),
        edit_log.conflicts,
        edit_log.unsettled,
        time(0.5),
        time(0.99),
        time(1.0),
        edit_log.reverted,
        edit_log.split
    );
}

/// Runs a case on a new deployment. Returns the log, and the number of accepted edits that are
/// missing from the stored lists at the end.
async fn measure(failure: Failure, options: &ListsOptions) -> Result<(EditLog, u32), Error> {
    let seed = options.seed;
    let mut deployment = Deployment::start(deployment::press_office()).await?;
    deployment.await_ready().await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let coordinator = deployment.coordinator().await.ok_or("no coordinator")?;
    let edit_log = SharedEditLog::default();
    let polled = PolledDaemons::default();
    add_running(&deployment, &polled);
    let stop = Arc::new(AtomicBool::new(false));
    let poller = tokio::spawn(poll_until_stopped(
        Arc::clone(&polled),
        Arc::clone(&edit_log),
        Arc::clone(&stop),
    ));
    let mut daemons = admin_addresses(&deployment, &coordinator);
    if options.store_alone {
        daemons.clear();
    }
    let store = deployment.platform.address();
    edit_all(store, &daemons, &edit_log, seed, "before").await?;
    // Inject the failure between the store's response to one more edit and its announcement.
    let mut random = StdRng::seed_from_u64(seed);
    let last_edit = edit(&HttpStore::new(store), "last", &edit_log).await;
    inject(&mut deployment, failure, &coordinator).await;
    if let Some(lists) = last_edit {
        announce(&daemons, &lists, &mut random).await;
    }
    add_running(&deployment, &polled);
    if failure != Failure::None {
        tokio::time::sleep(FAILURE_DURATION).await;
    }
    deployment.platform.set_faults(Faults::default());
    deployment.restore_links();
    edit_all(store, &daemons, &edit_log, seed + 1, "after").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::Relaxed);
    poller.await?;
    let text = deployment.platform.object(LISTS_OBJECT).unwrap_or_default();
    let text = String::from_utf8_lossy(&text).into_owned();
    deployment.kill_all().await;
    let edit_log = std::mem::take(&mut *lock(&edit_log));
    let is_stored = |customer: &str| text.contains(&format!("{customer} = "));
    let lost = edit_log
        .accepted
        .values()
        .filter(|(_, c)| !is_stored(c))
        .count();
    Ok((edit_log, u32::try_from(lost)?))
}

/// Adds the running daemons that are not polled yet.
fn add_running(deployment: &Deployment, polled: &PolledDaemons) {
    let mut polled = polled.lock().unwrap_or_else(PoisonError::into_inner);
    for node in deployment.nodes.values() {
        let Some(daemon) = &node.daemon else { continue };
        let shared = daemon.shared();
        if !polled.iter().any(|(other, _)| Arc::ptr_eq(other, shared)) {
            polled.push((Arc::clone(shared), 0));
        }
    }
}

/// Returns the admin addresses of up to two daemons in different zones, without the coordinator.
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

/// Polls all daemons until `stop` is set.
async fn poll_until_stopped(polled: PolledDaemons, edit_log: SharedEditLog, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        poll(&polled, &edit_log);
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Logs the versions in force. Propagation counts only daemons that serve, with lists and a lease.
fn poll(polled: &PolledDaemons, edit_log: &SharedEditLog) {
    let mut polled = polled.lock().unwrap_or_else(PoisonError::into_inner);
    let mut edit_log = lock(edit_log);
    let mut lowest = None;
    for (shared, highest_seen) in polled.iter_mut() {
        let lists = shared.lists.load_full();
        let Some(lists) = lists else { continue };
        edit_log.reverted += u32::from(lists.version < *highest_seen);
        *highest_seen = lists.version.max(*highest_seen);
        let text = edit_log.texts.entry(lists.version);
        let differs = *text.or_insert_with(|| lists.text.clone()) != lists.text;
        edit_log.split += u32::from(differs);
        if shared.lease.load().is_held(shared.now()) {
            lowest = Some(lowest.unwrap_or(lists.version).min(lists.version));
        }
    }
    let Some(lowest) = lowest else { return };
    let EditLog {
        accepted,
        propagation,
        ..
    } = &mut *edit_log;
    for (version, (at, _)) in accepted.range(..=lowest) {
        propagation.entry(*version).or_insert_with(|| at.elapsed());
    }
}

/// Lets all operators make their edits concurrently, each announced to one of `daemons`.
async fn edit_all(
    store: SocketAddr,
    daemons: &[SocketAddr],
    edit_log: &SharedEditLog,
    seed: u64,
    phase: &str,
) -> Result<(), Error> {
    let mut operators = Vec::new();
    for operator in 0..OPERATORS {
        let store = HttpStore::new(store);
        let (daemons, edit_log) = (daemons.to_vec(), Arc::clone(edit_log));
        let mut random = StdRng::seed_from_u64(seed * 10 + u64::from(operator));
        let phase = phase.to_owned();
        operators.push(tokio::spawn(async move {
            for number in 0..EDITS_PER_OPERATOR {
                let customer = format!("{phase}-{operator}-{number}");
                if let Some(lists) = edit(&store, &customer, &edit_log).await {
                    announce(&daemons, &lists, &mut random).await;
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

/// Adds a customer to the lists as the command-line tool does, and retries after a conflict or a
/// lost response. Returns `None` when the store rejects the update.
async fn edit(
    store: &HttpStore,
    customer: &str,
    edit_log: &SharedEditLog,
) -> Option<AcceptedLists> {
    loop {
        let Ok(Some(current)) = store.get(LISTS_OBJECT).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let text = String::from_utf8_lossy(&current.value).into_owned();
        if text.contains(&format!("{customer} = ")) {
            return Some(record_accepted(edit_log, customer, current.version, text));
        }
        let line = format!("[customers]\n{customer} = \"reader\"\n");
        let text = text.replacen("[customers]\n", &line, 1);
        let put = store.put(LISTS_OBJECT, current.version, Bytes::from(text.clone()));
        match put.await {
            Ok(PutOutcome::Written(version)) => {
                return Some(record_accepted(edit_log, customer, version, text));
            }
            Ok(PutOutcome::Conflict(_)) => lock(edit_log).conflicts += 1,
            Err(StoreError::NoResponse { .. }) => lock(edit_log).unsettled += 1,
            Err(StoreError::Rejected { .. }) => return None,
        }
    }
}

fn record_accepted(
    edit_log: &SharedEditLog,
    customer: &str,
    version: u64,
    text: String,
) -> AcceptedLists {
    let entry = (Instant::now(), customer.to_owned());
    lock(edit_log).accepted.entry(version).or_insert(entry);
    AcceptedLists { version, text }
}

/// Announces accepted lists to one of the daemons, as `lists put --admin` does.
async fn announce(daemons: &[SocketAddr], lists: &AcceptedLists, random: &mut StdRng) {
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

async fn inject(deployment: &mut Deployment, failure: Failure, coordinator: &str) {
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    match failure {
        Failure::None => {}
        Failure::StoreDown => deployment.platform.set_faults(down),
        Failure::AnswersLost => deployment.platform.set_faults(Faults {
            responses_lost: true,
            ..Faults::default()
        }),
        Failure::CoordinatorLost => deployment.kill(coordinator).await,
        Failure::StoreDownAndCoordinatorLost => {
            deployment.platform.set_faults(down);
            deployment.kill(coordinator).await;
        }
        Failure::RegionsCut => {
            let names = deployment.nodes.keys().cloned();
            let (nord, sud): (Vec<_>, Vec<_>) = names.partition(|n| n.starts_with("nord"));
            deployment.block_links(&nord, &sud, true);
        }
        Failure::StoreDownAndDaemonJoins => {
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
