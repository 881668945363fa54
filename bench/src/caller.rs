//! HTTP client that behaves as callers are asked to: obtains a ticket before an order and repeats
//! a request when the error response advises it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daemon::caller_api;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use tokio::time::Instant;

use crate::trace::RequestLine;

/// Attempts after which a caller stops retrying.
const MAX_ATTEMPTS: u32 = 60;

/// Longest wait between two attempts.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// A request of a caller, repeated until it succeeds, is rejected for good or times out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id of the request, echoed by the back end.
    pub id: String,
    /// The customer; `None` omits the header.
    pub customer: Option<String>,
    /// The service.
    pub service: String,
    /// The operation.
    pub operation: String,
    /// The key; `None` omits the header.
    pub key: Option<String>,
    /// Ticket for the first attempt; `None` sends none until a daemon issues one.
    pub ticket: Option<String>,
    /// The body, sent with POST; `None` sends a GET.
    pub body: Option<String>,
    /// Value of the deadline header in milliseconds; `None` omits it.
    pub deadline_ms: Option<u64>,
    /// Time from the first attempt after which no further attempt is made.
    pub timeout: Duration,
}

impl From<&RequestLine> for CallerRequest {
    fn from(line: &RequestLine) -> Self {
        Self {
            id: line.id.clone(),
            customer: line.customer.clone(),
            service: line.service.clone(),
            operation: line.operation.clone(),
            key: line.key.clone(),
            ticket: line.ticket.clone(),
            body: line.body.clone(),
            deadline_ms: None,
            timeout: Duration::from_millis(line.timeout_ms),
        }
    }
}

/// Outcome of a request's last attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A back end's response arrived complete.
    Answered(Echo),
    /// The last response was an error.
    Refused(Problem),
    /// The last attempt got no response, or an incomplete one.
    Lost,
}

/// Result of a request over all its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Outcome of the last attempt.
    pub outcome: Outcome,
    /// Time from the first attempt to the end of the last.
    pub took: Duration,
    /// Number of attempts.
    pub attempts: u32,
    /// Ticket of the last attempt.
    pub ticket: Option<String>,
    /// True when an attempt was lost or its response said that it may have been executed.
    pub maybe_executed: bool,
}

/// Response body of a stand-in back end.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Echo {
    /// Id of the request.
    pub request: String,
    /// Customer.
    pub customer: String,
    /// Key in hexadecimal; empty for a request without a key.
    pub key: String,
    /// Operation.
    pub operation: String,
    /// Number of requests that took effect for the key, this one included.
    pub count: u64,
    /// Body of the request.
    pub body: String,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Problem {
    /// Code of the error kind.
    pub error: String,
    /// Whether the request was executed: `no`, `unknown` or `yes`.
    pub ran: String,
    /// What the caller should do next, for example `repeat`.
    pub advice: String,
    /// Time to wait before the next attempt, in milliseconds.
    pub retry_after_ms: u64,
}

/// Sends requests to daemons over pooled connections.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

enum Attempt {
    Answered(Echo),
    /// An error response and the ticket that it carried.
    Refused(Problem, Option<String>),
    Lost,
}

impl Caller {
    /// Creates a caller without connections.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and repeats it until it succeeds, is rejected for good or times out. Each
    /// attempt goes to the next of the `entries`, which must not be empty.
    pub async fn send_with_retries(
        &self,
        entries: &[SocketAddr],
        request: &CallerRequest,
    ) -> Report {
        let started = Instant::now();
        let mut ticket = request.ticket.clone();
        let mut maybe_executed = false;
        let mut attempts = 0;
        loop {
            let entry = entries[attempts as usize % entries.len()];
            attempts += 1;
            let attempt = self.attempt(entry, request, ticket.as_deref()).await;
            let expired = started.elapsed() >= request.timeout || attempts >= MAX_ATTEMPTS;
            let wait = match &attempt {
                Attempt::Answered(_) => None,
                Attempt::Refused(problem, Some(issued)) if problem.error == "ticket-required" => {
                    ticket = Some(issued.clone());
                    Some(Duration::ZERO)
                }
                Attempt::Refused(problem, _) => {
                    maybe_executed |= problem.ran == "unknown";
                    let repeat = problem.advice == "repeat";
                    repeat.then(|| Duration::from_millis(problem.retry_after_ms.max(1)))
                }
                Attempt::Lost => {
                    maybe_executed = true;
                    Some(Duration::from_millis(20))
                }
            };
            let outcome = match (wait, attempt) {
                (Some(wait), _) if !expired => {
                    tokio::time::sleep(wait.min(MAX_WAIT)).await;
                    continue;
                }
                (_, Attempt::Answered(echo)) => Outcome::Answered(echo),
                (_, Attempt::Refused(problem, _)) => Outcome::Refused(problem),
                (_, Attempt::Lost) => Outcome::Lost,
            };
            let took = started.elapsed();
            return Report {
                outcome,
                took,
                attempts,
                ticket,
                maybe_executed,
            };
        }
    }

