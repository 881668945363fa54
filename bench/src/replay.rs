//! Replays a trace against a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::caller::{Caller, Report, Wish};
use crate::deployment::{Deployment, DeploymentError};
use crate::stand_in::platform::Faults;
use crate::trace::{EventKind, EventLine, Line, RequestLine};

/// Longest shift of a request's time by the seed, in milliseconds.
const MAX_SHIFT_MS: u64 = 5;

/// A request of the trace and what its callers report.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The line of the trace.
    pub line: RequestLine,
    /// One report for each copy.
    pub reports: Vec<Report>,
}

/// Progress of a replay, as shares of its lines.
pub trait Progress {
    /// Called after each line.
    fn on_line(&mut self, done: usize, total: usize);
}

/// Shows nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quiet;

impl Progress for Quiet {
    fn on_line(&mut self, _done: usize, _total: usize) {}
}

/// Replays the lines at their times. The seed shifts the requests a little and chooses their
/// entry daemons.
///
/// # Errors
/// Fails when a machine can't be restarted.
pub async fn replay(
    deployment: &mut Deployment,
    lines: &[Line],
    seed: u64,
    progress: &mut impl Progress,
) -> Result<Vec<Sent>, DeploymentError> {
    let mut random = StdRng::seed_from_u64(seed);
    let caller = Caller::new();
    let started = Instant::now();
    let mut running: Vec<JoinHandle<Sent>> = Vec::new();
    let mut stops = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        let at = started + Duration::from_millis(line.at_ms());
        tokio::time::sleep_until(at).await;
        match line {
            Line::Request(request) => {
                let entries = entries(deployment, &request.zone, &mut random);
                let shift = Duration::from_millis(random.random_range(0..=MAX_SHIFT_MS));
                running.push(tokio::spawn(send(
                    caller.clone(),
                    entries,
                    request.clone(),
                    shift,
                )));
            }
            Line::Event(event) => {
                if let Some(stop) = happen(deployment, event).await? {
                    stops.push(stop);
                }
            }
        }
        progress.on_line(index + 1, lines.len());
    }
    let mut sent = Vec::new();
    for task in running {
        if let Ok(result) = task.await {
            sent.push(result);
        }
    }
    for stop in stops {
        let _ = stop.await;
    }
    Ok(sent)
}

/// Entry daemons for a caller near a zone: those of the zone first, each group shuffled.
fn entries(deployment: &Deployment, zone: &str, random: &mut StdRng) -> Vec<SocketAddr> {
    let mut entries: Vec<(bool, u32, SocketAddr)> = deployment
        .entries()
        .into_iter()
        .map(|(name, address)| (!name.starts_with(zone), random.random(), address))
        .collect();
    entries.sort_by_key(|(far, order, _)| (*far, *order));
    entries.into_iter().map(|(_, _, address)| address).collect()
}

async fn send(
    caller: Caller,
    entries: Vec<SocketAddr>,
    line: RequestLine,
    shift: Duration,
) -> Sent {
    tokio::time::sleep(shift).await;
    let mut wish = Wish::from(&line);
    if line.copies < 2 {
        let report = caller.pursue(&entries, &wish).await;
        return Sent {
            line,
            reports: vec![report],
        };
    }
    // The copies are repetitions of one order, so they share a ticket that is had first.
    wish.ticket = caller.ticket(&entries, &wish).await;
    let copies = (0..line.copies).map(|copy| {
        let mut entries = entries.clone();
        let shift = copy as usize % entries.len();
        entries.rotate_left(shift);
        let (caller, wish) = (caller.clone(), wish.clone());
        async move { caller.pursue(&entries, &wish).await }
    });
    let reports = futures::future::join_all(copies).await;
    Sent { line, reports }
}

async fn happen(
    deployment: &mut Deployment,
    event: &EventLine,
) -> Result<Option<JoinHandle<()>>, DeploymentError> {
    let machine = resolve(deployment, &event.machine);
    match event.event {
        EventKind::Kill => deployment.kill(&machine).await,
        EventKind::Stop => return Ok(deployment.stop(&machine)),
        EventKind::CrashBackEnd => deployment.crash_back_end(&machine),
        EventKind::Restart => deployment.start_node(&machine).await?,
        EventKind::AnswersLost => {
            deployment.platform.set_faults(Faults {
                answers_lost: true,
                ..Faults::default()
            });
        }
        EventKind::PlatformWell => deployment.platform.set_faults(Faults::default()),
    }
    Ok(None)
}

/// Resolves `owner:SERVICE:KEY` to the machine that owns the key now.
fn resolve(deployment: &Deployment, machine: &str) -> String {
    let owner = machine
        .strip_prefix("owner:")
        .and_then(|rest| rest.split_once(':'));
    let owner = owner.and_then(|(service, key)| deployment.owner_of(service, key.as_bytes()));
    owner.unwrap_or_else(|| machine.to_owned())
}
