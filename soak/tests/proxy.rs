//! Tests of the proxy's faults as a client sees them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http1::response::Response;
use soak::proxy::{LinkFault, Proxy};
use stand_ins::http::{self, Acceptor, Connection};

const TIMEOUT: Duration = Duration::from_millis(400);
const REQUEST: &str = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 79, 1, 1], port))
}

fn start(port: u16) -> (Proxy, Acceptor) {
    let server = http::serve(address(port), Arc::new(|_| Some(Response::new(200)).into()));
    (Proxy::start(address(port + 1), address(port)), server)
}

#[test]
fn a_stalled_connection_resumes_once_the_fault_is_over() {
    let (proxy, _server) = start(7_200);
    let mut connection = Connection::open(address(7_201), TIMEOUT).expect("it listens");
    assert!(connection.call(REQUEST, TIMEOUT).is_ok());
    for fault in [
        LinkFault::Stall,
        LinkFault::StallInbound,
        LinkFault::StallOutbound,
    ] {
        proxy.set_fault(fault);
        let mut stalled = Connection::open(address(7_201), TIMEOUT).expect("it listens");
        assert!(stalled.call(REQUEST, TIMEOUT).is_err(), "{fault:?}");
        proxy.set_fault(LinkFault::None);
        assert!(connection.call(REQUEST, TIMEOUT).is_ok(), "{fault:?}");
    }
}

#[test]
fn a_delayed_response_arrives_late() {
    let (proxy, _server) = start(7_210);
    proxy.set_fault(LinkFault::Delay(TIMEOUT / 8));
    let mut connection = Connection::open(address(7_211), TIMEOUT).expect("it listens");
    let start = Instant::now();
    assert!(connection.call(REQUEST, TIMEOUT * 4).is_ok());
    assert!(start.elapsed() >= TIMEOUT / 4);
}

#[test]
fn a_lost_response_belongs_to_a_request_that_was_read() {
    let request_count = Arc::new(AtomicUsize::new(0));
    let handler_count = Arc::clone(&request_count);
    let handler: http::Handler = Arc::new(move |_| {
        handler_count.fetch_add(1, Ordering::SeqCst);
        Some(Response::new(200)).into()
    });
    let _server = http::serve(address(7_230), handler);
    let proxy = Proxy::start(address(7_231), address(7_230));
    proxy.set_fault(LinkFault::LoseResponses);
    let mut connection = Connection::open(address(7_231), TIMEOUT).expect("it listens");
    assert!(connection.call(REQUEST, TIMEOUT).is_err());
    assert_eq!(request_count.load(Ordering::SeqCst), 1);
}

#[test]
fn a_reset_ends_open_and_new_connections() {
    let (proxy, _server) = start(7_220);
    let mut connection = Connection::open(address(7_221), TIMEOUT).expect("it listens");
    assert!(connection.call(REQUEST, TIMEOUT).is_ok());
    proxy.set_fault(LinkFault::Reset);
    assert!(connection.call(REQUEST, TIMEOUT).is_err());
    let fresh = Connection::open(address(7_221), TIMEOUT);
    assert!(fresh.and_then(|mut c| c.call(REQUEST, TIMEOUT)).is_err());
}
