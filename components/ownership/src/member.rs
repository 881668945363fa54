//! The member's side of the lease protocol: its lease and the shards it holds.

use std::collections::BTreeMap;

use world::instant::BootInstant;
use world::key::{Fence, Term};

use crate::heartbeat::{Accepted, CoordinatorRef, Grants, Predecessor};
use crate::table::{Holding, ShardId};

/// Changes to a member's shards by an accepted heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Shards that the member holds from now on.
    pub opened: Vec<Holding>,
    /// Shards that take no new requests from now on; they are released once drained.
    pub closed: Vec<Holding>,
    /// Released tenures that precede opened ones.
    pub predecessors: Vec<Predecessor>,
}

/// Lease and grants of one member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Highest term seen.
    term: Term,
    coordinator: Option<CoordinatorRef>,
    /// Term under which `granted` was granted. Invariant: at most `term`.
    grant_term: Term,
    revision: u64,
    granted: BTreeMap<ShardId, Fence>,
    closing: BTreeMap<ShardId, Fence>,
    released: Vec<Holding>,
    /// End of the lease, counted from when the heartbeat that renewed it was sent.
    lease_until: BootInstant,
    /// Rises each time the lease lapses, so that back ends can tell old requests from new.
    session: u64,
}

impl Member {
    /// Creates a member that holds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            term: Term(0),
            coordinator: None,
            grant_term: Term(0),
            revision: 0,
            granted: BTreeMap::new(),
            closing: BTreeMap::new(),
            released: Vec::new(),
            lease_until: BootInstant::default(),
            session: 1,
        }
    }

    /// Returns the highest term seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the coordinator of that term; `None` until one was adopted.
    #[must_use]
    pub fn coordinator(&self) -> Option<&CoordinatorRef> {
        self.coordinator.as_ref()
    }

    /// Returns the end of the lease; the default instant while there is none.
    #[must_use]
    pub fn lease_until(&self) -> BootInstant {
        self.lease_until
    }

    /// Returns the number of the current lease session.
    #[must_use]
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Returns the revision of the grants to report in a heartbeat; 0 under a term without grants.
    #[must_use]
    pub fn revision(&self) -> u64 {
        if self.grant_term == self.term {
            self.revision
        } else {
            0
        }
    }

    /// Returns the holdings to report: all until the current term grants, none afterwards.
    #[must_use]
    pub fn holdings_to_report(&self) -> Vec<Holding> {
        if self.revision() != 0 {
            return Vec::new();
        }
        self.holdings().collect()
    }

    /// Returns all shards granted and not withdrawn, whether or not the lease has lapsed.
    pub fn holdings(&self) -> impl Iterator<Item = Holding> + '_ {
        self.granted.iter().map(|(id, fence)| Holding {
            id: id.clone(),
            fence: *fence,
        })
    }

    /// Returns whether the member holds a shard under a fence.
    #[must_use]
    pub fn holds(&self, holding: &Holding) -> bool {
        self.granted.get(&holding.id) == Some(&holding.fence)
    }

    /// Returns the released shards to report.
    #[must_use]
    pub fn released(&self) -> Vec<Holding> {
        self.released.clone()
    }

    /// Returns the number of shards held.
    #[must_use]
    pub fn holding_count(&self) -> usize {
        self.granted.len()
    }

    /// Returns whether released shards are still to be reported.
    #[must_use]
    pub fn has_released(&self) -> bool {
        !self.released.is_empty()
    }

    /// Returns whether the member holds nothing and has nothing to drain or to report.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.granted.is_empty() && self.closing.is_empty() && self.released.is_empty()
    }

    /// Adopts a coordinator, unless its term is older than the one known.
    /// Returns whether it was adopted.
    pub fn adopt(&mut self, coordinator: CoordinatorRef) -> bool {
        if coordinator.term < self.term {
            return false;
        }
        self.term = coordinator.term;
        self.coordinator = Some(coordinator);
        true
    }

    /// Applies the coordinator's reply, received at `now`, to the heartbeat sent at `sent`, which
    /// reported the first `reported` released shards.
    pub fn on_accepted(
        &mut self,
        sent: BootInstant,
        now: BootInstant,
        reported: usize,
        reply: &Accepted,
    ) -> Changes {
        self.expire_lease(now);
        if !self.adopt(reply.coordinator.clone()) {
            return Changes::default();
        }
        self.released.drain(..reported.min(self.released.len()));
        let stale = self.grant_term == self.term && reply.revision < self.revision;
        if stale || reply.revision == 0 {
            return Changes::default();
        }
        let changes = match &reply.grants {
            Some(grants) => self.apply_grants(reply, grants),
            None => Changes::default(),
        };
        if self.grant_term == self.term && self.revision == reply.revision {
            self.lease_until = self.lease_until.max(sent + reply.lease);
        }
        changes
    }

    fn apply_grants(&mut self, reply: &Accepted, grants: &Grants) -> Changes {
        let mut next = BTreeMap::new();
        for grant in &grants.holdings {
            next.insert(grant.id.clone(), grant.fence);
        }
        let opened = difference(&next, &self.granted);
        let closed = difference(&self.granted, &next);
        for holding in &closed {
            self.closing.insert(holding.id.clone(), holding.fence);
        }
        if self.grant_term != self.term {
            self.end_session();
        }
        self.granted = next;
        self.grant_term = self.term;
        self.revision = reply.revision;
        let predecessors = grants.predecessors.iter().filter(|predecessor| {
            let id = &predecessor.released.id;
            opened.iter().any(|holding| holding.id == *id)
        });
        Changes {
            predecessors: predecessors.cloned().collect(),
            opened,
            closed,
        }
    }

    /// Records that no request is in flight for a closed shard any more.
    pub fn on_drained(&mut self, holding: &Holding) {
        if self.closing.get(&holding.id) != Some(&holding.fence) {
            return;
        }
        self.closing.remove(&holding.id);
        self.released.push(holding.clone());
    }

    /// Starts a new session if the lease has lapsed at `now`. Returns whether it has.
    pub fn expire_lease(&mut self, now: BootInstant) -> bool {
        let lapsed = self.lease_until != BootInstant::default() && now >= self.lease_until;
        if lapsed {
            self.end_session();
        }
        lapsed
    }

    fn end_session(&mut self) {
        self.lease_until = BootInstant::default();
        self.session += 1;
    }
}

impl Default for Member {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the holdings of `left` that `right` does not have under the same fence.
fn difference(left: &BTreeMap<ShardId, Fence>, right: &BTreeMap<ShardId, Fence>) -> Vec<Holding> {
    left.iter()
        .filter(|(id, fence)| right.get(*id) != Some(*fence))
        .map(|(id, fence)| Holding {
            id: id.clone(),
            fence: *fence,
        })
        .collect()
}
