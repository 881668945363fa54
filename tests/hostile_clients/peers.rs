//! Strangers at the port for peers.

use node::frame::{self, Features, Frame, NodeStatus};
use rstest::rstest;
use stand_ins::layout;
use world::name::{MachineName, RegionName, ServiceName, ZoneName};

use crate::crowd;
use crate::process::{Limits, Process};

/// Strangers that send at the same time.
const CROWD: usize = 20;
/// Bytes that each sends.
const SENT_BYTES: usize = 20_000_000;
/// Bytes that are sent at once.
const PIECE_BYTES: usize = 65_536;

// Guards against frames without end, or bytes that are no frames, of processes that are no peers.
#[rstest]
#[case::long_frame(&(70_u32 << 20).to_be_bytes())]
#[case::too_long_frame(&u32::MAX.to_be_bytes())]
#[case::no_frame(b"POST / HTTP/1.1\r\n\r\n")]
fn strangers_cannot_fill_the_memory(#[case] start: &[u8]) {
    let mut process = Process::start(Limits::default());
    let mut message = start.to_vec();
    message.resize(SENT_BYTES, 0);
    let clients = crowd::run(CROWD, process.address(layout::PEER_PORT), |stream| {
        crowd::send(stream, &message, PIECE_BYTES);
    });
    process.check(&format!("strangers {start:?}"));
    drop(clients);
}

/// Returns the introduction of a process of no machine of the deployment.
fn hello() -> Vec<u8> {
    let status = NodeStatus {
        machine: MachineName::new("stranger"),
        region: RegionName::new("r"),
        zone: ZoneName::new("z"),
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 7,
        version: 1,
        back_end: None,
        lease: None,
        catalog_version: 0,
        store_reachable: true,
        leaving: false,
        utilization_eighths: 0,
        features: Features::SUPPORTED,
    };
    let bytes = frame::encode(&Frame::Hello(Box::new(status)));
    bytes.expect("a short frame").to_vec()
}

// Guards against frames without end of processes that say that they are peers.
#[test]
fn processes_that_introduce_themselves_cannot_fill_the_memory() {
    let mut process = Process::start(Limits::default());
    let mut message = hello();
    message.extend((70_u32 << 20).to_be_bytes());
    message.resize(SENT_BYTES, 0);
    let clients = crowd::run(CROWD, process.address(layout::PEER_PORT), |stream| {
        crowd::send(stream, &message, PIECE_BYTES);
    });
    process.check("strangers with an introduction");
    drop(clients);
}
