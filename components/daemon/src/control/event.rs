//! Events that the control thread handles one after the other.

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

use crate::control::handover::GrantedShard;
use crate::status::Status;

/// Purpose of a write of the cell's record.
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
    /// Result from the store.
    pub result: Result<Option<Object>, StoreError>,
}

/// Result of writing the cell's record.
#[derive(Debug)]
pub struct RecordWritten {
    /// Purpose of the write.
    pub kind: WriteKind,
    /// Random number in the written record, by which a later read recognises this write.
    pub write_id: u64,
    /// Result from the store.
    pub result: Result<PutOutcome, StoreError>,
}

/// Input of the control thread.
#[derive(Debug)]
pub enum Event {
    /// A member's heartbeat.
    Heartbeat {
        /// The heartbeat.
        request: Request,
        /// Lists that the coordinator has asked the member for.
        lists: Option<ListsDocument>,
        /// Receives the reply.
        reply: oneshot::Sender<HeartbeatReply>,
    },
    /// A coordinator announces its term.
    Adopt {
        /// Its cell.
        cell: String,
        /// The coordinator.
        coordinator: CoordinatorRef,
        /// Receives the highest term known to this daemon.
        reply: oneshot::Sender<Term>,
    },
    /// A coordinator asks this daemon, one of its witnesses, to confirm its term.
    Confirm {
        /// Its cell.
        cell: String,
        /// The request.
        request: ConfirmRequest,
        /// Receives whether the term is confirmed.
        reply: oneshot::Sender<bool>,
    },
    /// A successor asks this daemon never to confirm or hold a term again.
    Close {
        /// Its cell.
        cell: String,
        /// The term to close.
        term: Term,
        /// Receives the reply.
        reply: oneshot::Sender<CloseReply>,
    },
    /// A candidate asks to be endorsed.
    Endorse {
        /// Its cell.
        cell: String,
        /// The request.
        request: EndorseRequest,
        /// Receives whether the candidate is endorsed.
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
        /// When the request was sent.
        sent: BootInstant,
        /// Number of the pledge notice in the request.
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
    /// This daemon's heartbeat was answered or failed.
    HeartbeatDone {
        /// When the heartbeat was sent.
        sent: BootInstant,
        /// Number of released shards that the heartbeat reported.
        released_count: usize,
        /// The reply, or a description of the error.
        result: Result<HeartbeatReply, String>,
    },
    /// The cell's record was read.
    RecordRead(RecordRead),
    /// The cell's record was written.
    RecordWritten(RecordWritten),
    /// The coordinator's watch has read the lists.
    ListsRead(ListsDocument),
    /// An operator's tool reports lists that the store has accepted.
    ListsAccepted(ListsDocument),
    /// The back end announced itself.
    Announced {
        /// The back end.
        back_end: BackEnd,
        /// Address on which it accepts requests.
        address: SocketAddr,
    },
    /// The call for the orders of granted shards has ended; shards without orders are included.
    OrdersTaken(Vec<GrantedShard>),
    /// The back end refused a connection.
    BackEndRefused,
    /// An operator asks for the status.
    Status(oneshot::Sender<Status>),
    /// The daemon is to shut down. Answered once its shards are released or the stop timeout has
    /// passed.
    Stop(oneshot::Sender<()>),
}
