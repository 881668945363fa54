//! Changes of assignments that arrive before those that they follow.

use std::collections::BTreeMap;

use shards::assignment::Change;
use world::name::ServiceName;

/// Changes of one service that are kept at most.
const MAX_KEPT: usize = 16;

/// Changes that wait for the one before, by service and the revision that they were made to.
///
/// Each is told by the machine that made it, so two that follow each other come over two links.
#[derive(Debug, Default)]
pub struct EarlyChanges {
    waiting: BTreeMap<ServiceName, BTreeMap<u64, (u64, Change)>>,
    latest: BTreeMap<ServiceName, u64>,
}

impl EarlyChanges {
    /// Keeps a change from `base` to `revision`.
    pub fn insert(&mut self, service: &ServiceName, base: u64, revision: u64, change: Change) {
        let latest = self.latest.entry(service.clone()).or_default();
        *latest = revision.max(*latest);
        if base == revision {
            return;
        }
        let waiting = self.waiting.entry(service.clone()).or_default();
        waiting.insert(base, (revision, change));
        while waiting.len() > MAX_KEPT {
            waiting.pop_first();
        }
    }

    /// Takes the change that follows the revision `base`, and the revision that it leads to;
    /// changes of earlier revisions are dropped.
    pub fn take(&mut self, service: &ServiceName, base: u64) -> Option<(u64, Change)> {
        let waiting = self.waiting.get_mut(service)?;
        *waiting = waiting.split_off(&base);
        waiting.remove(&base)
    }

    /// The latest revision that is known to exist, for each service.
    pub fn latest(&self) -> impl Iterator<Item = (&ServiceName, u64)> {
        self.latest
            .iter()
            .map(|(service, revision)| (service, *revision))
    }
}
