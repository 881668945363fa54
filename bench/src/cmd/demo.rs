//! `bench demo`: replays the traces of both users against small deployments and checks the stated
//! outcomes and the invariants.

use std::io::{IsTerminal, Write};
use std::path::Path;
use std::time::Duration;

use bench::caller::Outcome;
use bench::checker::{self, Violation};
use bench::deployment::{self, Deployment, Spec};
use bench::replay::{self, Progress, SentRequest};
use bench::trace::{self, Line};
use hdrhistogram::Histogram;

use crate::cli::DemoOptions;
use crate::cmd::Error;

/// Number of violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 10;

const KIOSK_TRACE: &str = include_str!("../../traces/kiosk.jsonl");
const COURT_TRACE: &str = include_str!("../../traces/court.jsonl");

/// Results of one replay.
struct ReplaySummary {
    user: &'static str,
    /// Time until every daemon had a lease, lists and an owner for every shard.
    ready: Duration,
    requests: usize,
    answered: usize,
    refused: usize,
    executions: usize,
    orders: usize,
    p50_ms: f64,
    p99_ms: f64,
    max_ms: f64,
    store_writes: u64,
    store_reads: u64,
    violations: Vec<Violation>,
}

/// Runs the demonstration. Returns false when a stated outcome or an invariant is violated.
///
/// # Errors
/// Fails when a trace can't be read or a deployment does not come up.
pub(crate) async fn run(options: &DemoOptions) -> Result<bool, Error> {
    let mut summaries = Vec::new();
    for (user, spec, lines) in scenarios(options.trace.as_deref())? {
        summaries.push(run_scenario(user, spec, &lines, options.seed).await?);
    }
    print_table(&summaries);
    let violations: Vec<_> = summaries.iter().flat_map(|s| &s.violations).collect();
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!(
            "violation law={} seen={:?}",
            violation.invariant, violation.observed
        );
    }
    let sum = |count: fn(&ReplaySummary) -> usize| summaries.iter().map(count).sum::<usize>();
    println!(
        "result={} seed={} requests={} answered={} refused={} executions={} orders={} violations={}",
        if violations.is_empty() {
            "ok"
        } else {
            "failed"
        },
        options.seed,
        sum(|s| s.requests),
        sum(|s| s.answered),
        sum(|s| s.refused),
        sum(|s| s.executions),
        sum(|s| s.orders),
        violations.len(),
    );
    Ok(violations.is_empty())
}

/// Name of the user, its deployment and its trace.
type Scenario = (&'static str, Spec, Vec<Line>);

/// Returns the scenarios of both users, or the one whose zones `file` names.
fn scenarios(file: Option<&Path>) -> Result<Vec<Scenario>, Error> {
    let kiosk = |lines| ("kiosk", deployment::press_office(), lines);
    let court = |lines| ("court", deployment::cooperative(), lines);
    let Some(file) = file else {
        return Ok(vec![
            kiosk(trace::parse(KIOSK_TRACE)?),
            court(trace::parse(COURT_TRACE)?),
        ]);
    };
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let lines = trace::parse(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    let zone = lines.iter().find_map(|line| match line {
        Line::Request(request) => Some(request.zone.as_str()),
        Line::Event(_) => None,
    });
    let court_zones = deployment::cooperative().zones;
    let is_court = court_zones.iter().any(|(_, name)| Some(*name) == zone);
    Ok(vec![if is_court { court(lines) } else { kiosk(lines) }])
}

async fn run_scenario(
    user: &'static str,
    spec: Spec,
    lines: &[Line],
    seed: u64,
) -> Result<ReplaySummary, Error> {
    let mut deployment = Deployment::start(spec).await?;
    let ready = deployment.await_ready().await?;
    let mut progress = TerminalProgress::new(user);
    let sent = replay::replay(&mut deployment, lines, seed, &mut progress).await?;
    progress.finish();
    let executions = deployment.recorder.executions();
    let store_calls = deployment.platform.request_counts();
    let violations = checker::find_violations(&executions, &sent);
    deployment.kill_all().await;
    let times = latencies(&sent)?;
    let quantile = |q: f64| times.value_at_quantile(q) as f64 / 1000.0;
    Ok(ReplaySummary {
        user,
        ready,
        requests: sent.len(),
        answered: count(&sent, |o| matches!(o, Outcome::Answered(_))),
        refused: count(&sent, |o| matches!(o, Outcome::Refused(_))),
        executions: executions.len(),
        orders: executions.iter().filter(|e| !e.ticket.is_empty()).count(),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        max_ms: quantile(1.0),
        store_writes: store_calls.writes,
        store_reads: store_calls.reads + store_calls.watches,
        violations,
    })
}

/// Counts the requests whose reports all have an outcome that `accepts` is true for.
fn count(sent: &[SentRequest], accepts: fn(&Outcome) -> bool) -> usize {
    sent.iter()
        .filter(|s| s.reports.iter().all(|r| accepts(&r.outcome)))
        .count()
}

/// Returns the latencies of answered requests in microseconds, retries included.
fn latencies(sent: &[SentRequest]) -> Result<Histogram<u64>, Error> {
    let mut times = Histogram::new(3)?;
    for report in sent.iter().flat_map(|s| &s.reports) {
        if matches!(report.outcome, Outcome::Answered(_)) {
            times.record(u64::try_from(report.took.as_micros())?)?;
        }
    }
    Ok(times)
}

fn print_table(summaries: &[ReplaySummary]) {
    println!(
        "{:<6} {:>9} {:>9} {:>9} {:>8} {:>6} {:>8} {:>8} {:>8} {:>7} {:>6} {:>10}",
        "user",
        "ready_ms",
        "requests",
        "answered",
        "refused",
        "orders",
        "p50_ms",
        "p99_ms",
        "max_ms",
        "writes",
        "reads",
        "violations"
    );
    for s in summaries {
        println!(
            "{:<6} {:>9} {:>9} {:>9} {:>8} {:>6} {:>8.1} {:>8.1} {:>8.1} {:>7} {:>6} {:>10}",
            s.user,
            s.ready.as_millis(),
            s.requests,
            s.answered,
            s.refused,
            s.orders,
            s.p50_ms,
            s.p99_ms,
            s.max_ms,
            s.store_writes,
            s.store_reads,
            s.violations.len()
        );
    }
}

/// Progress on standard error, shown only when that is a terminal.
struct TerminalProgress {
    user: &'static str,
    enabled: bool,
}

impl TerminalProgress {
    fn new(user: &'static str) -> Self {
        Self {
            user,
            enabled: std::io::stderr().is_terminal(),
        }
    }

    fn finish(&self) {
        if self.enabled {
            eprintln!();
        }
    }
}

impl Progress for TerminalProgress {
    fn on_line(&mut self, done: usize, total: usize) {
        if self.enabled {
            eprint!("\r{}: {done} of {total} lines", self.user);
            let _ = std::io::stderr().flush();
        }
    }
}
