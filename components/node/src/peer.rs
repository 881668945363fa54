//! The process on another machine: what it has announced, and the requests in flight to it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use admission::slowness::Slowness;
use platform::message;
use platform::store::{RequestError, StoreRequest, StoreResponse};
use shards::revision::StoreEra;
use timer::{BootClock, Clock};
use tokio::sync::oneshot;
use world::instant::BootInstant;
use world::name::MachineName;

use crate::departures::Departure;
use crate::failure_rate::FailureRate;
use crate::frame::{
    Features, ForwardedRequest, Frame, LoadReport, LossCause, NodeStatus, RejectReason,
    RequestOutcome, StatusUpdate,
};
use crate::frame_stream::FrameSender;
use crate::outgoing::Outgoing;
use crate::suspects::{self, CrashReport};

/// Channel to the waiter for the result of an in-flight request.
enum Pending {
    Request(oneshot::Sender<RequestOutcome>),
    StoreRequest(oneshot::Sender<Result<StoreResponse, RequestError>>),
}

/// The process on another machine, with the connection to it.
pub struct Peer {
    /// Its machine.
    pub machine: MachineName,
    address: Cell<SocketAddr>,
    status: RefCell<Option<NodeStatus>>,
    sender: RefCell<Option<FrameSender>>,
    pending: RefCell<HashMap<u64, Pending>>,
    next_id: Cell<u64>,
    link_changed_at: Cell<BootInstant>,
    last_received: Cell<BootInstant>,
    lease_received_at: Cell<BootInstant>,
    load: Cell<Option<(LoadReport, BootInstant)>>,
    /// How many times slower than usual its back end says in responses that its machine is.
    slowness: Cell<Slowness>,
    failure_rate: FailureRate,
    /// Departures of which its process has told; they outlast it.
    departures: RefCell<Vec<Departure>>,
    /// Incarnation of its process that knows of `departures`.
    departures_known_by: Cell<u64>,
}

impl Peer {
    /// Creates a peer to which no connection has been opened.
    #[must_use]
    pub fn new(machine: MachineName, address: SocketAddr) -> Self {
        let now = BootClock.now();
        Self {
            machine,
            address: Cell::new(address),
            status: RefCell::default(),
            sender: RefCell::default(),
            pending: RefCell::default(),
            next_id: Cell::new(0),
            link_changed_at: Cell::new(now),
            last_received: Cell::new(now),
            lease_received_at: Cell::new(now),
            load: Cell::new(None),
            slowness: Cell::default(),
            failure_rate: FailureRate::default(),
            departures: RefCell::default(),
            departures_known_by: Cell::new(0),
        }
    }

    /// Records the open connection, once the peer's `Hello` has identified it; requests are sent
    /// over it from then on.
    ///
    /// Returns whether the peer was not connected before.
    pub(crate) fn on_connected(&self, sender: &FrameSender) -> bool {
        if self.is_connected() {
            return false;
        }
        *self.sender.borrow_mut() = Some(sender.clone());
        self.link_changed_at.set(BootClock.now());
        log::info!(event = "link-open", machine = self.machine.as_str(); "");
        true
    }

    /// Returns the address of its process.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Returns when bytes were last received from it, or the connection was opened.
    #[must_use]
    pub fn last_received(&self) -> BootInstant {
        self.last_received.get()
    }

    /// Records that bytes have been received, or the connection opened.
    pub(crate) fn on_received(&self, now: BootInstant) {
        self.last_received.set(now);
    }

