//! `bench balance`: measures how evenly back ends are loaded while the hottest keys change.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bench::caller::{self, Caller, CallerRequest};
use bench::deployment::{self, Deployment};
use bench::stand_in::record::Execution;
use ownership::table;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, MissedTickBehavior};
use world::instant::BootInstant;
use world::key::KeyHash;

use crate::cli::BalanceOptions;
use crate::cmd::Error;

/// Service that the requests go to.
const SERVICE: &str = "keyed";

/// Number of keys that requests are drawn from, by Zipf's law with exponent 1.
const KEYS: u32 = 20_000;

/// Ranks below this one get new keys in each period.
const FIRST_STABLE_RANK: u32 = 12;

/// Length of the windows over which the highest short-term imbalance is taken.
const WINDOW: Duration = Duration::from_secs(2);

/// Largest permitted ratio of the highest load of a back end to the mean, over a period.
const MAX_IMBALANCE: f64 = 1.25;

/// Time between two batches of requests.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Time that the last requests are given to finish.
const COOL_DOWN: Duration = Duration::from_millis(500);

/// Number of requests that each machine executed, by machine.
type Loads = BTreeMap<String, u64>;

/// Runs the measurement. Returns false when the imbalance of a period exceeds [`MAX_IMBALANCE`].
///
/// # Errors
/// Fails when the deployment does not come up.
pub(crate) async fn run(options: &BalanceOptions) -> Result<bool, Error> {
    let zones = vec![
        ("nord", "nord-a"),
        ("nord", "nord-b"),
        ("nord", "nord-c"),
        ("nord", "nord-d"),
    ];
    let deployment = Deployment::start(deployment::load_spec(zones, 1)).await?;
    deployment.await_ready().await?;
    let initial = deployment.owners(SERVICE);
    let entries: Vec<SocketAddr> = deployment.entries().into_iter().map(|(_, a)| a).collect();
    let machines = initial
        .iter()
        .flatten()
        .collect::<std::collections::BTreeSet<_>>()
        .len();
    let mut random = StdRng::seed_from_u64(options.seed);
    let period_length = Duration::from_secs(options.seconds);
    println!(
        "{:<8} {:>9} {:>10} {:>10} {:>12} {:>6}",
        "period", "requests", "imbalance", "unmoved", "worst_2s", "moved"
    );
    let (mut worst, mut worst_unmoved) = (0.0_f64, 0.0_f64);
    let mut owners = initial.clone();
    for period in 0..options.periods {
        let period_start = timer::Clock::now(&timer::BootClock);
        send(&entries, options.rate, period_length, period, &mut random).await?;
        let period_end = timer::Clock::now(&timer::BootClock);
        tokio::time::sleep(COOL_DOWN).await;
        let executions = deployment.recorder.executions();
        let in_period =
            |e: &&Execution| e.service == SERVICE && e.at >= period_start && e.at < period_end;
        let executions: Vec<&Execution> = executions.iter().filter(in_period).collect();
        let measured = imbalance(&loads(&executions), machines);
        let unmoved = imbalance(&static_loads(&executions, &initial), machines);
        let after = deployment.owners(SERVICE);
        let moved = owners.iter().zip(&after).filter(|(b, a)| b != a).count();
        println!(
            "{period:<8} {:>9} {measured:>10.3} {unmoved:>10.3} {:>12.3} {moved:>6}",
            executions.len(),
            worst_window(&executions, period_start, machines),
        );
        worst = worst.max(measured);
        worst_unmoved = worst_unmoved.max(unmoved);
        owners = after;
    }
    deployment.kill_all().await;
    let ok = worst > 0.0 && worst <= MAX_IMBALANCE;
    println!(
        "result={} rate={} periods={} period_s={} imbalance={worst:.3} unmoved={worst_unmoved:.3} bound={MAX_IMBALANCE}",
        if ok { "ok" } else { "failed" },
        options.rate,
        options.periods,
        options.seconds
    );
    Ok(ok)
}

/// Sends requests at a fixed rate, without waiting for responses.
async fn send(
    entries: &[SocketAddr],
    rate: u32,
    length: Duration,
    period: u32,
    random: &mut StdRng,
) -> Result<(), Error> {
    let ranks = WeightedIndex::new((1..=KEYS).map(|rank| 1.0 / f64::from(rank)))?;
    let caller = Caller::new();
    let started = Instant::now();
    let mut ticks = tokio::time::interval(BATCH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut sent = 0.0;
    while started.elapsed() < length {
        ticks.tick().await;
        let due = f64::from(rate) * started.elapsed().as_secs_f64();
        while sent < due {
            sent += 1.0;
            let rank = u32::try_from(ranks.sample(random))?;
            let entry = entries[random.random_range(0..entries.len())];
            let request = lookup(key(rank, period));
            if let Some(request) = caller::build_http_request(entry, &request, None) {
                let caller = caller.clone();
                tokio::spawn(async move { caller.send_once(request).await });
            }
        }
    }
    Ok(())
}

/// Returns the key of a rank in a period.
fn key(rank: u32, period: u32) -> String {
    if rank < FIRST_STABLE_RANK {
        format!("hot-{period}-{rank}")
    } else {
        format!("key-{rank}")
    }
}

fn lookup(key: String) -> CallerRequest {
    CallerRequest {
        id: "1".to_owned(),
        customer: Some("load".to_owned()),
        service: SERVICE.to_owned(),
        operation: "get".to_owned(),
        key: Some(key),
        ticket: None,
        body: None,
        deadline_ms: None,
        timeout: Duration::ZERO,
    }
}

fn loads(executions: &[&Execution]) -> Loads {
    let mut loads = Loads::new();
    for execution in executions {
        *loads.entry(execution.machine.clone()).or_default() += 1;
    }
    loads
}

/// Returns the loads as they would be if the shards had stayed with the given owners.
fn static_loads(executions: &[&Execution], owners: &[Option<String>]) -> Loads {
    let mut loads = Loads::new();
    for execution in executions {
        let Some(key) = decode_hex(&execution.key) else {
            continue;
        };
        let shard = table::shard_of(SERVICE, KeyHash::new(&key));
        if let Some(Some(owner)) = owners.get(usize::from(shard.0)) {
            *loads.entry(owner.clone()).or_default() += 1;
        }
    }
    loads
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let byte = |at| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}

/// Returns the ratio of the highest load to the mean of all machines, at least 0.
fn imbalance(loads: &Loads, machines: usize) -> f64 {
    let total: u64 = loads.values().sum();
    let highest = loads.values().copied().max().unwrap_or(0);
    highest as f64 * machines as f64 / total.max(1) as f64
}

/// Returns the highest imbalance of any window of length [`WINDOW`] since `start`.
fn worst_window(executions: &[&Execution], start: BootInstant, machines: usize) -> f64 {
    let mut windows: BTreeMap<u128, Vec<&Execution>> = BTreeMap::new();
    for execution in executions {
        let window = execution.at.since(start).as_millis() / WINDOW.as_millis();
        windows.entry(window).or_default().push(execution);
    }
    // The last window may be incomplete.
    windows.pop_last();
    let imbalances = windows.values().map(|w| imbalance(&loads(w), machines));
    imbalances.fold(0.0, f64::max)
}
