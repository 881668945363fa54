//! Serves the connections that peers open to this process.
//!
//! A request that a peer sends again with the same id, after a lost connection, runs only once.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use timer::{BootClock, Clock};
use tokio::net::{TcpListener, TcpStream};
use world::name::MachineName;

use crate::back_end_proxy::submission;
use crate::body_assembly::BodyAssembly;
use crate::connection_limit::{OpenConnection, Phase};
use crate::frame::{Features, ForwardedRequest, Frame, RequestOutcome};
use crate::frame_stream::{self, FrameSender, read_frames, write_frames};
use crate::link::{self, KEEPALIVE_IDLE};
use crate::node::Node;
use crate::outgoing::Outgoing;
use crate::refusals::Bound;
use crate::stranger::Stranger;
use crate::{accept, client_limits, link_admission, suspects};

/// Name of the listener in logs.
const LISTENER: &str = "peers";

/// The process at the other end of a connection, from its `Hello`.
#[derive(Clone, Debug, Default)]
struct PeerProcess {
    /// Its machine; `None` before its `Hello`.
    machine: Option<MachineName>,
    incarnation: u64,
    features: Features,
}

/// Accepts connections of peers for as long as the process runs.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let limit = || client_limits::peers(&node);
    accept::run(listener, LISTENER, &node.refusals, limit, |stream, open| {
        if let Err(error) = net::configure(&stream, KEEPALIVE_IDLE) {
            log::warn!(event = "socket-option-failed", error:% = error; "");
        }
        tokio::task::spawn_local(serve_link(Rc::clone(&node), stream, open));
    })
    .await;
}

async fn serve_link(node: Rc<Node>, stream: TcpStream, open: OpenConnection) {
    link::bound_send_buffer(&stream);
    let (read, write) = stream.into_split();
    let stranger = Stranger::default();
    let read = stranger.limit(read);
    let (sender, frames) = frame_stream::channel(&node.queued_bytes);
    sender.send(&Frame::Hello(Box::new(node.status())));
    let mut process = PeerProcess::default();
    let mut bodies = BodyAssembly::default();
    let memory = node.memory.share();
    let body_bytes = Cell::new(0);
    let reading = read_frames(
        read,
        // An eviction ends the connection below.
        |buffered| {
            let _ = memory.resize(buffered + body_bytes.get());
        },
        |frame| {
            match frame {
                Frame::Hello(status) => {
                    stranger.introduce();
                    open.set_phase(Phase::Busy);
                    process.machine = Some(status.machine.clone());
                    process.incarnation = status.incarnation;
                    process.features = status.features;
                    sender.set_streams(status.features.streams);
                    node.on_frame(Frame::Hello(status), &sender);
                }
                Frame::StatusUpdate(update) => {
                    if let Some(machine) = &process.machine {
                        node.on_status_update(machine, process.incarnation, update);
                    }
                }
                Frame::Request(request) => on_request(&node, &process, *request, &sender),
                Frame::LargeRequest {
                    request,
                    body_bytes,
                } => bodies.begin(request.id, request, body_bytes)?,
                Frame::BodyPart { id, bytes } => {
                    if let Some((mut request, body)) = bodies.append(id, &bytes)? {
                        request.body = body;
                        on_request(&node, &process, *request, &sender);
                    }
                }
                Frame::CatalogRequest if !process.features.configuration_versions => {
                    // It would take the version for a revision, and ignore later ones of the store.
                    log::debug!(event = "configuration-not-sent"; "");
                }
                Frame::CatalogRequest => node.send_configuration(process.features, &sender),
                Frame::Cancel { id } => {
                    bodies.remove(id);
                    // A non-idempotent request that the back end runs goes on.
                    let mut requests = node.peer_requests.borrow_mut();
                    requests.cancel((process.incarnation, id), BootClock.now());
                }
                Frame::StoreRequest { id, request } => {
                    // Sent over this process's own connection to the store, never through another peer.
                    let node = Rc::clone(&node);
                    let sender = sender.clone();
                    tokio::task::spawn_local(async move {
                        let result = node.perform(&request).await;
                        node.on_store_result(result.is_ok());
                        sender.send(&Frame::StoreResponse { id, result });
                    });
                }
                other => node.on_frame(other, &sender),
            }
            body_bytes.set(bodies.allocated_bytes());
            Ok(())
        },
    );
    tokio::select! {
        () = reading => {}
        () = write_frames(write, frames) => {}
        () = open.closed() => {}
        () = memory.evicted() => {
            let limit = node.memory.limit() as u64;
            node.refusals.record(Bound::Memory, LISTENER, limit);
        }
    }
}

/// Runs a request that has arrived entirely, unless it is a copy.
fn on_request(
    node: &Rc<Node>,
    process: &PeerProcess,
    mut request: ForwardedRequest,
    sender: &FrameSender,
) {
    let id = (process.incarnation, request.id);
    let now = BootClock.now();
    let mut requests = node.peer_requests.borrow_mut();
    let delay = requests.observe_delay(process.incarnation, request.sent_ms, now);
    drop(requests);
    request.subtract_delay(delay);
    // An idempotent request may run again.
    let copies_until = if request.idempotent {
        now
    } else {
        now + Duration::from_millis(u64::from(request.remaining_ms))
    };
    let is_first = node
        .peer_requests
        .borrow_mut()
        .on_arrival(id, sender, copies_until);
    if !is_first {
        return;
    }
    let task = tokio::task::spawn_local(run_request(Rc::clone(node), process.clone(), request));
    let mut requests = node.peer_requests.borrow_mut();
    requests.set_task(id, task.abort_handle());
}

async fn run_request(node: Rc<Node>, process: PeerProcess, request: ForwardedRequest) {
    let id = request.id;
    let request = Rc::new(request);
    let (outcome, mut sending) = match link_admission::admit(&node, &request) {
        Ok(sending) => {
            let outcome = submission::submit(&node, Rc::clone(&request)).await;
            (outcome, Some(sending))
        }
        Err(rejection) => (rejection, None),
    };
    let crashes = match outcome {
        RequestOutcome::Lost(_) => node.suspects.reports_on(&request),
        _ => Vec::new(),
    };
    let has_response = matches!(outcome, RequestOutcome::Response(_));
    let load = node.proxy.load();
    let rank = request.rank().order();
    let outcome = outcome.for_features(process.features, node.shard_key(&request).is_some());
    let streams = process.features.streams;
    let response = Outgoing::response_or_lost(id, rank, outcome, load, streams);
    let Ok(response) = response else { return };
    if let Some(sending) = sending.as_mut().filter(|_| has_response) {
        sending.complete(&response);
    }
    let mut requests = node.peer_requests.borrow_mut();
    // Arrives before the response, so that the peer knows of a crash when it retries.
    if let Some(sender) = requests.reply_to((process.incarnation, id))
        && let Some(reports) = suspects::report_frame(&crashes, process.features)
    {
        sender.send(&reports);
    }
    requests.on_response((process.incarnation, id), response, BootClock.now());
}
