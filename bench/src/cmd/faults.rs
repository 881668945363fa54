//! `bench faults`: losses between real daemons, judged from outside.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bench::checker::{self, Violation};
use bench::deployment::{self, Deployment};
use bench::prober;
use bench::quantile;
use bench::replay::Sent;
use bench::stand_in::back_end::Behaviour;
use bench::stand_in::platform::Faults;
use ownership::record::CellRecord;

use crate::cli::FaultsOptions;
use crate::cmd::Error;

/// Keys that are probed, each by a caller of its own.
const KEYS: usize = 48;

/// Time before the loss.
const LEAD: Duration = Duration::from_secs(1);

/// Time for which a loss lasts that does not stay.
const LENGTH: Duration = Duration::from_secs(4);

/// Time after the loss has ended.
const TAIL: Duration = Duration::from_secs(3);

/// Longest time that a key may be unavailable after a loss that is tolerated.
const MAX_UNAVAILABLE: Duration = Duration::from_millis(2_000);

/// Most shards that may change their owner, over the least possible.
const MAX_CHURN: f64 = 1.2;

/// One case: a loss, and whether keys must be served again within the bound.
struct Case {
    name: &'static str,
    bounded: bool,
    losses: &'static [Loss],
}

/// Losses brought about one right after the other.
struct Trial {
    name: String,
    bounded: bool,
    losses: Vec<Loss>,
}

/// The cases with one loss, and with `pairs` every two of these together. Of pairs the laws are
/// asked, not the time.
fn trials(pairs: bool) -> Vec<Trial> {
    if !pairs {
        let trials = CASES.iter().map(|case| Trial {
            name: case.name.to_owned(),
            bounded: case.bounded,
            losses: case.losses.to_vec(),
        });
        return trials.collect();
    }
    let single: Vec<&Case> = CASES.iter().filter(|c| c.losses.len() == 1).collect();
    let mut trials = Vec::new();
    for (position, one) in single.iter().enumerate() {
        for other in &single[position + 1..] {
            trials.push(Trial {
                name: format!("{}+{}", one.name, other.name),
                bounded: false,
                losses: [one.losses, other.losses].concat(),
            });
        }
    }
    trials
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// A machine that owns keys and does not coordinate.
    Owner,
    Coordinator,
    /// The coordinator and one of its witnesses.
    CoordinatorAndWitness,
    /// A zone without the coordinator.
    Zone,
    /// The coordinator's zone.
    CoordinatorZone,
    StoreDown,
    StoreSlow,
    AnswersLost,
    BackEndFrozen,
    BackEndCrashed,
    /// The coordinator reaches nobody and nobody reaches it.
    CoordinatorCut,
    /// The coordinator reaches nobody, others reach it.
    CoordinatorDeaf,
    /// The two regions do not reach each other.
    RegionsCut,
}

const CASES: &[Case] = &[
    Case {
        name: "owner-lost",
        bounded: true,
        losses: &[Loss::Owner],
    },
    Case {
        name: "coordinator-lost",
        bounded: true,
        losses: &[Loss::Coordinator],
    },
    Case {
        name: "zone-lost",
        bounded: true,
        losses: &[Loss::Zone],
    },
    Case {
        name: "coordinator-zone-lost",
        bounded: true,
        losses: &[Loss::CoordinatorZone],
    },
    Case {
        name: "store-down",
        bounded: true,
        losses: &[Loss::StoreDown],
    },
    Case {
        name: "store-slow",
        bounded: true,
        losses: &[Loss::StoreSlow],
    },
    Case {
        name: "answers-lost",
        bounded: true,
        losses: &[Loss::AnswersLost],
    },
    Case {
        name: "store-down-owner-lost",
        bounded: true,
        losses: &[Loss::StoreDown, Loss::Owner],
    },
    Case {
        name: "store-down-coordinator-lost",
        bounded: true,
        losses: &[Loss::StoreDown, Loss::Coordinator],
    },
    Case {
        name: "back-end-crashed",
        bounded: true,
        losses: &[Loss::BackEndCrashed],
    },
    Case {
        name: "back-end-frozen",
        bounded: false,
        losses: &[Loss::BackEndFrozen],
    },
    Case {
        name: "coordinator-cut",
        bounded: false,
        losses: &[Loss::CoordinatorCut],
    },
    Case {
        name: "coordinator-deaf",
        bounded: false,
        losses: &[Loss::CoordinatorDeaf],
    },
    Case {
        name: "coordinator-and-witness-lost",
        bounded: true,
        losses: &[Loss::CoordinatorAndWitness],
    },
    Case {
        name: "regions-cut",
        bounded: false,
        losses: &[Loss::RegionsCut],
    },
];

