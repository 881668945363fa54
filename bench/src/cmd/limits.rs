//! `bench limits`: measures how much of its allowance a plan gets while its demand moves between
//! daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bench::caller::{self, Caller, CallerRequest};
use bench::deployment::{self, Deployment};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use timer::{BootClock, Clock};
use tokio::time::{Instant, MissedTickBehavior};
use world::instant::BootInstant;

use crate::cli::LimitsOptions;
use crate::cmd::Error;

/// Service that the requests go to.
const SERVICE: &str = "listings";

/// Operation that the requests name.
const OPERATION: &str = "bundles";

/// Customer whose plan is measured.
const CUSTOMER: &str = "measured";

/// Requests per second that the plan allows.
const RATE: u32 = 200;

/// Burst that the plan allows, in requests.
const BURST: u32 = 50;

/// Requests sent, as a multiple of the allowed rate.
const DEMAND_FACTOR: u32 = 2;

/// Time for which all requests go to one daemon.
const ENTRY_PERIOD: Duration = Duration::from_secs(2);

/// Time for which each case sends requests.
const CASE_DURATION: Duration = Duration::from_secs(24);

/// Time from the start of a case to its failure.
const FAILURE_AT: Duration = Duration::from_secs(12);

/// Time after the start and after a failure to which the lower bounds don't apply.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Lengths of the windows in which granted requests are compared with the allowance.
const WINDOWS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(10)];

/// Time between the starts of two successive windows.
const WINDOW_STEP: Duration = Duration::from_millis(50);

/// Lowest permitted share of the allowance over 10 s, without a failure.
const MIN_SHARE_BEFORE_FAILURE: f64 = 0.98;

/// Lowest permitted share of the allowance over 1 s, without a failure and from 2 s after one on.
const MIN_SHARE_AFTER_FAILURE: f64 = 0.90;

/// Time between two batches of requests.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Time that the last requests are given to finish.
const COOL_DOWN: Duration = Duration::from_millis(500);

/// Failure that a case injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    None,
    /// The machine that owns the customer's allowance is killed.
    AllowanceOwnerLost,
    /// The two regions can't reach each other.
    RegionsCut,
}

const CASES: [(&str, Failure); 3] = [
    ("demand-moves", Failure::None),
    ("keeper-lost", Failure::AllowanceOwnerLost),
    ("regions-cut", Failure::RegionsCut),
];

/// A request that was sent.
#[derive(Clone, Copy)]
struct SentRequest {
    at: BootInstant,
    /// Index of the daemon that it was sent to.
    entry: usize,
}

/// Ratios of granted requests to the allowance.
struct Shares {
    /// Highest ratio of any window to rate x window + burst; more than 1 exceeds the allowance.
    highest: f64,
    /// Lowest ratio of any 1 s window to rate x window, without the settling times.
    min_1s: f64,
    /// The same for 10 s windows before the failure.
    min_10s: f64,
}

/// Runs the cases. Returns false when a plan got more than its allowance, or less than the lowest
/// permitted share.
///
/// # Errors
/// Fails when a deployment does not come up.
pub(crate) async fn run(options: &LimitsOptions) -> Result<bool, Error> {
    println!(
        "{:<14} {:>7} {:>8} {:>9} {:>12} {:>13} {:>14}",
        "case", "sent", "granted", "highest", "least_1s", "least_10s", "equal_shares"
    );
    let (mut over, mut under) = (0, 0);
    let selected = |name: &str| options.case.as_deref().is_none_or(|case| case == name);
    for (name, failure) in CASES.iter().filter(|(name, _)| selected(name)) {
        let (sent, granted, entries) = measure(*failure, options.seed).await?;
        let shares = shares(&sent, &granted);
        let with_equal_shares = equal_shares(&sent, entries);
        println!(
            "{name:<14} {:>7} {:>8} {:>9.3} {:>12.3} {:>13.3} {:>14.3}",
            sent.len(),
            granted.len(),
            shares.highest,
            shares.min_1s,
            shares.min_10s,
            with_equal_shares.len() as f64 / granted.len().max(1) as f64,
        );
        over += u32::from(shares.highest > 1.0);
        let too_low =
            shares.min_10s < MIN_SHARE_BEFORE_FAILURE || shares.min_1s < MIN_SHARE_AFTER_FAILURE;
        under += u32::from(too_low);
    }
    let ok = over == 0 && under == 0;
    println!(
        "result={} rate={RATE} burst={BURST} over={over} under={under}",
        if ok { "ok" } else { "failed" }
    );
    Ok(ok)
}

