//! A back end that writes an earlier refusal once more, late, on a connection that is kept.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use http1::request::{Bounds, RequestReader};
use http1::response::{Response, encode};
use node::back_end::ConnectionPool;
use platform::message::ResponseCheck;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Size limits of requests, which have no body.
const BOUNDS: Bounds = Bounds {
    head_bytes: 4_096,
    body_bytes: 0,
};
/// Memory of the process in bytes.
const MEMORY: u64 = 100 << 20;
/// Time in which the client sees what has been written to it.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// What a back end writes for the request with an id that arrives as the first or a later one of its
/// connection: responses in their order.
trait Script: Fn(&str, bool) -> Vec<Response> + Clone + Send + 'static {}

impl<F: Fn(&str, bool) -> Vec<Response> + Clone + Send + 'static> Script for F {}

fn success(id: &str) -> Response {
    let response = Response::new(200).with("Request-Id", id.to_owned());
    response.with("Response-Stamp", "0.1.2")
}

fn refusal(status: u16) -> Response {
    Response::new(status).with("Not-Executed", "1")
}

fn refusal_of(status: u16, id: &str) -> Response {
    refusal(status).with("Request-Id", id.to_owned())
}

fn is_refusal(check: ResponseCheck) -> bool {
    matches!(
        check,
        ResponseCheck::NotExecuted | ResponseCheck::WrongBackEnd
    )
}

async fn write(stream: &mut TcpStream, responses: &[Response]) {
    let mut out = BytesMut::new();
    for response in responses {
        encode(&mut out, response, false);
    }
    let _ = stream.write_all(&out).await;
}

async fn serve_connection(mut stream: TcpStream, script: impl Script) {
    let mut is_first = true;
    let mut reader = RequestReader::default();
    let mut buf = BytesMut::new();
    loop {
        match reader.next(&mut buf, BOUNDS) {
            Ok(Some(request)) => {
                let id = request.headers.text("Request-Id").unwrap_or_default();
                write(&mut stream, &script(id, is_first)).await;
                is_first = false;
            }
            Ok(None) => match stream.read_buf(&mut buf).await {
                Ok(count) if count > 0 => {}
                _ => return,
            },
            Err(_) => return,
        }
    }
}

/// A back end and its client.
struct Fixture {
    pool: ConnectionPool,
    connections: Arc<AtomicUsize>,
}

