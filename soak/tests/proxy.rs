//! Faults of the proxy, as seen by a caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http1::response::Response;
use soak::proxy::{Cut, Proxy};
use stand_ins::http::{self, Acceptor, Connection};

const WAIT: Duration = Duration::from_millis(400);
const REQUEST: &str = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 79, 1, 1], port))
}

fn start(port: u16) -> (Proxy, Acceptor) {
    let server = http::serve(at(port), Arc::new(|_| Some(Response::new(200))));
    (Proxy::start(at(port + 1), at(port)), server)
}

#[test]
fn a_silenced_connection_goes_on_once_the_fault_is_over() {
    let (proxy, _server) = start(7_200);
    let mut connection = Connection::open(at(7_201), WAIT).expect("it listens");
    assert!(connection.call(REQUEST, WAIT).is_ok());
    for cut in [Cut::Silent, Cut::SilentIn, Cut::SilentOut] {
        proxy.set_cut(cut);
        let mut silent = Connection::open(at(7_201), WAIT).expect("it listens");
        assert!(silent.call(REQUEST, WAIT).is_err(), "{cut:?}");
        proxy.set_cut(Cut::None);
        assert!(connection.call(REQUEST, WAIT).is_ok(), "{cut:?}");
    }
}

#[test]
fn a_delayed_answer_arrives_late() {
    let (proxy, _server) = start(7_210);
    proxy.set_cut(Cut::Delay(WAIT / 8));
    let mut connection = Connection::open(at(7_211), WAIT).expect("it listens");
    let start = Instant::now();
    assert!(connection.call(REQUEST, WAIT * 4).is_ok());
    assert!(start.elapsed() >= WAIT / 4);
}

#[test]
fn a_lost_answer_is_one_to_a_request_that_was_read() {
    let read = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&read);
    let handler: http::Handler = Arc::new(move |_| {
        seen.fetch_add(1, Ordering::SeqCst);
        Some(Response::new(200))
    });
    let _server = http::serve(at(7_230), handler);
    let proxy = Proxy::start(at(7_231), at(7_230));
    proxy.set_cut(Cut::LoseAnswers);
    let mut connection = Connection::open(at(7_231), WAIT).expect("it listens");
    assert!(connection.call(REQUEST, WAIT).is_err());
    assert_eq!(read.load(Ordering::SeqCst), 1);
}

#[test]
fn a_reset_ends_open_and_new_connections() {
    let (proxy, _server) = start(7_220);
    let mut connection = Connection::open(at(7_221), WAIT).expect("it listens");
    assert!(connection.call(REQUEST, WAIT).is_ok());
    proxy.set_cut(Cut::Reset);
    assert!(connection.call(REQUEST, WAIT).is_err());
    let fresh = Connection::open(at(7_221), WAIT);
    assert!(fresh.and_then(|mut c| c.call(REQUEST, WAIT)).is_err());
}
