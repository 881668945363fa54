//! Limits on what clients may take of the process's descriptors and time.

use std::time::Duration;

use crate::node::Node;

/// Descriptors for listeners, timers, the store and logs.
const OWN_DESCRIPTORS: usize = 32;
/// Parts of the descriptors: for the back end, and for connections of strangers to the port for peers.
const BACK_END_DIVISOR: usize = 8;
const STRANGERS_DIVISOR: usize = 8;
/// Part of the descriptors that callers may take in any case, however many peers there are.
const CALLERS_DIVISOR: usize = 4;
/// Connections to each listener of the platform.
pub(crate) const PLATFORM_CONNECTIONS: usize = 12;
/// Listeners of the platform: readiness, heartbeats and metrics.
const PLATFORM_LISTENERS: usize = 3;
/// Connections between two processes: one that each has opened.
const CONNECTIONS_PER_PEER: usize = 2;
/// Least number of strangers at the port for peers.
const MIN_STRANGERS: usize = 8;

/// Time from the head of a request after which its body must have arrived at the least rate.
const BODY_GRACE: Duration = Duration::from_secs(10);
/// Least rate of a body after that time, in bytes per second.
const MIN_BODY_RATE: f64 = 4_096.0;

fn descriptors(node: &Node) -> usize {
    usize::try_from(node.settings.descriptor_limit).unwrap_or(usize::MAX)
}

fn strangers(node: &Node) -> usize {
    (descriptors(node) / STRANGERS_DIVISOR).max(MIN_STRANGERS)
}

/// Returns how many connections callers may open.
pub(crate) fn callers(node: &Node) -> usize {
    let all = descriptors(node);
    let others = OWN_DESCRIPTORS
        + all / BACK_END_DIVISOR
        + PLATFORM_LISTENERS * PLATFORM_CONNECTIONS
        + CONNECTIONS_PER_PEER * node.peers().len()
        + strangers(node);
    all.saturating_sub(others).max(all / CALLERS_DIVISOR)
}

/// Returns how many connections may be open at the port for peers.
pub(crate) fn peers(node: &Node) -> usize {
    CONNECTIONS_PER_PEER * node.peers().len() + strangers(node)
}

/// Returns whether a body of which `received` bytes have arrived in `elapsed` is slower than is allowed.
pub(crate) fn is_too_slow(received: u64, elapsed: Duration) -> bool {
    let counted = elapsed.saturating_sub(BODY_GRACE);
    (received as f64) < MIN_BODY_RATE * counted.as_secs_f64()
}
