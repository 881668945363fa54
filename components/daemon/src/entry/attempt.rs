//! Sends one request to the machines that can serve it, with retries within the deadline and the
//! retry budget.

use std::sync::Arc;
use std::time::Duration;

use ownership::table::{self, RouteTable};
use routing::pick::{self, Candidate, Candidates};
use routing::retry::{self, RetryDecision};
use smallvec::SmallVec;
use tokio::time::Instant;
use world::error_kind::ErrorKind;
use world::key::KeyHash;
use world::machine::Machine;

use crate::back_end::Body;
use crate::entry::frames::{InFlightGuard, ReplyFrames};
use crate::entry::{
    CallerResponse, OWNER_WAIT, PreparedRequest, Refusal, await_route_change, forward, remaining,
};
use crate::shared::Shared;

/// Indexes of the machines that a request was sent to; four fit without a heap allocation.
type TriedMachines = SmallVec<[usize; 4]>;

/// A failed attempt.
pub(super) struct AttemptError {
    pub(super) kind: ErrorKind,
    pub(super) detail: String,
    pub(super) retry_after_ms: u32,
}

impl From<ErrorKind> for AttemptError {
    fn from(kind: ErrorKind) -> Self {
        let retry_after_ms = kind.response().retry_after_ms;
        Self {
            kind,
            detail: String::new(),
            retry_after_ms,
        }
    }
}

/// Makes attempts until one gets a response or no further one is allowed.
pub(super) async fn attempt_all(
    shared: &Arc<Shared>,
    prepared: PreparedRequest,
    body: Body,
) -> Result<CallerResponse, Refusal> {
    let mut body = Some(body);
    let mut tried = TriedMachines::new();
    let mut attempts = 0;
    loop {
        let error = match attempt(shared, &prepared, &mut body, &mut tried).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        attempts += 1;
        let failure = retry::Failure {
            kind: error.kind,
            order: prepared.head.order,
            replayable: body.is_some(),
            attempts,
            remaining: remaining(&prepared),
        };
        match retry::decide(&failure, &shared.budget) {
            RetryDecision::Fail => return Err(refusal(error)),
            RetryDecision::Retry => shared.counters.retries.add(),
            RetryDecision::AwaitOwner => {
                attempts -= 1;
                if prepared.started.elapsed() >= OWNER_WAIT {
                    return Err(refusal(error));
                }
                shared.counters.owner_waits.add();
                await_route_change(shared, remaining(&prepared)).await;
            }
        }
    }
}

fn refusal(error: AttemptError) -> Refusal {
    Refusal {
        retry_after: Duration::from_millis(u64::from(error.retry_after_ms)),
        ..Refusal::new(error.kind, error.detail)
    }
}

async fn attempt(
    shared: &Arc<Shared>,
    prepared: &PreparedRequest,
    body: &mut Option<Body>,
    tried: &mut TriedMachines,
) -> Result<CallerResponse, AttemptError> {
    let routes = shared.routes.load_full();
    let machine = target(shared, &routes, prepared, tried)?;
    let remaining = remaining(prepared);
    if remaining.is_zero() {
        return Err(ErrorKind::DeadlineExceeded.into());
    }
    let mut head = prepared.head.clone();
    head.deadline_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
    let stats = shared.machine_stats(&machine.name);
    let in_flight = InFlightGuard::new(Arc::clone(&stats));
    let sent_at = Instant::now();
    let exchange = forward::exchange(shared, machine, head, body);
    let result = match tokio::time::timeout_at(prepared.deadline, exchange).await {
        Ok(result) => result,
        Err(_) => Err(timed_out(prepared).into()),
    };
    match result {
        Ok((head, frame, source)) => {
            stats.on_response(sent_at.elapsed(), head.in_flight);
            let distant_counters =
                forward::is_distant(shared, machine).then(|| Arc::clone(&shared.counters));
            let frames = ReplyFrames {
                source,
                first: Some(frame),
                distant_counters,
                _in_flight: in_flight,
            };
            Ok(CallerResponse { head, frames })
        }
        Err(error) => {
            if counts_against_machine(error.kind) {
                stats.on_failure(shared.now());
            }
            Err(error)
        }
    }
}

fn timed_out(prepared: &PreparedRequest) -> ErrorKind {
    if prepared.head.order {
        ErrorKind::OutcomeUnknown
    } else {
        ErrorKind::LookupTimedOut
    }
}

/// Returns whether a failure is evidence against the machine rather than the request.
fn counts_against_machine(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoBackEnd
            | ErrorKind::BackEndFailed
            | ErrorKind::LookupTimedOut
            | ErrorKind::OutcomeUnknown
            | ErrorKind::OutcomeLost
    )
}

fn target<'a>(
    shared: &Shared,
    routes: &'a RouteTable,
    prepared: &PreparedRequest,
    tried: &mut TriedMachines,
) -> Result<&'a Machine, AttemptError> {
    let service = prepared.head.service.as_str();
    if prepared.head.keyed {
        let shard = table::shard_of(service, KeyHash(prepared.head.key_hash));
        return routes
            .owner(service, shard)
            .ok_or_else(|| ErrorKind::NoOwner.into());
    }
    let candidates = candidates(shared, routes, service);
    let index = pick::pick(&candidates, tried, rand::random()).ok_or(ErrorKind::NoBackEnd)?;
    tried.push(index);
    Ok(&routes.machines[index])
}

fn candidates(shared: &Shared, routes: &RouteTable, service: &str) -> Candidates {
    let now = shared.now();
    let settings = &shared.settings;
    let machines = routes
        .machines
        .iter()
        .enumerate()
        .filter(|(_, m)| m.offers(service));
    machines
        .map(|(index, machine)| {
            let stats = shared.machine_stats(&machine.name);
            Candidate {
                machine: index,
                link: machine.link_from(&settings.region, &settings.zone),
                slots: machine.back_end.as_ref().map_or(0, |b| b.slots),
                in_flight: stats.in_flight(),
                latency_us: stats.latency_us(),
                ejected: stats.is_ejected(now),
            }
        })
        .collect()
}