    /// Obtains a ticket for an order without executing the order. Returns `None` when no daemon
    /// issues one within the request's timeout.
    pub async fn obtain_ticket(
        &self,
        entries: &[SocketAddr],
        request: &CallerRequest,
    ) -> Option<String> {
        let started = Instant::now();
        for entry in entries.iter().cycle() {
            if started.elapsed() >= request.timeout {
                break;
            }
            match self.attempt(*entry, request, None).await {
                Attempt::Refused(_, Some(ticket)) => return Some(ticket),
                Attempt::Refused(problem, None) => {
                    tokio::time::sleep(Duration::from_millis(problem.retry_after_ms)).await;
                }
                Attempt::Answered(_) | Attempt::Lost => {}
            }
        }
        None
    }

    async fn attempt(
        &self,
        entry: SocketAddr,
        request: &CallerRequest,
        ticket: Option<&str>,
    ) -> Attempt {
        let Some(http_request) = build_http_request(entry, request, ticket) else {
            return Attempt::Lost;
        };
        let Ok(response) = self.client.request(http_request).await else {
            return Attempt::Lost;
        };
        let status = response.status();
        let issued = header(response.headers(), caller_api::TICKET);
        let Ok(body) = response.into_body().collect().await else {
            return Attempt::Lost;
        };
        let body = body.to_bytes();
        if status.is_success() {
            return match serde_json::from_slice(&body) {
                Ok(echo) => Attempt::Answered(echo),
                Err(_) => Attempt::Lost,
            };
        }
        match serde_json::from_slice(&body) {
            Ok(problem) => Attempt::Refused(problem, issued),
            Err(_) => Attempt::Lost,
        }
    }

    /// Sends one HTTP request and reads the response whole. Returns its status, or `None` when the
    /// connection failed.
    pub async fn send_once(&self, request: Request<Full<Bytes>>) -> Option<u16> {
        let response = self.client.request(request).await.ok()?;
        let status = response.status().as_u16();
        response.into_body().collect().await.ok()?;
        Some(status)
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Builds the HTTP request for one attempt. Returns `None` when a header or the URI is invalid.
#[must_use]
pub fn build_http_request(
    entry: SocketAddr,
    request: &CallerRequest,
    ticket: Option<&str>,
) -> Option<Request<Full<Bytes>>> {
    let CallerRequest {
        service,
        operation,
        id,
        ..
    } = request;
    let method = if request.body.is_some() {
        Method::POST
    } else {
        Method::GET
    };
    let mut builder = Request::builder().method(method).uri(format!(
        "http://{entry}/v1/{service}/{operation}?request={id}"
    ));
    let headers = [
        (caller_api::CUSTOMER, request.customer.as_deref()),
        (caller_api::KEY, request.key.as_deref()),
        (caller_api::TICKET, ticket),
    ];
    for (name, value) in headers {
        if let Some(value) = value {
            builder = builder.header(name, value);
        }
    }
    if let Some(deadline) = request.deadline_ms {
        builder = builder.header(caller_api::DEADLINE, deadline);
    }
    builder
        .body(Full::new(Bytes::from(
            request.body.clone().unwrap_or_default(),
        )))
        .ok()
}
