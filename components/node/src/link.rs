//! Connections between processes of the system.

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

use crate::failures::FailureShare;
use crate::frame::{self, Frame, LoadReport, LossCause, NodeStatus, RequestOutcome};
use crate::node::Node;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without traffic after which a connection is probed.
pub(crate) const QUIET_TIME: Duration = Duration::from_secs(3);
/// First pause before a lost connection is opened again.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause before a lost connection is opened again.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// Pause before an address is tried again at which another machine has answered.
const STRANGER_BACKOFF: Duration = Duration::from_secs(10);
/// Silence after which a process that owes an answer is asked for a sign of life.
const PING_AFTER: Duration = Duration::from_millis(350);
/// Time for the sign of life.
const PONG_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks at the silence of a connection.
const WATCH_INTERVAL: Duration = Duration::from_millis(150);
/// Bytes up to which frames are sent in one go.
const BATCH_BYTES: usize = 65_536;

/// Sender of encoded frames to one connection.
pub type FrameSender = mpsc::UnboundedSender<Bytes>;

enum Pending {
    Request(oneshot::Sender<RequestOutcome>),
    Store(oneshot::Sender<Result<StoreResponse, RequestError>>),
}

/// Another process of the system.
pub struct Peer {
    /// Its machine.
    pub machine: MachineName,
    address: Cell<SocketAddr>,
    member: RefCell<Option<NodeStatus>>,
    sender: RefCell<Option<FrameSender>>,
    pending: RefCell<HashMap<u64, Pending>>,
    next_id: Cell<u64>,
    since: Cell<BootInstant>,
    heard: Cell<BootInstant>,
    lease_seen: Cell<BootInstant>,
    load: Cell<Option<(LoadReport, BootInstant)>>,
    failures: FailureShare,
}

impl Peer {
    /// Makes a peer that has not been reached yet.
    #[must_use]
    pub fn new(machine: MachineName, address: SocketAddr) -> Self {
        let now = BootClock.now();
        Self {
            machine,
            address: Cell::new(address),
            member: RefCell::default(),
            sender: RefCell::default(),
            pending: RefCell::default(),
            next_id: Cell::new(0),
            since: Cell::new(now),
            heard: Cell::new(now),
            lease_seen: Cell::new(now),
            load: Cell::new(None),
            failures: FailureShare::default(),
        }
    }

    /// Opens the connection for requests, once the process has said who it is.
    ///
    /// Returns whether it was closed before.
    fn connect(&self, sender: &FrameSender) -> bool {
        if self.is_connected() {
            return false;
        }
        *self.sender.borrow_mut() = Some(sender.clone());
        self.since.set(BootClock.now());
        log::info!(event = "link-open", machine = self.machine.as_str(); "");
        true
    }

    /// Whether a connection to it is open.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.sender.borrow().is_some()
    }

    /// When the connection was last opened or lost.
    #[must_use]
    pub fn since(&self) -> BootInstant {
        self.since.get()
    }

    /// What it last said of itself.
    #[must_use]
    pub fn member(&self) -> Option<NodeStatus> {
        self.member.borrow().clone()
    }

    /// Looks at what it last said of itself.
    pub fn with_member<R>(&self, look: impl FnOnce(&NodeStatus) -> R) -> Option<R> {
        self.member.borrow().as_ref().map(look)
    }

    /// Random number of its process, 0 if it is not known.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.with_member(|m| m.incarnation).unwrap_or(0)
    }

    /// When its present lease was first heard of.
    #[must_use]
    pub fn lease_seen(&self) -> BootInstant {
        self.lease_seen.get()
    }

    /// Its load and when it was reported.
    #[must_use]
    pub fn load(&self) -> Option<(LoadReport, BootInstant)> {
        self.load.get()
    }

    /// Requests sent to it that are not answered.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        self.pending.borrow().len()
    }

    /// How often requests fail there.
    #[must_use]
    pub fn failures(&self) -> &FailureShare {
        &self.failures
    }

    /// Takes over what the process says of itself; false if it is older than what is known.
    pub fn update(&self, member: NodeStatus) -> bool {
        let mut known = self.member.borrow_mut();
        if let Some(old) = known.as_ref() {
            if old.incarnation == member.incarnation && old.change >= member.change {
                return false;
            }
            if old.incarnation != member.incarnation {
                self.failures.reset();
                self.load.set(None);
            }
        }
        let old_lease = known.as_ref().and_then(|m| m.lease);
        if old_lease != member.lease {
            self.lease_seen.set(BootClock.now());
        }
        self.address.set(member.address);
        *known = Some(member);
        true
    }

    /// Takes over an address that was listed, unless the connection is open.
    pub fn on_listed(&self, address: SocketAddr) {
        if !self.is_connected() {
            self.address.set(address);
        }
    }

    /// Sends a frame if the connection is open.
    pub fn send(&self, frame: &Frame) -> bool {
        match self.sender.borrow().as_ref() {
            Some(sender) => send_frame(sender, frame),
            None => false,
        }
    }

    /// A number for a new request.
    #[must_use]
    pub fn next_id(&self) -> u64 {
        let id = self.next_id.get() + 1;
        self.next_id.set(id);
        id
    }

    /// Sends a request and waits for what becomes of it.
    ///
    /// Dropping the future tells the process that nobody waits any more.
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

    /// Lets the process make a call to the store.
    ///
    /// # Errors
    /// Says whether the call may have been done.
    pub async fn store_call(&self, call: StoreRequest) -> Result<StoreResponse, RequestError> {
        let id = self.next_id();
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(id, Pending::Store(sender));
        if !self.send(&Frame::StoreCall { id, call }) {
            self.pending.borrow_mut().remove(&id);
            return Err(RequestError::NotExecuted);
        }
        receiver.await.unwrap_or(Err(RequestError::MaybeExecuted))
    }

    fn on_answer(&self, id: u64, outcome: RequestOutcome, load: LoadReport) {
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

    fn on_store_answer(&self, id: u64, result: Result<StoreResponse, RequestError>) {
        if let Some(Pending::Store(sender)) = self.pending.borrow_mut().remove(&id) {
            let _ = sender.send(result);
        }
    }

    /// Ends everything that waits for an answer on a connection that is lost.
    fn disconnect(&self) {
        if self.sender.borrow_mut().take().is_some() {
            self.since.set(BootClock.now());
        }
        let lost: Vec<Pending> = self.pending.borrow_mut().drain().map(|(_, p)| p).collect();
        for pending in lost {
            match pending {
                Pending::Request(sender) => {
                    let _ = sender.send(RequestOutcome::Lost(LossCause::LinkLost));
                }
                Pending::Store(sender) => {
                    let _ = sender.send(Err(RequestError::MaybeExecuted));
                }
            }
        }
    }
}

