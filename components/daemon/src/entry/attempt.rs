//! Attempts at serving one request, and what is done after a failed one.

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
use crate::entry::frames::{Frames, InFlight};
use crate::entry::{Answer, OWNER_WAIT, Prepared, Refusal, await_news, forward, remaining};
use crate::shared::Shared;

/// Machines that one request has tried, without heap allocation.
type Tried = SmallVec<[usize; 4]>;

/// A failed attempt.
pub(super) struct Failed {
    pub(super) kind: ErrorKind,
    pub(super) detail: String,
    pub(super) retry_after_ms: u32,
}

impl From<ErrorKind> for Failed {
    fn from(kind: ErrorKind) -> Self {
        let retry_after_ms = kind.response().retry_after_ms;
        Self {
            kind,
            detail: String::new(),
            retry_after_ms,
        }
    }
}

/// Makes attempts until one is answered or none is allowed any more.
pub(super) async fn attempt_all(
    shared: &Arc<Shared>,
    prepared: Prepared,
    body: Body,
) -> Result<Answer, Refusal> {
    let mut body = Some(body);
    let mut tried = Tried::new();
    let mut attempts = 0;
    loop {
        let failed = match attempt(shared, &prepared, &mut body, &mut tried).await {
            Ok(answer) => return Ok(answer),
            Err(failed) => failed,
        };
        attempts += 1;
        let failure = retry::Failure {
            kind: failed.kind,
            order: prepared.head.order,
            replayable: body.is_some(),
            attempts,
            remaining: remaining(&prepared),
        };
        match retry::decide(&failure, &shared.budget) {
            RetryDecision::Fail => return Err(refusal(failed)),
            RetryDecision::Retry => shared.counters.retries.add(),
            RetryDecision::AwaitOwner => {
                attempts -= 1;
                if prepared.started.elapsed() >= OWNER_WAIT {
                    return Err(refusal(failed));
                }
                shared.counters.owner_waits.add();
                await_news(shared, remaining(&prepared)).await;
            }
        }
    }
}

fn refusal(failed: Failed) -> Refusal {
    Refusal {
        retry_after: Duration::from_millis(u64::from(failed.retry_after_ms)),
        ..Refusal::new(failed.kind, failed.detail)
    }
}

async fn attempt(
    shared: &Arc<Shared>,
    prepared: &Prepared,
    body: &mut Option<Body>,
    tried: &mut Tried,
) -> Result<Answer, Failed> {
    let routes = shared.routes.load_full();
    let machine = target(shared, &routes, prepared, tried)?;
    let remaining = remaining(prepared);
    if remaining.is_zero() {
        return Err(ErrorKind::DeadlineExceeded.into());
    }
    let mut head = prepared.head.clone();
    head.deadline_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
    let observed = shared.observed(&machine.name);
    let in_flight = InFlight::new(Arc::clone(&observed));
    let sent = Instant::now();
    let work = forward::exchange(shared, machine, head, body);
    let result = match tokio::time::timeout_at(prepared.deadline, work).await {
        Ok(result) => result,
        Err(_) => Err(timed_out(prepared).into()),
    };
    match result {
        Ok((head, frame, source)) => {
            observed.on_response(sent.elapsed(), head.in_flight);
            let distant =
                forward::is_distant(shared, machine).then(|| Arc::clone(&shared.counters));
            let frames = Frames {
                source,
                first: Some(frame),
                distant,
                _in_flight: in_flight,
            };
            Ok(Answer { head, frames })
        }
        Err(failed) => {
            if speaks_against(failed.kind) {
                observed.on_failure(shared.now());
            }
            Err(failed)
        }
    }
}

fn timed_out(prepared: &Prepared) -> ErrorKind {
    if prepared.head.order {
        ErrorKind::OutcomeUnknown
    } else {
        ErrorKind::LookupTimedOut
    }
}

/// Tells whether a failure speaks against the machine rather than against the request.
fn speaks_against(kind: ErrorKind) -> bool {
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
    prepared: &Prepared,
    tried: &mut Tried,
) -> Result<&'a Machine, Failed> {
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
            let observed = shared.observed(&machine.name);
            Candidate {
                machine: index,
                link: machine.link_from(&settings.region, &settings.zone),
                slots: machine.back_end.as_ref().map_or(0, |b| b.slots),
                in_flight: observed.in_flight(),
                latency_us: observed.latency_us(),
                ejected: observed.is_ejected(now),
            }
        })
        .collect()
}
