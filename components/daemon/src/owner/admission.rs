//! Decides whether a request may run: checks its shard's gate and its ticket, and waits for a
//! slot of the back end.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use orders::table::{ExecutionOutcome, RecordedResponse, StartDecision};
use orders::ticket::{Ticket, TicketError, TicketScope};
use peers::wire::RequestHead;
use tokio::sync::{OwnedSemaphorePermit, TryAcquireError};
use tokio::time::Instant;
use world::error_kind::ErrorKind;
use world::key::KeyHash;

use crate::back_end::{Body, Tenure};
use crate::gate::{Gate, GateGuard};
use crate::owner::{AdmittedOrder, Failure, enter_gate, finish_order};
use crate::shared::{LocalBackEnd, Shared};

/// Requests that may wait for a slot, for each slot; more are refused as overload.
const QUEUE_PER_SLOT: u32 = 4;

/// A request that may run now, with the resources it occupies until it has ended.
pub(super) struct AdmittedRequest {
    pub(super) back_end: Arc<LocalBackEnd>,
    pub(super) head: RequestHead,
    pub(super) body: Body,
    pub(super) tenure: Option<Tenure>,
    pub(super) guard: Option<GateGuard>,
    pub(super) order: Option<AdmittedOrder>,
    pub(super) deadline: Instant,
    pub(super) _slot: OwnedSemaphorePermit,
}

/// Result of the admission of a request.
pub(super) enum Admission {
    Run(Box<AdmittedRequest>),
    Replay(RecordedResponse),
}

pub(super) async fn admit(
    shared: &Shared,
    head: RequestHead,
    body: Body,
    deadline: Instant,
) -> Result<Admission, Failure> {
    let back_end = shared.back_end.load_full().ok_or(ErrorKind::NoBackEnd)?;
    let contract = &back_end.info.contract;
    if contract.service.as_str() != head.service {
        return Err(ErrorKind::NoBackEnd.into());
    }
    let operation = contract
        .operation(&head.operation)
        .ok_or(ErrorKind::UnknownOperation)?;
    let is_order = operation.order;
    let guard = if contract.keyed {
        Some(enter_shard_gate(shared, &head)?)
    } else {
        None
    };
    let tenure = guard.as_ref().map(|guard| tenure_of(guard.gate()));
    let ticket = if is_order {
        Some(decode_ticket(shared, &head)?)
    } else {
        None
    };
    if let (Some(ticket), Some(guard)) = (&ticket, &guard)
        && let Some(response) = start_order(shared, &head, ticket, guard.gate())?
    {
        return Ok(Admission::Replay(response));
    }
    let order = ticket
        .zip(guard.as_ref())
        .map(|(ticket, guard)| AdmittedOrder {
            gate: Arc::clone(guard.gate()),
            ticket,
        });
    let slot = match take_slot(&back_end, deadline).await {
        Ok(slot) => slot,
        Err(kind) => {
            if kind == ErrorKind::Overloaded {
                shared.counters.overloaded.add();
            }
            finish_order(order.as_ref(), ExecutionOutcome::NotRun);
            return Err(kind.into());
        }
    };
    Ok(Admission::Run(Box::new(AdmittedRequest {
        back_end,
        head,
        body,
        tenure,
        guard,
        order,
        deadline,
        _slot: slot,
    })))
}

fn tenure_of(gate: &Gate) -> Tenure {
    Tenure {
        shard: gate.holding().id.shard,
        fence: gate.fence(),
    }
}

/// Enters the gate of the request's shard. Requires a keyed request.
fn enter_shard_gate(shared: &Shared, head: &RequestHead) -> Result<GateGuard, Failure> {
    if !head.keyed {
        return Err(ErrorKind::MissingKey.into());
    }
    enter_gate(shared, &head.service, head.key_hash)
}

fn decode_ticket(shared: &Shared, head: &RequestHead) -> Result<Ticket, Failure> {
    if head.ticket.is_empty() {
        return Err(ErrorKind::TicketRequired.into());
    }
    let ticket = shared.ticket_key.decode(head.ticket.as_bytes());
    ticket.map_err(|error| match error {
        TicketError::Malformed => ErrorKind::TicketMalformed.into(),
        TicketError::Forged => ErrorKind::TicketForged.into(),
    })
}

/// Starts an order in the order table. Returns the recorded response when it ran before.
fn start_order(
    shared: &Shared,
    head: &RequestHead,
    ticket: &Ticket,
    gate: &Gate,
) -> Result<Option<RecordedResponse>, Failure> {
    let scope = TicketScope::new(&head.customer, &head.service, KeyHash(head.key_hash));
    let kind = match gate.orders().try_start(shared.now(), ticket, &scope) {
        StartDecision::Run => return Ok(None),
        StartDecision::Replay(response) => return Ok(Some(response)),
        StartDecision::ResponseNotKept => ErrorKind::AnswerNotKept,
        StartDecision::InProgress => ErrorKind::OrderInProgress,
        StartDecision::Unknown => ErrorKind::OutcomeLost,
        StartDecision::Stale => ErrorKind::TicketStale,
        StartDecision::Expired => ErrorKind::TicketExpired,
        StartDecision::Mismatch => ErrorKind::TicketMismatch,
    };
    Err(kind.into())
}

async fn take_slot(
    back_end: &LocalBackEnd,
    deadline: Instant,
) -> Result<OwnedSemaphorePermit, ErrorKind> {
    match Arc::clone(&back_end.slots).try_acquire_owned() {
        Ok(permit) => return Ok(permit),
        Err(TryAcquireError::Closed) => return Err(ErrorKind::NoBackEnd),
        Err(TryAcquireError::NoPermits) => {}
    }
    let waiting = back_end.waiting.fetch_add(1, Ordering::Relaxed);
    let result = if waiting >= back_end.info.slots * QUEUE_PER_SLOT {
        Err(ErrorKind::Overloaded)
    } else {
        let acquire = Arc::clone(&back_end.slots).acquire_owned();
        match tokio::time::timeout_at(deadline, acquire).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(ErrorKind::NoBackEnd),
            Err(_) => Err(ErrorKind::DeadlineExceeded),
        }
    };
    back_end.waiting.fetch_sub(1, Ordering::Relaxed);
    result
}
