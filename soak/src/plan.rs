//! Schedule of faults, generated from a seed; the same arguments give the same schedule.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use stand_ins::store::StoreFault;

use crate::proxy::LinkFault;

/// Maximum time between the starts of two faults in milliseconds; it is short against the
/// durations, so that faults overlap.
const MAX_GAP_MS: u64 = 1_400;
/// Range of a fault's duration in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 150..9_000;

/// Connections of one node into which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// Connections that peers have opened to it.
    Peers,
    /// Connections to the store.
    Store,
    /// Connections to its back end.
    BackEnd,
    /// Connections on which its back end sends heartbeats.
    Heartbeats,
}

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The node process is suspended with SIGSTOP.
    Pause,
    /// The node process is killed and restarted.
    Kill,
    /// The node process is stopped with SIGTERM and restarted.
    Stop,
    /// The settings file changes; every second time the node also gets SIGHUP.
    Reload,
    /// The back end crashes and is restarted.
    CrashBackEnd,
    /// Connections of one kind have a fault.
    Link(Link, LinkFault),
    /// The store has a fault, which affects all nodes.
    Store(StoreFault),
    /// The store discards its history.
    Compact,
    /// A new version of the configuration is written.
    ChangeConfig,
}

/// A fault with its time, duration and machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Start, as time since the faults begin.
    pub start: Duration,
    /// Machine that it affects; without effect for faults of the store and the configuration.
    pub machine: usize,
    /// Kind of the fault.
    pub fault: Fault,
    /// Time until it is reverted, for faults that are; ends with the soak at the latest.
    pub duration: Duration,
}

/// Generates the faults of a soak of the given duration, ordered by start.
#[must_use]
pub fn generate(seed: u64, machines: usize, total: Duration) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut start = Duration::ZERO;
    loop {
        start += Duration::from_millis(rng.random_range(0..MAX_GAP_MS));
        if start >= total {
            return faults;
        }
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        faults.push(ScheduledFault {
            start,
            machine: rng.random_range(0..machines),
            fault: random_fault(&mut rng),
            duration: duration.min(total - start),
        });
    }
}

fn random_fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..12) {
        0 | 1 => Fault::Pause,
        2 => Fault::Kill,
        3 => Fault::Stop,
        4 => Fault::Reload,
        5 => Fault::CrashBackEnd,
        6 => Fault::Store(random_store_fault(rng)),
        7 => Fault::Compact,
        8 => Fault::ChangeConfig,
        _ => Fault::Link(random_link(rng), random_link_fault(rng)),
    }
}

fn random_store_fault(rng: &mut StdRng) -> StoreFault {
    let delay = Duration::from_millis(rng.random_range(50..600));
    let choices = [
        StoreFault::Unavailable,
        StoreFault::Slow(delay),
        StoreFault::LoseResponses,
    ];
    *choices.choose(rng).expect("not empty")
}

fn random_link(rng: &mut StdRng) -> Link {
    let choices = [Link::Peers, Link::Store, Link::BackEnd, Link::Heartbeats];
    *choices.choose(rng).expect("not empty")
}

fn random_link_fault(rng: &mut StdRng) -> LinkFault {
    let delay = Duration::from_millis(rng.random_range(20..800));
    let choices = [
        LinkFault::Stall,
        LinkFault::StallInbound,
        LinkFault::StallOutbound,
        LinkFault::Delay(delay),
        LinkFault::Reset,
        LinkFault::LoseResponses,
    ];
    *choices.choose(rng).expect("not empty")
}
