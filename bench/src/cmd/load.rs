//! `bench load`: measures the latency that daemons add to a direct call to the same back ends, and
//! their processor time per request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bench::caller::{self, Caller, CallerRequest};
use bench::deployment::{self, Deployment};
use bench::resource_usage;
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

/// Time for which connections and token caches warm up, at the full rate.
const WARM_UP: Duration = Duration::from_secs(1);

/// Time that the last requests are given to finish.
const COOL_DOWN: Duration = Duration::from_millis(500);

/// Number of keys that requests are drawn from.
const KEYS: u32 = 100_000;

/// Prefix of the names of the daemons' threads that serve requests.
const TRAFFIC_THREAD_PREFIX: &str = "traffic-";

/// Results of one phase, shared by the tasks that send its requests.
#[derive(Clone)]
struct PhaseResults(Arc<Mutex<Latencies>>);

struct Latencies {
    /// Microseconds from the intended send time to the end of the response, for status 200.
    times: Histogram<u64>,
    /// Requests without a response or with another status.
    failed: u64,
}

impl PhaseResults {
    fn new() -> Result<Self, Error> {
        Ok(Self(Arc::new(Mutex::new(Latencies {
            times: Histogram::new(3)?,
            failed: 0,
        }))))
    }

    fn record(&self, status: Option<u16>, took: Duration) {
        let mut latencies = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if status != Some(200) {
            latencies.failed += 1;
            return;
        }
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let _ = latencies.times.record(micros);
    }

