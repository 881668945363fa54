//! `bench limits`: how much of its allowance a plan gets while its demand moves.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bench::caller::{self, Caller, Wish};
use bench::deployment::{self, Deployment};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use timer::{BootClock, Clock};
use tokio::time::{Instant, MissedTickBehavior};
use world::instant::BootInstant;

use crate::cli::LimitsOptions;
use crate::cmd::Error;

/// Service that the requests are for.
const SERVICE: &str = "listings";

/// Operation that is called.
const OPERATION: &str = "bundles";

/// Customer whose plan is measured.
const CUSTOMER: &str = "measured";

/// Requests a second that the plan allows.
const RATE: u32 = 200;

/// Burst that the plan allows.
const BURST: u32 = 50;

/// Demand as a multiple of the rate.
const DEMAND: u32 = 2;

/// Time for which all demand is at one daemon.
const STAY: Duration = Duration::from_secs(2);

/// Length of a case.
const LENGTH: Duration = Duration::from_secs(24);

/// Instant of the fault within a case.
const FAULT_AT: Duration = Duration::from_secs(12);

/// Time after the start, and after a fault, that is left out of the lower bounds.
const SETTLE: Duration = Duration::from_secs(2);

/// Windows in which what was granted is compared with what is allowed.
const WINDOWS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(10)];

/// Distance between the starts of windows.
const WINDOW_STEP: Duration = Duration::from_millis(50);

/// Least share of the allowance while there is demand and no fault, over 10 s.
const LEAST_QUIET: f64 = 0.98;

/// Least share of the allowance from 2 s after a fault on, over 1 s.
const LEAST_AFTER: f64 = 0.90;

/// Time between two batches of requests.
const BATCH: Duration = Duration::from_millis(5);

/// Time that the last requests get to end.
const COOL_DOWN: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Nothing,
    KeeperLost,
    RegionsCut,
}

const CASES: [(&str, Fault); 3] = [
    ("demand-moves", Fault::Nothing),
    ("keeper-lost", Fault::KeeperLost),
    ("regions-cut", Fault::RegionsCut),
];

/// A request as sent.
#[derive(Clone, Copy)]
struct Sent {
    at: BootInstant,
    entry: usize,
}

/// Shares of the allowance that were granted.
struct Shares {
    /// Highest grant of any window over rate times window plus burst.
    highest: f64,
    /// Lowest grant of any 1 s window over rate times window, from the settling time on.
    least_short: f64,
    /// The same for 10 s windows, before a fault.
    least_long: f64,
}

/// Runs the cases. Gives false when a plan got more than allowed, or less than promised.
///
/// # Errors
/// Fails when a deployment does not come up.
pub(crate) async fn run(options: &LimitsOptions) -> Result<bool, Error> {
    println!(
        "{:<14} {:>7} {:>8} {:>9} {:>12} {:>13} {:>14}",
        "case", "sent", "granted", "highest", "least_1s", "least_10s", "equal_shares"
    );
    let (mut over, mut under) = (0, 0);
    let wanted = |name: &str| options.case.as_deref().is_none_or(|case| case == name);
    for (name, fault) in CASES.iter().filter(|(name, _)| wanted(name)) {
        let (sent, granted, entries) = measure(*fault, options.seed).await?;
        let shares = shares(&sent, &granted);
        let baseline = equal_shares(&sent, entries);
        println!(
            "{name:<14} {:>7} {:>8} {:>9.3} {:>12.3} {:>13.3} {:>14.3}",
            sent.len(),
            granted.len(),
            shares.highest,
            shares.least_short,
            shares.least_long,
            baseline.len() as f64 / granted.len().max(1) as f64,
        );
        over += u32::from(shares.highest > 1.0);
        let little = shares.least_long < LEAST_QUIET || shares.least_short < LEAST_AFTER;
        under += u32::from(little);
    }
    let ok = over == 0 && under == 0;
    println!(
        "result={} rate={RATE} burst={BURST} over={over} under={under}",
        if ok { "ok" } else { "failed" }
    );
    Ok(ok)
}

