//! A back end that reads requests and never responds to some of them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http1::request::{Bounds, RequestReader};
use http1::response::{Response, encode};
use node::back_end_proxy::{Availability, LocalBackEnd, submission};
use node::frame::{ForwardedRequest, LossCause, RequestOutcome};
use node::node::Node;
use platform::settings::Settings;
use rstest::rstest;
use serde_json::json;
use shards::incarnation::BackEndIncarnation;
use timer::{BootClock, Clock};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use world::name::ServiceName;

/// Target of requests that get no response.
const SILENT: &str = "/silent/";
/// Requests that the back end runs at once.
const SLOTS: u32 = 2;
/// Remaining time of requests.
const REMAINING: Duration = Duration::from_millis(400);
/// Time in which the proxy gives up a request after its deadline.
const GIVE_UP_TIME: Duration = Duration::from_millis(400);
/// Size limits of requests, which have no body.
const BOUNDS: Bounds = Bounds {
    head_bytes: 4_096,
    body_bytes: 0,
};

/// What the back end has seen.
#[derive(Default)]
struct Seen {
    /// Ids of the requests, in their order.
    ids: Vec<String>,
    /// Requests on open connections without a response.
    running: usize,
    most_running: usize,
    connections: usize,
}

type Shared = Arc<Mutex<Seen>>;

fn lock(seen: &Shared) -> MutexGuard<'_, Seen> {
    seen.lock().expect("no panic in the back end")
}

async fn serve(mut stream: TcpStream, seen: Shared) {
    let mut reader = RequestReader::default();
    let mut buf = BytesMut::new();
    let mut silent = 0;
    loop {
        let Ok(next) = reader.next(&mut buf, BOUNDS) else {
            break;
        };
        let Some(request) = next else {
            match stream.read_buf(&mut buf).await {
                Ok(count) if count > 0 => continue,
                _ => break,
            }
        };
        let id = request.headers.text("Request-Id").unwrap_or_default();
        {
            let mut seen = lock(&seen);
            seen.ids.push(id.to_owned());
            seen.running += 1;
            seen.most_running = seen.most_running.max(seen.running);
        }
        if request.target == SILENT {
            silent += 1;
        }
        // Nothing later on the connection gets a response either.
        if silent == 0 {
            let response = Response::new(200).with("Request-Id", id.to_owned());
            let mut out = BytesMut::new();
            encode(&mut out, &response.with("Response-Stamp", "0.1.2"), false);
            let _ = stream.write_all(&out).await;
            lock(&seen).running -= 1;
        }
    }
    lock(&seen).running -= silent;
}

fn node_beside(back_end: SocketAddr) -> Rc<Node> {
    let settings = json!({
        "nodeName": "m", "ip": "127.0.0.1", "zone": "z", "region": "r", "zones": {"z": "r"},
        "listenAddresses": {"outbound": "127.0.0.1:1", "ready": "127.0.0.1:2",
            "control": "127.0.0.1:3", "inbound": "127.0.0.1:4"},
        "internalPortRange": [5, 6], "bounds": [],
        "applicationAddress": back_end, "service": "s",
        "platform": {"address": "127.0.0.1:8"},
    });
    let settings = Settings::from_json(settings.to_string().as_bytes()).expect("well-formed");
    let node = Rc::new(Node::new(settings, 1));
    node.proxy.set_back_end(LocalBackEnd {
        service: ServiceName::new("s"),
        incarnation: BackEndIncarnation {
            id: "b".into(),
            born: 1,
        },
        slots: SLOTS,
        cold_until: BootClock.now(),
        last_contact: BootClock.now(),
        state: Availability::Ready,
    });
    node
}

/// A process beside a back end.
struct Fixture {
    node: Rc<Node>,
    seen: Shared,
}

impl Fixture {
    async fn start() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let seen = Shared::default();
        let shared = Arc::clone(&seen);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                lock(&shared).connections += 1;
                tokio::spawn(serve(stream, Arc::clone(&shared)));
            }
        });
        let node = node_beside(address);
        Self { node, seen }
    }

    async fn submit(&self, id: &str, target: &'static str, idempotent: bool) -> RequestOutcome {
        let request = request(id, target, idempotent);
        submission::submit(&self.node, Rc::new(request)).await
    }
}

fn request(id: &str, target: &'static str, idempotent: bool) -> ForwardedRequest {
    let remaining_ms = REMAINING.as_millis() as u32;
    ForwardedRequest {
        id: 1,
        service: ServiceName::new("s"),
        method: Bytes::from("GET"),
        target: Bytes::from(target),
        headers: vec![(Bytes::from("Request-Id"), Bytes::from(id.to_owned()))],
        body: Bytes::new(),
        request_id: Bytes::from(id.to_owned()),
        sent_ms: 0,
        remaining_ms,
        missed_target: false,
        // So far that requests wait rather than being rejected.
        target_ms: remaining_ms * 10,
        idempotent,
        priority: 1,
        class: 0,
        key: None,
        caller: ServiceName::new("c"),
    }
}

fn is_timed_out(outcome: &RequestOutcome) -> bool {
    matches!(outcome, RequestOutcome::Lost(LossCause::TimedOut))
}

// Guards against more requests at a back end that cannot queue than it has slots, and against one that it
// has received being reported as not run.
#[rstest]
#[tokio::test]
async fn a_silent_back_end_gets_no_more_requests_than_slots(
    #[values(false, true)] idempotent: bool,
) {
    let test = async {
        let fixture = Fixture::start().await;
        let ids: Vec<String> = (0..6).map(|n| format!("a{n}")).collect();
        let sends = ids.iter().map(|id| fixture.submit(id, SILENT, idempotent));
        let outcomes = futures::future::join_all(sends).await;
        let seen = lock(&fixture.seen);
        assert_eq!(seen.most_running, SLOTS as usize);
        for (id, outcome) in ids.iter().zip(&outcomes) {
            assert_eq!(
                seen.ids.contains(id),
                is_timed_out(outcome),
                "{id} {outcome:?}"
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a later request that waits behind one without a response, on the same connection.
#[rstest]
#[tokio::test]
async fn a_connection_without_a_response_carries_nothing_else(
    #[values(false, true)] idempotent: bool,
) {
    let test = async {
        let fixture = Fixture::start().await;
        let silent = fixture.submit("a", SILENT, idempotent).await;
        assert!(is_timed_out(&silent), "{silent:?}");
        let next = fixture.submit("b", "/", idempotent).await;
        assert!(matches!(next, RequestOutcome::Response(_)), "{next:?}");
        let seen = lock(&fixture.seen);
        assert_eq!((seen.connections, seen.running), (2, 0));
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a slot that is free while the back end may still run its request, also after the caller
// of a request that must not run twice has left.
#[rstest]
#[case::caller_waits(true)]
#[case::caller_leaves(false)]
#[tokio::test]
async fn the_slot_of_a_request_without_a_response_is_taken_until_its_deadline(#[case] waits: bool) {
    let test = async {
        let fixture = Rc::new(Fixture::start().await);
        let sender = Rc::clone(&fixture);
        let sent = tokio::task::spawn_local(async move {
            sender.submit("a", SILENT, false).await;
        });
        tokio::time::sleep(REMAINING / 4).await;
        if !waits {
            sent.abort();
        }
        tokio::time::sleep(REMAINING / 2).await;
        assert_eq!(fixture.node.proxy.load().running, 1);
        tokio::time::sleep(REMAINING / 4 + GIVE_UP_TIME).await;
        assert_eq!(fixture.node.proxy.load().running, 0);
    };
    LocalSet::new().run_until(test).await;
}
