//! Heartbeats and their replies are unchanged by conversion to wire messages and back; malformed
//! messages are rejected without a panic.

use ownership::coordinator::Coordinator;
use ownership::heartbeat::{CoordinatorRef, Reply, Request};
use ownership::timing::Timing;
use peers::{convert, wire};
use proptest::prelude::*;
use prost::Message;
use world::contract::{Contract, Operation};
use world::instant::BootInstant;
use world::key::Term;
use world::machine::{BackEnd, Incarnation, Machine};
use world::name::{CellName, MachineName, OperationName, RegionName, ServiceName, ZoneName};

fn machine(name: &str) -> Machine {
    let operation = Operation {
        name: OperationName::new("post"),
        order: true,
    };
    Machine {
        name: MachineName::new(name),
        incarnation: Incarnation(9),
        region: RegionName::new("nord"),
        zone: ZoneName::new("a"),
        peer_address: "127.0.0.1:7001".parse().expect("address"),
        traffic_address: "127.0.0.1:3".parse().expect("address"),
        caller_address: "127.0.0.1:7002".parse().expect("address"),
        back_end: Some(BackEnd {
            instance: Incarnation(3),
            contract: Contract {
                service: ServiceName::new("credits"),
                keyed: true,
                checks_fences: true,
                operations: [operation].into_iter().collect(),
            },
            slots: 18,
            draining: false,
        }),
        leaving: false,
    }
}

fn request(name: &str) -> Request {
    Request {
        cell: CellName::new("maroc"),
        term: Term(1),
        machine: machine(name),
        revision: 0,
        route_version: 0,
        lists_version: 4,
        former_holdings: Vec::new(),
        released: Vec::new(),
        loads: Vec::new(),
    }
}

/// Returns a reply with grants and a route table of two machines.
fn full_reply() -> Reply {
    let coordinator_ref = CoordinatorRef {
        term: Term(1),
        name: MachineName::new("m1"),
        address: "127.0.0.1:7001".parse().expect("address"),
    };
    let start = BootInstant::from_millis(1_000);
    let mut coordinator = Coordinator::new(Timing::default(), coordinator_ref, start, start);
    let authority_end = BootInstant::from_millis(60_000);
    let mut reply = Reply::Refused(None);
    for beat in 0..8 {
        let now = start + Timing::default().heartbeat * beat;
        coordinator.on_heartbeat(now, authority_end, 1, &request("m2"));
        reply = coordinator.on_heartbeat(now, authority_end, 1, &request("m1"));
    }
    reply
}

#[test]
fn a_heartbeat_survives_the_wire() {
    let request = request("m1");
    let message = convert::heartbeat_request_to_wire(&request);
    assert_eq!(
        convert::heartbeat_request_from_wire(&message).expect("readable"),
        request
    );
}

#[test]
fn an_answer_survives_the_wire() {
    let reply = full_reply();
    let Reply::Accepted(accepted) = &reply else {
        panic!("not accepted")
    };
    assert!(
        accepted
            .grants
            .as_ref()
            .is_some_and(|g| !g.holdings.is_empty())
    );
    let message = convert::heartbeat_reply_to_wire(&reply);
    assert_eq!(
        convert::heartbeat_reply_from_wire(&message).expect("readable"),
        reply
    );
}

#[test]
fn errors_on_a_shard_out_of_range() {
    let mut message = convert::heartbeat_request_to_wire(&request("m1"));
    message.held.push(wire::HoldingSet {
        service: "credits".to_owned(),
        shards: vec![70_000],
        fences: vec![1],
    });
    let error = convert::heartbeat_request_from_wire(&message).expect_err("out of range");
    assert_eq!(error.to_string(), "field shard is out of range");
}

proptest! {
    #[test]
    fn never_panics_on_arbitrary_bytes(bytes: Vec<u8>) {
        if let Ok(message) = wire::HeartbeatRequest::decode(bytes.as_slice()) {
            let _ = convert::heartbeat_request_from_wire(&message);
        }
        if let Ok(message) = wire::HeartbeatReply::decode(bytes.as_slice()) {
            let _ = convert::heartbeat_reply_from_wire(&message);
        }
    }
}
