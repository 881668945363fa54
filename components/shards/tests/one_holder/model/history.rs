//! What happens in a run.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Something that happens at one instant; spans are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// The process stands still.
    Sleep(usize, f64),
    /// The process is killed and comes back.
    KillProcess(usize, f64),
    /// The back end crashes and comes back, or not.
    CrashBackEnd(usize, Option<f64>),
    /// The machine loses power and comes back, or not.
    PowerOff(usize, Option<f64>),
    /// The machine reaches neither the store nor others.
    Cut(usize, f64),
    /// The back end says that it will leave.
    Drain(usize),
    /// The back end is busy, so that keys should move.
    Busy(usize, f64),
}

/// How calls to the store fare; the shares add up to at most 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weather {
    /// Longest usual time of a call.
    pub(crate) latency_ms: f64,
    /// Share that is never carried out.
    pub(crate) refused: f64,
    /// Share that is carried out without an answer.
    pub(crate) lost: f64,
    /// Share that is carried out seconds later, without an answer.
    pub(crate) late: f64,
}

impl Weather {
    /// Nothing goes wrong.
    pub(crate) const CALM: Self = Self {
        latency_ms: 12.0,
        refused: 0.0,
        lost: 0.0,
        late: 0.0,
    };
}

/// A run: events, and how the store fares meanwhile.
#[derive(Clone, Debug)]
pub(crate) struct History {
    /// Seed of everything else that is drawn.
    pub(crate) seed: u64,
    /// Number of machines.
    pub(crate) machines: usize,
    /// Length in milliseconds.
    pub(crate) end: f64,
    /// Events by their instant.
    pub(crate) events: Vec<(f64, Event)>,
    /// From, to and weather.
    pub(crate) weather: Vec<(f64, f64, Weather)>,
}

/// End of the trouble in a history that heals.
const HEALING_FROM_MS: f64 = 25_000.0;

impl History {
    /// Nothing happens.
    pub(crate) fn calm() -> Self {
        Self {
            seed: 1,
            machines: 4,
            end: 12_000.0,
            events: Vec::new(),
            weather: Vec::new(),
        }
    }

    /// Trouble to the end.
    pub(crate) fn any(seed: u64) -> Self {
        Self::drawn(seed, 40_000.0, 40_000.0)
    }

    /// Trouble that ends long before the end, with one machine at least that stays.
    pub(crate) fn healing(seed: u64) -> Self {
        Self::drawn(seed, HEALING_FROM_MS, HEALING_FROM_MS + 45_000.0)
    }

    fn drawn(seed: u64, trouble_ends: f64, end: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
        let machines = rng.random_range(2..=5);
        let count = rng.random_range(2..14);
        let mut events: Vec<(f64, Event)> = (0..count)
            .map(|_| {
                let at = rng.random_range(2_000.0..trouble_ends - 6_000.0);
                (at, Self::event(&mut rng, machines))
            })
            .collect();
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        let spells = rng.random_range(0..4);
        let weather = (0..spells)
            .map(|_| {
                let from = rng.random_range(0.0..trouble_ends - 9_500.0);
                let to = from + rng.random_range(1_000.0..9_000.0);
                (from, to, Self::storm(&mut rng))
            })
            .collect();
        Self {
            seed,
            machines,
            end,
            events,
            weather,
        }
    }

    fn event(rng: &mut StdRng, machines: usize) -> Event {
        let i = rng.random_range(0..machines);
        // The first machine always comes back, so that someone can hold the keys.
        let stays = i == 0 || rng.random_bool(0.7);
        let back = |rng: &mut StdRng| rng.random_range(300.0..6_000.0);
        match rng.random_range(0..10) {
            0 | 1 => Event::Sleep(i, rng.random_range(300.0..13_000.0)),
            2 | 3 => Event::KillProcess(i, back(rng)),
            4 | 5 => Event::CrashBackEnd(i, stays.then(|| back(rng))),
            6 => Event::PowerOff(i, stays.then(|| back(rng))),
            7 => Event::Cut(i, rng.random_range(500.0..12_000.0)),
            8 if i != 0 => Event::Drain(i),
            _ => Event::Busy(i, rng.random_range(0.5..1.5)),
        }
    }

    fn storm(rng: &mut StdRng) -> Weather {
        match rng.random_range(0..4) {
            0 => Weather {
                refused: 1.0,
                ..Weather::CALM
            },
            1 => Weather {
                latency_ms: 400.0,
                ..Weather::CALM
            },
            2 => Weather {
                lost: 0.35,
                ..Weather::CALM
            },
            _ => Weather {
                latency_ms: 100.0,
                refused: 0.1,
                lost: 0.2,
                late: 0.3,
            },
        }
    }
}