/// Runs a case. Returns the requests sent, the instants of those executed, sorted, and the number
/// of entry daemons.
async fn measure(
    failure: Failure,
    seed: u64,
) -> Result<(Vec<SentRequest>, Vec<BootInstant>, usize), Error> {
    let mut spec = deployment::press_office();
    spec.lists = format!(
        "[customers]\n{CUSTOMER} = \"measured\"\n\n[plans.measured.{SERVICE}]\n\
         lookups = {{ rate = {RATE}, burst = {BURST} }}\ndeadline_ms = 2000\n"
    );
    let mut deployment = Deployment::start(spec).await?;
    deployment.await_ready().await?;
    let allowance_owner =
        deployment.owner_of(ownership::table::CUSTOMERS_SERVICE, CUSTOMER.as_bytes());
    let allowance_owner = allowance_owner.ok_or("no allowance owner")?;
    let coordinator = deployment.coordinator().await.ok_or("no coordinator")?;
    let entries: Vec<(String, SocketAddr)> = deployment
        .entries()
        .into_iter()
        .filter(|(name, _)| *name != allowance_owner)
        .collect();
    let addresses: Vec<SocketAddr> = entries.iter().map(|(_, address)| *address).collect();
    let sender = tokio::spawn(send(addresses, seed));
    tokio::time::sleep(FAILURE_AT).await;
    match failure {
        Failure::None => {}
        Failure::AllowanceOwnerLost => deployment.kill(&allowance_owner).await,
        Failure::RegionsCut => {
            let region = coordinator.split('-').next().unwrap_or_default();
            let names = deployment.nodes.keys().cloned();
            let (same_side, other_side): (Vec<_>, Vec<_>) =
                names.partition(|n| n.starts_with(region));
            deployment.block_links(&same_side, &other_side, true);
        }
    }
    let sent = sender.await?;
    tokio::time::sleep(COOL_DOWN).await;
    let executions = deployment.recorder.executions();
    let granted = executions.iter().filter(|e| e.customer == CUSTOMER);
    let mut granted: Vec<BootInstant> = granted.map(|e| e.at).collect();
    granted.sort_unstable();
    deployment.kill_all().await;
    Ok((sent, granted, entries.len()))
}

/// Sends requests at a fixed rate without waiting for responses. Every [`ENTRY_PERIOD`] all
/// requests move to a daemon chosen at random.
async fn send(entries: Vec<SocketAddr>, seed: u64) -> Vec<SentRequest> {
    let mut random = StdRng::seed_from_u64(seed);
    let caller = Caller::new();
    let started = Instant::now();
    let mut ticks = tokio::time::interval(BATCH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut sent = Vec::new();
    let mut entry = 0;
    let mut next_move = Duration::ZERO;
    while started.elapsed() < CASE_DURATION {
        ticks.tick().await;
        if started.elapsed() >= next_move {
            entry = random.random_range(0..entries.len());
            next_move += ENTRY_PERIOD;
        }
        let due = f64::from(RATE * DEMAND_FACTOR) * started.elapsed().as_secs_f64();
        while (sent.len() as f64) < due {
            sent.push(SentRequest {
                at: BootClock.now(),
                entry,
            });
            if let Some(request) = caller::build_http_request(entries[entry], &lookup(), None) {
                let caller = caller.clone();
                tokio::spawn(async move { caller.send_once(request).await });
            }
        }
    }
    sent
}

fn lookup() -> CallerRequest {
    CallerRequest {
        id: "1".to_owned(),
        customer: Some(CUSTOMER.to_owned()),
        service: SERVICE.to_owned(),
        operation: OPERATION.to_owned(),
        key: None,
        ticket: None,
        body: None,
        deadline_ms: Some(1_000),
        timeout: Duration::ZERO,
    }
}

fn shares(sent: &[SentRequest], granted: &[BootInstant]) -> Shares {
    let mut shares = Shares {
        highest: 0.0,
        min_1s: f64::INFINITY,
        min_10s: f64::INFINITY,
    };
    let Some(start) = sent.first().map(|s| s.at) else {
        return shares;
    };
    for window in WINDOWS {
        let allowed = f64::from(RATE) * window.as_secs_f64();
        let mut offset = Duration::ZERO;
        while offset + window <= CASE_DURATION {
            let count = count(granted, start + offset, window);
            shares.highest = shares.highest.max(count / (allowed + f64::from(BURST)));
            let share = count / allowed;
            let before_failure = offset + window <= FAILURE_AT;
            let settled =
                offset >= SETTLING_TIME && (before_failure || offset >= FAILURE_AT + SETTLING_TIME);
            if settled && window == WINDOWS[0] {
                shares.min_1s = shares.min_1s.min(share);
            }
            if settled && before_failure && window == WINDOWS[1] {
                shares.min_10s = shares.min_10s.min(share);
            }
            offset += WINDOW_STEP;
        }
    }
    shares
}

/// Counts the requests granted within the window that starts at `from`. `granted` is sorted.
fn count(granted: &[BootInstant], from: BootInstant, window: Duration) -> f64 {
    let until = from + window;
    let first = granted.partition_point(|at| *at < from);
    let last = granted.partition_point(|at| *at < until);
    (last - first) as f64
}

/// Returns the requests that would be granted if each daemon had a fixed, equal part of the
/// allowance as a token bucket of its own: the baseline.
fn equal_shares(sent: &[SentRequest], entries: usize) -> Vec<BootInstant> {
    let share = f64::from(RATE) / entries as f64;
    let burst = f64::from(BURST) / entries as f64;
    let mut buckets: HashMap<usize, (f64, BootInstant)> = HashMap::new();
    let mut granted = Vec::new();
    for request in sent {
        let (tokens, at) = buckets.entry(request.entry).or_insert((burst, request.at));
        let refilled = *tokens + share * request.at.since(*at).as_secs_f64();
        *tokens = refilled.min(burst.max(1.0));
        *at = request.at;
        if *tokens >= 1.0 {
            *tokens -= 1.0;
            granted.push(request.at);
        }
    }
    granted
}
