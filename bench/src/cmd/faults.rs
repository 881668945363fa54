//! `bench faults`: injects failures into a deployment of real daemons, and checks the invariants
//! and for how long keys are unavailable. Invariants are checked from outside, by what callers and
//! back ends record.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bench::checker::{self, Violation};
use bench::deployment::{self, Deployment};
use bench::prober;
use bench::quantile;
use bench::replay::SentRequest;
use bench::stand_in::back_end::Behaviour;
use bench::stand_in::platform::Faults;
use ownership::record::CellRecord;

use crate::cli::FaultsOptions;
use crate::cmd::Error;

/// Number of keys that are probed, each by a caller of its own.
const KEYS: usize = 48;

/// Time for which the deployment runs before probing starts, and again before the first failure.
const LEAD_TIME: Duration = Duration::from_secs(1);

/// Time until failures that can be undone are undone; killed machines stay down.
const FAILURE_DURATION: Duration = Duration::from_secs(4);

/// Time for which probing goes on after that.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Longest time for which a key may be unavailable in a bounded case.
const MAX_UNAVAILABLE: Duration = Duration::from_millis(2_000);

/// Largest permitted ratio of the shards that change their owner to those that have to.
const MAX_CHURN: f64 = 1.2;

/// A case as listed in [`CASES`].
struct CaseSpec {
    name: &'static str,
    bounded: bool,
    failures: &'static [Failure],
}

/// Failures that are injected right after one another.
struct Case {
    name: String,
    /// True when [`MAX_UNAVAILABLE`] and [`MAX_CHURN`] apply.
    bounded: bool,
    failures: Vec<Failure>,
}

/// Returns the listed cases or, with `pairs`, every two of those with a single failure combined.
/// For pairs only the invariants are checked.
fn cases(pairs: bool) -> Vec<Case> {
    if !pairs {
        let cases = CASES.iter().map(|case| Case {
            name: case.name.to_owned(),
            bounded: case.bounded,
            failures: case.failures.to_vec(),
        });
        return cases.collect();
    }
    let single: Vec<&CaseSpec> = CASES.iter().filter(|c| c.failures.len() == 1).collect();
    let mut cases = Vec::new();
    for (position, one) in single.iter().enumerate() {
        for other in &single[position + 1..] {
            cases.push(Case {
                name: format!("{}+{}", one.name, other.name),
                bounded: false,
                failures: [one.failures, other.failures].concat(),
            });
        }
    }
    cases
}

/// Failure that a case injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// A machine that owns keys and is not the coordinator is killed.
    OwnerLost,
    CoordinatorLost,
    /// The coordinator and one of its witnesses are killed.
    CoordinatorAndWitnessLost,
    /// All machines of a zone without the coordinator are killed.
    ZoneLost,
    /// All machines of the coordinator's zone are killed.
    CoordinatorZoneLost,
    StoreDown,
    StoreSlow,
    AnswersLost,
    BackEndFrozen,
    BackEndCrashed,
    /// No other machine can reach the coordinator, nor the coordinator any of them.
    CoordinatorCut,
    /// No other machine can reach the coordinator; it can reach them.
    CoordinatorUnreachable,
    /// The two regions can't reach each other.
    RegionsCut,
}

