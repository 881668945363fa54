//! Copies of a peer's request that arrive late, over a connection that the peer has given up.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use node::frame::{self, ForwardedRequest, Frame};
use world::name::ServiceName;

use crate::SETTLE_TIMEOUT;
use crate::delayed_peer::status;
use crate::deployment::Deployment;

/// The peer's id of the request.
const ID: u64 = 11;
/// The caller's id of it.
const REQUEST_ID: Bytes = Bytes::from_static(b"late-1");
/// Time in which a wrongly executed copy would have been executed.
const EXECUTION_TIME: Duration = Duration::from_millis(500);

fn order(timeout: Duration) -> Frame {
    Frame::Request(Box::new(ForwardedRequest {
        id: ID,
        service: ServiceName::new("orders"),
        method: Bytes::from_static(b"POST"),
        target: Bytes::from_static(b"/orders/new"),
        headers: vec![(Bytes::from_static(b"Request-Id"), REQUEST_ID)],
        body: Bytes::new(),
        request_id: REQUEST_ID,
        sent_ms: 5_000,
        remaining_ms: u32::try_from(timeout.as_millis()).expect("a short timeout"),
        missed_target: false,
        target_ms: 1_000,
        idempotent: false,
        priority: 1,
        class: 1,
        key: None,
        caller: ServiceName::new("other"),
    }))
}

/// A connection of the peer to a process.
struct Connection(TcpStream);

impl Connection {
    fn open(deployment: &Deployment, machine: usize) -> Self {
        let stream = TcpStream::connect(deployment.peer_address(machine));
        let mut connection = Self(stream.expect("the port is open"));
        let own_address = SocketAddr::from(([127, 0, 0, 1], 9));
        connection.send(&Frame::Hello(Box::new(status(own_address))));
        connection
    }

    fn send(&mut self, frame: &Frame) {
        let bytes = frame::encode(frame).expect("a short frame");
        self.0.write_all(&bytes).expect("an open connection");
    }
}

fn start(net: u8) -> Deployment {
    let deployment = Deployment::start(net, 1);
    deployment.store.write_config(2, &["/added/"]);
    deployment.await_status(0, "/added/", 200, SETTLE_TIMEOUT);
    deployment
}

fn await_executions(deployment: &Deployment, count: u64) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while deployment.executed_orders() < count {
        assert!(Instant::now() < deadline, "the order is not executed");
        std::thread::sleep(Duration::from_millis(20));
    }
}

// Guards against an order that runs twice: a copy on a stalled connection arrives after another
// connection has cancelled the request.
#[test]
fn a_copy_that_arrives_after_the_request_was_cancelled_is_not_executed() {
    let deployment = start(38);
    let order = order(Duration::from_secs(4));
    let mut first = Connection::open(&deployment, 0);
    first.send(&order);
    await_executions(&deployment, 1);
    let mut second = Connection::open(&deployment, 0);
    second.send(&order);
    second.send(&Frame::Cancel { id: ID });
    std::thread::sleep(EXECUTION_TIME);
    let mut stalled = Connection::open(&deployment, 0);
    stalled.send(&order);
    std::thread::sleep(EXECUTION_TIME);
    assert_eq!(deployment.executed_orders(), 1);
}

// Guards against an order that runs twice: its response is kept for less time than its timeout.
#[test]
fn a_copy_that_arrives_long_after_the_response_is_not_executed() {
    let deployment = start(39);
    let order = order(Duration::from_secs(30));
    let mut prompt = Connection::open(&deployment, 0);
    prompt.send(&order);
    await_executions(&deployment, 1);
    std::thread::sleep(Duration::from_secs(4));
    let mut stalled = Connection::open(&deployment, 0);
    stalled.send(&order);
    std::thread::sleep(EXECUTION_TIME);
    assert_eq!(deployment.executed_orders(), 1);
}

// Guards against an order that runs after its deadline: the first frame of a connection tells its
// age only by comparison with those of the peer's other connections.
#[test]
fn a_request_that_was_under_way_for_longer_than_its_timeout_is_not_executed() {
    let deployment = start(40);
    let mut prompt = Connection::open(&deployment, 0);
    prompt.send(&order(Duration::from_secs(2)));
    await_executions(&deployment, 1);
    std::thread::sleep(Duration::from_secs(3));
    let Frame::Request(mut late) = order(Duration::from_secs(2)) else {
        unreachable!("a request")
    };
    late.id = ID + 1;
    let mut stalled = Connection::open(&deployment, 0);
    stalled.send(&Frame::Request(late));
    std::thread::sleep(EXECUTION_TIME);
    assert_eq!(deployment.executed_orders(), 1);
}
