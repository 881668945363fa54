//! Replays a trace against a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::caller::{Caller, CallerRequest, Report};
use crate::deployment::{Deployment, DeploymentError};
use crate::stand_in::platform::Faults;
use crate::trace::{EventKind, EventLine, Line, RequestLine};

/// Upper bound of the random delay added to a request's time, in milliseconds.
const MAX_SHIFT_MS: u64 = 5;

/// A request that was sent, with the reports of its copies.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The line of the trace.
    pub line: RequestLine,
    /// One report for each copy, at least one.
    pub reports: Vec<Report>,
}

/// Receives the progress of a replay.
pub trait Progress {
    /// Called after each line with the number of lines replayed and their total.
    fn on_line(&mut self, done: usize, total: usize);
}

/// Ignores the progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoProgress;

impl Progress for NoProgress {
    fn on_line(&mut self, _done: usize, _total: usize) {}
}

/// Replays the lines at their times. The seed determines the delay added to each request and the
/// order of its entry daemons.
///
/// # Errors
/// Fails when a machine cannot be restarted.
pub async fn replay(
    deployment: &mut Deployment,
    lines: &[Line],
    seed: u64,
    progress: &mut impl Progress,
) -> Result<Vec<SentRequest>, DeploymentError> {
    let mut random = StdRng::seed_from_u64(seed);
    let caller = Caller::new();
    let started = Instant::now();
    let mut running: Vec<JoinHandle<SentRequest>> = Vec::new();
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
                if let Some(stop) = apply_event(deployment, event).await? {
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

/// Returns the caller addresses of all running daemons: those in the zone first, each group
/// shuffled.
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
) -> SentRequest {
    tokio::time::sleep(shift).await;
    let mut request = CallerRequest::from(&line);
    if line.copies < 2 {
        let report = caller.send_with_retries(&entries, &request).await;
        return SentRequest {
            line,
            reports: vec![report],
        };
    }
    // The copies are repetitions of one order, so they share a ticket that is obtained first.
    request.ticket = caller.obtain_ticket(&entries, &request).await;
    let copies = (0..line.copies).map(|copy| {
        let mut entries = entries.clone();
        let shift = copy as usize % entries.len();
        entries.rotate_left(shift);
        let (caller, request) = (caller.clone(), request.clone());
        async move { caller.send_with_retries(&entries, &request).await }
    });
    let reports = futures::future::join_all(copies).await;
    SentRequest { line, reports }
}

/// Applies an event. A planned stop runs in the background; its task is returned.
async fn apply_event(
    deployment: &mut Deployment,
    event: &EventLine,
) -> Result<Option<JoinHandle<()>>, DeploymentError> {
    let machine = resolve_machine(deployment, &event.machine);
    match event.event {
        EventKind::Kill => deployment.kill(&machine).await,
        EventKind::Stop => return Ok(deployment.stop(&machine)),
        EventKind::CrashBackEnd => deployment.crash_back_end(&machine),
        EventKind::Restart => deployment.start_node(&machine).await?,
        EventKind::AnswersLost => {
            deployment.platform.set_faults(Faults {
                responses_lost: true,
                ..Faults::default()
            });
        }
        EventKind::PlatformWell => deployment.platform.set_faults(Faults::default()),
    }
    Ok(None)
}

/// Resolves `owner:SERVICE:KEY` to the machine that owns the key now. Any other name, and that of a
/// key without an owner, is returned as it is.
fn resolve_machine(deployment: &Deployment, machine: &str) -> String {
    let owner = machine
        .strip_prefix("owner:")
        .and_then(|rest| rest.split_once(':'));
    let owner = owner.and_then(|(service, key)| deployment.owner_of(service, key.as_bytes()));
    owner.unwrap_or_else(|| machine.to_owned())
}
