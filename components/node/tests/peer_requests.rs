//! Requests of a peer whose connection is lost: each runs once, and its response is not lost with it.

use std::time::Duration;

use bytes::Bytes;
use node::frame_stream::{self, FrameQueue, FrameSender, QueuedBytes};
use node::link_queue::Write;
use node::outgoing::Outgoing;
use node::peer_requests::PeerRequests;
use rstest::rstest;
use world::instant::BootInstant;

const START: BootInstant = BootInstant::from_millis(1_000);
const ID: (u64, u64) = (7, 1);
const RESPONSE: Bytes = Bytes::from_static(b"response");

fn link() -> (FrameSender, FrameQueue) {
    frame_stream::channel(&QueuedBytes::default())
}

fn response() -> Outgoing {
    Outgoing {
        id: ID.1,
        rank: 0,
        frame: RESPONSE,
        body: Bytes::new(),
    }
}

fn at(ms: u64) -> BootInstant {
    START + Duration::from_millis(ms)
}

// Guards against work that runs again, or has no response, after its response was lost with a connection.
#[rstest]
#[case::while_it_runs(false)]
#[case::after_it_has_ended(true)]
fn a_copy_over_another_connection_gets_the_response_and_does_not_run(#[case] ended: bool) {
    let mut requests = PeerRequests::default();
    let (lost, receiver) = link();
    assert!(requests.on_arrival(ID, &lost, at(1_000)));
    drop(receiver);
    if ended {
        requests.on_response(ID, response(), at(100));
    }
    let (reopened, receiver) = link();
    assert!(!requests.on_arrival(ID, &reopened, at(1_000)));
    if !ended {
        requests.on_response(ID, response(), at(100));
    }
    assert_eq!(receiver.try_next_write(), Some(Write::Frames(RESPONSE)));
    assert_eq!(receiver.try_next_write(), None, "one copy of the response");
}

// Guards against work that runs again, as its response is no longer kept.
#[test]
fn a_copy_after_the_response_is_forgotten_does_not_run() {
    let mut requests = PeerRequests::default();
    let (sender, _receiver) = link();
    let copies_until = at(10_000);
    assert!(requests.on_arrival(ID, &sender, copies_until));
    requests.on_response(ID, response(), at(100));
    requests.evict_expired(at(9_000));
    let (reopened, receiver) = link();
    assert!(!requests.on_arrival(ID, &reopened, copies_until));
    assert_eq!(receiver.try_next_write(), None);
}

// Guards against a request of a restarted process that gets the response to one of the earlier process.
#[test]
fn a_request_of_another_incarnation_is_another_one() {
    let mut requests = PeerRequests::default();
    let (sender, _receiver) = link();
    assert!(requests.on_arrival(ID, &sender, at(1_000)));
    assert!(requests.on_arrival((ID.0 + 1, ID.1), &sender, at(1_000)));
}