    /// Returns whether the connection to it is open.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.sender.borrow().is_some()
    }

    /// Returns when the connection was last opened or lost.
    #[must_use]
    pub fn link_changed_at(&self) -> BootInstant {
        self.link_changed_at.get()
    }

    /// Returns its last announced status; `None` before the first one.
    #[must_use]
    pub fn status(&self) -> Option<NodeStatus> {
        self.status.borrow().clone()
    }

    /// Calls `read` with its last announced status; returns `None` before the first one.
    pub fn with_status<R>(&self, read: impl FnOnce(&NodeStatus) -> R) -> Option<R> {
        self.status.borrow().as_ref().map(read)
    }

    /// Returns the incarnation of its process, 0 if it is not known.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.with_status(|s| s.incarnation).unwrap_or(0)
    }

    /// Returns when the current revision of its lease was first received.
    #[must_use]
    pub fn lease_received_at(&self) -> BootInstant {
        self.lease_received_at.get()
    }

    /// Returns the last load report and when it was received.
    #[must_use]
    pub fn load(&self) -> Option<(LoadReport, BootInstant)> {
        let factor = self.slowness.get().factor(BootClock.now());
        let report = self.load.get();
        report.map(|(load, at)| (load.slowed(factor), at))
    }

    /// Returns the number of requests sent to it that have no response yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Returns the failure rate of requests to its back end.
    #[must_use]
    pub fn failure_rate(&self) -> &FailureRate {
        &self.failure_rate
    }

    /// Records its announced status; returns false if it is not newer than the last one.
    pub fn update(&self, status: NodeStatus) -> bool {
        let mut current = self.status.borrow_mut();
        if let Some(old) = current.as_ref() {
            if old.incarnation == status.incarnation && old.version >= status.version {
                return false;
            }
            if old.incarnation != status.incarnation {
                self.failure_rate.reset();
                self.load.set(None);
            }
        }
        let old_lease = current.as_ref().and_then(|s| s.lease);
        if old_lease != status.lease {
            self.lease_received_at.set(BootClock.now());
        }
        self.address.set(status.address);
        *current = Some(status);
        true
    }

    /// Records a change of the status of its process; returns false if it is not newer than the last
    /// one or concerns an earlier process.
    pub fn apply_update(&self, incarnation: u64, update: StatusUpdate) -> bool {
        let current = self.status().filter(|s| s.incarnation == incarnation);
        current.is_some_and(|s| self.update(s.with_update(update)))
    }

    /// Records its address from the list of members, unless the connection is open.
    pub fn set_listed_address(&self, address: SocketAddr) {
        if !self.is_connected() {
            self.address.set(address);
        }
    }

    /// Sends a frame; returns false if the connection is closed or the frame cannot be encoded.
    pub fn send(&self, frame: &Frame) -> bool {
        match self.sender.borrow().as_ref() {
            Some(sender) => sender.send(frame),
            None => false,
        }
    }

    /// Returns what its process decodes; nothing before its first status.
    #[must_use]
    pub fn features(&self) -> Features {
        self.with_status(|s| s.features).unwrap_or_default()
    }

    /// Sends reports of crashes, if there are any and its process decodes them.
    pub fn send_crashes(&self, reports: &[CrashReport]) {
        if let Some(frame) = suspects::report_frame(reports, self.features()) {
            self.send(&frame);
        }
    }

    /// Tells its process of the era of the store, if it decodes that.
    pub(crate) fn send_store_era(&self, era: StoreEra) {
        if self.features().store_eras {
            self.send(&Frame::StoreEra(era));
        }
    }

    /// Sends the set of evacuated zones if it decodes it.
    pub(crate) fn send_evacuations(&self, frame: &Frame) {
        if self.features().evacuations {
            self.send(frame);
        }
    }

    /// Tells its process of the departures of a machine, if it decodes that.
    pub(crate) fn send_departures(&self, machine: &MachineName, departures: &[Departure]) {
        if self.features().departures {
            self.send(&Frame::Departures {
                machine: machine.clone(),
                departures: departures.to_vec(),
            });
        }
    }

    /// Remembers the departures of which its process has told.
    pub(crate) fn on_departures(&self, departures: Vec<Departure>) {
        *self.departures.borrow_mut() = departures;
        self.departures_known_by.set(self.incarnation());
    }

    /// Returns the departures of which an earlier run of its process has told, once for each run.
    pub(crate) fn departures_to_return(&self) -> Vec<Departure> {
        let incarnation = self.incarnation();
        let is_known = self.departures_known_by.replace(incarnation) == incarnation;
        if is_known || !self.features().departures {
            return Vec::new();
        }
        self.departures.borrow().clone()
    }

    /// Returns the id for a new request.
    #[must_use]
    pub fn next_id(&self) -> u64 {
        let id = self.next_id.get() + 1;
        self.next_id.set(id);
        id
    }

    /// Sends a request and waits for its outcome.
    ///
    /// Dropping the future cancels the request at the peer.
    pub async fn request(self: &Rc<Self>, request: ForwardedRequest) -> RequestOutcome {
        let id = request.id;
        let link = self.sender.borrow().clone();
        let Some(link) = link else {
            return RequestOutcome::Lost(LossCause::LinkLost);
        };
        let outgoing = match Outgoing::request(request, link.streams()) {
            Ok(outgoing) => outgoing,
            Err(error) => {
                log::error!(event = "frame-not-sent", error:% = error; "");
                return RequestOutcome::NotRun {
                    reason: RejectReason::Unreachable,
                    retry_ms: 0,
                };
            }
        };
        let (sender, receiver) = oneshot::channel();
        self.pending
            .borrow_mut()
            .insert(id, Pending::Request(sender));
        let guard = PendingGuard {
            peer: Rc::clone(self),
            id,
        };
        if !link.send_outgoing(&outgoing) {
            return RequestOutcome::Lost(LossCause::LinkLost);
        }
        drop(outgoing);
        let outcome = receiver.await;
        drop(guard);
        outcome.unwrap_or(RequestOutcome::Lost(LossCause::LinkLost))
    }

    /// Has the peer send a request to the store.
    ///
    /// # Errors
    /// The error states whether the store may have executed the request.
    pub async fn forward_store_request(
        &self,
        request: StoreRequest,
    ) -> Result<StoreResponse, RequestError> {
        let id = self.next_id();
        let (sender, receiver) = oneshot::channel();
        self.pending
            .borrow_mut()
            .insert(id, Pending::StoreRequest(sender));
        if !self.send(&Frame::StoreRequest { id, request }) {
            self.pending.borrow_mut().remove(&id);
            return Err(RequestError::NotExecuted);
        }
        receiver.await.unwrap_or(Err(RequestError::MaybeExecuted))
    }

    pub(crate) fn on_response(&self, id: u64, outcome: RequestOutcome, load: LoadReport) {
        let now = BootClock.now();
        self.load.set(Some((load, now)));
        if let RequestOutcome::Response(response) = &outcome {
            let headers = response.headers.iter().map(|(name, value)| (name, value));
            if let Some(factor) = message::slowness(headers) {
                let mut slowness = self.slowness.get();
                slowness.on_report(factor, now);
                self.slowness.set(slowness);
            }
        }
        match self.pending.borrow_mut().remove(&id) {
            Some(Pending::Request(sender)) => {
                let _ = sender.send(outcome);
            }
            other => {
                log::debug!(event = "late-answer", machine = self.machine.as_str(), id; "");
                drop(other);
            }
        }
    }

    /// Returns whether the request with this id waits for its outcome.
    pub(crate) fn awaits(&self, id: u64) -> bool {
        self.pending.borrow().contains_key(&id)
    }

    /// Cancels a request, also one that has not been sent entirely.
    fn cancel(&self, id: u64) {
        if let Some(sender) = self.sender.borrow().as_ref() {
            sender.stop(id);
            sender.send(&Frame::Cancel { id });
        }
    }

    pub(crate) fn on_store_response(&self, id: u64, result: Result<StoreResponse, RequestError>) {
        if let Some(Pending::StoreRequest(sender)) = self.pending.borrow_mut().remove(&id) {
            let _ = sender.send(result);
        }
    }

    /// Closes the connection and ends all in-flight requests as lost.
    pub(crate) fn disconnect(&self) {
        if self.sender.borrow_mut().take().is_some() {
            self.link_changed_at.set(BootClock.now());
        }
        let lost: Vec<Pending> = self.pending.borrow_mut().drain().map(|(_, p)| p).collect();
        for pending in lost {
            match pending {
                Pending::Request(sender) => {
                    let _ = sender.send(RequestOutcome::Lost(LossCause::LinkLost));
                }
                Pending::StoreRequest(sender) => {
                    let _ = sender.send(Err(RequestError::MaybeExecuted));
                }
            }
        }
    }
}

/// Cancels an in-flight request at the peer when dropped.
struct PendingGuard {
    peer: Rc<Peer>,
    id: u64,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        let in_flight = self.peer.pending.borrow_mut().remove(&self.id).is_some();
        if in_flight {
            self.peer.cancel(self.id);
        }
    }
}
