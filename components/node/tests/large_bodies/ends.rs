//! The two ends of a link in one process, with a back end behind the far one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use node::back_end_proxy::{Availability, LocalBackEnd};
use node::frame::{ForwardedRequest, RequestOutcome};
use node::node::Node;
use node::peer::Peer;
use node::peer_server;
use platform::settings::Settings;
use serde_json::{Value, json};
use shards::incarnation::BackEndIncarnation;
use timer::{BootClock, Clock};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use world::name::{MachineName, ServiceName};

/// Time after which something that has not happened counts as missing.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any_port).await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    (listener, address)
}

fn node(machine: &str, incarnation: u64, inbound: SocketAddr, back_end: SocketAddr) -> Rc<Node> {
    let settings = json!({
        "nodeName": machine, "ip": "127.0.0.1", "zone": "z", "region": "r", "zones": {"z": "r"},
        "listenAddresses": {"outbound": "127.0.0.1:1", "ready": "127.0.0.1:2",
            "control": "127.0.0.1:3", "inbound": inbound},
        "internalPortRange": [5, 6], "bounds": [], "limits": {"memoryMb": 1_000, "linkMbps": 15},
        "applicationAddress": back_end, "service": "s",
        "platform": {"address": "127.0.0.1:8"},
    });
    let settings = Settings::from_json(settings.to_string().as_bytes()).expect("well-formed");
    Rc::new(Node::new(settings, incarnation))
}

/// The routes `/` of host `h` with small responses and of host `large` with large ones.
fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": {
            "columns": ["name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs",
                "priority", "service"],
            "rows": [
                ["small", "h", "/", "safe", 5_000, 1_000, 1, "s"],
                ["large", "large", "/", "download", 5_000, 1_000, 1, "s"],
            ],
        },
        "services": {"columns": ["name"], "rows": [["s"]]},
    })
}

/// Both ends of a link, and the port at which the far one accepts it.
pub(crate) struct Ends {
    pub(crate) near: Rc<Node>,
    pub(crate) far: Rc<Node>,
    pub(crate) far_address: SocketAddr,
}

impl Ends {
    /// Starts the far end, with its back end.
    pub(crate) async fn start() -> Self {
        let (back_end, back_end_address) = listen().await;
        tokio::task::spawn_local(serve_back_end(back_end));
        let (listener, far_address) = listen().await;
        let far = node("far", 2, far_address, back_end_address);
        let now = BootClock.now();
        far.proxy.set_back_end(LocalBackEnd {
            service: ServiceName::new("s"),
            incarnation: BackEndIncarnation {
                id: "b".to_owned(),
                born: 1,
            },
            slots: 16,
            cold_until: now,
            last_contact: now,
            state: Availability::Ready,
        });
        assert!(far.on_configuration(configuration(), "store"));
        tokio::task::spawn_local(peer_server::serve(Rc::clone(&far), listener));
        let near = node("near", 1, ([127, 0, 0, 1], 9).into(), back_end_address);
        Self {
            near,
            far,
            far_address,
        }
    }

    /// Connects the near end to the far one over `address`.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Rc<Peer> {
        let machine = MachineName::new("far");
        self.near.add_peer(&machine, address);
        let peer = self.near.peer(&machine).expect("it has been added");
        until("the connection", || peer.is_connected()).await;
        peer
    }
}

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "{what}");
}

/// Makes a request whose response has a body of `response_bytes`.
pub(crate) fn request(peer: &Peer, response_bytes: usize, body: Bytes) -> ForwardedRequest {
    ForwardedRequest {
        id: peer.next_id(),
        service: ServiceName::new("s"),
        method: Bytes::from_static(b"POST"),
        target: format!("/{response_bytes}").into(),
        headers: Vec::new(),
        body,
        request_id: Bytes::from_static(b"9c41"),
        sent_ms: BootClock.now().as_millis(),
        remaining_ms: 20_000,
        missed_target: false,
        target_ms: 20_000,
        idempotent: true,
        priority: 1,
        class: 1,
        key: None,
        caller: ServiceName::new("s"),
    }
}

/// Returns the body of the response to a request.
pub(crate) async fn response_body(peer: &Rc<Peer>, request: ForwardedRequest) -> Bytes {
    let outcome = tokio::time::timeout(TIMEOUT, peer.request(request)).await;
    match outcome {
        Ok(RequestOutcome::Response(response)) => response.body,
        other => panic!("{other:?}"),
    }
}

/// Returns bytes of which no two parts are equal.
pub(crate) fn pattern(length: usize) -> Bytes {
    let bytes = (0..length).map(|i| (i / 7 + i / 1_021) as u8);
    bytes.collect::<Vec<u8>>().into()
}

async fn serve_back_end(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(serve_requests(stream));
    }
}

/// Responds to `/0` with the request's own body, else with a pattern of the length in the target.
async fn serve_requests(stream: TcpStream) -> Option<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let mut length = 0;
        let mut target = String::new();
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).await.ok().filter(|n| *n > 0)?;
            let lower = line.trim_end().to_ascii_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            } else if let Some(rest) = lower.strip_prefix("post /") {
                target = rest.split(' ').next()?.to_owned();
            } else if lower.is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.ok()?;
        let response = match target.parse().ok()? {
            0 => Bytes::from(body),
            n => pattern(n),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nResponse-Stamp: 3e1b\r\nContent-Length: {}\r\n\r\n",
            response.len()
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(&response).await.ok()?;
    }
}
