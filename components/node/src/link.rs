//! Connections to peers: frames, reconnects with backoff and detection of unresponsive peers.
//!
//! Each process opens one connection to every peer for its own requests; the peer sends their
//! outcomes over the same connection.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use platform::store::{RequestError, StoreRequest, StoreResponse};
use rand::Rng;
use timer::{BootClock, Clock};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{Notify, mpsc, oneshot};
use world::instant::BootInstant;
use world::name::MachineName;

use crate::failure_rate::FailureRate;
use crate::frame::{
    self, Features, Frame, LoadReport, LossCause, NodeStatus, RequestOutcome, StatusUpdate,
};
use crate::node::Node;
use crate::suspects::{self, CrashReport};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without traffic after which TCP keepalive probes start.
pub(crate) const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// First backoff before a lost connection is opened again.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff before a lost connection is opened again.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// Backoff after another machine than the expected one has answered at the address.
const WRONG_MACHINE_BACKOFF: Duration = Duration::from_secs(10);
/// Time without a frame after which a peer with in-flight requests is pinged.
const PING_IDLE: Duration = Duration::from_millis(350);
/// Time without a frame after a ping before the connection is closed.
const PONG_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks whether a peer responds.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Size from which a batch of frames takes no further frame.
const BATCH_BYTES: usize = 65_536;

/// Sender of encoded frames to one connection.
pub type FrameSender = mpsc::UnboundedSender<Bytes>;

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
    failure_rate: FailureRate,
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
            failure_rate: FailureRate::default(),
        }
    }

    /// Records the open connection, once the peer's `Hello` has identified it; requests are sent
    /// over it from then on.
    ///
    /// Returns whether the peer was not connected before.
    fn on_connected(&self, sender: &FrameSender) -> bool {
        if self.is_connected() {
            return false;
        }
        *self.sender.borrow_mut() = Some(sender.clone());
        self.link_changed_at.set(BootClock.now());
        log::info!(event = "link-open", machine = self.machine.as_str(); "");
        true
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
        self.load.get()
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
            Some(sender) => send_frame(sender, frame),
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
    pub async fn request(self: &Rc<Self>, id: u64, frame: &Frame) -> RequestOutcome {
        let (sender, receiver) = oneshot::channel();
        self.pending
            .borrow_mut()
            .insert(id, Pending::Request(sender));
        let guard = PendingGuard {
            peer: Rc::clone(self),
            id,
        };
        if !self.send(frame) {
            return RequestOutcome::Lost(LossCause::LinkLost);
        }
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

    fn on_response(&self, id: u64, outcome: RequestOutcome, load: LoadReport) {
        self.load.set(Some((load, BootClock.now())));
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

    fn on_store_response(&self, id: u64, result: Result<StoreResponse, RequestError>) {
        if let Some(Pending::StoreRequest(sender)) = self.pending.borrow_mut().remove(&id) {
            let _ = sender.send(result);
        }
    }

    /// Closes the connection and ends all in-flight requests as lost.
    fn disconnect(&self) {
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
            self.peer.send(&Frame::Cancel { id: self.id });
        }
    }
}

/// Encodes a frame and queues it for a connection; returns whether it was queued.
pub fn send_frame(sender: &FrameSender, frame: &Frame) -> bool {
    match frame::encode(frame) {
        Ok(bytes) => sender.send(bytes).is_ok(),
        Err(error) => {
            log::error!(event = "frame-not-sent", error:% = error; "");
            false
        }
    }
}

/// Writes frames until the sender is dropped or the connection ends.
pub async fn write_frames(
    mut write: impl AsyncWrite + Unpin,
    mut frames: mpsc::UnboundedReceiver<Bytes>,
) {
    while let Some(first) = frames.recv().await {
        let mut batch = BytesMut::from(first);
        while batch.len() < BATCH_BYTES {
            let Ok(next) = frames.try_recv() else { break };
            batch.extend_from_slice(&next);
        }
        if write.write_all(&batch).await.is_err() {
            return;
        }
    }
}

/// Reads frames and passes each to `handle` until the connection ends or a frame is malformed.
pub async fn read_frames(mut read: impl AsyncRead + Unpin, mut handle: impl FnMut(Frame)) {
    let mut buf = BytesMut::new();
    loop {
        buf.reserve(2048);
        match read.read_buf(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        loop {
            match frame::decode(&mut buf) {
                Ok(Some(frame)) => handle(frame),
                Ok(None) => break,
                Err(error) => {
                    log::warn!(event = "frame-refused", error:% = error; "");
                    return;
                }
            }
        }
    }
}

/// Keeps the connection to the peer open, for as long as the process runs.
pub async fn keep_connected(node: Rc<Node>, peer: Rc<Peer>) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        let connection = net::connect(peer.address.get(), CONNECT_TIMEOUT, KEEPALIVE_IDLE).await;
        match connection {
            Ok(stream) => {
                let expected = run_link(&node, &peer, stream).await;
                backoff = if expected {
                    FIRST_BACKOFF
                } else {
                    WRONG_MACHINE_BACKOFF
                };
                peer.disconnect();
                log::info!(event = "link-lost", machine = peer.machine.as_str(); "");
                node.on_link_change();
            }
            Err(error) => {
                log::debug!(event = "link-failed", machine = peer.machine.as_str(), error:% = error; "");
            }
        }
        let jitter = rand::rng().random_range(0.7..1.3);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        // The longer backoff after a wrong machine is neither doubled nor cut to the maximum.
        backoff = (backoff * 2).min(MAX_BACKOFF.max(backoff));
    }
}

