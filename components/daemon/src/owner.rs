//! Serving side: runs a request at the back end beside this daemon.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use orders::table::{Admission, End, Recorded};
use orders::ticket::{Nonce, Scope, Ticket, TicketFault};
use ownership::table;
use peers::wire::{ReplyFrame, ReplyHead, RequestHead, TicketReply, TicketRequest};
use tokio::sync::{OwnedSemaphorePermit, TryAcquireError, mpsc};
use tokio::time::Instant;
use world::error_kind::ErrorKind;
use world::key::{KeyHash, Shard};

use crate::back_end::{self, BackEndError, Body, Tenure};
use crate::control::Event;
use crate::gate::{Gate, Pass};
use crate::shared::{LocalBackEnd, Shared};

/// Reply frames that wait for the receiver.
const REPLY_FRAMES: usize = 4;

/// Requests that may wait for a slot, as a multiple of the slots.
const QUEUE_PER_SLOT: u32 = 4;

/// Least time that must remain of a deadline to start a request.
const LEAST_REMAINING: Duration = Duration::from_millis(1);

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

/// A request that may run now.
struct Admitted {
    back_end: Arc<LocalBackEnd>,
    head: RequestHead,
    body: Body,
    tenure: Option<Tenure>,
    pass: Option<Pass>,
    order: Option<Order>,
    deadline: Instant,
    _slot: OwnedSemaphorePermit,
}

/// How an admitted request ended at the back end.
enum Ended {
    /// The answer was passed on whole.
    Whole,
    /// Nothing ran.
    NotRun(Failure),
    /// It may have run, or its answer was cut short.
    Unknown(Failure),
}

/// Runs a request and streams the reply. An order runs on when its receiver goes away, so that
/// its answer is recorded; a lookup is cancelled.
#[must_use]
pub fn serve(shared: Arc<Shared>, head: RequestHead, body: Body) -> mpsc::Receiver<ReplyFrame> {
    let (sender, receiver) = mpsc::channel(REPLY_FRAMES);
    let deadline = Instant::now() + Duration::from_millis(u64::from(head.deadline_ms));
    tokio::spawn(async move {
        match admit(&shared, head, body, deadline).await {
            Ok(Admit::Run(admitted)) => run(&shared, *admitted, &sender).await,
            Ok(Admit::Replay(answer)) => {
                shared.counters.replays.add();
                let _ = sender.send(replay_frame(answer)).await;
            }
            Err(failure) => send_failure(&shared, &sender, failure).await,
        }
    });
    receiver
}

enum Admit {
    Run(Box<Admitted>),
    Replay(Recorded),
}

