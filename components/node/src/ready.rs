//! What the platform, the back end and operators ask this process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::BytesMut;
use http1::request::{Bounds, Request, RequestReader};
use http1::response::{Response, encode};
use platform::endpoint::Endpoint;
use platform::heartbeat::{Heartbeat, encode_reply};
use shards::key_report::{GrantReply, KeyReport};
use timer::{BootClock, Clock};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use world::instant::BootInstant;

use crate::accept;
use crate::back_end_proxy::{Availability, LocalBackEnd};
use crate::node::Node;

/// Longest head and body of such a call.
const BOUNDS: Bounds = Bounds {
    head_bytes: 16_384,
    body_bytes: 4 << 20,
};
/// Time for which the answer to a heartbeat waits for something to grant; the back end takes it
/// within a second.
const GRANT_WAIT: Duration = Duration::from_millis(600);
/// Pause between two looks at whether there is something to grant.
const GRANT_PAUSE: Duration = Duration::from_millis(20);
/// Time after which an idle connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Answers calls on a listener.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    accept::run(listener, "platform", |stream| {
        tokio::task::spawn_local(serve_connection(Rc::clone(&node), stream));
    })
    .await;
}

async fn serve_connection(node: Rc<Node>, mut stream: TcpStream) {
    let mut reader = RequestReader::default();
    let mut buf = BytesMut::new();
    loop {
        let request = match reader.next(&mut buf, BOUNDS) {
            Ok(Some(request)) => request,
            Ok(None) => {
                let read = tokio::time::timeout(IDLE_TIME, stream.read_buf(&mut buf)).await;
                match read {
                    Ok(Ok(n)) if n > 0 => continue,
                    _ => return,
                }
            }
            Err(fault) => {
                log::warn!(event = "call-refused", fault:% = fault; "");
                let _ = send(&mut stream, &Response::new(400), true).await;
                return;
            }
        };
        let response = handle(&node, &request).await;
        if send(&mut stream, &response, request.close).await.is_err() || request.close {
            return;
        }
    }
}

async fn send(stream: &mut TcpStream, response: &Response, close: bool) -> std::io::Result<()> {
    let mut out = BytesMut::new();
    encode(&mut out, response, close);
    stream.write_all(&out).await
}

async fn handle(node: &Rc<Node>, request: &Request) -> Response {
    match Endpoint::from_request(&request.method, request.path()) {
        Endpoint::Readiness => readiness(node),
        Endpoint::Heartbeat(id) => heartbeat(node, id, &request.body).await,
        Endpoint::Deregister(id) => deregister(node, id),
        Endpoint::Other if request.path() == "/metrics" => metrics(node),
        Endpoint::Other => Response::new(404),
    }
}

fn readiness(node: &Node) -> Response {
    let ready = node.active_config().is_some() && !node.is_stopping();
    Response::new(if ready { 200 } else { 503 })
}

fn json(body: Vec<u8>) -> Response {
    let mut response = Response::new(200).with("Content-Type", "application/json");
    response.body = body.into();
    response
}

async fn heartbeat(node: &Rc<Node>, id: &str, body: &[u8]) -> Response {
    let beat = match Heartbeat::from_json(id, body) {
        Ok(beat) => beat,
        Err(error) => {
            log::warn!(event = "heartbeat-refused", id, error:% = error; "");
            return Response::new(400);
        }
    };
    if beat.address != node.settings.back_end_address {
        log::warn!(event = "heartbeat-refused", id, address:% = beat.address; "");
        return Response::new(400);
    }
    let now = BootClock.now();
    let incarnation = &beat.keys.incarnation;
    let known = node.proxy.back_end.borrow().clone();
    let outdated = known.as_ref().is_some_and(|k| {
        k.incarnation != *incarnation && incarnation.born <= k.incarnation.born
            || k.incarnation == *incarnation && beat.keys.sequence <= node.last_sequence.get()
    });
    if outdated {
        log::info!(event = "heartbeat-outdated", id, sequence = beat.keys.sequence; "");
        return json(encode_reply(None));
    }
    node.last_sequence.set(beat.keys.sequence);
    let left_already = node.has_left(incarnation)
        || known
            .as_ref()
            .is_some_and(|k| k.incarnation == *incarnation && k.state == Availability::Leaving);
    let state = if beat.keys.draining || left_already {
        Availability::Leaving
    } else {
        Availability::Ready
    };
    // Without a configuration it is not known yet whether the back end holds keys.
    let may_hold = node.is_keyed() || node.active_config().is_none();
    let reply = if may_hold {
        node.shard_manager.borrow_mut().on_report(now, &beat.keys)
    } else {
        None
    };
    node.on_back_end(LocalBackEnd {
        service: beat.service,
        incarnation: beat.keys.incarnation.clone(),
        slots: beat.slots,
        cold_until: now + beat.warm_up,
        last_contact: now,
        state,
    });
    let waits = may_hold && state == Availability::Ready;
    let reply = match reply {
        Some(reply) if !reply.grants.is_empty() || !beat.keys.held_keys.is_empty() => Some(reply),
        reply if waits => await_grants(node, now, &beat.keys).await.or(reply),
        reply => reply,
    };
    json(encode_reply(reply.as_ref()))
}

/// Waits a little for something to grant, so that a back end which has just started does not wait
/// for its next heartbeat.
async fn await_grants(
    node: &Rc<Node>,
    received: BootInstant,
    report: &KeyReport,
) -> Option<GrantReply> {
    while BootClock.now().since(received) < GRANT_WAIT && !node.is_stopping() {
        tokio::time::sleep(GRANT_PAUSE).await;
        if node.active_config().is_none() {
            continue;
        }
        if !node.is_keyed() {
            return None;
        }
        let now = BootClock.now();
        let mut manager = node.shard_manager.borrow_mut();
        let reply = manager.retry_report(received, now, report);
        if reply.is_some() {
            return reply;
        }
    }
    None
}

/// The time of day, which boots of back ends are numbered by.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

fn deregister(node: &Node, id: &str) -> Response {
    let known = node
        .proxy
        .back_end
        .borrow()
        .as_ref()
        .is_some_and(|b| b.incarnation.id == id);
    node.on_deregistered(id, unix_ms());
    if known {
        node.shard_manager.borrow_mut().on_deregistered(id);
        node.set_condition(Availability::Leaving);
    }
    log::info!(event = "back-end-deregistered", id, known; "");
    json(b"{}".to_vec())
}

fn metrics(node: &Node) -> Response {
    let load = node.proxy.load();
    let connected = node.peers().iter().filter(|p| p.is_connected()).count();
    let text = node.metrics.render(&[
        ("plantaingauge_back_end_running", f64::from(load.running)),
        ("plantaingauge_back_end_waiting", f64::from(load.waiting)),
        ("plantaingauge_back_end_slots", f64::from(load.slots)),
        ("plantaingauge_peers_connected", connected as f64),
        (
            "plantaingauge_back_end_connections_opened",
            node.proxy.connections.opened() as f64,
        ),
    ]);
    let mut response = Response::new(200).with("Content-Type", "text/plain; version=0.0.4");
    response.body = text.into();
    response
}

/// Opens a listener whose address may have been in use a moment ago.
///
/// # Errors
/// Fails with the system's error.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}
