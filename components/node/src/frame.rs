//! Frames that processes of the deployment exchange.
//!
//! A frame is its length as a big-endian `u32`, then its postcard encoding, in which fields and
//! variants are identified by their position. Bytes that follow the encoding are ignored, so that a
//! `Hello` can end with the [`Features`] of its sender: a process receives frames and variants added
//! later only if it has announced that it decodes them, as processes of two versions run side by
//! side during an upgrade.

use std::net::SocketAddr;
use std::time::Duration;

use balance::choice::Load;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http1::headers::Headers;
use platform::store::{RequestError, StoreRequest, StoreResponse};
use quarantine::exits::Exits;
use serde::{Deserialize, Serialize};
use shards::assignment::{Assignment, Change};
use shards::incarnation::BackEndIncarnation;
use shards::lease::Lease;
use snafu::{ResultExt, Snafu, ensure};
use world::name::{MachineName, RegionName, ServiceName, ZoneName};

use crate::suspects::CrashReport;

/// Maximum length of an encoded frame: room for a body of 64 MiB, the default limit, and the rest.
const MAX_FRAME_BYTES: usize = 80 << 20;
/// Size of the length prefix.
const LENGTH_BYTES: usize = 4;

/// One message between two processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Status of the sender; sent first and on every change.
    Hello(Box<NodeStatus>),
    /// A request for the receiver's back end.
    Request(Box<ForwardedRequest>),
    /// Outcome of a request.
    Response {
        /// The sender's id of the request.
        id: u64,
        /// Its outcome.
        outcome: RequestOutcome,
        /// Current load of the back end.
        load: LoadReport,
    },
    /// Cancels a request, as its caller no longer waits for it.
    Cancel {
        /// The sender's id of the request.
        id: u64,
    },
    /// Probes whether the receiver responds.
    Ping {
        /// The sender's id of the probe, 0 if its round trip is not measured.
        probe: u64,
    },
    /// Response to a ping.
    Pong {
        /// Id from the ping.
        probe: u64,
    },
    /// The operator's configuration.
    Catalog {
        /// Revision of the stored object.
        revision: u64,
        /// The document as JSON.
        document: Vec<u8>,
    },
    /// Requests the configuration.
    CatalogRequest,
    /// The assignment of keys of a service.
    Assignment {
        /// The service.
        service: ServiceName,
        /// Revision of the stored object.
        revision: u64,
        /// The assignment.
        assignment: Box<Assignment>,
    },
    /// The change that a write made to an assignment.
    AssignmentChange {
        /// The service.
        service: ServiceName,
        /// Revision before the write.
        base: u64,
        /// Revision after it.
        revision: u64,
        /// The change.
        change: Box<Change>,
    },
    /// Requests the assignments of which the receiver has a newer revision than the sender.
    AssignmentsRequest {
        /// Revisions that the sender has.
        known: Vec<(ServiceName, u64)>,
    },
    /// A request to the store that the receiver sends on behalf of the sender.
    StoreRequest {
        /// The sender's id of the request.
        id: u64,
        /// The request.
        request: StoreRequest,
    },
    /// Result of a store request.
    StoreResponse {
        /// Id of the request.
        id: u64,
        /// Its result.
        result: Result<StoreResponse, RequestError>,
    },
    /// Crashes attributed to requests, and suspects that were cleared.
    CrashReports(Vec<CrashReport>),
    /// The same, each with the back ends that exited.
    CrashReportsWithExits(Vec<(CrashReport, Exits)>),
    /// Change of the sender's status; the rest of it is as in its last `Hello` on this connection.
    StatusUpdate(StatusUpdate),
}

/// What a process decodes beyond the frames that all versions have in common.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// [`Frame::CrashReports`], [`RejectReason::Blocked`], [`RejectReason::Isolated`] and
    /// [`RejectReason::TurnedAway`].
    pub crash_reports: bool,
    /// [`Frame::CrashReportsWithExits`].
    pub crash_exits: bool,
    /// [`Frame::StatusUpdate`].
    pub status_updates: bool,
}

impl Features {
    /// Features of this version.
    pub const SUPPORTED: Self = Self {
        crash_reports: true,
        crash_exits: true,
        status_updates: true,
    };
    const CRASH_REPORTS_BIT: u32 = 1;
    const CRASH_EXITS_BIT: u32 = 1 << 1;
    const STATUS_UPDATES_BIT: u32 = 1 << 2;

    fn encode(self) -> Result<Vec<u8>, postcard::Error> {
        let flags = [
            (self.crash_reports, Self::CRASH_REPORTS_BIT),
            (self.crash_exits, Self::CRASH_EXITS_BIT),
            (self.status_updates, Self::STATUS_UPDATES_BIT),
        ];
        let set = flags.iter().filter(|(is_set, _)| *is_set);
        let bits: u32 = set.map(|(_, bit)| bit).sum();
        postcard::to_stdvec(&bits)
    }

    /// Decodes the bytes that follow a `Hello`, none from a version without features.
    fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let bits: u32 = postcard::from_bytes(bytes)?;
        Ok(Self {
            crash_reports: bits & Self::CRASH_REPORTS_BIT != 0,
            crash_exits: bits & Self::CRASH_EXITS_BIT != 0,
            status_updates: bits & Self::STATUS_UPDATES_BIT != 0,
        })
    }
}