impl Fixture {
    async fn start(script: impl Script) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(address).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let connections = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&connections);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve_connection(stream, script.clone()));
            }
        });
        let pool = ConnectionPool::new(address, MEMORY);
        Self { pool, connections }
    }

    /// Sends a request; returns the status and check of its response.
    async fn send(&self, id: &str, at_most_once: bool) -> (u16, ResponseCheck) {
        let head = format!("POST /orders/ HTTP/1.1\r\nRequest-Id: {id}\r\n\r\n");
        let exchange = self
            .pool
            .exchange(head.as_bytes(), b"", id.as_bytes(), at_most_once);
        let (response, check) = exchange.await.expect("a response");
        tokio::time::sleep(ARRIVAL_TIME).await;
        (response.status, check)
    }

    async fn send_order(&self, id: &str) -> (u16, ResponseCheck) {
        self.send(id, true).await
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

// Guards against: the late copy of a refusal counts for the order that waits, which has run.
#[rstest]
#[tokio::test]
async fn a_connection_that_has_carried_a_refusal_without_an_id_carries_nothing_else(
    #[values(400, 421, 429, 503)] status: u16,
) {
    let fixture = Fixture::start(move |id, is_first| match (id, is_first) {
        ("first", _) => vec![refusal(status)],
        (_, false) => vec![refusal(status), success(id)],
        (_, true) => vec![success(id)],
    })
    .await;
    let (refused_with, check) = fixture.send_order("first").await;
    assert_eq!(refused_with, status);
    assert!(is_refusal(check), "{check:?}");
    assert_eq!(
        fixture.send_order("second").await,
        (200, ResponseCheck::Valid)
    );
    assert_eq!(fixture.connections(), 2);
}

// Guards against: a refusal that a back end has written before, on any connection, counts for the order
// that waits on a kept one.
#[rstest]
#[tokio::test]
async fn a_refusal_that_names_no_order_proves_nothing_on_a_kept_connection(
    #[values(400, 421, 429, 503)] status: u16,
    #[values(None, Some("first"))] named: Option<&'static str>,
) {
    let copy = named.map_or_else(|| refusal(status), |id| refusal_of(status, id));
    let fixture = Fixture::start(move |id, is_first| {
        let copies = (!is_first).then(|| copy.clone());
        copies.into_iter().chain([success(id)]).collect()
    })
    .await;
    assert_eq!(
        fixture.send_order("first").await,
        (200, ResponseCheck::Valid)
    );
    let (_, check) = fixture.send_order("second").await;
    assert!(!is_refusal(check), "{check:?}");
    assert_eq!(fixture.connections(), 1);
}

// Guards against: the late copy of the refusal of an order counts for the same order, sent once more.
#[rstest]
#[tokio::test]
async fn an_order_is_not_sent_again_on_the_connection_on_which_it_was_refused(
    #[values(400, 421, 429, 503)] status: u16,
) {
    let refused = Arc::new(AtomicUsize::new(0));
    let fixture = Fixture::start(move |id, is_first| {
        let is_refused = refused.fetch_add(1, Ordering::SeqCst) == 0;
        match is_first {
            true if is_refused => vec![refusal_of(status, id)],
            true => vec![success(id)],
            false => vec![refusal_of(status, id), success(id)],
        }
    })
    .await;
    let (_, check) = fixture.send_order("first").await;
    assert!(is_refusal(check), "{check:?}");
    assert_eq!(
        fixture.send_order("first").await,
        (200, ResponseCheck::Valid)
    );
    assert_eq!(fixture.connections(), 2);
}

#[tokio::test]
async fn a_connection_is_kept_after_a_refusal_with_an_id() {
    let fixture = Fixture::start(|id, _| match id {
        "first" => vec![refusal_of(503, id)],
        _ => vec![success(id)],
    })
    .await;
    let (_, check) = fixture.send_order("first").await;
    assert!(is_refusal(check), "{check:?}");
    assert_eq!(
        fixture.send_order("second").await,
        (200, ResponseCheck::Valid)
    );
    assert_eq!(fixture.connections(), 1);
}

#[tokio::test]
async fn an_idempotent_request_takes_a_refusal_without_an_id() {
    let fixture = Fixture::start(|id, _| match id {
        "first" => vec![success(id)],
        _ => vec![refusal(503)],
    })
    .await;
    fixture.send("first", false).await;
    let (_, check) = fixture.send("second", false).await;
    assert!(is_refusal(check), "{check:?}");
}

// Guards against: a refusal that arrives before the order is written counts for it.
#[tokio::test]
async fn a_connection_on_which_something_has_arrived_carries_nothing_else() {
    let fixture = Fixture::start(|id, _| match id {
        "first" => vec![success(id), refusal(503)],
        _ => vec![success(id)],
    })
    .await;
    fixture.send_order("first").await;
    assert_eq!(
        fixture.send_order("second").await,
        (200, ResponseCheck::Valid)
    );
    assert_eq!(fixture.connections(), 2);
}

// Guards against: the late copy of a success counts for the request that waits.
#[rstest]
#[tokio::test]
async fn a_second_copy_of_a_success_is_no_response_to_another_request(
    #[values(true, false)] at_most_once: bool,
    #[values(true, false)] names_request: bool,
) {
    let fixture = Fixture::start(move |id, is_first| {
        let copy = Response::new(201).with("Response-Stamp", "0.1.2");
        let copy = match names_request {
            true => copy.with("Request-Id", "first"),
            false => copy,
        };
        let copies = (!is_first).then_some(copy);
        copies.into_iter().chain([success(id)]).collect()
    })
    .await;
    let first = fixture.send("first", at_most_once).await;
    assert_eq!(first, (200, ResponseCheck::Valid));
    let (status, check) = fixture.send("second", at_most_once).await;
    let expected = match names_request {
        true => (200, ResponseCheck::Valid),
        false => (201, ResponseCheck::Corrupt),
    };
    assert_eq!((status, check), expected);
    // The connection may carry more copies, and is not used again.
    let third = fixture.send("third", at_most_once).await;
    assert_eq!(third, (200, ResponseCheck::Valid));
    assert_eq!(fixture.connections(), 2);
}
