//! `bench load`: what the path adds to a direct call to the same back ends.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bench::caller::{self, Caller, Wish};
use bench::cpu;
use bench::deployment::{self, Deployment};
use bytes::Bytes;
use daemon::metrics::Counts;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::Full;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::runtime::Handle;

use crate::cli::LoadOptions;
use crate::cmd::Error;

/// Time that connections and purses get to warm up, at the full rate.
const WARM_UP: Duration = Duration::from_secs(1);

/// Time that the last requests get to end.
const COOL_DOWN: Duration = Duration::from_millis(500);

/// Keys that requests are drawn from.
const KEYS: u32 = 100_000;

/// Prefix of the names of all threads that serve requests in daemons.
const TRAFFIC_THREADS: &str = "traffic-";

/// Answers of one phase.
#[derive(Clone)]
struct Tally(Arc<Mutex<Counted>>);

struct Counted {
    /// Microseconds from the intended send time to the end of the answer.
    times: Histogram<u64>,
    failed: u64,
}

impl Tally {
    fn new() -> Result<Self, Error> {
        Ok(Self(Arc::new(Mutex::new(Counted {
            times: Histogram::new(3)?,
            failed: 0,
        }))))
    }

    fn add(&self, status: Option<u16>, took: Duration) {
        let mut counted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if status != Some(200) {
            counted.failed += 1;
            return;
        }
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let _ = counted.times.record(micros);
    }

