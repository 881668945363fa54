//! Serving side: runs requests at the local back end and issues tickets for keys of this daemon.

mod admission;
mod execution;
mod response;
mod tickets;

use std::sync::Arc;
use std::time::Duration;

use orders::table::ExecutionOutcome;
use orders::ticket::Ticket;
use ownership::table;
use peers::wire::{ReplyFrame, RequestHead};
use tokio::sync::mpsc;
use tokio::time::Instant;
use world::error_kind::ErrorKind;
use world::key::KeyHash;

use crate::back_end::Body;
use crate::gate::{Gate, GateGuard};
use crate::shared::Shared;

pub use tickets::issue_ticket;

/// Reply frames that are queued for the receiver.
const REPLY_QUEUE_FRAMES: usize = 4;

/// Failure of a request at the serving daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Failure {
    kind: ErrorKind,
    detail: String,
}

impl From<ErrorKind> for Failure {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            detail: String::new(),
        }
    }
}

/// An order that the order table has started, with the gate it belongs to.
struct AdmittedOrder {
    gate: Arc<Gate>,
    ticket: Ticket,
}

/// Runs a request and streams the reply. When the receiver is dropped, an order runs on, so that
/// its response is recorded; a lookup is cancelled.
#[must_use]
pub fn serve(shared: Arc<Shared>, head: RequestHead, body: Body) -> mpsc::Receiver<ReplyFrame> {
    let (sender, receiver) = mpsc::channel(REPLY_QUEUE_FRAMES);
    let deadline = Instant::now() + Duration::from_millis(u64::from(head.deadline_ms));
    tokio::spawn(async move {
        match admission::admit(&shared, head, body, deadline).await {
            Ok(admission::Admission::Run(admitted)) => {
                execution::run(&shared, *admitted, &sender).await
            }
            Ok(admission::Admission::Replay(response)) => {
                shared.counters.replays.add();
                let _ = sender.send(response::replay_frame(response)).await;
            }
            Err(failure) => response::send_failure(&shared, &sender, failure).await,
        }
    });
    receiver
}

/// Enters the gate of a key's shard. Fails with `NotOwner` when this daemon does not own the
/// shard, the gate is closed or the lease has ended.
fn enter_gate(shared: &Shared, service: &str, key_hash: u64) -> Result<GateGuard, Failure> {
    let gates = shared.gates.load();
    let guard = gates
        .gate(service, table::shard_of(service, KeyHash(key_hash)))
        .and_then(Gate::try_enter);
    let has_lease = shared.lease.load().is_held(shared.now());
    match guard {
        Some(guard) if has_lease => Ok(guard),
        _ => {
            shared.counters.not_owner.add();
            Err(ErrorKind::NotOwner.into())
        }
    }
}

fn finish_order(order: Option<&AdmittedOrder>, outcome: ExecutionOutcome) {
    if let Some(order) = order {
        order.gate.orders().finish(&order.ticket, outcome);
    }
}