/// Withdraws a request whose answer nobody awaits any more.
struct PendingGuard {
    peer: Rc<Peer>,
    id: u64,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        let unanswered = self.peer.pending.borrow_mut().remove(&self.id).is_some();
        if unanswered {
            self.peer.send(&Frame::Cancel { id: self.id });
        }
    }
}

/// Encodes a frame and hands it to a connection.
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

/// Reads frames and hands each to `handle` until the connection ends.
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

/// Keeps a connection to the peer open as long as the process runs.
pub async fn keep_connected(node: Rc<Node>, peer: Rc<Peer>) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        let dialed = net::connect(peer.address.get(), CONNECT_TIMEOUT, QUIET_TIME).await;
        match dialed {
            Ok(stream) => {
                let known = run_link(&node, &peer, stream).await;
                backoff = if known {
                    FIRST_BACKOFF
                } else {
                    STRANGER_BACKOFF
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
        backoff = (backoff * 2).min(MAX_BACKOFF.max(backoff));
    }
}

/// Carries frames until the connection ends; false if another machine has the address.
async fn run_link(node: &Rc<Node>, peer: &Rc<Peer>, stream: tokio::net::TcpStream) -> bool {
    let (read, write) = stream.into_split();
    let (sender, frames) = mpsc::unbounded_channel();
    send_frame(&sender, &Frame::Hello(Box::new(node.member())));
    peer.heard.set(BootClock.now());
    let stranger = Notify::new();
    let reading = read_frames(read, |frame| {
        peer.heard.set(BootClock.now());
        match frame {
            Frame::Answer { id, outcome, load } => peer.on_answer(id, outcome, load),
            Frame::StoreAnswer { id, result } => peer.on_store_answer(id, result),
            Frame::Pong { probe } => node.on_pong(peer, probe),
            Frame::Hello(member) if member.machine != peer.machine => stranger.notify_one(),
            Frame::Hello(member) => {
                node.on_news(Frame::Hello(member), &sender);
                if peer.connect(&sender) {
                    // What was announced since the first word went to open connections only.
                    send_frame(&sender, &Frame::Hello(Box::new(node.last_announced())));
                    if let Some(notice) = node.assignment_notice() {
                        send_frame(&sender, &notice);
                    }
                }
                node.on_link_change();
            }
            other => node.on_news(other, &sender),
        }
    });
    tokio::select! {
        () = reading => {}
        () = stranger.notified() => {
            log::warn!(event = "link-to-stranger", machine = peer.machine.as_str(); "");
            return false;
        }
        () = write_frames(write, frames) => {}
        () = watch_silence(node, peer) => {
            log::warn!(event = "link-silent", machine = peer.machine.as_str(); "");
        }
    }
    true
}

/// Ends when a process that owes an answer gives no sign of life.
///
/// One behind a full link gets as much more time as frames queue on the way to its region.
async fn watch_silence(node: &Node, peer: &Rc<Peer>) {
    let mut asked: Option<BootInstant> = None;
    let queued = || {
        let delay = peer.with_member(|m| node.link_delay(&m.region));
        delay.unwrap_or_default()
    };
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let now = BootClock.now();
        if asked.is_some_and(|at| peer.heard.get() >= at) || peer.unanswered() == 0 {
            asked = None;
        }
        match asked {
            Some(at) if now.since(at) > PONG_TIMEOUT + queued() => return,
            Some(_) => {}
            None if peer.unanswered() > 0 && now.since(peer.heard.get()) > PING_AFTER => {
                peer.send(&Frame::Ping { probe: 0 });
                asked = Some(now);
            }
            None => {}
        }
    }
}
