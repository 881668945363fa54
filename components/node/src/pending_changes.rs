//! Buffers assignment changes that arrive before the changes that they build on.

use std::collections::BTreeMap;

use shards::assignment::Change;
use shards::revision::Revision;
use world::name::ServiceName;

/// Most changes buffered for one service; those with the lowest base revision are dropped first.
const MAX_PENDING: usize = 16;

/// Assignment changes by service and base revision, kept until the base revision arrives.
///
/// Each change is broadcast by the machine that made it, so consecutive changes come over different
/// connections and can arrive out of order.
#[derive(Debug, Default)]
pub struct PendingChanges {
    by_base: BTreeMap<ServiceName, BTreeMap<Revision, (Revision, Change)>>,
    latest: BTreeMap<ServiceName, Revision>,
}

impl PendingChanges {
    /// Stores a change from `base` to `revision`. If both are the same, only notes that the
    /// revision exists.
    pub fn insert(
        &mut self,
        service: &ServiceName,
        base: Revision,
        revision: Revision,
        change: Change,
    ) {
        let latest = self.latest.entry(service.clone()).or_default();
        *latest = revision.max(*latest);
        if base == revision {
            return;
        }
        let changes = self.by_base.entry(service.clone()).or_default();
        changes.insert(base, (revision, change));
        while changes.len() > MAX_PENDING {
            changes.pop_first();
        }
    }

    /// Removes and returns the change of the revision `base` and the revision that it leads to;
    /// drops the changes of earlier revisions.
    pub fn take(&mut self, service: &ServiceName, base: Revision) -> Option<(Revision, Change)> {
        let changes = self.by_base.get_mut(service)?;
        *changes = changes.split_off(&base);
        changes.remove(&base)
    }

    /// Returns the latest revision known to exist, for each service.
    pub fn latest(&self) -> impl Iterator<Item = (&ServiceName, Revision)> {
        self.latest
            .iter()
            .map(|(service, revision)| (service, *revision))
    }
}
