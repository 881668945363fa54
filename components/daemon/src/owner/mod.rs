//! Serving side: runs a request at the back end beside this daemon.

mod admission;
mod answer;
mod execution;
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
use crate::gate::{Gate, Pass};
use crate::shared::Shared;

pub use tickets::issue_ticket;

/// Reply frames that wait for the receiver.
const REPLY_FRAMES: usize = 4;

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

/// Order that was admitted to run.
struct Order {
    gate: Arc<Gate>,
    ticket: Ticket,
}

/// Runs a request and streams the reply. An order runs on when its receiver goes away, so that
/// its answer is recorded; a lookup is cancelled.
#[must_use]
pub fn serve(shared: Arc<Shared>, head: RequestHead, body: Body) -> mpsc::Receiver<ReplyFrame> {
    let (sender, receiver) = mpsc::channel(REPLY_FRAMES);
    let deadline = Instant::now() + Duration::from_millis(u64::from(head.deadline_ms));
    tokio::spawn(async move {
        match admission::admit(&shared, head, body, deadline).await {
            Ok(admission::Admit::Run(admitted)) => {
                execution::run(&shared, *admitted, &sender).await
            }
            Ok(admission::Admit::Replay(answer)) => {
                shared.counters.replays.add();
                let _ = sender.send(answer::replay_frame(answer)).await;
            }
            Err(failure) => answer::send_failure(&shared, &sender, failure).await,
        }
    });
    receiver
}

fn open_gate(shared: &Shared, service: &str, key_hash: u64) -> Result<Pass, Failure> {
    let gates = shared.gates.load();
    let pass = gates
        .gate(service, table::shard_of(service, KeyHash(key_hash)))
        .and_then(Gate::enter);
    let held = shared.lease.load().is_held(shared.now());
    match pass {
        Some(pass) if held => Ok(pass),
        _ => {
            shared.counters.not_owner.add();
            Err(ErrorKind::NotOwner.into())
        }
    }
}

fn finish(order: Option<&Order>, end: ExecutionOutcome) {
    if let Some(order) = order {
        order.gate.orders().finish(&order.ticket, end);
    }
}
