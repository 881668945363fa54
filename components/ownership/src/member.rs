//! A member's side of the lease protocol.

use std::collections::BTreeMap;

use world::instant::BootInstant;
use world::key::{Fence, Term};

use crate::heartbeat::{Accepted, CoordinatorRef, Grants, Predecessor};
use crate::table::{Holding, ShardId};

/// What changed for a member by an accepted heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Shards that the member holds from now on.
    pub opened: Vec<Holding>,
    /// Shards that take no new requests from now on; they are released once drained.
    pub closed: Vec<Holding>,
    /// Released tenures that opened ones follow.
    pub predecessors: Vec<Predecessor>,
}

/// Lease and grants of one member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Highest term seen.
    term: Term,
    coordinator: Option<CoordinatorRef>,
    /// Term under which `held` was granted. Invariant: at most `term`.
    grant_term: Term,
    revision: u64,
    held: BTreeMap<ShardId, Fence>,
    closing: BTreeMap<ShardId, Fence>,
    released: Vec<Holding>,
    /// Instant until which the member owns what it holds, counted from the sending of the
    /// heartbeat that renewed it.
    lease_until: BootInstant,
    /// Rises each time the lease has lapsed, so that back ends can tell old requests from new.
    session: u64,
}

impl Member {
    /// A member that holds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            term: Term(0),
            coordinator: None,
            grant_term: Term(0),
            revision: 0,
            held: BTreeMap::new(),
            closing: BTreeMap::new(),
            released: Vec::new(),
            lease_until: BootInstant::default(),
            session: 1,
        }
    }

    /// Highest term seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// The coordinator of that term.
    #[must_use]
    pub fn coordinator(&self) -> Option<&CoordinatorRef> {
        self.coordinator.as_ref()
    }

    /// Instant until which the member owns what it holds.
    #[must_use]
    pub fn lease_until(&self) -> BootInstant {
        self.lease_until
    }

    /// Number of the current lease session.
    #[must_use]
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Revision of the grants to report in a heartbeat; 0 under a term without grants.
    #[must_use]
    pub fn revision(&self) -> u64 {
        if self.grant_term == self.term {
            self.revision
        } else {
            0
        }
    }

    /// What to report as held: everything, as long as the current term has granted nothing.
    #[must_use]
    pub fn report(&self) -> Vec<Holding> {
        if self.revision() != 0 {
            return Vec::new();
        }
        self.holdings().collect()
    }

    /// Everything granted and not withdrawn, whether or not the lease still runs.
    pub fn holdings(&self) -> impl Iterator<Item = Holding> + '_ {
        self.held.iter().map(|(id, fence)| Holding {
            id: id.clone(),
            fence: *fence,
        })
    }

    /// Tells whether the member holds a shard under a fence.
    #[must_use]
    pub fn holds(&self, holding: &Holding) -> bool {
        self.held.get(&holding.id) == Some(&holding.fence)
    }

    /// What to report as released.
    #[must_use]
    pub fn released(&self) -> Vec<Holding> {
        self.released.clone()
    }

    /// Number of shards held.
    #[must_use]
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Tells whether released shards wait to be reported.
    #[must_use]
    pub fn has_released(&self) -> bool {
        !self.released.is_empty()
    }

    /// Tells whether the member holds nothing and has nothing to drain or to report.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.closing.is_empty() && self.released.is_empty()
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

    /// Takes in at `now` the coordinator's answer to the heartbeat sent at `sent`, which had
    /// reported the first `reported` released shards.
    pub fn on_accepted(
        &mut self,
        sent: BootInstant,
        now: BootInstant,
        reported: usize,
        reply: &Accepted,
    ) -> Changes {
        self.check_lapse(now);
        if !self.adopt(reply.coordinator.clone()) {
            return Changes::default();
        }
        self.released.drain(..reported.min(self.released.len()));
        let stale = self.grant_term == self.term && reply.revision < self.revision;
        if stale || reply.revision == 0 {
            return Changes::default();
        }
        let changes = match &reply.grants {
            Some(grants) => self.replace(reply, grants),
            None => Changes::default(),
        };
        if self.grant_term == self.term && self.revision == reply.revision {
            self.lease_until = self.lease_until.max(sent + reply.lease);
        }
        changes
    }

    fn replace(&mut self, reply: &Accepted, grants: &Grants) -> Changes {
        let mut next = BTreeMap::new();
        for grant in &grants.holdings {
            next.insert(grant.id.clone(), grant.fence);
        }
        let opened = difference(&next, &self.held);
        let closed = difference(&self.held, &next);
        for holding in &closed {
            self.closing.insert(holding.id.clone(), holding.fence);
        }
        if self.grant_term != self.term {
            self.end_session();
        }
        self.held = next;
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

    /// Notes that no request is in flight for a closed shard.
    pub fn on_drained(&mut self, holding: &Holding) {
        if self.closing.get(&holding.id) != Some(&holding.fence) {
            return;
        }
        self.closing.remove(&holding.id);
        self.released.push(holding.clone());
    }

    /// Starts a new session when the lease has lapsed at `now`. Returns whether it had.
    pub fn check_lapse(&mut self, now: BootInstant) -> bool {
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

/// Holdings of `left` that `right` does not have under the same fence.
fn difference(left: &BTreeMap<ShardId, Fence>, right: &BTreeMap<ShardId, Fence>) -> Vec<Holding> {
    left.iter()
        .filter(|(id, fence)| right.get(*id) != Some(*fence))
        .map(|(id, fence)| Holding {
            id: id.clone(),
            fence: *fence,
        })
        .collect()
}