async fn admit(
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
            finish(order.as_ref(), End::NotRun);
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

fn shard_of(service: &str, key_hash: u64) -> Shard {
    KeyHash(key_hash).shard(table::shard_count(service))
}

/// Enters the gate of the request's shard.
fn enter(shared: &Shared, head: &RequestHead) -> Result<Pass, Failure> {
    if !head.keyed {
        return Err(ErrorKind::MissingKey.into());
    }
    open_gate(shared, &head.service, head.key_hash)
}

fn open_gate(shared: &Shared, service: &str, key_hash: u64) -> Result<Pass, Failure> {
    let gates = shared.gates.load();
    let pass = gates
        .gate(service, shard_of(service, key_hash))
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

fn read_ticket(shared: &Shared, head: &RequestHead) -> Result<Ticket, Failure> {
    if head.ticket.is_empty() {
        return Err(ErrorKind::TicketRequired.into());
    }
    let ticket = shared.ticket_key.decode(head.ticket.as_bytes());
    ticket.map_err(|fault| match fault {
        TicketFault::Malformed => ErrorKind::TicketMalformed.into(),
        TicketFault::Forged => ErrorKind::TicketForged.into(),
    })
}

/// Admits an order to the table. Gives the recorded answer when it ran before.
fn check_order(
    shared: &Shared,
    head: &RequestHead,
    ticket: &Ticket,
    gate: &Gate,
) -> Result<Option<Recorded>, Failure> {
    let scope = Scope::new(&head.customer, &head.service, KeyHash(head.key_hash));
    let kind = match gate.orders().admit(shared.now(), ticket, &scope) {
        Admission::Run => return Ok(None),
        Admission::Replay(answer) => return Ok(Some(answer)),
        Admission::RanBefore => ErrorKind::AnswerNotKept,
        Admission::InProgress => ErrorKind::OrderInProgress,
        Admission::Unknown => ErrorKind::OutcomeUnknown,
        Admission::Stale => ErrorKind::TicketStale,
        Admission::Expired => ErrorKind::TicketExpired,
        Admission::Mismatch => ErrorKind::TicketMismatch,
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

async fn run(shared: &Arc<Shared>, admitted: Admitted, sender: &mpsc::Sender<ReplyFrame>) {
    let Admitted {
        back_end,
        mut head,
        body,
        tenure,
        pass,
        order,
        deadline,
        _slot,
    } = admitted;
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining < LEAST_REMAINING {
        finish(order.as_ref(), End::NotRun);
        return send_failure(shared, sender, ErrorKind::DeadlineExceeded.into()).await;
    }
    head.deadline_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
    let lease = shared.lease.load();
    if tenure.is_some() && !lease.is_held(shared.now()) {
        finish(order.as_ref(), End::NotRun);
        return send_failure(shared, sender, ErrorKind::NotOwner.into()).await;
    }
    if order.is_some() {
        shared.counters.orders.add();
    }
    let exchange = async {
        let sent = shared
            .back_end_client
            .send(back_end.address, &head, tenure, lease, body);
        let answer = match sent.await {
            Ok(answer) => answer,
            Err(error) => return on_send_error(shared, error, order.as_ref()).await,
        };
        pass_on(&back_end, answer, order.as_ref(), tenure, sender).await
    };
    let cancelled = async {
        match order {
            Some(_) => std::future::pending().await,
            None => sender.closed().await,
        }
    };
    let ended = tokio::select! {
        ended = tokio::time::timeout_at(deadline, exchange) => ended.ok(),
        () = cancelled => None,
    };
    settle(shared, ended, pass, order, sender).await;
}

/// Records how a request ended and tells the receiver when there is something left to tell.
async fn settle(
    shared: &Shared,
    ended: Option<Ended>,
    pass: Option<Pass>,
    order: Option<Order>,
    sender: &mpsc::Sender<ReplyFrame>,
) {
    let timed_out = || {
        let kind = match order {
            Some(_) => ErrorKind::OutcomeUnknown,
            None => ErrorKind::LookupTimedOut,
        };
        Ended::Unknown(kind.into())
    };
    match ended.unwrap_or_else(timed_out) {
        Ended::Whole => {}
        Ended::NotRun(failure) => {
            finish(order.as_ref(), End::NotRun);
            send_failure(shared, sender, failure).await;
        }
        Ended::Unknown(failure) => {
            shared.counters.abandoned.add();
            if let Some(pass) = &pass {
                pass.abandon();
            }
            finish(order.as_ref(), End::Unknown);
            send_failure(shared, sender, failure).await;
        }
    }
}

async fn on_send_error(shared: &Shared, error: BackEndError, order: Option<&Order>) -> Ended {
    let detail = error.to_string();
    match error {
        BackEndError::Refused => {
            let _ = shared.events.try_send(Event::BackEndRefused);
            Ended::NotRun(Failure {
                kind: ErrorKind::NoBackEnd,
                detail,
            })
        }
        BackEndError::Broken => {
            let kind = match order {
                Some(_) => ErrorKind::OutcomeUnknown,
                None => ErrorKind::BackEndFailed,
            };
            Ended::Unknown(Failure { kind, detail })
        }
    }
}

/// Passes the back end's answer on and records it for an order.
async fn pass_on(
    back_end: &LocalBackEnd,
    answer: Response<Incoming>,
    order: Option<&Order>,
    tenure: Option<Tenure>,
    sender: &mpsc::Sender<ReplyFrame>,
) -> Ended {
    if back_end::proves_not_run(&answer) {
        return Ended::NotRun(refused_by_back_end(&answer));
    }
    let mut head = Some(reply_head(back_end, &answer, tenure));
    let mut record = Record::new(&answer, order);
    let mut body = answer.into_body();
    loop {
        let part = match body.frame().await {
            None => break,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return cut_short(order),
        };
        record.add(&part);
        let end = hyper::body::Body::is_end_stream(&body);
        if end {
            record.finish(order);
        }
        let frame = ReplyFrame {
            head: head.take(),
            body: part,
            end,
        };
        let _ = sender.send(frame).await;
        if end {
            return Ended::Whole;
        }
    }
    record.finish(order);
    let last = ReplyFrame {
        head: head.take(),
        body: Bytes::new(),
        end: true,
    };
    let _ = sender.send(last).await;
    Ended::Whole
}

fn cut_short(order: Option<&Order>) -> Ended {
    let kind = if order.is_some() {
        ErrorKind::OutcomeUnknown
    } else {
        ErrorKind::BackEndFailed
    };
    Ended::Unknown(Failure {
        kind,
        detail: "the answer was cut short".to_owned(),
    })
}

fn refused_by_back_end<B>(answer: &Response<B>) -> Failure {
    let reason = answer
        .headers()
        .get(back_end::NOT_RUN)
        .and_then(|v| v.to_str().ok());
    let detail = reason.unwrap_or_default().to_owned();
    let kind = match detail.as_str() {
        "fence" | "lease" => ErrorKind::NotOwner,
        "deadline" => ErrorKind::DeadlineExceeded,
        _ => ErrorKind::Overloaded,
    };
    Failure { kind, detail }
}

fn reply_head<B>(
    back_end: &LocalBackEnd,
    answer: &Response<B>,
    tenure: Option<Tenure>,
) -> ReplyHead {
    ReplyHead {
        status: u32::from(answer.status().as_u16()),
        content_type: content_type(answer),
        in_flight: in_flight(back_end),
        fence: tenure.map_or(0, |t| t.fence.0),
        ..ReplyHead::default()
    }
}

fn in_flight(back_end: &LocalBackEnd) -> u32 {
    let free = u32::try_from(back_end.slots.available_permits()).unwrap_or(0);
    let waiting = back_end.waiting.load(Ordering::Relaxed);
    back_end.info.slots.saturating_sub(free) + waiting
}

fn content_type<B>(answer: &Response<B>) -> String {
    let value = answer.headers().get(http::header::CONTENT_TYPE);
    value
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Collects an order's answer as far as the table may keep it.
struct Record {
    status: u16,
    content_type: String,
    body: BytesMut,
    limit: usize,
}

impl Record {
    fn new<B>(answer: &Response<B>, order: Option<&Order>) -> Self {
        let limit = order.map_or(0, |o| o.gate.orders().one_answer_limit() + 1);
        Self {
            status: answer.status().as_u16(),
            content_type: content_type(answer),
            body: BytesMut::new(),
            limit,
        }
    }

    /// Adds a part; one byte above the limit is kept, so that the table sees the excess.
    fn add(&mut self, part: &[u8]) {
        let room = self.limit - self.body.len();
        self.body.extend_from_slice(&part[..part.len().min(room)]);
    }

    fn finish(&mut self, order: Option<&Order>) {
        let body = self.body.split().freeze();
        let content_type = std::mem::take(&mut self.content_type);
        let recorded = Recorded {
            status: self.status,
            content_type,
            body,
        };
        finish(order, End::Answered(recorded));
    }
}

fn finish(order: Option<&Order>, end: End) {
    if let Some(order) = order {
        order.gate.orders().finish(&order.ticket, end);
    }
}

fn replay_frame(answer: Recorded) -> ReplyFrame {
    let head = ReplyHead {
        status: u32::from(answer.status),
        content_type: answer.content_type,
        replayed: true,
        ..ReplyHead::default()
    };
    ReplyFrame {
        head: Some(head),
        body: answer.body,
        end: true,
    }
}

async fn send_failure(shared: &Shared, sender: &mpsc::Sender<ReplyFrame>, failure: Failure) {
    let in_flight = shared.back_end.load().as_ref().map_or(0, |b| in_flight(b));
    let head = ReplyHead {
        error: failure.kind.to_string(),
        retry_after_ms: failure.kind.answer().retry_after_ms,
        detail: failure.detail,
        in_flight,
        ..ReplyHead::default()
    };
    let _ = sender
        .send(ReplyFrame {
            head: Some(head),
            body: Bytes::new(),
            end: true,
        })
        .await;
}

/// Issues a ticket for a key that this daemon owns.
#[must_use]
pub fn issue_ticket(shared: &Shared, request: &TicketRequest) -> TicketReply {
    match try_issue(shared, request) {
        Ok(ticket) => TicketReply {
            error: String::new(),
            valid_ms: u32::try_from(shared.settings.orders.lifetime.as_millis()).unwrap_or(0),
            ticket,
        },
        Err(failure) => TicketReply {
            error: failure.kind.to_string(),
            ..TicketReply::default()
        },
    }
}

fn try_issue(shared: &Shared, request: &TicketRequest) -> Result<String, Failure> {
    let pass = open_gate(shared, &request.service, request.key_hash)?;
    let gate = pass.gate();
    let ticket = Ticket {
        shard: gate.holding().id.shard,
        fence: gate.fence(),
        scope: Scope::new(
            &request.customer,
            &request.service,
            KeyHash(request.key_hash),
        ),
        nonce: Nonce(rand::random()),
    };
    if !gate.orders().issue(shared.now(), &ticket) {
        return Err(ErrorKind::TicketTableFull.into());
    }
    shared.counters.tickets.add();
    Ok(shared.ticket_key.encode(&ticket))
}