    fn millis(&self, quantile: f64) -> f64 {
        let counted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counted.times.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn counts(&self) -> (u64, u64) {
        let counted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        (counted.times.len(), counted.failed)
    }
}

/// Runs the measurement. Gives false when a request failed.
///
/// # Errors
/// Fails when the deployment does not come up.
pub(crate) async fn run(options: &LoadOptions) -> Result<bool, Error> {
    let zones = match options.regions {
        1 => vec![("nord", "nord-a"), ("nord", "nord-b")],
        2 => vec![("nord", "nord-a"), ("sud", "sud-a")],
        other => return Err(format!("--regions {other}: use 1 or 2").into()),
    };
    let deployment = Deployment::start(deployment::plain(zones, options.threads)).await?;
    deployment.await_ready().await?;
    let entries: Vec<SocketAddr> = deployment.entries().into_iter().map(|(_, a)| a).collect();
    let targets = deployment.back_ends();
    let rate = options.rate * u32::try_from(entries.len())?;

    let length = Duration::from_secs(options.seconds);
    let caller = Caller::new();
    let make = |random: &mut StdRng| direct_request(&targets, random);
    phase(&caller, rate, WARM_UP, options.seed, make).await?;
    let direct = phase(&caller, rate, length, options.seed, make).await?;

    let make = |random: &mut StdRng| routed_request(&entries, random);
    phase(&caller, rate, WARM_UP, options.seed, make).await?;
    let before = (
        cpu::thread_time(TRAFFIC_THREADS),
        counts(&deployment),
        cpu::resident_bytes(),
    );
    let routed = phase(&caller, rate, length, options.seed, make).await?;
    let after = (
        cpu::thread_time(TRAFFIC_THREADS),
        counts(&deployment),
        cpu::resident_bytes(),
    );
    deployment.end().await;

    let requests = after.1.requests - before.1.requests;
    let hops = requests + after.1.forwarded - before.1.forwarded;
    let busy = (after.0 - before.0).as_micros() as f64 / hops.max(1) as f64;
    let distant = after.1.distant - before.1.distant;
    let distant_bytes = after.1.distant_bytes - before.1.distant_bytes;
    println!(
        "{:<8} {:>9} {:>8} {:>8} {:>8} {:>8}",
        "path", "answered", "failed", "p50_ms", "p99_ms", "p99.9_ms"
    );
    for (name, tally) in [("direct", &direct), ("routed", &routed)] {
        let (answered, failed) = tally.counts();
        println!(
            "{name:<8} {answered:>9} {failed:>8} {:>8.3} {:>8.3} {:>8.3}",
            tally.millis(0.5),
            tally.millis(0.99),
            tally.millis(0.999)
        );
    }
    let added = |q| routed.millis(q) - direct.millis(q);
    let failed = direct.counts().1 + routed.counts().1;
    println!(
        "result={} rate_per_daemon={} daemons={} added_p50_ms={:.3} added_p99_ms={:.3} added_p99.9_ms={:.3} hop_cpu_us={busy:.1} hops_per_request={:.2} link_bytes_per_crossing={} resident_mb_before={} resident_mb_after={}",
        if failed == 0 { "ok" } else { "failed" },
        options.rate,
        entries.len(),
        added(0.5),
        added(0.99),
        added(0.999),
        hops as f64 / requests.max(1) as f64,
        distant_bytes.checked_div(distant).unwrap_or(0),
        before.2 >> 20,
        after.2 >> 20,
    );
    Ok(failed == 0)
}

/// Sum of the daemons' counts that the measurement needs.
fn counts(deployment: &Deployment) -> Counts {
    let mut sum = Counts::default();
    for node in deployment.nodes.values() {
        let Some(daemon) = &node.daemon else { continue };
        let counts = daemon.shared().counters.counts();
        sum.requests += counts.requests;
        sum.forwarded += counts.forwarded;
        sum.distant += counts.distant;
        sum.distant_bytes += counts.distant_bytes;
    }
    sum
}

fn direct_request(targets: &[SocketAddr], random: &mut StdRng) -> Option<Request<Full<Bytes>>> {
    let address = targets[random.random_range(0..targets.len())];
    let request = Request::get(format!("http://{address}/get?request=1"))
        .header(daemon::back_end::CUSTOMER, "load")
        .header(daemon::back_end::DEADLINE, 2000);
    request.body(Full::default()).ok()
}

fn routed_request(entries: &[SocketAddr], random: &mut StdRng) -> Option<Request<Full<Bytes>>> {
    let entry = entries[random.random_range(0..entries.len())];
    let keyed = random.random_bool(0.5);
    let wish = Wish {
        request: "1".to_owned(),
        customer: Some("load".to_owned()),
        service: if keyed { "keyed" } else { "open" }.to_owned(),
        operation: "get".to_owned(),
        key: keyed.then(|| format!("key-{}", random.random_range(0..KEYS))),
        ticket: None,
        body: None,
        deadline_ms: None,
        patience: Duration::ZERO,
    };
    caller::build(entry, &wish, None)
}

/// Sends at a fixed rate from a thread of its own, whatever the answers do.
async fn phase(
    caller: &Caller,
    rate: u32,
    length: Duration,
    seed: u64,
    make: impl Fn(&mut StdRng) -> Option<Request<Full<Bytes>>>,
) -> Result<Tally, Error> {
    let tally = Tally::new()?;
    let total = u64::from(rate) * u64::try_from(length.as_millis())? / 1000;
    let mut random = StdRng::seed_from_u64(seed);
    let requests: Vec<_> = (0..total).filter_map(|_| make(&mut random)).collect();
    let gap = Duration::from_secs(1) / rate;
    let runtime = Handle::current();
    let counted = tally.clone();
    let caller = caller.clone();
    let pacer = move || pace(&runtime, &caller, requests, gap, &counted);
    tokio::task::spawn_blocking(pacer).await?;
    tokio::time::sleep(COOL_DOWN).await;
    Ok(tally)
}

fn pace(
    runtime: &Handle,
    caller: &Caller,
    requests: Vec<Request<Full<Bytes>>>,
    gap: Duration,
    tally: &Tally,
) {
    let started = Instant::now();
    for (number, request) in requests.into_iter().enumerate() {
        let intended = started + gap * u32::try_from(number).unwrap_or(u32::MAX);
        while Instant::now() < intended {
            std::hint::spin_loop();
        }
        let (caller, tally) = (caller.clone(), tally.clone());
        runtime.spawn(async move {
            let status = caller.probe(request).await;
            tally.add(status, intended.elapsed());
        });
    }
}
