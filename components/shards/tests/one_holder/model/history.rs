//! Histories of a simulation: faults and other events, drawn from a seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::restores::Restore;

/// An event on the machine of the given index; durations are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// The process is paused.
    PauseProcess(usize, f64),
    /// The process is killed and restarts.
    KillProcess(usize, f64),
    /// The back end crashes and restarts, or not.
    CrashBackEnd(usize, Option<f64>),
    /// The machine loses power and restarts, or not.
    PowerOff(usize, Option<f64>),
    /// All processes are killed; each restarts within this time.
    KillAllProcesses(f64),
    /// The machine is partitioned from the store and all others.
    Partition(usize, f64),
    /// The machine is partitioned from the store only.
    PartitionFromStore(usize, f64),
    /// The machine is partitioned from all others only.
    PartitionFromPeers(usize, f64),
    /// The zone of the first machines, as many as stated, is evacuated.
    Evacuate(usize),
    /// The back end starts to drain.
    Drain(usize),
    /// The back end has this utilization, so that keys should move.
    SetLoad(usize, f64),
}

/// Faults of requests to the store; the fractions add up to at most 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreFaults {
    /// Upper bound of the latency of a request without fault.
    pub(crate) latency_ms: f64,
    /// Fraction that is never executed.
    pub(crate) dropped: f64,
    /// Fraction that is executed without a response.
    pub(crate) response_lost: f64,
    /// Fraction that is executed seconds later, without a response.
    pub(crate) delayed: f64,
}

impl StoreFaults {
    /// No request fails.
    pub(crate) const NONE: Self = Self {
        latency_ms: 12.0,
        dropped: 0.0,
        response_lost: 0.0,
        delayed: 0.0,
    };
}

/// Events and store faults of one simulation.
#[derive(Clone, Debug)]
pub(crate) struct History {
    /// Seed of all other random values of the simulation.
    pub(crate) seed: u64,
    /// Number of machines.
    pub(crate) machines: usize,
    /// Duration in milliseconds.
    pub(crate) end: f64,
    /// Events with their times in milliseconds.
    pub(crate) events: Vec<(f64, Event)>,
    /// Store faults with the start and end of their period.
    pub(crate) store_faults: Vec<(f64, f64, StoreFaults)>,
    /// Restores of the store from a snapshot, in order and without overlap.
    pub(crate) restores: Vec<Restore>,
}

/// Machines in the zone that is evacuated, from machine 0 on.
pub(crate) const EVACUATED_MACHINES: usize = 2;

/// End of the faults in a recovering history.
pub(super) const FAULTS_END_MS: f64 = 25_000.0;

impl History {
    /// Returns a history without events and faults.
    pub(crate) fn without_faults() -> Self {
        Self {
            seed: 1,
            machines: 4,
            end: 12_000.0,
            events: Vec::new(),
            store_faults: Vec::new(),
            restores: Vec::new(),
        }
    }

    /// Returns a history in which a machine loses its peers after it has begun to move keys to them.
    pub(crate) fn without_recipients() -> Self {
        Self {
            machines: 2,
            events: vec![
                (5_000.0, Event::SetLoad(0, 1.5)),
                (5_100.0, Event::PartitionFromPeers(0, 7_000.0)),
            ],
            ..Self::without_faults()
        }
    }

    /// Returns a history with faults to its end.
    pub(crate) fn with_faults(seed: u64) -> Self {
        Self::random(seed, 40_000.0, 40_000.0)
    }

    /// Returns a history whose faults cease long before its end, with at least one machine that
    /// stays.
    pub(crate) fn recovering(seed: u64) -> Self {
        Self::random(seed, FAULTS_END_MS, FAULTS_END_MS + 45_000.0)
    }

    /// Returns a history in which the zone of two of six machines is evacuated while two random ones
    /// fall silent for good, under faults of the store.
    pub(crate) fn with_evacuation(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0xe7ac);
        let mut events = vec![(8_000.0_f64, Event::Evacuate(EVACUATED_MACHINES))];
        let first = rng.random_range(0..6);
        let second = (first + rng.random_range(1..6)) % 6;
        for machine in [first, second] {
            let at = rng.random_range(5_000.0..12_000.0);
            let event = match rng.random_range(0..3) {
                0 => Event::PauseProcess(machine, 60_000.0),
                1 => Event::PowerOff(machine, None),
                _ => Event::Partition(machine, 60_000.0),
            };
            events.push((at, event));
        }
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        let from = rng.random_range(4_000.0..12_000.0);
        let to = from + rng.random_range(1_000.0..6_000.0);
        Self {
            seed,
            machines: 6,
            end: 45_000.0,
            events,
            store_faults: vec![(from, to, Self::random_faults(&mut rng))],
            restores: Vec::new(),
        }
    }

    pub(super) fn random(seed: u64, faults_end: f64, end: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
        let machines = rng.random_range(2..=5);
        let count = rng.random_range(2..14);
        let mut events: Vec<(f64, Event)> = (0..count)
            .map(|_| {
                let at = rng.random_range(2_000.0..faults_end - 6_000.0);
                (at, Self::random_event(&mut rng, machines))
            })
            .collect();
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        let periods = rng.random_range(0..4);
        let store_faults = (0..periods)
            .map(|_| {
                let from = rng.random_range(0.0..faults_end - 9_500.0);
                let to = from + rng.random_range(1_000.0..9_000.0);
                (from, to, Self::random_faults(&mut rng))
            })
            .collect();
        Self {
            seed,
            machines,
            end,
            events,
            store_faults,
            restores: Vec::new(),
        }
    }

    fn random_event(rng: &mut StdRng, machines: usize) -> Event {
        let i = rng.random_range(0..machines);
        // The first machine always restarts, so that keys can be held in the end.
        let restarts = i == 0 || rng.random_bool(0.7);
        let restart_delay = |rng: &mut StdRng| rng.random_range(300.0..6_000.0);
        match rng.random_range(0..10) {
            0 | 1 => Event::PauseProcess(i, rng.random_range(300.0..13_000.0)),
            2 | 3 => Event::KillProcess(i, restart_delay(rng)),
            4 | 5 => Event::CrashBackEnd(i, restarts.then(|| restart_delay(rng))),
            6 => Event::PowerOff(i, restarts.then(|| restart_delay(rng))),
            7 => Event::Partition(i, rng.random_range(500.0..12_000.0)),
            8 if i != 0 => Event::Drain(i),
            _ => Event::SetLoad(i, rng.random_range(0.5..1.5)),
        }
    }

    fn random_faults(rng: &mut StdRng) -> StoreFaults {
        match rng.random_range(0..4) {
            0 => StoreFaults {
                dropped: 1.0,
                ..StoreFaults::NONE
            },
            1 => StoreFaults {
                latency_ms: 400.0,
                ..StoreFaults::NONE
            },
            2 => StoreFaults {
                response_lost: 0.35,
                ..StoreFaults::NONE
            },
            _ => StoreFaults {
                latency_ms: 100.0,
                dropped: 0.1,
                response_lost: 0.2,
                delayed: 0.3,
            },
        }
    }
}
