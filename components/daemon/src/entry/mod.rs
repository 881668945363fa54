//! Entry side: checks a caller's request, finds the daemon that serves it and returns the response.

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

use crate::allowance::{self, AllowanceId};
use crate::back_end::Body;
use crate::shared::Shared;

pub use frames::ReplyFrames;

/// Longest wait for a lease or for the owner of a key.
const OWNER_WAIT: Duration = Duration::from_millis(2_500);

/// Longest single wait for a change of the route table.
const ROUTE_CHANGE_WAIT: Duration = Duration::from_millis(40);

/// A caller's request.
#[derive(Debug)]
pub struct CallerRequest {
    /// Customer on whose behalf the request is made.
    pub customer: CustomerName,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Operation of the service.
    pub operation: String,
    /// HTTP method.
    pub method: &'static str,
    /// Query string without the question mark.
    pub query: String,
    /// Content type of the body.
    pub content_type: String,
    /// Key, for a service divided by key.
    pub key: Option<Bytes>,
    /// Timeout that the caller asked for; it can only shorten that of the plan.
    pub timeout: Option<Duration>,
    /// Ticket of an order; `None` for a lookup or an order that has none yet.
    pub ticket: Option<String>,
    /// Body of the request.
    pub body: Body,
}

/// Response to a caller, whose body may still be arriving.
#[derive(Debug)]
pub struct CallerResponse {
    /// Head of the response.
    pub head: ReplyHead,
    /// The frames with the body.
    pub frames: ReplyFrames,
}

/// Reason why a request got no response of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Error kind, which states whether the request ran.
    pub kind: ErrorKind,
    /// Further detail for the caller; may be empty.
    pub detail: String,
    /// Wait before the caller should retry; zero for none.
    pub retry_after: Duration,
    /// New ticket, when an order came without one.
    pub ticket: Option<String>,
}

impl Refusal {
    /// Creates a refusal with the default wait of its kind.
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

/// A checked request that is ready to be forwarded.
struct PreparedRequest {
    head: RequestHead,
    started: Instant,
    deadline: Instant,
}

/// Serves one request of a caller.
///
/// # Errors
/// The kind of the refusal states whether the request ran.
pub async fn handle(
    shared: &Arc<Shared>,
    request: CallerRequest,
) -> Result<CallerResponse, Refusal> {
    shared.counters.requests.add();
    shared.budget.deposit();
    let result = try_handle(shared, request).await;
    match &result {
        Ok(_) => shared.counters.answered.add(),
        Err(_) => shared.counters.failed.add(),
    }
    result
}

async fn try_handle(
    shared: &Arc<Shared>,
    request: CallerRequest,
) -> Result<CallerResponse, Refusal> {
    let started = Instant::now();
    await_lease(shared, started, request.timeout).await?;
    let terms = terms(shared, &request)?;
    let routes = shared.routes.load_full();
    let contract = contract(&routes, &request.service).ok_or(ErrorKind::NoBackEnd)?;
    let operation = contract
        .operation(&request.operation)
        .ok_or(ErrorKind::UnknownOperation)?;
    if contract.keyed && request.key.is_none() {
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
    let timeout = request
        .timeout
        .map_or(terms.deadline, |wanted| wanted.min(terms.deadline));
    let deadline = started + timeout;
    let allowance_id = AllowanceId {
        customer: request.customer.clone(),
        service: request.service.clone(),
        order,
    };
    // An order takes its token when its ticket is issued, so that repetitions take none.
    if !order || request.ticket.is_none() {
        acquire_token(shared, &allowance_id, started, deadline).await?;
    }
    let prepared = PreparedRequest {
        head: head(&request, order, contract.keyed),
        started,
        deadline,
    };
    if order && request.ticket.is_none() {
        return Err(ticketing::ticket_refusal(shared, &prepared).await);
    }
    attempt::attempt_all(shared, prepared, request.body).await
}

fn terms(shared: &Shared, request: &CallerRequest) -> Result<ServiceTerms, Refusal> {
    let lists = shared.lists.load();
    let lists = lists.as_ref().ok_or(ErrorKind::NotServing)?;
    let plan = lists
        .lists
        .plan_of(&request.customer)
        .ok_or(ErrorKind::UnknownCustomer)?;
    if let Some(terms) = plan.services.get(&request.service) {
        return Ok(*terms);
    }
    let in_any_plan = lists
        .lists
        .plans
        .values()
        .any(|p| p.services.contains_key(&request.service));
    let kind = if in_any_plan {
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

fn head(request: &CallerRequest, order: bool, keyed: bool) -> RequestHead {
    let key = request.key.clone().unwrap_or_default();
    RequestHead {
        service: request.service.to_string(),
        operation: request.operation.clone(),
        customer: request.customer.to_string(),
        key_hash: KeyHash::new(&key).0,
        key,
        keyed,
        deadline_ms: 0,
        ticket: request.ticket.clone().unwrap_or_default(),
        order,
        method: request.method.to_owned(),
        query: request.query.clone(),
        content_type: request.content_type.clone(),
    }
}

fn remaining(prepared: &PreparedRequest) -> Duration {
    prepared.deadline.saturating_duration_since(Instant::now())
}

/// Waits until this daemon holds a lease; without one it serves no requests.
async fn await_lease(
    shared: &Shared,
    started: Instant,
    timeout: Option<Duration>,
) -> Result<(), Refusal> {
    let deadline = started + timeout.unwrap_or(OWNER_WAIT).min(OWNER_WAIT);
    while !shared.lease.load().is_held(shared.now()) {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::NotServing.into());
        }
        await_route_change(shared, remaining).await;
    }
    Ok(())
}

/// Takes a token for a request, waiting for the customer's allowance owner while there is none.
async fn acquire_token(
    shared: &Shared,
    allowance_id: &AllowanceId,
    started: Instant,
    deadline: Instant,
) -> Result<(), Refusal> {
    loop {
        let refusal = match allowance::acquire(shared, allowance_id).await {
            Ok(()) => return Ok(()),
            Err(refusal) => refusal,
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let expired = remaining.is_zero() || started.elapsed() >= OWNER_WAIT;
        if refusal.kind != ErrorKind::NotServing || expired {
            return Err(refusal.into());
        }
        await_route_change(shared, remaining).await;
    }
}

/// Waits for a change of the route table, for at most `ROUTE_CHANGE_WAIT` and `remaining`.
async fn await_route_change(shared: &Shared, remaining: Duration) {
    let mut version = shared.route_version.subscribe();
    let _ = tokio::time::timeout(ROUTE_CHANGE_WAIT.min(remaining), version.changed()).await;
}
