//! Requests that are forwarded between processes, and their outcomes.

use std::time::Duration;

use admission::rank::Rank;
use balance::choice::Load;
use bytes::Bytes;
use http1::headers::Headers;
use serde::{Deserialize, Serialize};
use world::name::ServiceName;

use super::Features;

/// A request that is sent to the machine that runs it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The sender's id of the request; sent again with the same id it runs only once.
    pub id: u64,
    /// Service whose back end must run it.
    pub service: ServiceName,
    /// HTTP method.
    pub method: Bytes,
    /// Request target as received.
    pub target: Bytes,
    /// Header fields, without those that the forwarding sets or that concern one connection.
    pub headers: Vec<(Bytes, Bytes)>,
    /// Body.
    pub body: Bytes,
    /// The caller's `Request-Id` of the attempt.
    pub request_id: Bytes,
    /// The sender's monotonic clock when it sent the request, in milliseconds.
    pub sent_ms: u64,
    /// Time until the caller's deadline, in milliseconds.
    pub remaining_ms: u32,
    /// Whether it has missed its latency target, as it is a caller's retry.
    pub missed_target: bool,
    /// Time within which the response should be ready, in milliseconds.
    pub target_ms: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Rank as [`Rank::encode`] encodes it. To a process without [`Features::call_ranks`] the priority
    /// alone is sent.
    pub priority: u8,
    /// Class of requests with similar service times: a hash of the route name.
    pub class: u32,
    /// Shard key, if the caller sent one; used only for a service that is divided by key.
    pub key: Option<u16>,
    /// Service of the machine from which the request comes.
    pub caller: ServiceName,
}

impl ForwardedRequest {
    /// Returns the rank of the request.
    #[must_use]
    pub fn rank(&self) -> Rank {
        Rank::decode(self.priority)
    }

    /// Returns the request as a process with these features decodes it.
    #[must_use]
    pub fn for_features(mut self, features: Features) -> Self {
        if !features.call_ranks {
            self.priority = self.rank().priority();
        }
        self
    }

    /// Subtracts the one-way delay of the frame from the remaining time and the target.
    pub fn subtract_delay(&mut self, delay: Duration) {
        let delay = u32::try_from(delay.as_millis()).unwrap_or(u32::MAX);
        self.remaining_ms = self.remaining_ms.saturating_sub(delay);
        self.target_ms = self.target_ms.saturating_sub(delay);
    }
}

/// Outcome of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The back end's response.
    Response(Box<ForwardedResponse>),
    /// It has not run and will not run.
    NotRun {
        /// Reason of the rejection.
        reason: RejectReason,
        /// Time after which a retry may succeed, in milliseconds.
        retry_ms: u32,
    },
    /// It may have run; there is no response.
    Lost(LossCause),
}

impl RequestOutcome {
    /// Sets the body of a response that was received without it.
    pub fn set_body(&mut self, body: Bytes) {
        if let Self::Response(response) = self {
            response.body = body;
        }
    }

    /// Returns the outcome of a request, with a shard key or not, as a process with these features
    /// decodes it.
    #[must_use]
    pub fn for_features(self, features: Features, keyed: bool) -> Self {
        let Self::NotRun { reason, retry_ms } = self else {
            return self;
        };
        let reason = match reason {
            // Both are final.
            RejectReason::Blocked if !features.crash_reports => RejectReason::Expired,
            RejectReason::Isolated if !features.crash_reports => RejectReason::Full,
            RejectReason::TurnedAway if !features.crash_reports && keyed => RejectReason::NotHolder,
            RejectReason::TurnedAway if !features.crash_reports => RejectReason::NoBackEnd,
            RejectReason::WrongRegion if !features.evacuations => RejectReason::NoBackEnd,
            other => other,
        };
        Self::NotRun { reason, retry_ms }
    }
}

/// A back end's response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedResponse {
    /// HTTP status.
    pub status: u16,
    /// Header fields, without the hop-by-hop ones.
    pub headers: Vec<(Bytes, Bytes)>,
    /// Body.
    pub body: Bytes,
}

/// Reason why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// The queue is too long for it to finish in time.
    Full,
    /// Frames queue too long on the links to the back end.
    Delayed,
    /// It can no longer finish before its deadline.
    Expired,
    /// The machine has no back end of the service that takes requests.
    NoBackEnd,
    /// The back end does not hold the shard key: it has no grant for it in force.
    NotHolder,
    /// The back end responded that it did not execute it.
    BackEndRefused,
    /// The back end could not be reached.
    Unreachable,
    /// Too many crashes of back ends are attributed to it.
    Blocked,
    /// The back end runs another request to which crashes are attributed.
    Isolated,
    /// The back end responded that it is another one or does not hold the shard key.
    TurnedAway,
    /// The machine is in no region in which the request may run.
    WrongRegion,
}

/// Reason why there is no response to a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LossCause {
    /// The connection to the back end ended early.
    Cut,
    /// The response is malformed or belongs to another request.
    Spoilt,
    /// The back end did not respond in time.
    TimedOut,
    /// The connection to the peer was lost.
    LinkLost,
}

/// Load of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Mean service time in microseconds; 0 if no request has finished yet.
    pub service_us: u32,
}

impl LoadReport {
    /// Returns the report of a back end that is `factor` times slower.
    #[must_use]
    pub fn slowed(self, factor: f64) -> Self {
        let service_us = (f64::from(self.service_us) * factor).min(f64::from(u32::MAX)) as u32;
        Self { service_us, ..self }
    }
}

impl From<LoadReport> for Load {
    fn from(report: LoadReport) -> Self {
        Load {
            running: report.running,
            waiting: report.waiting,
            slots: report.slots,
            service_time: Duration::from_micros(u64::from(report.service_us)),
        }
    }
}

/// Converts header fields to their form in frames.
#[must_use]
pub fn pack_headers(headers: &Headers) -> Vec<(Bytes, Bytes)> {
    headers
        .iter()
        .map(|f| (f.name.clone(), f.value.clone()))
        .collect()
}

/// Converts header fields from their form in frames.
#[must_use]
pub fn unpack_headers(packed: Vec<(Bytes, Bytes)>) -> Headers {
    let mut headers = Headers::default();
    for (name, value) in packed {
        headers.push(name, value);
    }
    headers
}
