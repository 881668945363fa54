//! Frames that processes of the deployment exchange.
//!
//! A frame is its length as a big-endian `u32`, then its postcard encoding, in which fields and
//! variants are identified by their position. Bytes that follow the encoding are ignored, so that a
//! `Hello` can end with the [`Features`] of its sender: a process receives frames and variants added
//! later only if it has announced that it decodes them, as processes of two versions run side by
//! side during an upgrade.

mod codec;
mod features;
mod request;
mod status;

use bytes::Bytes;
use platform::store::{RequestError, StoreRequest, StoreResponse};
use quarantine::exits::Exits;
use serde::{Deserialize, Serialize};
use shards::assignment::{Assignment, Change};
use shards::manager::KeyClaim;
use shards::revision::{Revision, StoreEra};
use world::name::{MachineName, ServiceName, ZoneName};

use crate::departures::Departure;
use crate::suspects::CrashReport;

pub use codec::{FrameError, MAX_FRAME_BYTES, check_length, decode, encode, encode_part_prefix};
pub use features::Features;
pub use request::{
    ForwardedRequest, ForwardedResponse, LoadReport, LossCause, RejectReason, RequestOutcome,
    pack_headers, unpack_headers,
};
pub use status::{BackEndStatus, NodeStatus, StatusUpdate};

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
        /// Its version.
        version: u64,
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
        revision: Revision,
        /// The assignment.
        assignment: Box<Assignment>,
    },
    /// The change that a write made to an assignment.
    AssignmentChange {
        /// The service.
        service: ServiceName,
        /// Revision before the write.
        base: Revision,
        /// Revision after it.
        revision: Revision,
        /// The change.
        change: Box<Change>,
    },
    /// Requests the assignments of which the receiver has a newer revision than the sender.
    AssignmentsRequest {
        /// Revisions that the sender has.
        known: Vec<(ServiceName, Revision)>,
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
        /// Its result; also decoded by processes that know no era, which comes last.
        result: Result<StoreResponse, RequestError>,
    },
    /// Crashes attributed to requests, and suspects that were cleared.
    CrashReports(Vec<CrashReport>),
    /// The same, each with the back ends that exited.
    CrashReportsWithExits(Vec<(CrashReport, Exits)>),
    /// Change of the sender's status; the rest of it is as in its last `Hello` on this connection.
    StatusUpdate(StatusUpdate),
    /// The keys that a machine holds since the earlier era of the store, for the other machines of its
    /// service.
    KeyClaim {
        /// The machine.
        machine: MachineName,
        /// The service of its back end.
        service: ServiceName,
        /// The era in which it claims them.
        era: StoreEra,
        /// The keys, and its entry in the assignment.
        claim: Box<KeyClaim>,
    },
    /// The latest era of the store that the sender knows.
    StoreEra(StoreEra),
    /// Back ends of a machine that have said that they leave: from its process, or to its next one.
    Departures {
        /// The machine.
        machine: MachineName,
        /// What its process knew last.
        departures: Vec<Departure>,
    },
    /// The zones that the operator has evacuated, as the sender knows them.
    Evacuations {
        /// Revision of the store at which they were listed.
        revision: Revision,
        /// The zones.
        zones: Vec<ZoneName>,
    },
    /// A request whose body follows in parts under its id.
    LargeRequest {
        /// The request, with an empty body.
        request: Box<ForwardedRequest>,
        /// Length of the body in bytes.
        body_bytes: u64,
    },
    /// Outcome of a request, whose response's body follows in parts under its id.
    LargeResponse {
        /// The sender's id of the request.
        id: u64,
        /// The outcome, whose response has an empty body.
        outcome: RequestOutcome,
        /// Current load of the back end.
        load: LoadReport,
        /// Length of the body in bytes.
        body_bytes: u64,
    },
    /// The next bytes of a body.
    BodyPart {
        /// Id of the request.
        id: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The operator's configuration, compressed by [`crate::packed`].
    PackedCatalog {
        /// Its version.
        version: u64,
        /// Revision at which the sender knows it to be stored.
        revision: Revision,
        /// The document as compressed JSON.
        document: Bytes,
    },
}
