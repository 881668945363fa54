//! gRPC services between daemons: generated messages and their conversion to domain types.

pub mod auth;
pub mod convert;
pub mod handover;
pub mod witnessing;

/// Messages and services generated from `proto/peers.proto`.
#[allow(missing_docs, clippy::all, unreachable_pub)]
pub mod wire {
    include!("generated/plantaingauge.peers.v1.rs");
}
