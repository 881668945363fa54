//! Request heads that are large, late or have very many header fields.

use rstest::rstest;
use stand_ins::layout;

use crate::crowd;
use crate::process::{Limits, Process};

/// Clients that send heads at the same time.
const CROWD: usize = 150;
/// Largest head in the configuration.
const HEAD_BYTES: usize = 1_000_000;
/// Bytes of a head that are sent at once.
const PIECE_BYTES: usize = 16_384;

const LIMITS: Limits = Limits {
    memory_mb: 96,
    descriptors: 256,
    head_bytes: HEAD_BYTES,
    body_bytes: 8_000_000,
};

// Guards against incomplete heads of a legal size that together exceed the memory of the process, and
// against heads of many short fields that take far more memory decoded than as text.
#[rstest]
fn large_heads_stay_within_the_memory(
    #[values(
        layout::CALLER_PORT,
        layout::READINESS_PORT,
        layout::HEARTBEAT_PORT,
        layout::METRICS_PORT
    )]
    port: u16,
    #[values(
        "a:b\r\n",
        "a-long-name: a-long-value-0123456789-0123456789-0123456789\r\n"
    )]
    field: &str,
    #[values(true, false)] ends: bool,
) {
    let mut process = Process::start(LIMITS);
    let room = HEAD_BYTES - crowd::head("/orders/", "").len();
    let mut head = crowd::head("/orders/", &field.repeat(room / field.len()));
    if !ends {
        head.truncate(head.len() - 1);
    }
    let clients = crowd::run(CROWD, process.address(port), |stream| {
        crowd::send(stream, &head, PIECE_BYTES);
    });
    let short = field.len();
    process.check(&format!(
        "heads port {port}, fields of {short}, ends {ends}"
    ));
    drop(clients);
}

// Guards against many requests with as many short fields as are allowed, whose decoded heads are held
// while they wait for their bodies.
#[rstest]
fn decoded_heads_stay_within_the_memory(
    #[values(layout::CALLER_PORT, layout::HEARTBEAT_PORT)] port: u16,
) {
    let mut process = Process::start(LIMITS);
    let fields = "a:b\r\n".repeat(500) + "Content-Length: 10\r\n";
    let head = crowd::head("/orders/", &fields);
    let clients = crowd::run(CROWD, process.address(port), |stream| {
        crowd::send(stream, &head, PIECE_BYTES);
    });
    process.check(&format!("decoded heads port {port}"));
    drop(clients);
}
