//! Which faults are played when: drawn from a seed, the same each time.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use stand_ins::store::Trouble;

use crate::proxy::Cut;

/// Longest pause between two faults in milliseconds; several overlap.
const MAX_GAP_MS: u64 = 1_400;
/// Bounds of a fault's duration in milliseconds.
const SPAN_MS: std::ops::Range<u64> = 150..9_000;

/// Connections of one machine's process that a fault can strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// Those that other processes have opened to it.
    Peers,
    /// Those to the store.
    Store,
    /// Those to its back end.
    BackEnd,
    /// The heartbeats of its back end.
    Heartbeats,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process stands still.
    Pause,
    /// The process is killed and starts again.
    Kill,
    /// The process is asked to stop and starts again.
    Stop,
    /// The process is told to read its settings again.
    Reload,
    /// The back end crashes and starts again.
    CrashBackEnd,
    /// Connections misbehave.
    Link(Link, Cut),
    /// The store misbehaves for all.
    Store(Trouble),
    /// The store forgets past changes.
    Compact,
    /// The operator changes the configuration.
    Configure,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time since the start.
    pub at: Duration,
    /// The machine that it strikes.
    pub machine: usize,
    /// What happens.
    pub fault: Fault,
    /// How long it lasts.
    pub lasts: Duration,
}

/// Draws the faults of a soak of the given length.
#[must_use]
pub fn draw(seed: u64, machines: usize, length: Duration) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(0..MAX_GAP_MS));
        if at >= length {
            return events;
        }
        let lasts = Duration::from_millis(rng.random_range(SPAN_MS));
        events.push(Event {
            at,
            machine: rng.random_range(0..machines),
            fault: draw_fault(&mut rng),
            lasts: lasts.min(length - at),
        });
    }
}

fn draw_fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..12) {
        0 | 1 => Fault::Pause,
        2 => Fault::Kill,
        3 => Fault::Stop,
        4 => Fault::Reload,
        5 => Fault::CrashBackEnd,
        6 => Fault::Store(draw_trouble(rng)),
        7 => Fault::Compact,
        8 => Fault::Configure,
        _ => Fault::Link(draw_link(rng), draw_cut(rng)),
    }
}

fn draw_trouble(rng: &mut StdRng) -> Trouble {
    let delay = Duration::from_millis(rng.random_range(50..600));
    let all = [Trouble::Away, Trouble::Slow(delay), Trouble::LostAnswers];
    *all.choose(rng).expect("not empty")
}

fn draw_link(rng: &mut StdRng) -> Link {
    let all = [Link::Peers, Link::Store, Link::BackEnd, Link::Heartbeats];
    *all.choose(rng).expect("not empty")
}

fn draw_cut(rng: &mut StdRng) -> Cut {
    let delay = Duration::from_millis(rng.random_range(20..800));
    let all = [
        Cut::Silent,
        Cut::SilentIn,
        Cut::SilentOut,
        Cut::Delay(delay),
        Cut::Reset,
        Cut::LoseAnswers,
    ];
    *all.choose(rng).expect("not empty")
}
