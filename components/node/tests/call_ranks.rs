//! Calls inherit the priority of the request that they serve where a route has the top priority,
//! and older processes get ranks that they order sensibly.

use std::collections::HashMap;
use std::time::Duration;

use admission::rank::Rank;
use bytes::{Bytes, BytesMut};
use catalog::{Catalog, Limits, Route};
use node::call_rank;
use node::frame::{self, Features, ForwardedRequest, Frame};
use rstest::rstest;
use smallvec::SmallVec;
use world::name::ServiceName;

fn route(priority: u8) -> Route {
    Route {
        name: format!("route-{priority}"),
        host: "h".into(),
        prefix: format!("/{priority}/"),
        idempotent: false,
        large_responses: false,
        homes: SmallVec::new(),
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_secs(1),
        priority,
        states_priority: true,
        max_attempts: 1,
        traffic_split: SmallVec::new(),
    }
}

fn catalog(priorities: &[u8]) -> Catalog {
    let routes = priorities.iter().map(|p| route(*p)).collect();
    Catalog::new(1, routes, HashMap::new(), Limits::default())
}

fn request(rank: Rank) -> ForwardedRequest {
    ForwardedRequest {
        id: 1,
        service: ServiceName::new("s"),
        method: Bytes::from("GET"),
        target: Bytes::from("/"),
        headers: Vec::new(),
        body: Bytes::new(),
        request_id: Bytes::from("9c41"),
        sent_ms: 0,
        remaining_ms: 100,
        missed_target: false,
        target_ms: 100,
        idempotent: true,
        priority: rank.encode(),
        class: 0,
        key: None,
        caller: ServiceName::new("c"),
    }
}

// Guards against calls of unimportant requests that take the room of important new ones.
#[rstest]
#[case::of_important(0)]
#[case::of_unimportant(2)]
fn calls_inherit_the_priority_of_their_parent(#[case] of_parent: u8) {
    let catalog = catalog(&[0, 1, 2]);
    let parent = request(Rank::request(of_parent));
    let call = call_rank::assign(&catalog, &route(1), Some(&parent));
    assert_eq!(call, Rank::request(of_parent).of_call());
    let call_of_call = call_rank::assign(&catalog, &route(1), Some(&request(call)));
    assert_eq!(call_of_call, call);
}

// Guards against a changed order where no route has the top priority.
#[test]
fn calls_alone_have_priority_0_where_no_route_has_it() {
    let catalog = catalog(&[1, 2]);
    let parent = request(Rank::request(2));
    let call = call_rank::assign(&catalog, &route(1), Some(&parent));
    assert_eq!(call.encode(), 0);
    assert_eq!(call_rank::assign(&catalog, &route(2), None).encode(), 2);
}

#[test]
fn new_requests_have_the_priority_of_their_route() {
    let rank = call_rank::assign(&catalog(&[0, 2]), &route(2), None);
    assert_eq!(rank, Rank::request(2));
}

// Guards against an older process that runs calls last, as their encoded rank is a high number.
#[rstest]
#[case::earlier_version(Features { call_ranks: false, ..Features::SUPPORTED }, 2)]
#[case::this_version(Features::SUPPORTED, Rank::request(2).of_call().encode())]
fn an_earlier_version_gets_the_priority_alone(#[case] features: Features, #[case] expected: u8) {
    let call = request(Rank::request(2).of_call()).for_features(features);
    let frame = Frame::Request(Box::new(call));
    let bytes = frame::encode(&frame).expect("a short frame");
    let decoded = frame::decode(&mut BytesMut::from(&bytes[..]));
    match decoded.expect("well-formed").expect("complete") {
        Frame::Request(request) => assert_eq!(request.priority, expected),
        other => panic!("{other:?}"),
    }
}