async fn measure(fault: Fault, seed: u64) -> Result<(Vec<Sent>, Vec<BootInstant>, usize), Error> {
    let mut spec = deployment::press_office();
    spec.lists = format!(
        "[customers]\n{CUSTOMER} = \"measured\"\n\n[plans.measured.{SERVICE}]\n\
         lookups = {{ rate = {RATE}, burst = {BURST} }}\ndeadline_ms = 2000\n"
    );
    let mut deployment = Deployment::start(spec).await?;
    deployment.await_ready().await?;
    let keeper = deployment.owner_of(ownership::table::CUSTOMERS_SERVICE, CUSTOMER.as_bytes());
    let keeper = keeper.ok_or("no keeper")?;
    let coordinator = deployment.coordinator().await.ok_or("no coordinator")?;
    let entries: Vec<(String, SocketAddr)> = deployment
        .entries()
        .into_iter()
        .filter(|(name, _)| *name != keeper)
        .collect();
    let addresses: Vec<SocketAddr> = entries.iter().map(|(_, address)| *address).collect();
    let sender = tokio::spawn(send(addresses, seed));
    tokio::time::sleep(FAULT_AT).await;
    match fault {
        Fault::Nothing => {}
        Fault::KeeperLost => deployment.kill(&keeper).await,
        Fault::RegionsCut => {
            let region = coordinator.split('-').next().unwrap_or_default();
            let names = deployment.nodes.keys().cloned();
            let (near, far): (Vec<_>, Vec<_>) = names.partition(|n| n.starts_with(region));
            deployment.cut(&near, &far, true);
        }
    }
    let sent = sender.await?;
    tokio::time::sleep(COOL_DOWN).await;
    let executions = deployment.recorder.executions();
    let granted = executions.iter().filter(|e| e.customer == CUSTOMER);
    let mut granted: Vec<BootInstant> = granted.map(|e| e.at).collect();
    granted.sort_unstable();
    deployment.end().await;
    Ok((sent, granted, entries.len()))
}

/// Sends at a fixed rate to one daemon after the other, whatever the answers do.
async fn send(entries: Vec<SocketAddr>, seed: u64) -> Vec<Sent> {
    let mut random = StdRng::seed_from_u64(seed);
    let caller = Caller::new();
    let started = Instant::now();
    let mut ticks = tokio::time::interval(BATCH);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut sent = Vec::new();
    let mut entry = 0;
    let mut leave = Duration::ZERO;
    while started.elapsed() < LENGTH {
        ticks.tick().await;
        if started.elapsed() >= leave {
            entry = random.random_range(0..entries.len());
            leave += STAY;
        }
        let due = f64::from(RATE * DEMAND) * started.elapsed().as_secs_f64();
        while (sent.len() as f64) < due {
            sent.push(Sent {
                at: BootClock.now(),
                entry,
            });
            if let Some(request) = caller::build(entries[entry], &lookup(), None) {
                let caller = caller.clone();
                tokio::spawn(async move { caller.probe(request).await });
            }
        }
    }
    sent
}

fn lookup() -> Wish {
    Wish {
        request: "1".to_owned(),
        customer: Some(CUSTOMER.to_owned()),
        service: SERVICE.to_owned(),
        operation: OPERATION.to_owned(),
        key: None,
        ticket: None,
        body: None,
        deadline_ms: Some(1_000),
        patience: Duration::ZERO,
    }
}

fn shares(sent: &[Sent], granted: &[BootInstant]) -> Shares {
    let mut shares = Shares {
        highest: 0.0,
        least_short: f64::INFINITY,
        least_long: f64::INFINITY,
    };
    let Some(start) = sent.first().map(|s| s.at) else {
        return shares;
    };
    for window in WINDOWS {
        let allowed = f64::from(RATE) * window.as_secs_f64();
        let mut offset = Duration::ZERO;
        while offset + window <= LENGTH {
            let count = count(granted, start + offset, window);
            shares.highest = shares.highest.max(count / (allowed + f64::from(BURST)));
            let share = count / allowed;
            let before = offset + window <= FAULT_AT;
            let settled = offset >= SETTLE && (before || offset >= FAULT_AT + SETTLE);
            if settled && window == WINDOWS[0] {
                shares.least_short = shares.least_short.min(share);
            }
            if settled && before && window == WINDOWS[1] {
                shares.least_long = shares.least_long.min(share);
            }
            offset += WINDOW_STEP;
        }
    }
    shares
}

fn count(granted: &[BootInstant], from: BootInstant, window: Duration) -> f64 {
    let until = from + window;
    let first = granted.partition_point(|at| *at < from);
    let last = granted.partition_point(|at| *at < until);
    (last - first) as f64
}

/// What the same requests would have been granted with a fixed equal share for each daemon.
fn equal_shares(sent: &[Sent], entries: usize) -> Vec<BootInstant> {
    let share = f64::from(RATE) / entries as f64;
    let burst = f64::from(BURST) / entries as f64;
    let mut buckets: HashMap<usize, (f64, BootInstant)> = HashMap::new();
    let mut granted = Vec::new();
    for request in sent {
        let (tokens, at) = buckets.entry(request.entry).or_insert((burst, request.at));
        let grown = *tokens + share * request.at.since(*at).as_secs_f64();
        *tokens = grown.min(burst.max(1.0));
        *at = request.at;
        if *tokens >= 1.0 {
            *tokens -= 1.0;
            granted.push(request.at);
        }
    }
    granted
}
