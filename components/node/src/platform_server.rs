//! Serves the HTTP endpoints of the platform, the local back end and operators: readiness,
//! heartbeats, deregistration and metrics.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use admission::cold_limit::ColdBound;
use bytes::BytesMut;
use http1::request::{Bounds, Request, RequestReader};
use http1::response::{Response, encode};
use platform::endpoint::Endpoint;
use timer::{BootClock, Clock};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use world::rate::RequestRate;

use crate::connection_limit::{OpenConnection, Phase};
use crate::node::Node;
use crate::refusals::Bound;
use crate::{accept, client_limits, cold_limit, heartbeats};

/// Limits on the head and body of a request; only heartbeats and deregistrations may have a body that
/// does not arrive with its head.
const BOUNDS: Bounds = Bounds {
    head_bytes: 16_384,
    body_bytes: 1 << 20,
};
/// Time without traffic after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the first byte of a request within which all of it must arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Name of the listeners in logs.
const LISTENER: &str = "platform";

/// Serves requests on a listener for as long as the process runs.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let limit = || client_limits::PLATFORM_CONNECTIONS;
    accept::run(listener, LISTENER, &node.refusals, limit, |stream, open| {
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = serve_connection(&node, stream, &open) => {}
                () = open.closed() => {}
            }
        });
    })
    .await;
}

async fn serve_connection(node: &Rc<Node>, mut stream: TcpStream, open: &OpenConnection) {
    let mut buf = BytesMut::new();
    loop {
        let Some(request) = receive(node, &mut stream, &mut buf).await else {
            return;
        };
        open.set_phase(Phase::Busy);
        let response = handle(node, &request).await;
        if send(&mut stream, &response, request.close).await.is_err() || request.close {
            return;
        }
        open.set_phase(Phase::Idle);
    }
}

/// Receives the next request; `None` if the connection ends.
async fn receive(node: &Node, stream: &mut TcpStream, buf: &mut BytesMut) -> Option<Request> {
    let mut reader = RequestReader::default();
    let mut since = None;
    loop {
        match reader.next(buf, BOUNDS) {
            Ok(Some(request)) => return Some(request),
            Ok(None) if reader.incomplete().is_some_and(|r| !may_have_body(r)) => {
                log::warn!(event = "call-refused", fault = "a body is not expected"; "");
                let _ = send(stream, &Response::new(400), true).await;
                return None;
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!(event = "call-refused", fault:% = error; "");
                let _ = send(stream, &Response::new(400), true).await;
                return None;
            }
        }
        let timeout = if reader.has_partial_request(buf) {
            let since = *since.get_or_insert_with(|| BootClock.now());
            REQUEST_TIMEOUT.saturating_sub(BootClock.now().since(since))
        } else {
            IDLE_TIMEOUT
        };
        match tokio::time::timeout(timeout, stream.read_buf(buf)).await {
            Ok(Ok(n)) if n > 0 => {}
            Err(_) if since.is_some() => {
                let limit = REQUEST_TIMEOUT.as_millis() as u64;
                node.refusals.record(Bound::Deadline, LISTENER, limit);
                return None;
            }
            _ => return None,
        }
    }
}

fn may_have_body(request: &Request) -> bool {
    matches!(
        Endpoint::from_request(&request.method, request.path()),
        Endpoint::Heartbeat(_) | Endpoint::Deregister(_)
    )
}

async fn send(stream: &mut TcpStream, response: &Response, close: bool) -> std::io::Result<()> {
    let mut out = BytesMut::new();
    encode(&mut out, response, close);
    let writing = stream.write_all(&out);
    let written = tokio::time::timeout(WRITE_TIMEOUT, writing).await;
    written.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

async fn handle(node: &Rc<Node>, request: &Request) -> Response {
    match Endpoint::from_request(&request.method, request.path()) {
        Endpoint::Readiness => readiness(node),
        Endpoint::Heartbeat(id) => heartbeats::on_heartbeat(node, id, &request.body).await,
        Endpoint::Deregister(id) => heartbeats::on_deregistration(node, id, &request.body).await,
        Endpoint::Other if request.path() == "/metrics" => metrics(node),
        Endpoint::Other => Response::new(404),
    }
}

fn readiness(node: &Node) -> Response {
    let ready = node.active_config().is_some() && !node.is_stopping();
    Response::new(if ready { 200 } else { 503 })
}

fn metrics(node: &Node) -> Response {
    let load = node.proxy.load();
    let connected = node.peers().iter().filter(|p| p.is_connected()).count();
    let limit = node.proxy.named_limit.named();
    let now = BootClock.now();
    let cold_bound = node.proxy.cold_bound(now);
    let gauges = [
        ("plantaingauge_back_end_running", f64::from(load.running)),
        ("plantaingauge_back_end_waiting", f64::from(load.waiting)),
        ("plantaingauge_back_end_slots", f64::from(load.slots)),
        ("plantaingauge_peers_connected", connected as f64),
        (
            "plantaingauge_link_queued_bytes",
            node.queued_bytes.get() as f64,
        ),
        (
            "plantaingauge_store_era",
            f64::from(node.store_era().number()),
        ),
        (
            "plantaingauge_configuration_version",
            node.configuration_version() as f64,
        ),
        (
            "plantaingauge_configuration_missing_milliseconds",
            node.config_lag.missing_for(now).as_millis() as f64,
        ),
        (
            "plantaingauge_evacuated_zones",
            node.evacuated_count() as f64,
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
        ("plantaingauge_message_bytes", node.memory.in_use() as f64),
        (
            "plantaingauge_back_end_limit_per_second",
            limit.map_or(f64::INFINITY, RequestRate::as_per_second),
        ),
        ("plantaingauge_back_end_slowness", node.proxy.slowness(now)),
        (
            "plantaingauge_back_end_cold",
            f64::from(cold_limit::is_cold(node, now)),
        ),
        (
            "plantaingauge_back_end_cold_limit_per_second",
            cold_bound.map_or(f64::INFINITY, ColdBound::rate),
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
