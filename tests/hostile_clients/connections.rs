//! Very many connections that stay open.

use rstest::rstest;
use stand_ins::layout;

use crate::crowd;
use crate::process::{Limits, Process};

/// Connections to one port, more than the process has descriptors.
const CROWD: usize = 400;

/// What each client sends before it waits.
#[derive(Clone, Copy, Debug)]
enum Start {
    Nothing,
    PartOfHead,
    PartOfBody,
}

// Guards against a process that has no descriptors left for its back end, peers, store and callers.
#[rstest]
fn open_connections_stay_within_the_descriptors(
    #[values(
        layout::CALLER_PORT,
        layout::READINESS_PORT,
        layout::HEARTBEAT_PORT,
        layout::METRICS_PORT,
        layout::PEER_PORT
    )]
    port: u16,
    #[values(Start::Nothing, Start::PartOfHead, Start::PartOfBody)] start: Start,
) {
    let mut process = Process::start(Limits::default());
    let message = match start {
        Start::Nothing => Vec::new(),
        Start::PartOfHead => b"POST /orders/ HTTP/1.1\r\nA: ".to_vec(),
        Start::PartOfBody => crowd::head("/orders/", "Content-Length: 1000\r\n"),
    };
    let address = process.address(port);
    let clients: Vec<_> = (0..CROWD)
        .filter_map(|_| {
            let mut stream = crowd::open(address)?;
            crowd::send(&mut stream, &message, message.len().max(1));
            Some(stream)
        })
        .collect();
    process.check(&format!("connections port {port} {start:?}"));
    drop(clients);
}