/// Sends and receives frames until the connection ends; returns false if another machine has
/// answered at the address.
async fn run_link(node: &Rc<Node>, peer: &Rc<Peer>, stream: tokio::net::TcpStream) -> bool {
    let (read, write) = stream.into_split();
    let (sender, frames) = mpsc::unbounded_channel();
    let sent = node.status();
    send_frame(&sender, &Frame::Hello(Box::new(sent.clone())));
    peer.last_received.set(BootClock.now());
    let wrong_machine = Notify::new();
    let reading = read_frames(read, |frame| {
        peer.last_received.set(BootClock.now());
        match frame {
            Frame::Response { id, outcome, load } => peer.on_response(id, outcome, load),
            Frame::StoreResponse { id, result } => peer.on_store_response(id, result),
            Frame::Pong { probe } => node.on_pong(peer, probe),
            Frame::Hello(status) if status.machine != peer.machine => wrong_machine.notify_one(),
            Frame::Hello(status) => {
                node.on_frame(Frame::Hello(status), &sender);
                if peer.on_connected(&sender) {
                    // Changes announced since the first `Hello` went to open connections only.
                    let announced = node.last_announced();
                    if announced != sent {
                        send_frame(&sender, &Frame::Hello(Box::new(announced)));
                    }
                    if let Some(announcement) = node.assignment_announcement() {
                        send_frame(&sender, &announcement);
                    }
                    peer.send_crashes(&node.suspects.reports());
                }
                node.on_link_change();
            }
            other => node.on_frame(other, &sender),
        }
    });
    tokio::select! {
        () = reading => {}
        () = wrong_machine.notified() => {
            log::warn!(event = "link-to-stranger", machine = peer.machine.as_str(); "");
            return false;
        }
        () = write_frames(write, frames) => {}
        () = detect_unresponsive(node, peer) => {
            log::warn!(event = "link-silent", machine = peer.machine.as_str(); "");
        }
    }
    true
}

/// Returns when a peer with in-flight requests does not respond to a ping.
///
/// The timeout is extended by the queueing delay of the links to its region.
async fn detect_unresponsive(node: &Node, peer: &Rc<Peer>) {
    let mut ping_sent_at: Option<BootInstant> = None;
    let link_delay = || {
        let delay = peer.with_status(|s| node.link_delay(&s.region));
        delay.unwrap_or_default()
    };
    loop {
        tokio::time::sleep(LIVENESS_CHECK_INTERVAL).await;
        let now = BootClock.now();
        if ping_sent_at.is_some_and(|at| peer.last_received.get() >= at) || peer.in_flight() == 0 {
            ping_sent_at = None;
        }
        match ping_sent_at {
            Some(at) if now.since(at) > PONG_TIMEOUT + link_delay() => return,
            Some(_) => {}
            None if peer.in_flight() > 0 && now.since(peer.last_received.get()) > PING_IDLE => {
                peer.send(&Frame::Ping { probe: 0 });
                ping_sent_at = Some(now);
            }
            None => {}
        }
    }
}