    /// Returns the latency at `quantile` (0 to 1) in milliseconds.
    fn millis(&self, quantile: f64) -> f64 {
        let latencies = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        latencies.times.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the numbers of answered and of failed requests.
    fn counts(&self) -> (u64, u64) {
        let latencies = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        (latencies.times.len(), latencies.failed)
    }
}

/// Runs the measurement. Returns false when a request failed.
///
/// # Errors
/// Fails when the deployment does not come up.
pub(crate) async fn run(options: &LoadOptions) -> Result<bool, Error> {
    let zones = match options.regions {
        1 => vec![("nord", "nord-a"), ("nord", "nord-b")],
        2 => vec![("nord", "nord-a"), ("sud", "sud-a")],
        other => return Err(format!("--regions {other}: use 1 or 2").into()),
    };
    let deployment = Deployment::start(deployment::load_spec(zones, options.threads)).await?;
    deployment.await_ready().await?;
    let entries: Vec<SocketAddr> = deployment.entries().into_iter().map(|(_, a)| a).collect();
    let back_ends = deployment.back_ends();
    let rate = options.rate * u32::try_from(entries.len())?;

    let phase_length = Duration::from_secs(options.seconds);
    let caller = Caller::new();
    let make_request = |random: &mut StdRng| direct_request(&back_ends, random);
    run_phase(&caller, rate, WARM_UP, options.seed, make_request).await?;
    let direct = run_phase(&caller, rate, phase_length, options.seed, make_request).await?;

    let make_request = |random: &mut StdRng| routed_request(&entries, random);
    run_phase(&caller, rate, WARM_UP, options.seed, make_request).await?;
    let before = (
        resource_usage::thread_cpu_time(TRAFFIC_THREAD_PREFIX),
        sum_counts(&deployment),
        resource_usage::resident_bytes(),
    );
    let routed = run_phase(&caller, rate, phase_length, options.seed, make_request).await?;
    let after = (
        resource_usage::thread_cpu_time(TRAFFIC_THREAD_PREFIX),
        sum_counts(&deployment),
        resource_usage::resident_bytes(),
    );
    deployment.kill_all().await;

    let requests = after.1.requests - before.1.requests;
    let hops = requests + after.1.forwarded - before.1.forwarded;
    let hop_cpu_us = (after.0 - before.0).as_micros() as f64 / hops.max(1) as f64;
    let distant = after.1.distant - before.1.distant;
    let distant_bytes = after.1.distant_bytes - before.1.distant_bytes;
    println!(
        "{:<8} {:>9} {:>8} {:>8} {:>8} {:>8}",
        "path", "answered", "failed", "p50_ms", "p99_ms", "p99.9_ms"
    );
    for (name, results) in [("direct", &direct), ("routed", &routed)] {
        let (answered, failed) = results.counts();
        println!(
            "{name:<8} {answered:>9} {failed:>8} {:>8.3} {:>8.3} {:>8.3}",
            results.millis(0.5),
            results.millis(0.99),
            results.millis(0.999)
        );
    }
    let added = |q| routed.millis(q) - direct.millis(q);
    let failed = direct.counts().1 + routed.counts().1;
    println!(
        "result={} rate_per_daemon={} daemons={} added_p50_ms={:.3} added_p99_ms={:.3} added_p99.9_ms={:.3} hop_cpu_us={hop_cpu_us:.1} hops_per_request={:.2} link_bytes_per_crossing={} resident_mb_before={} resident_mb_after={}",
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

/// Returns the sums of those counters of all daemons that the measurement uses.
fn sum_counts(deployment: &Deployment) -> Counts {
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

/// Builds a request to a back end chosen at random.
fn direct_request(back_ends: &[SocketAddr], random: &mut StdRng) -> Option<Request<Full<Bytes>>> {
    let address = back_ends[random.random_range(0..back_ends.len())];
    let request = Request::get(format!("http://{address}/get?request=1"))
        .header(daemon::back_end::CUSTOMER, "load")
        .header(daemon::back_end::DEADLINE, 2000);
    request.body(Full::default()).ok()
}

/// Builds a request to a daemon chosen at random, half of them for the keyed service.
fn routed_request(entries: &[SocketAddr], random: &mut StdRng) -> Option<Request<Full<Bytes>>> {
    let entry = entries[random.random_range(0..entries.len())];
    let keyed = random.random_bool(0.5);
    let request = CallerRequest {
        id: "1".to_owned(),
        customer: Some("load".to_owned()),
        service: if keyed { "keyed" } else { "open" }.to_owned(),
        operation: "get".to_owned(),
        key: keyed.then(|| format!("key-{}", random.random_range(0..KEYS))),
        ticket: None,
        body: None,
        deadline_ms: None,
        timeout: Duration::ZERO,
    };
    caller::build_http_request(entry, &request, None)
}

/// Sends requests at a fixed rate from a thread of its own, without waiting for responses.
async fn run_phase(
    caller: &Caller,
    rate: u32,
    length: Duration,
    seed: u64,
    make_request: impl Fn(&mut StdRng) -> Option<Request<Full<Bytes>>>,
) -> Result<PhaseResults, Error> {
    let results = PhaseResults::new()?;
    let total = u64::from(rate) * u64::try_from(length.as_millis())? / 1000;
    let mut random = StdRng::seed_from_u64(seed);
    let requests: Vec<_> = (0..total)
        .filter_map(|_| make_request(&mut random))
        .collect();
    let interval = Duration::from_secs(1) / rate;
    let runtime = Handle::current();
    let shared_results = results.clone();
    let caller = caller.clone();
    let sender = move || send_paced(&runtime, &caller, requests, interval, &shared_results);
    tokio::task::spawn_blocking(sender).await?;
    tokio::time::sleep(COOL_DOWN).await;
    Ok(results)
}

/// Sends one request per `interval`, with a busy loop until each send time.
fn send_paced(
    runtime: &Handle,
    caller: &Caller,
    requests: Vec<Request<Full<Bytes>>>,
    interval: Duration,
    results: &PhaseResults,
) {
    let started = Instant::now();
    for (number, request) in requests.into_iter().enumerate() {
        let intended = started + interval * u32::try_from(number).unwrap_or(u32::MAX);
        while Instant::now() < intended {
            std::hint::spin_loop();
        }
        let (caller, results) = (caller.clone(), results.clone());
        runtime.spawn(async move {
            let status = caller.send_once(request).await;
            results.record(status, intended.elapsed());
        });
    }
}
