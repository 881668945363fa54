//! Events of the control thread.

use std::net::SocketAddr;

use ownership::heartbeat::{CoordinatorRef, Request};
use ownership::record::WitnessRef;
use ownership::witness::{ConfirmRequest, EndorseRequest};
use peers::wire::{CloseReply, HeartbeatReply, ListsDocument};
use store::client::{Object, PutOutcome, StoreError};
use tokio::sync::oneshot;
use world::instant::BootInstant;
use world::key::Term;
use world::machine::BackEnd;
use world::name::MachineName;

use crate::control::handover::Opening;
use crate::status::Status;

/// What a write of the cell's record was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteKind {
    /// To take the term over.
    TakeOver,
    /// To renew the coordinator's authority.
    Renewal,
    /// To give the term up.
    Resignation,
}

/// Result of reading the cell's record.
#[derive(Debug)]
pub struct RecordRead {
    /// What the store answered.
    pub result: Result<Option<Object>, StoreError>,
}

/// Result of writing the cell's record.
#[derive(Debug)]
pub struct RecordWritten {
    /// What the write was for.
    pub kind: WriteKind,
    /// Number of the write.
    pub write_id: u64,
    /// What the store answered.
    pub result: Result<PutOutcome, StoreError>,
}

/// Something for the control thread to act on.
#[derive(Debug)]
pub enum Event {
    /// A member's heartbeat.
    Heartbeat {
        /// The heartbeat.
        request: Request,
        /// Newer lists than the coordinator knew.
        lists: Option<ListsDocument>,
        /// Where the answer goes.
        reply: oneshot::Sender<HeartbeatReply>,
    },
    /// A coordinator announces its term.
    Adopt {
        /// Its cell.
        cell: String,
        /// The coordinator.
        coordinator: CoordinatorRef,
        /// Gets the highest term known here.
        reply: oneshot::Sender<Term>,
    },
    /// A coordinator asks for a witness's confirmation.
    Confirm {
        /// Its cell.
        cell: String,
        /// What it asks.
        request: ConfirmRequest,
        /// Gets whether the term is confirmed.
        reply: oneshot::Sender<bool>,
    },
    /// A successor asks for the promise never to confirm or hold a term again.
    Close {
        /// Its cell.
        cell: String,
        /// The term to close.
        term: Term,
        /// Gets the answer.
        reply: oneshot::Sender<CloseReply>,
    },
    /// A candidate asks to be endorsed.
    Endorse {
        /// Its cell.
        cell: String,
        /// What it asks.
        request: EndorseRequest,
        /// Gets whether it is endorsed.
        reply: oneshot::Sender<bool>,
    },
    /// A witness endorsed this daemon's candidacy.
    Endorsed {
        /// The witness.
        name: MachineName,
        /// The acting term.
        term: Term,
    },
    /// A witness confirmed this daemon's term.
    Confirmed {
        /// The witness.
        witness: WitnessRef,
        /// When it was asked.
        sent: BootInstant,
        /// Number of the pledge's state that it was told.
        number: u64,
    },
    /// A machine has closed an earlier term.
    Closed {
        /// The machine.
        name: MachineName,
        /// The term.
        term: Term,
        /// True when it held the term and no witness can act on a pledge of it.
        unpledged: bool,
    },
    /// The answer to this daemon's heartbeat.
    HeartbeatDone {
        /// When the heartbeat was sent.
        sent: BootInstant,
        /// Released shards that it reported.
        reported: usize,
        /// The answer, or what went wrong.
        result: Result<HeartbeatReply, String>,
    },
    /// The cell's record was read.
    RecordRead(RecordRead),
    /// The cell's record was written.
    RecordWritten(RecordWritten),
    /// The coordinator's watch has read the lists.
    ListsRead(ListsDocument),
    /// An operator's tool tells of accepted lists.
    ListsAccepted(ListsDocument),
    /// The back end announced itself.
    Announced {
        /// The back end.
        back_end: BackEnd,
        /// Where it takes requests.
        address: SocketAddr,
    },
    /// The daemons that released some granted shards have answered.
    OrdersTaken(Vec<Opening>),
    /// The back end refused a connection.
    BackEndRefused,
    /// An operator asks for the status.
    Status(oneshot::Sender<Status>),
    /// The daemon is to stop; answered once it holds nothing.
    Stop(oneshot::Sender<()>),
}
