//! Bounds on what callers may make the process hold, at the port for callers.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use node::entry;
use node::node::Node;
use serde_json::json;
use timer::{BootClock, Clock};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Requests that a caller may send ahead.
const PIPELINED: usize = 32;
/// Length of a large body.
const BODY_BYTES: usize = 30_000_000;
/// Time within which a response must arrive.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the entry of a process with a route `/a/` that has no back end.
async fn start() -> (Rc<Node>, SocketAddr) {
    let node = common::offline_node();
    let document = json!({
        "version": 1,
        "routes": {
            "columns": ["name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs",
                "priority", "service", "attempts"],
            "rows": [["a", "h", "/a/", "safe", 1000, 500, 1, "s", 1]]
        },
        "services": {
            "columns": ["name", "healthCheckPath", "connectionCap"], "rows": [["s", "/health", 9]]
        }
    });
    assert!(node.on_configuration(document, "test"));
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any_port).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::task::spawn_local(entry::serve(Rc::clone(&node), listener));
    (node, address)
}

fn confirm(node: &Node) {
    node.on_configuration_confirmed(BootClock.now());
}

fn head(path: &str, length: usize) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n")
}

async fn open(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("an open port")
}

/// Reads until `count` responses have begun; returns what was read.
async fn read_responses(stream: &mut TcpStream, count: usize) -> String {
    let mut text = Vec::new();
    let reading = async {
        while String::from_utf8_lossy(&text).matches("HTTP/1.1 ").count() < count {
            let read = stream
                .read_buf(&mut text)
                .await
                .expect("an open connection");
            assert!(read > 0, "the connection ended");
        }
    };
    let _ = tokio::time::timeout(TIMEOUT, reading).await;
    String::from_utf8_lossy(&text).into_owned()
}

// Guards against requests sent ahead that are not answered, or in another order.
#[tokio::test]
async fn requests_sent_ahead_are_answered_in_their_order() {
    let test = async {
        let (node, address) = start().await;
        confirm(&node);
        let mut stream = open(address).await;
        let requests: String = (0..PIPELINED)
            .map(|i| head(if i % 2 == 0 { "/a/" } else { "/none/" }, 0))
            .collect();
        let sent = stream.write_all(requests.as_bytes()).await;
        sent.expect("an open connection");
        let text = read_responses(&mut stream, PIPELINED).await;
        let starts: Vec<_> = text
            .lines()
            .filter(|l| l.starts_with("HTTP/1.1 "))
            .collect();
        let expected = (0..PIPELINED).map(|i| if i % 2 == 0 { "503" } else { "404" });
        assert!(starts.iter().map(|l| &l[9..12]).eq(expected), "{starts:?}");
    };
    LocalSet::new().run_until(test).await;
}

// Guards against incomplete bodies that together exceed their share of the memory, and against ordinary
// requests that are refused beside them.
#[tokio::test]
async fn the_largest_incomplete_bodies_are_refused_with_503() {
    let test = async {
        let (node, address) = start().await;
        confirm(&node);
        let mut clients = Vec::new();
        for _ in 0..8 {
            let mut stream = open(address).await;
            let message = head("/a/", BODY_BYTES + 1).into_bytes();
            let body = vec![b'x'; BODY_BYTES];
            let sent = stream.write_all(&[message, body].concat()).await;
            assert!(node.memory.in_use() <= node.memory.limit());
            clients.push((stream, sent.is_ok()));
        }
        // 256 MB, of which half holds four of these bodies.
        let mut refused = 0;
        for (stream, _) in &mut clients {
            let mut start = [0; 12];
            let read = stream.read_exact(&mut start);
            let read = tokio::time::timeout(Duration::from_millis(100), read).await;
            refused += usize::from(matches!(read, Ok(Ok(_))) && start.ends_with(b"503"));
        }
        assert_eq!(refused, 4);
        // The first confirmation has expired if the bodies took long.
        confirm(&node);
        let mut stream = open(address).await;
        let sent = stream.write_all(head("/none/", 0).as_bytes()).await;
        sent.expect("an open connection");
        assert!(
            read_responses(&mut stream, 1)
                .await
                .starts_with("HTTP/1.1 404")
        );
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a body that is held although no route matches, and against another response to it.
#[tokio::test]
async fn a_body_without_route_is_dropped_as_it_is_read() {
    let test = async {
        let (node, address) = start().await;
        confirm(&node);
        let mut stream = open(address).await;
        let message = head("/none/", BODY_BYTES).into_bytes();
        let body = vec![b'x'; BODY_BYTES - 1];
        let sent = stream.write_all(&[message, body].concat()).await;
        sent.expect("an open connection");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(node.memory.in_use() < 200_000, "{}", node.memory.in_use());
        confirm(&node);
        stream.write_all(b"x").await.expect("an open connection");
        assert!(
            read_responses(&mut stream, 1)
                .await
                .starts_with("HTTP/1.1 404")
        );
    };
    LocalSet::new().run_until(test).await;
}
