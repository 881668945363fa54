//! Serves the HTTP endpoints of the platform, the local back end and operators: readiness,
//! heartbeats, deregistration and metrics.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http1::request::{Bounds, Request, RequestReader};
use http1::response::{Response, encode};
use platform::endpoint::Endpoint;
use platform::heartbeat::{Heartbeat, encode_reply};
use shards::key_report::{GrantReply, KeyReport};
use timer::{BootClock, Clock};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use world::excerpt::excerpt;
use world::instant::BootInstant;
use world::rate::RequestRate;

use crate::back_end_proxy::{Availability, LocalBackEnd};
use crate::node::Node;
use crate::{accept, heartbeat_check, wall_clock};

/// Limits on the head and body of a request.
const BOUNDS: Bounds = Bounds {
    head_bytes: 16_384,
    body_bytes: 4 << 20,
};
/// Longest time for which the reply to a heartbeat is held back until keys can be granted; the back
/// end accepts replies within one second.
const GRANT_WAIT: Duration = Duration::from_millis(600);
/// Time between two checks whether keys can be granted.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without traffic after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves requests on a listener for as long as the process runs.
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
                let read = tokio::time::timeout(IDLE_TIMEOUT, stream.read_buf(&mut buf)).await;
                match read {
                    Ok(Ok(n)) if n > 0 => continue,
                    _ => return,
                }
            }
            Err(error) => {
                log::warn!(event = "call-refused", fault:% = error; "");
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

/// Logs and counts a heartbeat that names no back end to use, and refuses it.
fn refuse_heartbeat(node: &Node, id: &str, status: u16, reason: &str) -> Response {
    log::warn!(event = "heartbeat-refused", id = excerpt(id), status, error = excerpt(reason); "");
    node.metrics.on_refused_heartbeat();
    Response::new(status)
}

async fn heartbeat(node: &Rc<Node>, id: &str, body: &[u8]) -> Response {
    let heartbeat = match Heartbeat::from_json(id, body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return refuse_heartbeat(node, id, 400, &error.to_string()),
    };
    if let Err(error) = heartbeat_check::check(node, &heartbeat) {
        return refuse_heartbeat(node, id, 400, &error.to_string());
    }
    let now = BootClock.now();
    let incarnation = &heartbeat.keys.incarnation;
    let known = node.proxy.back_end.borrow().clone();
    let outdated = known.as_ref().is_some_and(|k| {
        k.incarnation != *incarnation && incarnation.born <= k.incarnation.born
            || k.incarnation == *incarnation && heartbeat.keys.sequence <= node.last_sequence.get()
    });
    if outdated {
        log::info!(event = "heartbeat-outdated", id, sequence = heartbeat.keys.sequence; "");
        return json(encode_reply(None));
    }
    let is_later = known
        .as_ref()
        .is_some_and(|k| k.incarnation != *incarnation);
    if is_later && node.is_back_end_running(now) {
        return refuse_heartbeat(node, id, 503, "the earlier incarnation still runs");
    }
    node.last_sequence.set(heartbeat.keys.sequence);
    let is_leaving = node.is_deregistered(incarnation)
        || known
            .as_ref()
            .is_some_and(|k| k.incarnation == *incarnation && k.state == Availability::Leaving);
    let state = if heartbeat.keys.draining || is_leaving {
        Availability::Leaving
    } else {
        Availability::Ready
    };
    // Without a configuration it is unknown whether the service is divided by key.
    let may_hold_keys = heartbeat.lists_keys && (node.is_keyed() || node.active_config().is_none());
    let reply = if may_hold_keys {
        node.shard_manager
            .borrow_mut()
            .on_report(now, &heartbeat.keys)
    } else {
        None
    };
    node.on_heartbeat(LocalBackEnd {
        slots: node.usable_slots(&heartbeat.service, heartbeat.slots),
        service: heartbeat.service,
        incarnation: heartbeat.keys.incarnation.clone(),
        cold_until: now + heartbeat.warm_up,
        last_contact: now,
        state,
    });
    let can_wait = may_hold_keys && state == Availability::Ready;
    let reply = match reply {
        Some(reply) if !reply.grants.is_empty() || !heartbeat.keys.held_keys.is_empty() => {
            Some(reply)
        }
        reply if can_wait => await_grants(node, now, &heartbeat.keys).await.or(reply),
        reply => reply,
    };
    json(encode_reply(reply.as_ref()))
}

/// Waits up to `GRANT_WAIT` until keys can be granted, so that a back end that has just started
/// gets them before its next heartbeat.
async fn await_grants(
    node: &Rc<Node>,
    received: BootInstant,
    report: &KeyReport,
) -> Option<GrantReply> {
    while BootClock.now().since(received) < GRANT_WAIT && !node.is_stopping() {
        tokio::time::sleep(GRANT_POLL_INTERVAL).await;
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

fn deregister(node: &Node, id: &str) -> Response {
    let known = node
        .proxy
        .back_end
        .borrow()
        .as_ref()
        .is_some_and(|b| b.incarnation.id == id);
    node.on_deregistered(id, wall_clock::unix_ms());
    if known {
        node.shard_manager.borrow_mut().on_deregistered(id);
        node.set_availability(Availability::Leaving);
    }
    log::info!(event = "back-end-deregistered", id, known; "");
    json(b"{}".to_vec())
}

fn metrics(node: &Node) -> Response {
    let load = node.proxy.load();
    let connected = node.peers().iter().filter(|p| p.is_connected()).count();
    let limit = node.proxy.named_limit.named();
    let gauges = [
        ("plantaingauge_back_end_running", f64::from(load.running)),
        ("plantaingauge_back_end_waiting", f64::from(load.waiting)),
        ("plantaingauge_back_end_slots", f64::from(load.slots)),
        ("plantaingauge_peers_connected", connected as f64),
        (
            "plantaingauge_store_era",
            f64::from(node.store_era().number()),
        ),
        (
            "plantaingauge_quarantined_requests",
            node.suspects.blocked_count() as f64,
        ),
        (
            "plantaingauge_back_end_connections_opened",
            node.proxy.connections.opened() as f64,
        ),
        (
            "plantaingauge_back_end_response_bytes",
            node.proxy.connections.response_bytes() as f64,
        ),
        (
            "plantaingauge_back_end_limit_per_second",
            limit.map_or(f64::INFINITY, RequestRate::as_per_second),
        ),
    ];
    let text = node.metrics.render(&gauges);
    let mut response = Response::new(200).with("Content-Type", "text/plain; version=0.0.4");
    response.body = text.into();
    response
}

/// Opens a listener, also on an address that was in use shortly before (`SO_REUSEADDR`).
///
/// # Errors
/// Returns the error of the operating system if the address cannot be bound or listened on.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}
