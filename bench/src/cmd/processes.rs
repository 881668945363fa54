//! `bench platform`, `bench back-end` and `bench probe`: stand-ins and probes as processes of their
//! own, for experiments that pause, kill or stop whole processes.

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bench::checker;
use bench::deployment;
use bench::prober;
use bench::stand_in::back_end::{BackEnd, Profile};
use bench::stand_in::platform::Platform;
use bench::stand_in::record::{Execution, Recorder};

use crate::cli::{BackEndOptions, ProbeOptions};
use crate::cmd::Error;

/// Number of keys that are probed.
const KEYS: usize = 32;

/// Time that the last executions are given to finish.
const COOL_DOWN: Duration = Duration::from_millis(500);

/// Time after which a stand-in process exits if it was not killed.
const LIFETIME: Duration = Duration::from_secs(600);

/// Runs a stand-in of the platform that holds the press office's lists.
///
/// # Errors
/// Fails when the address can't be bound.
pub(crate) async fn platform(listen: SocketAddr) -> Result<bool, Error> {
    let platform = Platform::start_at(listen)
        .await
        .map_err(|e| format!("{listen}: {e}"))?;
    platform.put(lists::LISTS_OBJECT, deployment::press_office().lists);
    tokio::time::sleep(LIFETIME).await;
    Ok(true)
}

/// Runs a stand-in back end that writes its executions to a file.
///
/// # Errors
/// Fails when no port can be bound or the record can't be written.
pub(crate) async fn back_end(options: &BackEndOptions) -> Result<bool, Error> {
    let profile = Profile {
        machine: options.machine.clone(),
        service: prober::SERVICE.to_owned(),
        keyed: true,
        checks_fences: true,
        lookups: vec!["balance".to_owned()],
        orders: vec!["post".to_owned()],
        slots: 18,
        service_time: Duration::from_millis(2),
    };
    let record = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&options.record)?;
    let mut back_end = BackEnd::start(profile, Recorder::appending_to(record)).await?;
    back_end.announce_to(options.admin);
    tokio::time::sleep(LIFETIME).await;
    Ok(true)
}

/// Probes keys and checks the back ends' records. Returns false when an invariant is violated or a
/// key was unavailable for longer than the bound.
///
/// # Errors
/// Fails when a record can't be read.
pub(crate) async fn probe(options: &ProbeOptions) -> Result<bool, Error> {
    let stop = Arc::new(AtomicBool::new(false));
    let probers: Vec<_> = (0..KEYS)
        .map(|key| prober::probe(key, options.seed, options.entry.clone(), Arc::clone(&stop)))
        .collect();
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    stop.store(true, Ordering::Relaxed);
    let mut longest = Duration::ZERO;
    let mut sent = Vec::new();
    for prober in probers {
        let result = prober.await?;
        longest = longest.max(result.longest_gap());
        sent.extend(result.sent);
    }
    tokio::time::sleep(COOL_DOWN).await;
    let mut executions = Vec::new();
    for record in &options.record {
        executions.extend(read_record(record)?);
    }
    executions.sort_by_key(|e| e.at);
    let violations = checker::find_violations(&executions, &sent);
    for violation in violations.iter().take(5) {
        println!(
            "violation law={} seen={:?}",
            violation.invariant, violation.observed
        );
    }
    let too_long = options.bound_ms > 0 && longest > Duration::from_millis(options.bound_ms);
    let ok = violations.is_empty() && !too_long;
    println!(
        "result={} requests={} executions={} longest_unavailable_ms={} violations={}",
        if ok { "ok" } else { "failed" },
        sent.len(),
        executions.len(),
        longest.as_millis(),
        violations.len()
    );
    Ok(ok)
}

fn read_record(record: &Path) -> Result<Vec<Execution>, Error> {
    let text = std::fs::read_to_string(record).map_err(|e| format!("{}: {e}", record.display()))?;
    let mut executions = Vec::new();
    for line in text.lines() {
        executions.push(serde_json::from_str(line)?);
    }
    Ok(executions)
}
