//! A request of which a part has arrived is open, so that a process that stops waits for the rest.

mod common;

use std::rc::Rc;
use std::time::Duration;

use node::entry;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Time in which the process sees what has been written to it.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// Returns how many requests are open after a caller has sent `bytes`, and after it has left.
async fn open_requests_after(bytes: &'static [u8]) -> (usize, usize) {
    let test = async {
        let node = common::offline_node();
        let any_port = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        tokio::task::spawn_local(entry::serve(Rc::clone(&node), listener));
        let mut caller = TcpStream::connect(address).await.expect("a listener");
        caller.write_all(bytes).await.expect("an open connection");
        tokio::time::sleep(ARRIVAL_TIME).await;
        let open = node.open_requests.get();
        drop(caller);
        tokio::time::sleep(ARRIVAL_TIME).await;
        (open, node.open_requests.get())
    };
    LocalSet::new().run_until(test).await
}

// Guards against a request that is cut off by a planned stop while it arrives.
#[rstest]
#[case::head(b"POST /a HTTP/1.1\r\nHost: h\r\n")]
#[case::body(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n1234")]
#[case::chunks(b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n")]
#[tokio::test]
async fn a_partial_request_is_open_until_its_caller_leaves(#[case] bytes: &'static [u8]) {
    assert_eq!(open_requests_after(bytes).await, (1, 0));
}

// Guards against a stop that waits for callers that have nothing under way.
#[tokio::test]
async fn an_idle_connection_has_no_open_request() {
    assert_eq!(open_requests_after(b"").await, (0, 0));
}