const CASES: &[CaseSpec] = &[
    CaseSpec {
        name: "owner-lost",
        bounded: true,
        failures: &[Failure::OwnerLost],
    },
    CaseSpec {
        name: "coordinator-lost",
        bounded: true,
        failures: &[Failure::CoordinatorLost],
    },
    CaseSpec {
        name: "zone-lost",
        bounded: true,
        failures: &[Failure::ZoneLost],
    },
    CaseSpec {
        name: "coordinator-zone-lost",
        bounded: true,
        failures: &[Failure::CoordinatorZoneLost],
    },
    CaseSpec {
        name: "store-down",
        bounded: true,
        failures: &[Failure::StoreDown],
    },
    CaseSpec {
        name: "store-slow",
        bounded: true,
        failures: &[Failure::StoreSlow],
    },
    CaseSpec {
        name: "answers-lost",
        bounded: true,
        failures: &[Failure::AnswersLost],
    },
    CaseSpec {
        name: "store-down-owner-lost",
        bounded: true,
        failures: &[Failure::StoreDown, Failure::OwnerLost],
    },
    CaseSpec {
        name: "store-down-coordinator-lost",
        bounded: true,
        failures: &[Failure::StoreDown, Failure::CoordinatorLost],
    },
    CaseSpec {
        name: "back-end-crashed",
        bounded: true,
        failures: &[Failure::BackEndCrashed],
    },
    CaseSpec {
        name: "back-end-frozen",
        bounded: false,
        failures: &[Failure::BackEndFrozen],
    },
    CaseSpec {
        name: "coordinator-cut",
        bounded: false,
        failures: &[Failure::CoordinatorCut],
    },
    CaseSpec {
        name: "coordinator-deaf",
        bounded: false,
        failures: &[Failure::CoordinatorUnreachable],
    },
    CaseSpec {
        name: "coordinator-and-witness-lost",
        bounded: true,
        failures: &[Failure::CoordinatorAndWitnessLost],
    },
    CaseSpec {
        name: "regions-cut",
        bounded: false,
        failures: &[Failure::RegionsCut],
    },
];

/// Results of a case.
struct Measurement {
    /// Longest time for which each key was unavailable, sorted.
    gaps: Vec<Duration>,
    /// Shards whose owner changed.
    moved: usize,
    /// Shards that had to move because their owner failed.
    min_moved: usize,
    /// Ratio of the highest number of shards of an owner to the mean.
    imbalance: f64,
    requests: usize,
    /// Description of the request that took longest.
    slowest: String,
    violations: Vec<Violation>,
}

/// Runs the cases. Returns false when an invariant is violated or a bound exceeded.
///
/// # Errors
/// Fails when a deployment does not come up or the case is unknown.
pub(crate) async fn run(options: &FaultsOptions) -> Result<bool, Error> {
    let all = cases(options.pairs);
    let selected = |case: &&Case| options.case.as_deref().is_none_or(|name| name == case.name);
    let cases: Vec<&Case> = all.iter().filter(selected).collect();
    if cases.is_empty() {
        let names: Vec<&str> = all.iter().map(|c| c.name.as_str()).collect();
        return Err(format!("no such case; the cases are: {}", names.join(", ")).into());
    }
    println!(
        "{:<42} {:>8} {:>8} {:>8} {:>6} {:>6} {:>9} {:>8} {:>10}",
        "case",
        "p50_ms",
        "p99_ms",
        "max_ms",
        "moved",
        "least",
        "imbalance",
        "requests",
        "violations"
    );
    let (mut broken, mut late) = (0, 0);
    for case in &cases {
        let measurement = measure(case, options.seed).await?;
        broken += measurement.violations.len();
        late += usize::from(exceeds_bounds(case, &measurement));
        print_row(case, &measurement);
    }
    let ok = broken == 0 && late == 0;
    println!(
        "result={} cases={} violations={broken} late_cases={late}",
        if ok { "ok" } else { "failed" },
        cases.len()
    );
    Ok(ok)
}

/// Returns true when a bounded case was unavailable for too long or moved too many shards.
fn exceeds_bounds(case: &Case, measurement: &Measurement) -> bool {
    let longest = measurement.gaps.last().copied().unwrap_or_default();
    let too_many_moved = measurement.moved as f64 > MAX_CHURN * measurement.min_moved as f64;
    case.bounded && (longest > MAX_UNAVAILABLE || (measurement.min_moved > 0 && too_many_moved))
}

