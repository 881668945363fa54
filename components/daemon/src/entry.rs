//! Entry side: finds the serving daemon for a caller's request and passes the answer back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use lists::document::ServiceTerms;
use ownership::table::{self, RouteTable};
use peers::wire::{ReplyFrame, ReplyHead, RequestFrame, RequestHead, TicketReply, TicketRequest};
use prost::Message;
use routing::observed::Observed;
use routing::pick::{self, Candidate, Candidates};
use routing::retry::{self, Next};
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use world::contract::Contract;
use world::error_kind::ErrorKind;
use world::key::KeyHash;
use world::machine::{Link, Machine};
use world::name::{CustomerName, ServiceName};

use crate::allowance::{self, Purpose};
use crate::back_end::{Body, BodyCut};
use crate::metrics::Counters;
use crate::owner;
use crate::shared::Shared;

/// Longest wait for a key's owner to become known.
const OWNER_WAIT: Duration = Duration::from_millis(2_500);

/// Longest single wait for news of the route table.
const NEWS_WAIT: Duration = Duration::from_millis(40);

/// Machines that one request has tried, without heap allocation.
type Tried = SmallVec<[usize; 4]>;

/// A caller's request.
#[derive(Debug)]
pub struct Call {
    /// The customer.
    pub customer: CustomerName,
    /// The service.
    pub service: ServiceName,
    /// The operation.
    pub operation: String,
    /// HTTP method.
    pub method: &'static str,
    /// Query string without the question mark.
    pub query: String,
    /// Content type of the body.
    pub content_type: String,
    /// The key, for a service divided by key.
    pub key: Option<Bytes>,
    /// The deadline that the caller asked for.
    pub deadline: Option<Duration>,
    /// The ticket, for an order.
    pub ticket: Option<String>,
    /// The body.
    pub body: Body,
}

/// An answer on its way to the caller.
#[derive(Debug)]
pub struct Answer {
    /// Head of the answer.
    pub head: ReplyHead,
    /// The frames that follow, and the first part of the body.
    pub frames: Frames,
}

/// A request that got no answer of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// More about it.
    pub detail: String,
    /// When to come again.
    pub retry_after: Duration,
    /// A ticket for the order that lacked one.
    pub ticket: Option<String>,
}

impl Refusal {
    /// A refusal with the kind's own wait.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        let retry_after = Duration::from_millis(u64::from(kind.answer().retry_after_ms));
        Self {
            kind,
            detail: detail.into(),
            retry_after,
            ticket: None,
        }
    }
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, "")
    }
}

impl From<allowance::Refusal> for Refusal {
    fn from(refusal: allowance::Refusal) -> Self {
        Self {
            retry_after: refusal.retry_after,
            ..Self::from(refusal.kind)
        }
    }
}

/// Frames of one reply.
#[derive(Debug)]
pub struct Frames {
    source: Source,
    first: Option<ReplyFrame>,
    /// Counts what crosses the link between regions, when the request went over it.
    distant: Option<Arc<Counters>>,
    _in_flight: InFlight,
}

#[derive(Debug)]
enum Source {
    Local(mpsc::Receiver<ReplyFrame>),
    Remote(Box<Streaming<ReplyFrame>>),
}

impl Source {
    async fn next(&mut self) -> Option<ReplyFrame> {
        match self {
            Source::Local(receiver) => receiver.recv().await,
            Source::Remote(stream) => stream.next().await?.ok(),
        }
    }
}

impl Frames {
    /// The whole body, when it came with the head.
    pub fn take_whole(&mut self) -> Option<Bytes> {
        let whole = self.first.as_ref().is_some_and(|frame| frame.end);
        let frame = self.first.take_if(|_| whole)?;
        self.count(&frame);
        Some(frame.body)
    }

    fn count(&self, frame: &ReplyFrame) {
        if let Some(counters) = &self.distant {
            counters.distant_bytes.add_many(frame.encoded_len() as u64);
        }
    }

    /// The next frame; none when the reply has ended or was cut.
    pub async fn next(&mut self) -> Option<ReplyFrame> {
        let frame = match self.first.take() {
            Some(frame) => frame,
            None => self.source.next().await?,
        };
        self.count(&frame);
        Some(frame)
    }
}

