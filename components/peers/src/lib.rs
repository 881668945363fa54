//! Services between daemons: wire messages and their typed counterparts.

pub mod convert;
pub mod handover;
pub mod secret;
pub mod witnessing;

/// Messages and services generated from `proto/peers.proto`.
#[allow(missing_docs, clippy::all, unreachable_pub)]
pub mod wire {
    include!("generated/plantaingauge.peers.v1.rs");
}
