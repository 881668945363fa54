//! Whether a request may run: gate, ticket and slot.

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
use crate::gate::{Gate, Pass};
use crate::owner::{Failure, Order, finish, open_gate};
use crate::shared::{LocalBackEnd, Shared};

/// Requests that may wait for a slot, as a multiple of the slots.
const QUEUE_PER_SLOT: u32 = 4;

/// A request that may run now.
pub(super) struct Admitted {
    pub(super) back_end: Arc<LocalBackEnd>,
    pub(super) head: RequestHead,
    pub(super) body: Body,
    pub(super) tenure: Option<Tenure>,
    pub(super) pass: Option<Pass>,
    pub(super) order: Option<Order>,
    pub(super) deadline: Instant,
    pub(super) _slot: OwnedSemaphorePermit,
}

pub(super) enum Admit {
    Run(Box<Admitted>),
    Replay(RecordedResponse),
}

pub(super) async fn admit(
    shared: &Shared,
    head: RequestHead,
    body: Body,
    deadline: Instant,
) -> Result<Admit, Failure> {
    let back_end = shared.back_end.load_full().ok_or(ErrorKind::NoBackEnd)?;
    let contract = &back_end.info.contract;
    if contract.service.as_str() != head.service {
        return Err(ErrorKind::NoBackEnd.into());
    }
    let operation = contract
        .operation(&head.operation)
        .ok_or(ErrorKind::UnknownOperation)?;
    let is_order = operation.order;
    let pass = if contract.keyed {
        Some(enter(shared, &head)?)
    } else {
        None
    };
    let tenure = pass.as_ref().map(|p| tenure(p.gate()));
    let ticket = if is_order {
        Some(read_ticket(shared, &head)?)
    } else {
        None
    };
    if let (Some(ticket), Some(pass)) = (&ticket, &pass)
        && let Some(answer) = check_order(shared, &head, ticket, pass.gate())?
    {
        return Ok(Admit::Replay(answer));
    }
    let order = ticket.zip(pass.as_ref()).map(|(ticket, pass)| Order {
        gate: Arc::clone(pass.gate()),
        ticket,
    });
    let slot = match take_slot(&back_end, deadline).await {
        Ok(slot) => slot,
        Err(kind) => {
            if kind == ErrorKind::Overloaded {
                shared.counters.overloaded.add();
            }
            finish(order.as_ref(), ExecutionOutcome::NotRun);
            return Err(kind.into());
        }
    };
    Ok(Admit::Run(Box::new(Admitted {
        back_end,
        head,
        body,
        tenure,
        pass,
        order,
        deadline,
        _slot: slot,
    })))
}

fn tenure(gate: &Gate) -> Tenure {
    Tenure {
        shard: gate.holding().id.shard,
        fence: gate.fence(),
    }
}

/// Enters the gate of the request's shard.
fn enter(shared: &Shared, head: &RequestHead) -> Result<Pass, Failure> {
    if !head.keyed {
        return Err(ErrorKind::MissingKey.into());
    }
    open_gate(shared, &head.service, head.key_hash)
}

fn read_ticket(shared: &Shared, head: &RequestHead) -> Result<Ticket, Failure> {
    if head.ticket.is_empty() {
        return Err(ErrorKind::TicketRequired.into());
    }
    let ticket = shared.ticket_key.decode(head.ticket.as_bytes());
    ticket.map_err(|fault| match fault {
        TicketError::Malformed => ErrorKind::TicketMalformed.into(),
        TicketError::Forged => ErrorKind::TicketForged.into(),
    })
}

/// Admits an order to the table. Gives the recorded answer when it ran before.
fn check_order(
    shared: &Shared,
    head: &RequestHead,
    ticket: &Ticket,
    gate: &Gate,
) -> Result<Option<RecordedResponse>, Failure> {
    let scope = TicketScope::new(&head.customer, &head.service, KeyHash(head.key_hash));
    let kind = match gate.orders().try_start(shared.now(), ticket, &scope) {
        StartDecision::Run => return Ok(None),
        StartDecision::Replay(answer) => return Ok(Some(answer)),
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
