//! Request bodies that are large, late or without end.

use rstest::rstest;
use stand_ins::layout;

use crate::crowd;
use crate::process::{Limits, Process};

/// Clients that send bodies at the same time.
const CROWD: usize = 40;
/// Length of a body at the callers' port: the largest that is allowed.
const CALLER_BODY_BYTES: usize = 8_000_000;
/// Length of a body at the platform's ports.
const PLATFORM_BODY_BYTES: usize = 4_000_000;
/// Bytes that a client sends of a body far over the limit.
const ENDLESS_BYTES: usize = 12_000_000;
/// Bytes of a body that are sent at once.
const PIECE_BYTES: usize = 65_536;
/// The same, of small pieces.
const SMALL_PIECE_BYTES: usize = 2_048;

/// Where clients send their bodies.
#[derive(Clone, Copy, Debug)]
enum Target {
    Route,
    NoRoute,
    Readiness,
    Heartbeat,
    Metrics,
}

impl Target {
    fn port(self) -> u16 {
        match self {
            Self::Route | Self::NoRoute => layout::CALLER_PORT,
            Self::Readiness => layout::READINESS_PORT,
            Self::Heartbeat => layout::HEARTBEAT_PORT,
            Self::Metrics => layout::METRICS_PORT,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Route => "/orders/slow/",
            Self::NoRoute => "/none/",
            Self::Readiness => "/plantaingauge/readiness",
            Self::Heartbeat => "/plantaingauge/Instances.Heartbeat/i-0",
            Self::Metrics => "/metrics",
        }
    }

    fn body_bytes(self) -> usize {
        match self {
            Self::Route | Self::NoRoute => CALLER_BODY_BYTES,
            Self::Readiness | Self::Heartbeat | Self::Metrics => PLATFORM_BODY_BYTES,
        }
    }
}

/// How clients send their bodies; all stay connected.
#[derive(Clone, Copy, Debug)]
enum Shape {
    Whole,
    OneByteShort,
    SmallPieces,
    ChunksWithoutEnd,
    LengthOverLimit,
    EndlessChunks,
}

/// Returns head and body, and the size of the pieces in which they are sent.
fn message(target: Target, shape: Shape) -> (Vec<u8>, usize) {
    let length = target.body_bytes();
    let stated = |n: u64| format!("Content-Length: {n}\r\n");
    let (fields, body) = match shape {
        Shape::Whole => (stated(length as u64), vec![b'x'; length]),
        Shape::OneByteShort | Shape::SmallPieces => (stated(length as u64), vec![b'x'; length - 1]),
        Shape::LengthOverLimit => (stated(10_000_000_000), vec![b'x'; ENDLESS_BYTES]),
        Shape::ChunksWithoutEnd => (String::new(), chunks(length)),
        Shape::EndlessChunks => (String::new(), chunks(ENDLESS_BYTES)),
    };
    let fields = match shape {
        Shape::ChunksWithoutEnd | Shape::EndlessChunks => {
            "Transfer-Encoding: chunked\r\n".to_owned()
        }
        _ => fields,
    };
    let mut message = crowd::head(target.path(), &fields);
    message.extend_from_slice(&body);
    let piece = match shape {
        Shape::SmallPieces => SMALL_PIECE_BYTES,
        _ => PIECE_BYTES,
    };
    (message, piece)
}

fn chunks(length: usize) -> Vec<u8> {
    let mut chunk = b"1000\r\n".to_vec();
    chunk.extend_from_slice(&[b'x'; 0x1000]);
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(length / 0x1000)
}

// Guards against bodies of a legal size, complete or not, that together exceed the memory of the process.
#[rstest]
fn many_bodies_stay_within_the_memory(
    #[values(
        Target::Route,
        Target::NoRoute,
        Target::Readiness,
        Target::Heartbeat,
        Target::Metrics
    )]
    target: Target,
    #[values(
        Shape::Whole,
        Shape::OneByteShort,
        Shape::SmallPieces,
        Shape::ChunksWithoutEnd,
        Shape::LengthOverLimit,
        Shape::EndlessChunks
    )]
    shape: Shape,
) {
    let mut process = Process::start(Limits::default());
    let (message, piece) = message(target, shape);
    let clients = crowd::run(CROWD, process.address(target.port()), |stream| {
        crowd::send(stream, &message, piece);
    });
    process.check(&format!("bodies {target:?} {shape:?}"));
    drop(clients);
}

// Guards against memory or descriptors that clients leave behind which stop half-way and close.
#[rstest]
fn bodies_that_stop_half_way_leave_nothing_behind(
    #[values(Target::Route, Target::NoRoute, Target::Readiness, Target::Heartbeat)] target: Target,
) {
    let mut process = Process::start(Limits::default());
    let (message, piece) = message(target, Shape::Whole);
    for _ in 0..5 {
        drop(crowd::run(8, process.address(target.port()), |stream| {
            crowd::send(stream, &message[..message.len() / 2], piece);
        }));
    }
    process.check(&format!("half-way {target:?}"));
}
