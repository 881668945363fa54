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

use crate::node::Node;
use crate::{accept, cold_limit, heartbeats};

/// Limits on the head and body of a request.
const BOUNDS: Bounds = Bounds {
    head_bytes: 16_384,
    body_bytes: 4 << 20,
};
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