/// What a case gave.
struct Measured {
    /// Longest unavailable time of each key, sorted.
    gaps: Vec<Duration>,
    moved: usize,
    /// Shards that had to move.
    least: usize,
    imbalance: f64,
    requests: usize,
    /// The request that took longest, for people.
    slowest: String,
    violations: Vec<Violation>,
}

/// Runs the cases. Gives false when a law or a bound is broken.
///
/// # Errors
/// Fails when a deployment does not come up or the case is unknown.
pub(crate) async fn run(options: &FaultsOptions) -> Result<bool, Error> {
    let all = trials(options.pairs);
    let wanted = |trial: &&Trial| {
        options
            .case
            .as_deref()
            .is_none_or(|name| name == trial.name)
    };
    let cases: Vec<&Trial> = all.iter().filter(wanted).collect();
    if cases.is_empty() {
        let names: Vec<&str> = all.iter().map(|t| t.name.as_str()).collect();
        return Err(format!("no such case; there are: {}", names.join(", ")).into());
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
        let measured = measure(case, options.seed).await?;
        broken += measured.violations.len();
        late += usize::from(is_late(case, &measured));
        print_row(case, &measured);
    }
    let ok = broken == 0 && late == 0;
    println!(
        "result={} cases={} violations={broken} late_cases={late}",
        if ok { "ok" } else { "failed" },
        cases.len()
    );
    Ok(ok)
}

fn is_late(case: &Trial, measured: &Measured) -> bool {
    let longest = measured.gaps.last().copied().unwrap_or_default();
    let churn = measured.moved as f64 > MAX_CHURN * measured.least as f64;
    case.bounded && (longest > MAX_UNAVAILABLE || (measured.least > 0 && churn))
}

fn print_row(case: &Trial, measured: &Measured) {
    let gap = |quantile| quantile::millis(&measured.gaps, quantile);
    println!(
        "{:<42} {:>8} {:>8} {:>8} {:>6} {:>6} {:>9.2} {:>8} {:>10}{}",
        case.name,
        gap(0.5),
        gap(0.99),
        gap(1.0),
        measured.moved,
        measured.least,
        measured.imbalance,
        measured.requests,
        measured.violations.len(),
        if is_late(case, measured) {
            "  late"
        } else {
            ""
        }
    );
    if gap(1.0) > MAX_UNAVAILABLE.as_millis() {
        println!("  slowest {}", measured.slowest);
    }
    for violation in measured.violations.iter().take(3) {
        println!(
            "  violation law={} seen={:?}",
            violation.law, violation.seen
        );
    }
}

async fn measure(case: &Trial, seed: u64) -> Result<Measured, Error> {
    let mut deployment = Deployment::start(deployment::press_office()).await?;
    deployment.await_ready().await?;
    // The coordinator lists its witnesses with one of its next renewals.
    tokio::time::sleep(LEAD).await;
    let before = deployment.owners(prober::SERVICE);
    let coordinator = deployment.coordinator().await.ok_or("no coordinator")?;
    let lost = victims(&deployment, case, &coordinator);
    let entries = surviving_entries(&deployment, &lost);
    let ended = Arc::new(AtomicBool::new(false));
    let probers: Vec<_> = (0..KEYS)
        .map(|key| prober::probe(key, seed, entries.clone(), Arc::clone(&ended)))
        .collect();
    tokio::time::sleep(LEAD).await;
    for loss in &case.losses {
        bring_about(&mut deployment, *loss, &lost, &coordinator).await;
        tokio::time::sleep(prober::PROBE_PERIOD).await;
    }
    tokio::time::sleep(LENGTH).await;
    deployment.platform.set_faults(Faults::default());
    deployment.mend();
    for node in deployment.nodes.values() {
        if let Some(back_end) = &node.back_end {
            back_end.set_behaviour(Behaviour::default());
        }
    }
    tokio::time::sleep(TAIL).await;
    ended.store(true, Ordering::Relaxed);
    let mut gaps = Vec::new();
    let mut sent = Vec::new();
    for prober in probers {
        let probed = prober.await?;
        gaps.push(probed.longest_gap());
        sent.extend(probed.sent);
    }
    gaps.sort();
    let after = deployment.owners(prober::SERVICE);
    let executions = deployment.recorder.executions();
    let violations = checker::judge(&executions, &sent);
    let measured = Measured {
        gaps,
        moved: before.iter().zip(&after).filter(|(b, a)| b != a).count(),
        least: before
            .iter()
            .flatten()
            .filter(|owner| lost.contains(*owner))
            .count(),
        imbalance: imbalance(&after),
        requests: sent.len(),
        slowest: slowest(&sent),
        violations,
    };
    deployment.end().await;
    Ok(measured)
}

