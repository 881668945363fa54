//! A simulated machine with its process.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::StdRng;
use shards::manager::{KeyClaim, ShardManager, Timing};
use shards::revision::StoreEra;
use shards::span::Span;
use world::instant::BootInstant;
use world::name::MachineName;

use super::back_end::BackEnd;

/// A running or paused process.
pub(super) struct Process {
    /// Distinguishes it from the processes before and after it.
    pub(super) number: u64,
    pub(super) manager: ShardManager,
    /// Latest era of the store that it knows of.
    pub(super) era: Option<StoreEra>,
    pub(super) paused_until: f64,
    pub(super) lease_pending: bool,
    pub(super) assignment_pending: bool,
    pub(super) fence_pending: bool,
    pub(super) retry_at: f64,
    /// When it next reads from the store only to learn the era.
    pub(super) next_contact: f64,
    /// Process of each connected machine, by index, and the last claim sent to it.
    pub(super) sent_claims: BTreeMap<usize, (u64, KeyClaim)>,
    /// Keys of the newest assignment of the earlier era, whatever the lease.
    pub(super) earlier_keys: Vec<Span>,
}

impl Process {
    pub(super) fn new(number: u64, manager: ShardManager, now: f64) -> Self {
        Self {
            number,
            manager,
            era: None,
            paused_until: 0.0,
            lease_pending: false,
            assignment_pending: false,
            fence_pending: false,
            retry_at: 0.0,
            next_contact: now,
            sent_claims: BTreeMap::new(),
            earlier_keys: Vec::new(),
        }
    }
}

/// A machine with at most one process and one back end.
pub(super) struct Machine {
    pub(super) name: MachineName,
    pub(super) clock_rate: f64,
    pub(super) process: Option<Process>,
    pub(super) process_starts_at: Option<f64>,
    /// Whether no process has run on it yet.
    pub(super) first_start: bool,
    pub(super) back_end: Option<BackEnd>,
    pub(super) back_end_starts_at: Option<f64>,
    pub(super) partitioned_until: f64,
    pub(super) no_store_until: f64,
    pub(super) no_peers_until: f64,
}

impl Machine {
    pub(super) fn new(index: usize, rng: &mut StdRng) -> Self {
        Self {
            name: MachineName::new(&format!("m{index}")),
            clock_rate: rng.random_range(0.9975..1.0025),
            process: None,
            process_starts_at: Some(rng.random_range(0.0..300.0)),
            first_start: true,
            back_end: None,
            back_end_starts_at: Some(rng.random_range(0.0..300.0)),
            partitioned_until: 0.0,
            no_store_until: 0.0,
            no_peers_until: 0.0,
        }
    }

    pub(super) fn start_process(&mut self, number: u64, now: f64, at: BootInstant) {
        let manager = ShardManager::new(self.name.clone(), Timing::default(), at);
        let manager = manager.with_first_start(std::mem::take(&mut self.first_start));
        self.process = Some(Process::new(number, manager, now));
    }

    pub(super) fn reaches_store(&self, now: f64) -> bool {
        now >= self.partitioned_until && now >= self.no_store_until
    }

    pub(super) fn reaches_peers(&self, now: f64) -> bool {
        now >= self.partitioned_until && now >= self.no_peers_until
    }
}