fn print_row(case: &Case, measurement: &Measurement) {
    let gap = |quantile| quantile::millis(&measurement.gaps, quantile);
    println!(
        "{:<42} {:>8} {:>8} {:>8} {:>6} {:>6} {:>9.2} {:>8} {:>10}{}",
        case.name,
        gap(0.5),
        gap(0.99),
        gap(1.0),
        measurement.moved,
        measurement.min_moved,
        measurement.imbalance,
        measurement.requests,
        measurement.violations.len(),
        if exceeds_bounds(case, measurement) {
            "  late"
        } else {
            ""
        }
    );
    if gap(1.0) > MAX_UNAVAILABLE.as_millis() {
        println!("  slowest {}", measurement.slowest);
    }
    for violation in measurement.violations.iter().take(3) {
        println!(
            "  violation law={} seen={:?}",
            violation.invariant, violation.observed
        );
    }
}

/// Runs a case on a new deployment.
async fn measure(case: &Case, seed: u64) -> Result<Measurement, Error> {
    let mut deployment = Deployment::start(deployment::press_office()).await?;
    deployment.await_ready().await?;
    // The coordinator records its witnesses with one of the renewals that follow.
    tokio::time::sleep(LEAD_TIME).await;
    let before = deployment.owners(prober::SERVICE);
    let coordinator = deployment.coordinator().await.ok_or("no coordinator")?;
    let failed = failed_machines(&deployment, case, &coordinator);
    let entries = surviving_entries(&deployment, &failed);
    let stop = Arc::new(AtomicBool::new(false));
    let probers: Vec<_> = (0..KEYS)
        .map(|key| prober::probe(key, seed, entries.clone(), Arc::clone(&stop)))
        .collect();
    tokio::time::sleep(LEAD_TIME).await;
    for failure in &case.failures {
        inject(&mut deployment, *failure, &failed, &coordinator).await;
        tokio::time::sleep(prober::PROBE_PERIOD).await;
    }
    tokio::time::sleep(FAILURE_DURATION).await;
    deployment.platform.set_faults(Faults::default());
    deployment.restore_links();
    for node in deployment.nodes.values() {
        if let Some(back_end) = &node.back_end {
            back_end.set_behaviour(Behaviour::default());
        }
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    stop.store(true, Ordering::Relaxed);
    let mut gaps = Vec::new();
    let mut sent = Vec::new();
    for prober in probers {
        let result = prober.await?;
        gaps.push(result.longest_gap());
        sent.extend(result.sent);
    }
    gaps.sort();
    let after = deployment.owners(prober::SERVICE);
    let executions = deployment.recorder.executions();
    let violations = checker::find_violations(&executions, &sent);
    let measurement = Measurement {
        gaps,
        moved: before.iter().zip(&after).filter(|(b, a)| b != a).count(),
        min_moved: before
            .iter()
            .flatten()
            .filter(|owner| failed.contains(*owner))
            .count(),
        imbalance: imbalance(&after),
        requests: sent.len(),
        slowest: describe_slowest(&sent),
        violations,
    };
    deployment.kill_all().await;
    Ok(measurement)
}

/// Describes the request that took longest.
fn describe_slowest(sent: &[SentRequest]) -> String {
    let reports = sent
        .iter()
        .flat_map(|s| s.reports.iter().map(|report| (&s.line, report)));
    let slowest = reports.max_by_key(|(_, report)| report.took);
    slowest.map_or_else(String::new, |(line, report)| {
        format!(
            "request={} operation={} took_ms={} attempts={} outcome={:?}",
            line.id,
            line.operation,
            report.took.as_millis(),
            report.attempts,
            report.outcome
        )
    })
}

/// Returns the machines that the case kills, or whose back end it crashes.
fn failed_machines(deployment: &Deployment, case: &Case, coordinator: &str) -> BTreeSet<String> {
    let mut machines = BTreeSet::new();
    let coordinator_zone = deployment.zone_of(coordinator).unwrap_or_default();
    let owners = deployment
        .nodes
        .keys()
        .filter(|n| n.ends_with(prober::SERVICE) && *n != coordinator);
    for failure in &case.failures {
        match failure {
            Failure::OwnerLost | Failure::BackEndCrashed => {
                machines.extend(owners.clone().next().cloned())
            }
            Failure::CoordinatorLost => {
                machines.insert(coordinator.to_owned());
            }
            Failure::CoordinatorAndWitnessLost => {
                machines.insert(coordinator.to_owned());
                machines.extend(witness(deployment));
            }
            Failure::ZoneLost => {
                let mut zones = ["nord-b", "sud-a"].into_iter();
                let zone = zones
                    .find(|zone| *zone != coordinator_zone)
                    .unwrap_or_default();
                machines.extend(deployment.machines_in_zone(zone));
            }
            Failure::CoordinatorZoneLost => {
                machines.extend(deployment.machines_in_zone(coordinator_zone))
            }
            _ => {}
        }
    }
    machines
}

/// Returns the first witness in the stored record of the cell.
fn witness(deployment: &Deployment) -> Option<String> {
    let record = deployment.platform.object("cell.maroc")?;
    let record = CellRecord::from_bytes(&record).ok()?;
    record.witnesses.first().map(|w| w.name.to_string())
}

/// Returns the caller addresses of all machines but the failed ones.
fn surviving_entries(deployment: &Deployment, failed: &BTreeSet<String>) -> Vec<SocketAddr> {
    let entries = deployment.entries().into_iter();
    entries
        .filter(|(name, _)| !failed.contains(name))
        .map(|(_, address)| address)
        .collect()
}

async fn inject(
    deployment: &mut Deployment,
    failure: Failure,
    failed: &BTreeSet<String>,
    coordinator: &str,
) {
    let all: Vec<String> = deployment.nodes.keys().cloned().collect();
    let (coordinator_only, others): (Vec<_>, Vec<_>) =
        all.iter().cloned().partition(|n| n == coordinator);
    let set_faults = |deployment: &Deployment, faults| deployment.platform.set_faults(faults);
    match failure {
        Failure::StoreDown => set_faults(
            deployment,
            Faults {
                down: true,
                ..Faults::default()
            },
        ),
        Failure::StoreSlow => {
            let latency = Duration::from_millis(350);
            set_faults(
                deployment,
                Faults {
                    latency,
                    ..Faults::default()
                },
            );
        }
        Failure::AnswersLost => set_faults(
            deployment,
            Faults {
                responses_lost: true,
                ..Faults::default()
            },
        ),
        Failure::BackEndFrozen => {
            let name = all.iter().find(|n| n.ends_with(prober::SERVICE));
            if let Some(back_end) = name.and_then(|n| deployment.nodes[n].back_end.as_ref()) {
                back_end.set_behaviour(Behaviour {
                    frozen: true,
                    ..Behaviour::default()
                });
            }
        }
        Failure::BackEndCrashed => {
            for name in failed {
                deployment.crash_back_end(name);
            }
        }
        Failure::CoordinatorCut => deployment.block_links(&coordinator_only, &others, true),
        Failure::CoordinatorUnreachable => {
            deployment.block_links(&others, &coordinator_only, false)
        }
        Failure::RegionsCut => {
            let (nord, sud): (Vec<_>, Vec<_>) =
                all.into_iter().partition(|n| n.starts_with("nord"));
            deployment.block_links(&nord, &sud, true);
        }
        Failure::OwnerLost
        | Failure::CoordinatorLost
        | Failure::CoordinatorAndWitnessLost
        | Failure::ZoneLost
        | Failure::CoordinatorZoneLost => {
            for name in failed {
                deployment.kill(name).await;
            }
        }
    }
}

/// Returns the ratio of the highest number of shards of an owner to the mean of all owners; 0
/// without owners.
fn imbalance(owners: &[Option<String>]) -> f64 {
    let mut counts: std::collections::BTreeMap<&String, f64> = std::collections::BTreeMap::new();
    for owner in owners.iter().flatten() {
        *counts.entry(owner).or_default() += 1.0;
    }
    let total: f64 = counts.values().sum();
    let highest = counts.values().copied().fold(0.0, f64::max);
    highest * counts.len() as f64 / total.max(1.0)
}
