//! Entry side: finds the serving daemon for a caller's request and passes the answer back.

mod attempt;
mod forward;
mod frames;
mod ticketing;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use lists::document::ServiceTerms;
use ownership::table::RouteTable;
use peers::wire::{ReplyHead, RequestHead};
use tokio::time::Instant;
use world::contract::Contract;
use world::error_kind::ErrorKind;
use world::key::KeyHash;
use world::name::{CustomerName, ServiceName};

use crate::allowance::{self, Purpose};
use crate::back_end::Body;
use crate::shared::Shared;

pub use frames::Frames;

/// Longest wait for a key's owner to become known.
const OWNER_WAIT: Duration = Duration::from_millis(2_500);

/// Longest single wait for news of the route table.
const NEWS_WAIT: Duration = Duration::from_millis(40);

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
        let retry_after = Duration::from_millis(u64::from(kind.response().retry_after_ms));
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

/// One request with what was found out about it.
struct Prepared {
    head: RequestHead,
    started: Instant,
    deadline: Instant,
}

/// Serves one request of a caller.
///
/// # Errors
/// Refuses with a kind that tells whether the request ran.
pub async fn handle(shared: &Arc<Shared>, call: Call) -> Result<Answer, Refusal> {
    shared.counters.requests.add();
    shared.budget.deposit();
    let result = try_handle(shared, call).await;
    match &result {
        Ok(_) => shared.counters.answered.add(),
        Err(_) => shared.counters.failed.add(),
    }
    result
}

async fn try_handle(shared: &Arc<Shared>, call: Call) -> Result<Answer, Refusal> {
    let started = Instant::now();
    await_lease(shared, started, call.deadline).await?;
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
        pay(shared, &purpose, started, deadline).await?;
    }
    let prepared = Prepared {
        head: head(&call, order, contract.keyed),
        started,
        deadline,
    };
    if order && call.ticket.is_none() {
        return Err(ticketing::ticket_refusal(shared, &prepared).await);
    }
    attempt::attempt_all(shared, prepared, call.body).await
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

fn contract<'a>(routes: &'a RouteTable, service: &ServiceName) -> Option<&'a Contract> {
    let back_ends = routes.machines.iter().filter_map(|m| m.back_end.as_ref());
    let mut contracts = back_ends.map(|b| &b.contract);
    contracts.find(|c| c.service == *service)
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

/// Waits until this daemon holds a lease; without one it serves nobody.
async fn await_lease(
    shared: &Shared,
    started: Instant,
    deadline: Option<Duration>,
) -> Result<(), Refusal> {
    let limit = started + deadline.unwrap_or(OWNER_WAIT).min(OWNER_WAIT);
    while !shared.lease.load().is_held(shared.now()) {
        let remaining = limit.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::NotServing.into());
        }
        await_news(shared, remaining).await;
    }
    Ok(())
}

/// Pays for a request, waiting for the customer's keeper while there is none.
async fn pay(
    shared: &Shared,
    purpose: &Purpose,
    started: Instant,
    deadline: Instant,
) -> Result<(), Refusal> {
    loop {
        let refusal = match allowance::pay(shared, purpose).await {
            Ok(()) => return Ok(()),
            Err(refusal) => refusal,
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let late = remaining.is_zero() || started.elapsed() >= OWNER_WAIT;
        if refusal.kind != ErrorKind::NotServing || late {
            return Err(refusal.into());
        }
        await_news(shared, remaining).await;
    }
}

/// Waits for a change of the route table, or a short while.
async fn await_news(shared: &Shared, remaining: Duration) {
    let mut news = shared.route_news.subscribe();
    let _ = tokio::time::timeout(NEWS_WAIT.min(remaining), news.changed()).await;
}
