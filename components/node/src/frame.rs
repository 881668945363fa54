//! What processes of the system say to each other.

use std::net::SocketAddr;
use std::time::Duration;

use balance::choice::Load;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http1::headers::Headers;
use platform::store::{RequestError, StoreRequest, StoreResponse};
use serde::{Deserialize, Serialize};
use shards::assignment::{Assignment, Change};
use shards::incarnation::BackEndIncarnation;
use shards::lease::Lease;
use snafu::{ResultExt, Snafu, ensure};
use world::name::{MachineName, RegionName, ServiceName, ZoneName};

/// Longest frame in bytes.
const MAX_FRAME_BYTES: usize = 80 << 20;
/// Bytes in front of a frame that tell its length.
const LENGTH_BYTES: usize = 4;

/// One message between two processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Who the sender is; sent first and on every change.
    Hello(Box<NodeStatus>),
    /// A request to run beside the receiver.
    Request(Box<ForwardedRequest>),
    /// What became of a request.
    Answer {
        /// The sender's number of the request.
        id: u64,
        /// What became of it.
        outcome: RequestOutcome,
        /// Load of the back end.
        load: LoadReport,
    },
    /// The caller of this request has left.
    Cancel {
        /// The sender's number of the request.
        id: u64,
    },
    /// Asks for a sign of life.
    Ping {
        /// The sender's number of the probe, 0 for none.
        probe: u64,
    },
    /// The sign of life.
    Pong {
        /// The number of the probe.
        probe: u64,
    },
    /// The operator's configuration.
    Catalog {
        /// Revision of the stored object.
        revision: u64,
        /// The document as JSON.
        document: Vec<u8>,
    },
    /// Asks for the configuration.
    AskCatalog,
    /// An assignment of keys.
    Assignment {
        /// The service.
        service: ServiceName,
        /// Revision of the stored object.
        revision: u64,
        /// The assignment.
        assignment: Box<Assignment>,
    },
    /// What a write has changed in an assignment.
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
    /// Asks for the assignments that the receiver knows and the sender does not.
    AskAssignments {
        /// Revisions that the sender knows.
        known: Vec<(ServiceName, u64)>,
    },
    /// A call to the store to make in the sender's place.
    StoreCall {
        /// The sender's number of the call.
        id: u64,
        /// The call.
        call: StoreRequest,
    },
    /// How that call ended.
    StoreAnswer {
        /// The number of the call.
        id: u64,
        /// How it ended.
        result: Result<StoreResponse, RequestError>,
    },
}

/// A process and the back end beside it.
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
    /// Address for other processes.
    pub address: SocketAddr,
    /// Random number of the process.
    pub incarnation: u64,
    /// Rises with each change.
    pub change: u64,
    /// The back end, if it takes requests.
    pub back_end: Option<BackEndStatus>,
    /// Revision and content of the machine's lease.
    pub lease: Option<(u64, Lease)>,
    /// Revision of the newest configuration that the process knows, 0 for none.
    pub catalog: u64,
    /// Whether the store answers the process.
    pub store: bool,
    /// Whether the process is about to stop.
    pub leaving: bool,
    /// Share of the back end's capacity that is in use, in eighths.
    pub busy: u32,
}

impl NodeStatus {
    /// The member without what only machines of its service need.
    #[must_use]
    pub fn without_holding(&self) -> Self {
        Self {
            lease: None,
            busy: 0,
            ..self.clone()
        }
    }
}

/// A back end that takes requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackEndStatus {
    /// Its boot.
    pub incarnation: BackEndIncarnation,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it has just started and is slow.
    pub cold: bool,
}

/// A request on its way to the machine that runs it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The sender's number of the request; sent again under the same number it runs only once.
    pub id: u64,
    /// Service that must run it.
    pub service: ServiceName,
    /// Method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// Stripped header fields.
    pub headers: Vec<(Bytes, Bytes)>,
    /// Body.
    pub body: Bytes,
    /// The caller's id of the attempt.
    pub request_id: Bytes,
    /// The sender's clock when it sent the request, in milliseconds.
    pub sent_ms: u64,
    /// Time that is left, in milliseconds.
    pub patience_ms: u32,
    /// Whether it has missed its latency target already.
    pub late: bool,
    /// Time within which the answer should be ready, in milliseconds.
    pub target_ms: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Rank; 0 runs first.
    pub priority: u8,
    /// Kind of request, for estimates.
    pub class: u32,
    /// The key, if it has one.
    pub key: Option<u16>,
    /// Service on the machine where the request began.
    pub caller: ServiceName,
}

impl ForwardedRequest {
    /// Takes time that has passed on the way out of what is left.
    pub fn spend(&mut self, late: Duration) {
        let late = u32::try_from(late.as_millis()).unwrap_or(u32::MAX);
        self.patience_ms = self.patience_ms.saturating_sub(late);
        self.target_ms = self.target_ms.saturating_sub(late);
    }
}

/// What became of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The back end's answer.
    Response(Box<ForwardedResponse>),
    /// It has not run and will not run.
    NotRun {
        /// Why.
        reason: RejectReason,
        /// Time after which it may fare better, in milliseconds.
        retry_ms: u32,
    },
    /// It may have run; there is no answer.
    Lost(LossCause),
}

/// A back end's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedResponse {
    /// Status.
    pub status: u16,
    /// Header fields that concern no connection.
    pub headers: Vec<(Bytes, Bytes)>,
    /// Body.
    pub body: Bytes,
}

/// Why a request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// There is no room in time.
    Full,
    /// The way to the back end is too full.
    Delayed,
    /// It could no longer end in time.
    Expired,
    /// There is no back end, or it leaves.
    NoBackEnd,
    /// The back end does not hold the key.
    NotHolder,
    /// The back end itself refused it.
    BackEndRefused,
    /// The back end could not be reached.
    Unreachable,
}

/// How an answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LossCause {
    /// The connection to the back end ended early.
    Cut,
    /// The bytes were no proper answer.
    Spoilt,
    /// No answer came in time.
    TimedOut,
    /// The connection to the machine was lost.
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
    /// Mean time that a request takes, in microseconds; 0 if none has ended yet.
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

/// Header fields as they travel.
#[must_use]
pub fn pack_fields(headers: &Headers) -> Vec<(Bytes, Bytes)> {
    headers
        .iter()
        .map(|f| (f.name.clone(), f.value.clone()))
        .collect()
}

/// Header fields as they arrived.
#[must_use]
pub fn unpack_fields(packed: Vec<(Bytes, Bytes)>) -> Headers {
    let mut headers = Headers::default();
    for (name, value) in packed {
        headers.push(name, value);
    }
    headers
}

/// Why bytes are no frame.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The frame is longer than allowed.
    #[snafu(display("frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"))]
    TooLong {
        /// Announced length.
        length: usize,
    },
    /// The frame cannot be decoded.
    #[snafu(display("frame is malformed: {source}"))]
    Malformed {
        /// Why.
        source: postcard::Error,
    },
}

/// Encodes a frame with its length in front.
///
/// # Errors
/// Fails if the frame is too long.
pub fn encode(frame: &Frame) -> Result<Bytes, FrameError> {
    let body = postcard::to_stdvec(frame).context(MalformedSnafu)?;
    let length = body.len();
    ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
    let mut out = BytesMut::with_capacity(LENGTH_BYTES + length);
    out.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    out.extend_from_slice(&body);
    Ok(out.freeze())
}

/// Takes the next whole frame out of `buf`, if it is there.
///
/// # Errors
/// Fails if the bytes are no frame.
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
    postcard::from_bytes(&body)
        .map(Some)
        .context(MalformedSnafu)
}
