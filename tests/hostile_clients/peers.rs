//! Strangers at the port for peers.

use rstest::rstest;
use stand_ins::layout;

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