/// Counts a request as in flight at a machine for as long as it lives.
#[derive(Debug)]
struct InFlight(Arc<Observed>);

impl InFlight {
    fn new(observed: Arc<Observed>) -> Self {
        observed.on_sent();
        Self(observed)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.on_ended();
    }
}

/// A failed attempt.
struct Failed {
    kind: ErrorKind,
    detail: String,
    retry_after_ms: u32,
}

impl From<ErrorKind> for Failed {
    fn from(kind: ErrorKind) -> Self {
        let retry_after_ms = kind.answer().retry_after_ms;
        Self {
            kind,
            detail: String::new(),
            retry_after_ms,
        }
    }
}

/// One request with what was found out about it.
struct Prepared {
    head: RequestHead,
    keyed: bool,
    order: bool,
    started: Instant,
    deadline: Instant,
}

/// Serves one request of a caller.
///
/// # Errors
/// Refuses with a kind that tells whether the request ran.
pub async fn handle(shared: &Arc<Shared>, call: Call) -> Result<Answer, Refusal> {
    shared.counters.requests.add();
    shared.budget.earn();
    let result = try_handle(shared, call).await;
    match &result {
        Ok(_) => shared.counters.answered.add(),
        Err(_) => shared.counters.failed.add(),
    }
    result
}

async fn try_handle(shared: &Arc<Shared>, call: Call) -> Result<Answer, Refusal> {
    let started = Instant::now();
    if !shared.lease.load().is_held(shared.now()) {
        return Err(ErrorKind::NotServing.into());
    }
    let terms = terms(shared, &call)?;
    let routes = shared.routes.load_full();
    let contract = contract(&routes, &call.service).ok_or(ErrorKind::NoBackEnd)?;
    let operation = contract
        .operation(&call.operation)
        .ok_or(ErrorKind::UnknownOperation)?;
    if contract.keyed && call.key.is_none() {
        return Err(ErrorKind::MissingKey.into());
    }
    let order = operation.order;
    if terms.allowance(order).is_none() {
        let kind = if order { "orders" } else { "lookups" };
        return Err(Refusal::new(
            ErrorKind::NotInPlan,
            format!("the plan allows no {kind}"),
        ));
    }
    let limit = call
        .deadline
        .map_or(terms.deadline, |wanted| wanted.min(terms.deadline));
    let deadline = started + limit;
    let purpose = Purpose {
        customer: call.customer.clone(),
        service: call.service.clone(),
        order,
    };
    // An order is paid for when its ticket is issued, so that repetitions cost nothing.
    if !order || call.ticket.is_none() {
        allowance::pay(shared, &purpose).await?;
    }
    let keyed = contract.keyed;
    let prepared = Prepared {
        head: head(&call, order, keyed),
        keyed,
        order,
        started,
        deadline,
    };
    if order && call.ticket.is_none() {
        return Err(ticket_refusal(shared, &prepared).await);
    }
    attempt_all(shared, prepared, call.body).await
}

fn terms(shared: &Shared, call: &Call) -> Result<ServiceTerms, Refusal> {
    let lists = shared.lists.load();
    let lists = lists.as_ref().ok_or(ErrorKind::NotServing)?;
    let plan = lists
        .lists
        .plan_of(&call.customer)
        .ok_or(ErrorKind::UnknownCustomer)?;
    if let Some(terms) = plan.services.get(&call.service) {
        return Ok(*terms);
    }
    let listed = lists
        .lists
        .plans
        .values()
        .any(|p| p.services.contains_key(&call.service));
    let kind = if listed {
        ErrorKind::NotInPlan
    } else {
        ErrorKind::UnknownService
    };
    Err(kind.into())
}

fn contract(routes: &RouteTable, service: &ServiceName) -> Option<Contract> {
    let back_ends = routes.machines.iter().filter_map(|m| m.back_end.as_ref());
    let mut contracts = back_ends.map(|b| &b.contract);
    contracts.find(|c| c.service == *service).cloned()
}

fn head(call: &Call, order: bool, keyed: bool) -> RequestHead {
    let key = call.key.clone().unwrap_or_default();
    RequestHead {
        service: call.service.to_string(),
        operation: call.operation.clone(),
        customer: call.customer.to_string(),
        key_hash: KeyHash::new(&key).0,
        key,
        keyed,
        deadline_ms: 0,
        ticket: call.ticket.clone().unwrap_or_default(),
        order,
        method: call.method.to_owned(),
        query: call.query.clone(),
        content_type: call.content_type.clone(),
    }
}

