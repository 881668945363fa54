//! A caller as the callers' page describes it: takes tickets, repeats when told to.

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

/// Attempts after which a caller gives up.
const MAX_ATTEMPTS: u32 = 60;

/// Longest wait between two attempts.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wish {
    /// Number of the request, echoed by the back end.
    pub request: String,
    /// The customer; none leaves the header out.
    pub customer: Option<String>,
    /// The service.
    pub service: String,
    /// The operation.
    pub operation: String,
    /// The key.
    pub key: Option<String>,
    /// A ticket to start with.
    pub ticket: Option<String>,
    /// The body; none sends a GET.
    pub body: Option<String>,
    /// Deadline in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Time after which the caller stops repeating.
    pub patience: Duration,
}

impl From<&RequestLine> for Wish {
    fn from(line: &RequestLine) -> Self {
        Self {
            request: line.id.clone(),
            customer: line.customer.clone(),
            service: line.service.clone(),
            operation: line.operation.clone(),
            key: line.key.clone(),
            ticket: line.ticket.clone(),
            body: line.body.clone(),
            deadline_ms: None,
            patience: Duration::from_millis(line.patience_ms),
        }
    }
}

/// How a wish ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A back end's answer came whole.
    Answered(Echo),
    /// The last answer was an error.
    Refused(Problem),
    /// The last attempt got no answer, or one cut short.
    Lost,
}

/// What a caller knows at the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the first attempt to the end.
    pub took: Duration,
    /// Attempts made.
    pub attempts: u32,
    /// The last ticket used.
    pub ticket: Option<String>,
    /// True when any attempt ended without proof that it did not run.
    pub doubtful: bool,
}

/// A stand-in back end's answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Echo {
    /// Number of the request.
    pub request: String,
    /// Customer.
    pub customer: String,
    /// Key in hexadecimal.
    pub key: String,
    /// Operation.
    pub operation: String,
    /// Number of requests that took effect for the key.
    pub count: u64,
    /// Body of the request.
    pub body: String,
}

/// An error answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Problem {
    /// Code of the error kind.
    pub error: String,
    /// Whether the request ran: `no`, `unknown` or `yes`.
    pub ran: String,
    /// What to do next.
    pub advice: String,
    /// When to come again, in milliseconds.
    pub retry_after_ms: u64,
}

/// Calls daemons over pooled connections.
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
    Refused(Problem, Option<String>),
    Lost,
}

impl Caller {
    /// A caller without connections.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Pursues a wish at the given daemons, going on to the next one after a lost attempt.
    pub async fn pursue(&self, entries: &[SocketAddr], wish: &Wish) -> Report {
        let started = Instant::now();
        let mut ticket = wish.ticket.clone();
        let mut doubtful = false;
        let mut attempts = 0;
        loop {
            let entry = entries[attempts as usize % entries.len()];
            attempts += 1;
            let attempt = self.attempt(entry, wish, ticket.as_deref()).await;
            let late = started.elapsed() >= wish.patience || attempts >= MAX_ATTEMPTS;
            let wait = match &attempt {
                Attempt::Answered(_) => None,
                Attempt::Refused(problem, Some(issued)) if problem.error == "ticket-required" => {
                    ticket = Some(issued.clone());
                    Some(Duration::ZERO)
                }
                Attempt::Refused(problem, _) => {
                    doubtful |= problem.ran == "unknown";
                    let repeat = problem.advice == "repeat";
                    repeat.then(|| Duration::from_millis(problem.retry_after_ms.max(1)))
                }
                Attempt::Lost => {
                    doubtful = true;
                    Some(Duration::from_millis(20))
                }
            };
            let outcome = match (wait, attempt) {
                (Some(wait), _) if !late => {
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
                doubtful,
            };
        }
    }

    /// Takes a ticket for an order, without sending the order with it.
    pub async fn ticket(&self, entries: &[SocketAddr], wish: &Wish) -> Option<String> {
        let started = Instant::now();
        for entry in entries.iter().cycle() {
            if started.elapsed() >= wish.patience {
                break;
            }
            match self.attempt(*entry, wish, None).await {
                Attempt::Refused(_, Some(ticket)) => return Some(ticket),
                Attempt::Refused(problem, None) => {
                    tokio::time::sleep(Duration::from_millis(problem.retry_after_ms)).await;
                }
                Attempt::Answered(_) | Attempt::Lost => {}
            }
        }
        None
    }

    async fn attempt(&self, entry: SocketAddr, wish: &Wish, ticket: Option<&str>) -> Attempt {
        let Some(request) = build(entry, wish, ticket) else {
            return Attempt::Lost;
        };
        let Ok(response) = self.client.request(request).await else {
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

    /// Sends one request and returns the status, for load measurements.
    pub async fn probe(&self, request: Request<Full<Bytes>>) -> Option<u16> {
        let response = self.client.request(request).await.ok()?;
        let status = response.status().as_u16();
        response.into_body().collect().await.ok()?;
        Some(status)
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Builds the HTTP request of a wish.
#[must_use]
pub fn build(entry: SocketAddr, wish: &Wish, ticket: Option<&str>) -> Option<Request<Full<Bytes>>> {
    let Wish {
        service,
        operation,
        request,
        ..
    } = wish;
    let method = if wish.body.is_some() {
        Method::POST
    } else {
        Method::GET
    };
    let mut builder = Request::builder().method(method).uri(format!(
        "http://{entry}/v1/{service}/{operation}?request={request}"
    ));
    let headers = [
        (caller_api::CUSTOMER, wish.customer.as_deref()),
        (caller_api::KEY, wish.key.as_deref()),
        (caller_api::TICKET, ticket),
    ];
    for (name, value) in headers {
        if let Some(value) = value {
            builder = builder.header(name, value);
        }
    }
    if let Some(deadline) = wish.deadline_ms {
        builder = builder.header(caller_api::DEADLINE, deadline);
    }
    builder
        .body(Full::new(Bytes::from(
            wish.body.clone().unwrap_or_default(),
        )))
        .ok()
}