fn slowest(sent: &[Sent]) -> String {
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

/// Machines that the case takes away for good.
fn victims(deployment: &Deployment, case: &Trial, coordinator: &str) -> BTreeSet<String> {
    let mut lost = BTreeSet::new();
    let coordinator_zone = deployment.zone_of(coordinator).unwrap_or_default();
    let owners = deployment
        .nodes
        .keys()
        .filter(|n| n.ends_with(prober::SERVICE) && *n != coordinator);
    for loss in &case.losses {
        match loss {
            Loss::Owner | Loss::BackEndCrashed => lost.extend(owners.clone().next().cloned()),
            Loss::Coordinator => {
                lost.insert(coordinator.to_owned());
            }
            Loss::CoordinatorAndWitness => {
                lost.insert(coordinator.to_owned());
                lost.extend(witness(deployment));
            }
            Loss::Zone => {
                let mut zones = ["nord-b", "sud-a"].into_iter();
                let zone = zones
                    .find(|zone| *zone != coordinator_zone)
                    .unwrap_or_default();
                lost.extend(deployment.zone(zone));
            }
            Loss::CoordinatorZone => lost.extend(deployment.zone(coordinator_zone)),
            _ => {}
        }
    }
    lost
}

/// The first witness that the cell's record lists.
fn witness(deployment: &Deployment) -> Option<String> {
    let record = deployment.platform.object("cell.maroc")?;
    let record = CellRecord::from_bytes(&record).ok()?;
    record.witnesses.first().map(|w| w.name.to_string())
}

fn surviving_entries(deployment: &Deployment, lost: &BTreeSet<String>) -> Vec<SocketAddr> {
    let entries = deployment.entries().into_iter();
    entries
        .filter(|(name, _)| !lost.contains(name))
        .map(|(_, address)| address)
        .collect()
}

async fn bring_about(
    deployment: &mut Deployment,
    loss: Loss,
    lost: &BTreeSet<String>,
    coordinator: &str,
) {
    let all: Vec<String> = deployment.nodes.keys().cloned().collect();
    let (one, others): (Vec<_>, Vec<_>) = all.iter().cloned().partition(|n| n == coordinator);
    let faults = |deployment: &Deployment, faults| deployment.platform.set_faults(faults);
    match loss {
        Loss::StoreDown => faults(
            deployment,
            Faults {
                down: true,
                ..Faults::default()
            },
        ),
        Loss::StoreSlow => {
            let latency = Duration::from_millis(350);
            faults(
                deployment,
                Faults {
                    latency,
                    ..Faults::default()
                },
            );
        }
        Loss::AnswersLost => faults(
            deployment,
            Faults {
                answers_lost: true,
                ..Faults::default()
            },
        ),
        Loss::BackEndFrozen => {
            let name = all.iter().find(|n| n.ends_with(prober::SERVICE));
            if let Some(back_end) = name.and_then(|n| deployment.nodes[n].back_end.as_ref()) {
                back_end.set_behaviour(Behaviour {
                    frozen: true,
                    ..Behaviour::default()
                });
            }
        }
        Loss::BackEndCrashed => {
            for name in lost {
                deployment.crash_back_end(name);
            }
        }
        Loss::CoordinatorCut => deployment.cut(&one, &others, true),
        Loss::CoordinatorDeaf => deployment.cut(&others, &one, false),
        Loss::RegionsCut => {
            let (nord, sud): (Vec<_>, Vec<_>) =
                all.into_iter().partition(|n| n.starts_with("nord"));
            deployment.cut(&nord, &sud, true);
        }
        Loss::Owner
        | Loss::Coordinator
        | Loss::CoordinatorAndWitness
        | Loss::Zone
        | Loss::CoordinatorZone => {
            for name in lost {
                deployment.kill(name).await;
            }
        }
    }
}

/// Largest over mean number of shards among the machines that own any.
fn imbalance(owners: &[Option<String>]) -> f64 {
    let mut counts: std::collections::BTreeMap<&String, f64> = std::collections::BTreeMap::new();
    for owner in owners.iter().flatten() {
        *counts.entry(owner).or_default() += 1.0;
    }
    let total: f64 = counts.values().sum();
    let most = counts.values().copied().fold(0.0, f64::max);
    most * counts.len() as f64 / total.max(1.0)
}