fn remaining(prepared: &Prepared) -> Duration {
    prepared.deadline.saturating_duration_since(Instant::now())
}

/// Makes attempts until one is answered or none is allowed any more.
async fn attempt_all(
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
            order: prepared.order,
            replayable: body.is_some(),
            attempts,
            remaining: remaining(&prepared),
        };
        match retry::next(&failure, &shared.budget) {
            Next::Fail => return Err(refusal(failed)),
            Next::Retry => shared.counters.retries.add(),
            Next::AwaitOwner => {
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

/// Waits for a change of the route table, or a short while.
async fn await_news(shared: &Shared, remaining: Duration) {
    let mut news = shared.route_news.subscribe();
    let _ = tokio::time::timeout(NEWS_WAIT.min(remaining), news.changed()).await;
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
    let work = exchange(shared, machine, head, body);
    let result = match tokio::time::timeout_at(prepared.deadline, work).await {
        Ok(result) => result,
        Err(_) => Err(timed_out(prepared).into()),
    };
    match result {
        Ok((head, frame, source)) => {
            observed.on_answer(sent.elapsed(), head.in_flight);
            let distant = is_distant(shared, machine).then(|| Arc::clone(&shared.counters));
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
    if prepared.order {
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
    )
}

fn target<'a>(
    shared: &Shared,
    routes: &'a RouteTable,
    prepared: &Prepared,
    tried: &mut Tried,
) -> Result<&'a Machine, Failed> {
    let service = prepared.head.service.as_str();
    if prepared.keyed {
        let shard = KeyHash(prepared.head.key_hash).shard(table::shard_count(service));
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

/// Sends the request and waits for the first frame. Takes a body that can't be sent again.
async fn exchange(
    shared: &Arc<Shared>,
    machine: &Machine,
    head: RequestHead,
    body: &mut Option<Body>,
) -> Result<(ReplyHead, ReplyFrame, Source), Failed> {
    let order = head.order;
    let mut source = if machine.name == shared.settings.name {
        let body = take_body(body).ok_or(ErrorKind::Internal)?;
        Source::Local(owner::serve(Arc::clone(shared), head, body))
    } else {
        forward(shared, machine, head, body).await?
    };
    let lost = if order {
        ErrorKind::OutcomeUnknown
    } else {
        ErrorKind::BackEndFailed
    };
    let mut frame = source.next().await.ok_or(lost)?;
    let head = frame.head.take().ok_or(lost)?;
    if head.error.is_empty() {
        return Ok((head, frame, source));
    }
    let kind = ErrorKind::from_code(&head.error).unwrap_or(ErrorKind::Internal);
    Err(Failed {
        kind,
        detail: head.detail,
        retry_after_ms: head.retry_after_ms,
    })
}

/// Gives a copy of a whole body, or the only one of a body that is still arriving.
fn take_body(body: &mut Option<Body>) -> Option<Body> {
    if let Some(Body::Whole(bytes)) = body {
        return Some(Body::Whole(bytes.clone()));
    }
    body.take()
}

async fn forward(
    shared: &Arc<Shared>,
    machine: &Machine,
    head: RequestHead,
    body: &mut Option<Body>,
) -> Result<Source, Failed> {
    let address = machine.traffic_address;
    let mut client = shared.pool.traffic(address).await.map_err(|error| Failed {
        detail: error.to_string(),
        ..Failed::from(unreachable(&head))
    })?;
    shared.counters.forwarded.add();
    let distant = is_distant(shared, machine);
    if distant {
        shared.counters.distant.add();
    }
    let count = Arc::clone(&shared.counters);
    let count = move |frame: &RequestFrame| {
        if distant {
            count.distant_bytes.add_many(frame.encoded_len() as u64);
        }
    };
    let order = head.order;
    let body = take_body(body).ok_or(ErrorKind::Internal)?;
    let result = match body {
        Body::Whole(bytes) => {
            let frame = RequestFrame {
                head: Some(head),
                body: bytes,
                end: true,
            };
            count(&frame);
            client.forward(futures::stream::iter([frame])).await
        }
        Body::Stream(parts) => client.forward(frames(head, parts).inspect(count)).await,
    };
    match result {
        Ok(response) => Ok(Source::Remote(Box::new(response.into_inner()))),
        Err(status) => {
            shared.pool.forget(address);
            let kind = match order {
                _ if status.code() == tonic::Code::Unauthenticated => ErrorKind::Unauthorized,
                true => ErrorKind::OutcomeUnknown,
                false => ErrorKind::BackEndFailed,
            };
            Err(Failed {
                detail: status.message().to_owned(),
                ..Failed::from(kind)
            })
        }
    }
}

fn is_distant(shared: &Shared, machine: &Machine) -> bool {
    machine.link_from(&shared.settings.region, &shared.settings.zone) == Link::Distant
}

/// What it means that a machine can't be connected to: a key's owner may have changed.
fn unreachable(head: &RequestHead) -> ErrorKind {
    if head.keyed {
        ErrorKind::NoOwner
    } else {
        ErrorKind::NoBackEnd
    }
}

/// Frames of a body that is still arriving; a cut body ends without an end mark.
fn frames(
    head: RequestHead,
    parts: mpsc::Receiver<Result<Bytes, BodyCut>>,
) -> impl futures::Stream<Item = RequestFrame> {
    let first = RequestFrame {
        head: Some(head),
        body: Bytes::new(),
        end: false,
    };
    let end = RequestFrame {
        head: None,
        body: Bytes::new(),
        end: true,
    };
    let ended = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let flag = Arc::clone(&ended);
    let body = ReceiverStream::new(parts).filter_map(move |part| {
        if part.is_err() {
            flag.store(false, std::sync::atomic::Ordering::Relaxed);
        }
        let frame = part.ok().map(|body| RequestFrame {
            head: None,
            body,
            end: false,
        });
        std::future::ready(frame)
    });
    let last = futures::stream::once(async move {
        let whole = ended.load(std::sync::atomic::Ordering::Relaxed);
        whole.then_some(end)
    });
    futures::stream::iter([first])
        .chain(body)
        .chain(last.filter_map(std::future::ready))
}

/// Refuses an order that has no ticket, with a ticket where one can be had.
async fn ticket_refusal(shared: &Arc<Shared>, prepared: &Prepared) -> Refusal {
    loop {
        let reply = request_ticket(shared, prepared).await;
        let kind = match reply {
            Ok(reply) if reply.error.is_empty() => {
                let mut refusal = Refusal::from(ErrorKind::TicketRequired);
                refusal.ticket = Some(reply.ticket);
                return refusal;
            }
            Ok(reply) => ErrorKind::from_code(&reply.error).unwrap_or(ErrorKind::Internal),
            Err(kind) => kind,
        };
        let waits = matches!(kind, ErrorKind::NoOwner | ErrorKind::NotOwner);
        let late = remaining(prepared).is_zero() || prepared.started.elapsed() >= OWNER_WAIT;
        if !waits || late {
            return kind.into();
        }
        shared.counters.owner_waits.add();
        await_news(shared, remaining(prepared)).await;
    }
}

async fn request_ticket(
    shared: &Arc<Shared>,
    prepared: &Prepared,
) -> Result<TicketReply, ErrorKind> {
    let head = &prepared.head;
    let request = TicketRequest {
        service: head.service.clone(),
        customer: head.customer.clone(),
        key_hash: head.key_hash,
    };
    let routes = shared.routes.load_full();
    let shard = KeyHash(head.key_hash).shard(table::shard_count(&head.service));
    let owner = routes
        .owner(&head.service, shard)
        .ok_or(ErrorKind::NoOwner)?;
    if owner.name == shared.settings.name {
        return Ok(owner::issue_ticket(shared, &request));
    }
    let address = owner.traffic_address;
    let call = async {
        let mut client = shared.pool.traffic(address).await.ok()?;
        client
            .issue_ticket(request)
            .await
            .ok()
            .map(tonic::Response::into_inner)
    };
    match tokio::time::timeout_at(prepared.deadline, call).await {
        Ok(Some(reply)) => Ok(reply),
        Ok(None) => {
            shared.pool.forget(address);
            Err(ErrorKind::NoOwner)
        }
        Err(_) => Err(ErrorKind::DeadlineExceeded),
    }
}
