//! Serves the connections that peers open to this process.
//!
//! A request that a peer sends again with the same id, after a lost connection, runs only once.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use balance::link_delay::OneWayDelay;
use bytes::Bytes;
use platform::store::Transport;
use timer::{BootClock, Clock};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use world::instant::BootInstant;

use crate::frame::{self, ForwardedRequest, Frame};
use crate::link::{FrameSender, KEEPALIVE_IDLE, read_frames, send_frame, write_frames};
use crate::node::Node;
use crate::{accept, back_end_proxy};

/// Time for which a response is kept in case the peer reconnects and sends its request again;
/// longer than it waits for a reconnect.
const RESPONSE_RETENTION: Duration = Duration::from_millis(2_500);

/// Incarnation of the peer and its id of the request.
type PeerRequestId = (u64, u64);

/// A request of a peer, and its encoded response once it has ended.
struct PeerRequest {
    reply_to: FrameSender,
    response: Option<Bytes>,
    task: Option<AbortHandle>,
    updated_at: BootInstant,
}

/// Requests of peers that are in flight here or have ended recently.
#[derive(Default)]
pub struct PeerRequests {
    requests: HashMap<PeerRequestId, PeerRequest>,
}

impl PeerRequests {
    /// Drops responses that have been kept for their retention time.
    pub fn evict_expired(&mut self, now: BootInstant) {
        self.requests
            .retain(|_, r| r.response.is_none() || now.since(r.updated_at) < RESPONSE_RETENTION);
    }

    /// Returns the number of requests that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests
            .values()
            .filter(|r| r.response.is_none())
            .count()
    }
}

/// Accepts connections of peers for as long as the process runs.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    accept::run(listener, "peers", |stream| {
        if let Err(error) = net::configure(&stream, KEEPALIVE_IDLE) {
            log::warn!(event = "socket-option-failed", error:% = error; "");
        }
        tokio::task::spawn_local(serve_link(Rc::clone(&node), stream));
    })
    .await;
}

async fn serve_link(node: Rc<Node>, stream: TcpStream) {
    let (read, write) = stream.into_split();
    let (sender, frames) = mpsc::unbounded_channel();
    send_frame(&sender, &Frame::Hello(Box::new(node.status())));
    let mut incarnation = 0;
    let mut one_way_delay = OneWayDelay::default();
    let reading = read_frames(read, |frame| match frame {
        Frame::Hello(status) => {
            incarnation = status.incarnation;
            node.on_frame(Frame::Hello(status), &sender);
        }
        Frame::Request(mut request) => {
            let delay = one_way_delay.observe(request.sent_ms, BootClock.now());
            request.subtract_delay(delay);
            on_request(&node, incarnation, *request, &sender);
        }
        Frame::Cancel { id } => on_cancel(&node, (incarnation, id)),
        Frame::StoreRequest { id, request } => {
            // Sent over this process's own connection to the store, never through another peer.
            let node = Rc::clone(&node);
            let sender = sender.clone();
            tokio::task::spawn_local(async move {
                let result = node.direct.perform(&request).await;
                node.on_store_result(result.is_ok());
                send_frame(&sender, &Frame::StoreResponse { id, result });
            });
        }
        other => node.on_frame(other, &sender),
    });
    tokio::select! {
        () = reading => {}
        () = write_frames(write, frames) => {}
    }
}

/// Drops a request and its response; a non-idempotent request that the back end runs goes on.
fn on_cancel(node: &Rc<Node>, id: PeerRequestId) {
    let cancelled = node.peer_requests.borrow_mut().requests.remove(&id);
    if let Some(task) = cancelled.and_then(|r| r.task) {
        task.abort();
    }
}

fn on_request(node: &Rc<Node>, incarnation: u64, request: ForwardedRequest, sender: &FrameSender) {
    let id = (incarnation, request.id);
    {
        let mut served = node.peer_requests.borrow_mut();
        if let Some(entry) = served.requests.get_mut(&id) {
            // The connection on which it first arrived is lost: the response goes to this one.
            entry.reply_to = sender.clone();
            if let Some(response) = &entry.response {
                let _ = sender.send(response.clone());
            }
            return;
        }
        served.requests.insert(
            id,
            PeerRequest {
                reply_to: sender.clone(),
                response: None,
                task: None,
                updated_at: BootClock.now(),
            },
        );
    }
    let task = tokio::task::spawn_local(run_request(Rc::clone(node), id, request));
    if let Some(entry) = node.peer_requests.borrow_mut().requests.get_mut(&id) {
        entry.task = Some(task.abort_handle());
    }
}

async fn run_request(node: Rc<Node>, id: PeerRequestId, request: ForwardedRequest) {
    let outcome = back_end_proxy::submit(&node, Rc::new(request)).await;
    let response = Frame::Response {
        id: id.1,
        outcome,
        load: node.proxy.load(),
    };
    let bytes = match frame::encode(&response) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(event = "frame-not-sent", error:% = error; "");
            return;
        }
    };
    if let Some(entry) = node.peer_requests.borrow_mut().requests.get_mut(&id) {
        let _ = entry.reply_to.send(bytes.clone());
        entry.response = Some(bytes);
        entry.updated_at = BootClock.now();
    }
}