/// Status of a process and its back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the machine.
    pub machine: MachineName,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Service of its back end.
    pub service: ServiceName,
    /// Address for connections of peers.
    pub address: SocketAddr,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Version of the status; rises with each change.
    pub version: u64,
    /// The back end, if it takes requests.
    pub back_end: Option<BackEndStatus>,
    /// Revision and content of the machine's lease.
    pub lease: Option<(u64, Lease)>,
    /// Revision of the newest configuration that the process has, 0 for none.
    pub catalog_revision: u64,
    /// Whether the process reaches the store.
    pub store_reachable: bool,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// Offered load of the back end in eighths of its capacity; 0 for a service that is not divided
    /// by key.
    pub utilization_eighths: u32,
    /// What the process decodes; follows the encoded frame.
    #[serde(skip)]
    pub features: Features,
}

/// The part of a [`NodeStatus`] that changes often, a fifth of its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    /// Version of the status after the change.
    pub version: u64,
    /// See [`NodeStatus::lease`].
    pub lease: Option<(u64, Lease)>,
    /// See [`NodeStatus::catalog_revision`].
    pub catalog_revision: u64,
    /// See [`NodeStatus::store_reachable`].
    pub store_reachable: bool,
    /// See [`NodeStatus::utilization_eighths`].
    pub utilization_eighths: u32,
    /// See [`BackEndStatus::cold`]; without meaning if there is no back end.
    pub cold: bool,
}

impl NodeStatus {
    /// Returns the change that leads from `previous` to this status; `None` if they also differ in
    /// what a [`StatusUpdate`] does not contain.
    #[must_use]
    pub fn update_since(&self, previous: &Self) -> Option<StatusUpdate> {
        let update = StatusUpdate {
            version: self.version,
            lease: self.lease,
            catalog_revision: self.catalog_revision,
            store_reachable: self.store_reachable,
            utilization_eighths: self.utilization_eighths,
            cold: self.back_end.as_ref().is_some_and(|b| b.cold),
        };
        (previous.with_update(update) == *self).then_some(update)
    }

    /// Returns the status after a change.
    #[must_use]
    pub fn with_update(&self, update: StatusUpdate) -> Self {
        let mut back_end = self.back_end.clone();
        if let Some(b) = &mut back_end {
            b.cold = update.cold;
        }
        Self {
            back_end,
            version: update.version,
            lease: update.lease,
            catalog_revision: update.catalog_revision,
            store_reachable: update.store_reachable,
            utilization_eighths: update.utilization_eighths,
            ..self.clone()
        }
    }

    /// Returns the status without the lease and utilization, which only machines of its service
    /// need.
    #[must_use]
    pub fn for_other_services(&self) -> Self {
        Self {
            lease: None,
            utilization_eighths: 0,
            ..self.clone()
        }
    }
}

/// A back end that takes requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackEndStatus {
    /// The run of the back end.
    pub incarnation: BackEndIncarnation,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it has just started and is slow.
    pub cold: bool,
}

/// A request that is sent to the machine that runs it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The sender's id of the request; sent again with the same id it runs only once.
    pub id: u64,
    /// Service whose back end must run it.
    pub service: ServiceName,
    /// HTTP method.
    pub method: Bytes,
    /// Path and query.
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
    /// Priority; 0 runs first.
    pub priority: u8,
    /// Class of requests with similar service times: a hash of the route name.
    pub class: u32,
    /// Shard key, if the caller sent one; used only for a service that is divided by key.
    pub key: Option<u16>,
    /// Service of the machine from which the request comes.
    pub caller: ServiceName,
}

impl ForwardedRequest {
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

/// Error of encoding or decoding a frame.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The frame is longer than allowed.
    #[snafu(display("frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"))]
    TooLong {
        /// Length of the frame.
        length: usize,
    },
    /// The frame cannot be encoded or decoded.
    #[snafu(display("frame is malformed: {source}"))]
    Malformed {
        /// The encoder's or decoder's error.
        source: postcard::Error,
    },
}

/// Encodes a frame with its length prefix.
///
/// # Errors
/// Returns `TooLong` if the frame exceeds the maximum length, `Malformed` if it cannot be encoded.
pub fn encode(frame: &Frame) -> Result<Bytes, FrameError> {
    let mut body = postcard::to_stdvec(frame).context(MalformedSnafu)?;
    if let Frame::Hello(status) = frame {
        let features = status.features.encode().context(MalformedSnafu)?;
        body.extend_from_slice(&features);
    }
    let length = body.len();
    ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
    let mut out = BytesMut::with_capacity(LENGTH_BYTES + length);
    out.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    out.extend_from_slice(&body);
    Ok(out.freeze())
}

/// Removes the next frame from `buf` and decodes it; returns `None` until it is complete.
///
/// # Errors
/// Returns an error if the frame is too long or malformed.
pub fn decode(buf: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
    if buf.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
    ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    let body = buf.split_to(length);
    let (mut frame, rest) = postcard::take_from_bytes(&body).context(MalformedSnafu)?;
    if let Frame::Hello(status) = &mut frame {
        status.features = Features::decode(rest).context(MalformedSnafu)?;
    }
    Ok(Some(frame))
}
