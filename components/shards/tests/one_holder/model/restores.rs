//! Histories in which the store is restored from a snapshot.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::history::{Event, FAULTS_END_MS, History, StoreFaults};

/// A restore of the store from a snapshot; times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Restore {
    /// When the copy was taken.
    pub(crate) copied_at: f64,
    /// When the store goes away; later changes are lost.
    pub(crate) away_at: f64,
    /// When the store is back with the state of the copy.
    pub(crate) back_at: f64,
}

impl Restore {
    fn random(rng: &mut StdRng, away_at: f64) -> Self {
        Self {
            copied_at: (away_at - rng.random_range(500.0..8_000.0)).max(0.0),
            away_at,
            back_at: away_at + rng.random_range(0.0..2_000.0),
        }
    }
}

impl History {
    /// Returns a history with faults to its end and one or two restores of the store.
    pub(crate) fn with_restores(seed: u64) -> Self {
        let mut history = Self::with_faults(seed);
        history.add_restores(history.end);
        history
    }

    /// Returns a history with one or two restores whose faults cease long before its end.
    pub(crate) fn recovering_with_restores(seed: u64) -> Self {
        let mut history = Self::recovering(seed);
        history.add_restores(FAULTS_END_MS);
        history
    }

    /// Returns a history with one restore and nothing else.
    pub(crate) fn with_one_restore_only(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x0a11);
        let away_at = rng.random_range(6_000.0..16_000.0);
        let restore = Restore::random(&mut rng, away_at);
        Self {
            seed,
            machines: rng.random_range(2..=5),
            end: restore.back_at + 20_000.0,
            restores: vec![restore],
            ..Self::without_faults()
        }
    }

    /// Returns a history with one restore, before whose end keys move and processes restart.
    pub(crate) fn with_changes_before_the_return(seed: u64) -> Self {
        let mut history = Self::with_one_restore_only(seed);
        let mut rng = StdRng::seed_from_u64(seed ^ 0x0b0b);
        let restore = history.restores[0];
        for _ in 0..rng.random_range(1..6) {
            let i = rng.random_range(0..history.machines);
            let lost = rng.random_range(restore.copied_at..restore.away_at);
            let before = rng.random_range(restore.away_at - 1_000.0..restore.back_at);
            let event = match rng.random_range(0..6) {
                0 | 1 => (lost, Event::SetLoad(i, rng.random_range(0.9..1.5))),
                2 => (lost, Event::CrashBackEnd(i, Some(500.0))),
                3 | 4 => (before, Event::KillProcess(i, 500.0)),
                _ => (before, Event::KillAllProcesses(500.0)),
            };
            history.events.push(event);
        }
        history.events.sort_by(|a, b| a.0.total_cmp(&b.0));
        history
    }

    /// Returns a history with one restore that loses a handover without an outcome.
    pub(crate) fn with_lost_handover(seed: u64) -> Self {
        Self::with_group(seed, Self::add_lost_handover)
    }

    /// Returns a history with one restore that loses a handover, and that ends before the handover's
    /// request does.
    pub(crate) fn with_handover_in_flight(seed: u64) -> Self {
        let mut history = Self::with_group(seed, Self::add_lost_handover);
        let restore = &mut history.restores[0];
        restore.back_at = restore.back_at.min(restore.away_at + 300.0);
        history
    }

    /// Returns a history with one restore that loses a takeover.
    pub(crate) fn with_lost_takeover(seed: u64) -> Self {
        Self::with_group(seed, Self::add_lost_takeover)
    }

    /// Returns a history with one restore soon after late writes of several moves.
    pub(crate) fn with_late_writes(seed: u64) -> Self {
        let mut history = Self::with_group(seed, Self::add_late_writes);
        // Few writes are lost and few are needed before revisions of the lost ones come again.
        let restore = &mut history.restores[0];
        restore.copied_at = restore.copied_at.max(restore.away_at - 3_000.0);
        restore.back_at = restore.back_at.min(restore.away_at + 500.0);
        history
    }

    /// Returns a history with one restore before which a machine reaches neither store nor peers.
    pub(crate) fn with_late_first_contact(seed: u64) -> Self {
        Self::with_group(seed, Self::add_late_first_contact)
    }

    fn with_group(seed: u64, add: fn(&mut Self, &mut StdRng, Restore)) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x0c0c);
        let restore = Restore::random(&mut rng, 16_000.0);
        let mut history = Self {
            seed,
            machines: rng.random_range(3..=5),
            end: restore.back_at + 8_000.0,
            restores: vec![restore],
            ..Self::without_faults()
        };
        add(&mut history, &mut rng, restore);
        history.events.sort_by(|a, b| a.0.total_cmp(&b.0));
        history
    }

    /// Adds one or two restores, each with events close to it; keeps all other events and faults.
    fn add_restores(&mut self, faults_end: f64) {
        let mut rng = StdRng::seed_from_u64(self.seed ^ 0x0e4a);
        let last = faults_end - 6_000.0;
        let away_at = rng.random_range(3_000.0..last);
        let first = Restore::random(&mut rng, away_at);
        self.restores.push(first);
        let next = first.back_at + 50.0;
        if next < last && rng.random_bool(0.4) {
            // Often before everything is settled after the first one.
            let latest = if rng.random_bool(0.6) {
                last.min(next + 8_000.0)
            } else {
                last
            };
            let away_at = rng.random_range(next..latest);
            self.restores.push(Restore::random(&mut rng, away_at));
        }
        for restore in self.restores.clone() {
            for _ in 0..rng.random_range(0..7) {
                let (at, event) = Self::event_near(&mut rng, self.machines, restore);
                self.events.push((at.max(1_000.0), event));
            }
            if rng.random_bool(0.5) {
                self.store_faults.push(Self::faults_near(&mut rng, restore));
            }
            match rng.random_range(0..8) {
                0 => self.add_lost_handover(&mut rng, restore),
                1 => self.add_lost_takeover(&mut rng, restore),
                2 => self.add_late_writes(&mut rng, restore),
                _ => {}
            }
        }
        self.events.sort_by(|a, b| a.0.total_cmp(&b.0));
    }

    /// Returns an event that changes the keys in the lost seconds, or that spans the return.
    fn event_near(rng: &mut StdRng, machines: usize, restore: Restore) -> (f64, Event) {
        let i = rng.random_range(0..machines);
        let restarts = i == 0 || rng.random_bool(0.7);
        let lost = rng.random_range(restore.copied_at..restore.away_at);
        let around = rng.random_range(restore.away_at - 1_000.0..restore.back_at + 2_000.0);
        let before = rng.random_range(restore.away_at - 14_000.0..restore.back_at);
        let beyond_return = restore.back_at - before + rng.random_range(0.0..7_000.0);
        let restart_delay = rng.random_range(300.0..2_500.0);
        match rng.random_range(0..14) {
            0..=2 => (lost, Event::SetLoad(i, rng.random_range(0.9..1.5))),
            3 if i != 0 => (lost, Event::Drain(i)),
            4 => (
                lost,
                Event::CrashBackEnd(i, restarts.then_some(restart_delay)),
            ),
            5 => (
                before,
                Event::PowerOff(i, restarts.then_some(restart_delay)),
            ),
            6 | 7 => (around, Event::KillProcess(i, restart_delay)),
            8 => (around, Event::KillAllProcesses(restart_delay)),
            9 | 10 => (before, Event::PauseProcess(i, beyond_return)),
            11 => (before, Event::Partition(i, beyond_return)),
            12 => (before, Event::PartitionFromStore(i, beyond_return)),
            _ => (before, Event::PartitionFromPeers(i, beyond_return)),
        }
    }

    /// Lets a machine hand over keys in the lost seconds without a response, to one that learns of it
    /// from the store alone and then cannot tell the others.
    fn add_lost_handover(&mut self, rng: &mut StdRng, restore: Restore) {
        let from = rng.random_range(0..self.machines);
        let to = (from + rng.random_range(1..self.machines)) % self.machines;
        let start = restore.away_at - rng.random_range(900.0..2_800.0);
        let later = start + rng.random_range(0.0..800.0);
        let cut_at = start + rng.random_range(300.0..1_800.0);
        let cut_end = restore.back_at + rng.random_range(500.0..5_000.0);
        self.events.extend([
            (start, Event::SetLoad(from, 1.5)),
            (later, Event::SetLoad(to, 0.9)),
            (cut_at, Event::PartitionFromPeers(to, cut_end - cut_at)),
        ]);
        let faults = StoreFaults {
            response_lost: rng.random_range(0.2..0.8),
            ..StoreFaults::NONE
        };
        self.store_faults.push((start, restore.away_at, faults));
    }

    /// Moves keys in the lost seconds, and then others by writes that take effect late, some of them
    /// after the return.
    fn add_late_writes(&mut self, rng: &mut StdRng, restore: Restore) {
        let first = rng.random_range(0..self.machines);
        let start = restore.away_at - rng.random_range(2_000.0..4_000.0);
        self.events.push((start, Event::SetLoad(first, 1.5)));
        for i in (0..self.machines).filter(|i| *i != first) {
            let at = restore.away_at - rng.random_range(700.0..2_500.0);
            self.events.push((at, Event::SetLoad(i, 1.5)));
        }
        let faults = StoreFaults {
            delayed: rng.random_range(0.5..1.0),
            ..StoreFaults::NONE
        };
        let from = restore.away_at - rng.random_range(300.0..1_500.0);
        self.store_faults.push((from, restore.away_at, faults));
    }

    /// Cuts a machine off so long that its keys are taken in the lost seconds, until the return,
    /// about which another process restarts.
    fn add_lost_takeover(&mut self, rng: &mut StdRng, restore: Restore) {
        let i = rng.random_range(0..self.machines);
        let cut_at = restore.away_at - rng.random_range(9_000.0..13_000.0);
        let cut_end = restore.back_at + rng.random_range(-500.0..1_000.0);
        if cut_at > 1_000.0 {
            let cut = Event::Partition(i, cut_end - cut_at);
            self.events.push((cut_at, cut));
        }
        let other = (i + rng.random_range(1..self.machines)) % self.machines;
        let killed_at = restore.back_at + rng.random_range(-1_500.0..500.0);
        self.events
            .push((killed_at, Event::KillProcess(other, 300.0)));
    }

    /// Cuts a machine off from the start until the return, and longer from its peers.
    fn add_late_first_contact(&mut self, rng: &mut StdRng, restore: Restore) {
        let i = rng.random_range(0..self.machines);
        let cut_end = restore.back_at + rng.random_range(-500.0..1_000.0);
        let peers_cut_end = cut_end + rng.random_range(0.0..3_000.0);
        self.events.extend([
            (0.0, Event::Partition(i, cut_end)),
            (0.0, Event::PartitionFromPeers(i, peers_cut_end)),
        ]);
    }

    /// Returns faults that leave writes of the lost seconds without an outcome.
    fn faults_near(rng: &mut StdRng, restore: Restore) -> (f64, f64, StoreFaults) {
        let from = restore.away_at - rng.random_range(500.0..5_000.0);
        let to = restore.back_at + rng.random_range(-1_000.0..1_500.0);
        let faults = match rng.random_range(0..3) {
            0 => StoreFaults {
                response_lost: 0.6,
                ..StoreFaults::NONE
            },
            1 => StoreFaults {
                delayed: 0.6,
                ..StoreFaults::NONE
            },
            _ => StoreFaults {
                response_lost: 0.3,
                delayed: 0.3,
                ..StoreFaults::NONE
            },
        };
        (from, to, faults)
    }
}
