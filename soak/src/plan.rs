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
/// Range of the time for which the store is away before it is restored, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 100..2_000;
/// Range of the age of the copy when the store goes away, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 500..8_000;
/// Range of the time from the restore until the operator writes again, in milliseconds.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 0..1_500;
/// The same where all processes are killed as well.
const LONG_REWRITE_DELAY_MS: std::ops::Range<u64> = 500..5_000;
/// Maximum time between the starts of two faults that let configurations become outdated.
const OUTDATING_GAP_MS: u64 = 8_000;
/// Range of the duration of a fault over a change of the configuration, in milliseconds.
const MISSED_MS: std::ops::Range<u64> = 3_000..7_000;
/// Range of the time from its start to the change, in milliseconds.
const CHANGE_DELAY_MS: std::ops::Range<u64> = 100..1_000;
/// Separates these faults from the others of a seed.
const OUTDATING_SEED: u64 = 0x0DD5;
/// Range of the delay of writes, in milliseconds.
const WRITE_DELAY_MS: std::ops::Range<u64> = 200..6_000;

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
    /// The process is suspended, and a new version of the configuration is written after this time.
    PauseOverChange(Duration),
    /// The store does not reach this machine and the next one, nor do peers reach each other, and a new
    /// version of the configuration is written after this time.
    CutOff(LinkFault, Duration),
    /// The store goes away and is restored from a snapshot.
    RestoreStore(Restore),
}

/// From what the store comes back, and when it has the newest configuration again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restore {
    /// Age of the copy when the store goes away.
    pub copy_age: Duration,
    /// Time from the return until the operator writes the newest configuration again.
    pub rewrite_delay: Duration,
    /// Whether all processes are killed as it returns.
    pub kills_all: bool,
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
///
/// Without `restores`, the store is not restored and executes no write late.
#[must_use]
pub fn generate(
    seed: u64,
    machines: usize,
    total: Duration,
    restores: bool,
) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut start = Duration::ZERO;
    loop {
        start += random_ms(&mut rng, 0..MAX_GAP_MS);
        if start >= total {
            return faults;
        }
        let duration = random_ms(&mut rng, DURATION_MS);
        let machine = rng.random_range(0..machines);
        let fault = random_fault(&mut rng, restores);
        let duration = match fault {
            Fault::RestoreStore(_) => random_ms(&mut rng, AWAY_MS),
            _ => duration,
        };
        faults.push(ScheduledFault {
            start,
            machine,
            fault,
            duration: duration.min(total - start),
        });
    }
}

/// Generates faults by which processes miss a change of the configuration or restart without one,
/// ordered by start.
#[must_use]
pub fn generate_outdating(seed: u64, machines: usize, total: Duration) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ OUTDATING_SEED);
    let mut faults = Vec::new();
    let mut start = Duration::ZERO;
    loop {
        start += random_ms(&mut rng, 0..OUTDATING_GAP_MS);
        if start >= total {
            return faults;
        }
        let missed = random_ms(&mut rng, MISSED_MS);
        let delay = random_ms(&mut rng, CHANGE_DELAY_MS);
        let (fault, duration) = match rng.random_range(0..4) {
            0 => (Fault::PauseOverChange(delay), missed),
            1 => (Fault::CutOff(LinkFault::Stall, delay), missed),
            2 => (Fault::CutOff(LinkFault::Reset, delay), missed),
            _ => {
                let restore = Restore {
                    copy_age: random_ms(&mut rng, COPY_AGE_MS),
                    rewrite_delay: random_ms(&mut rng, LONG_REWRITE_DELAY_MS),
                    kills_all: true,
                };
                let away = random_ms(&mut rng, AWAY_MS);
                (Fault::RestoreStore(restore), away)
            }
        };
        faults.push(ScheduledFault {
            start,
            machine: rng.random_range(0..machines),
            fault,
            duration: duration.min(total - start),
        });
    }
}

fn random_ms(rng: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn random_fault(rng: &mut StdRng, restores: bool) -> Fault {
    let kinds = if restores { 14 } else { 12 };
    match rng.random_range(0..kinds) {
        0 | 1 => Fault::Pause,
        2 => Fault::Kill,
        3 => Fault::Stop,
        4 => Fault::Reload,
        5 => Fault::CrashBackEnd,
        6 => Fault::Store(random_store_fault(rng, restores)),
        7 => Fault::Compact,
        8 | 13 => Fault::ChangeConfig,
        12 => Fault::RestoreStore(Restore {
            copy_age: random_ms(rng, COPY_AGE_MS),
            rewrite_delay: random_ms(rng, REWRITE_DELAY_MS),
            kills_all: false,
        }),
        _ => Fault::Link(random_link(rng), random_link_fault(rng)),
    }
}

fn random_store_fault(rng: &mut StdRng, late_writes: bool) -> StoreFault {
    let delay = random_ms(rng, 50..600);
    let mut choices = vec![
        StoreFault::Unavailable,
        StoreFault::Slow(delay),
        StoreFault::LoseResponses,
    ];
    if late_writes {
        choices.push(StoreFault::DelayWrites(random_ms(rng, WRITE_DELAY_MS)));
    }
    *choices.choose(rng).expect("not empty")
}

fn random_link(rng: &mut StdRng) -> Link {
    let choices = [Link::Peers, Link::Store, Link::BackEnd, Link::Heartbeats];
    *choices.choose(rng).expect("not empty")
}

fn random_link_fault(rng: &mut StdRng) -> LinkFault {
    let delay = random_ms(rng, 20..800);
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
