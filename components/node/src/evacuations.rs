//! The zones that the operator has evacuated, as this process knows them.

use std::collections::BTreeMap;

use catalog::freshness::REWRITE_TIME;
use platform::object::NameChange;
use shards::revision::Revision;
use world::instant::BootInstant;
use world::name::ZoneName;

/// An evacuated zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Evacuation {
    /// When the process learned of it.
    since: BootInstant,
    /// Until when it lasts although its object is missing since a restore of the store; `None` while
    /// the object exists.
    lapses_at: Option<BootInstant>,
}

/// The set of evacuated zones at a revision of the store; empty before the first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    revision: Revision,
    zones: BTreeMap<ZoneName, Evacuation>,
}

impl Evacuations {
    /// Returns the revision of the store at which the set is known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns when the process learned that a zone is evacuated; `None` if it is not.
    #[must_use]
    pub fn since(&self, zone: &ZoneName) -> Option<BootInstant> {
        self.zones.get(zone).map(|e| e.since)
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }

    /// Returns the zones whose object exists.
    #[must_use]
    pub fn stored_zones(&self) -> Vec<ZoneName> {
        let stored = self.zones.iter().filter(|(_, e)| e.lapses_at.is_none());
        stored.map(|(zone, _)| zone.clone()).collect()
    }

    /// Applies a list of the store.
    ///
    /// Zones that it lacks are no longer evacuated, except after a restore of the store: then they stay
    /// so for [`REWRITE_TIME`], in which the operator writes again what the store has lost.
    pub fn on_list(&mut self, now: BootInstant, revision: Revision, zones: &[ZoneName]) {
        if revision < self.revision {
            return;
        }
        let is_restored = revision.era() > self.revision.era();
        self.zones.retain(|zone, e| {
            if zones.contains(zone) {
                return true;
            }
            if is_restored {
                e.lapses_at = Some(now + REWRITE_TIME);
            }
            e.lapses_at.is_some_and(|at| now < at)
        });
        for zone in zones {
            self.insert(now, zone.clone());
        }
        self.revision = revision;
    }

    /// Applies changes that a watch shows, up to `revision`; those that a later set from a peer
    /// contains already are left out.
    pub fn on_changes(&mut self, now: BootInstant, revision: Revision, changes: &[NameChange]) {
        if revision < self.revision {
            return;
        }
        for change in changes {
            let zone = ZoneName::new(&change.name);
            if change.is_present {
                self.insert(now, zone);
            } else {
                self.zones.remove(&zone);
            }
        }
        self.revision = revision;
    }

    /// Applies the set of a peer if it is of a later revision.
    pub fn on_peer_set(&mut self, now: BootInstant, revision: Revision, zones: &[ZoneName]) {
        if revision > self.revision {
            self.on_list(now, revision, zones);
        }
    }

    /// Ends the evacuations that have lapsed.
    pub fn evict_lapsed(&mut self, now: BootInstant) {
        self.zones
            .retain(|_, e| e.lapses_at.is_none_or(|at| now < at));
    }

    fn insert(&mut self, now: BootInstant, zone: ZoneName) {
        let evacuation = self.zones.entry(zone).or_insert(Evacuation {
            since: now,
            lapses_at: None,
        });
        evacuation.lapses_at = None;
    }
}
