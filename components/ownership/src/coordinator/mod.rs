//! The coordinator's side of the lease protocol and the assignment it keeps.

mod placement;
mod witnesses;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use world::instant::BootInstant;
use world::key::{Fence, Shard, Term};
use world::machine::{Incarnation, Machine};
use world::name::{MachineName, ServiceName};

use crate::heartbeat::{Accepted, CoordinatorRef, Grants, Predecessor, Reply, Request, ShardLoad};
use crate::table::{self, Holding, RouteTable, ShardId};
use crate::timing::Timing;

pub use witnesses::WITNESSES;

/// Share of a new load figure in a shard's smoothed load; with the default heartbeat the load of
/// about the last two and a half seconds counts.
const LOAD_SMOOTHING: f64 = 0.06;

/// Incarnations of one machine that are remembered as replaced.
const RETIRED_INCARNATIONS: usize = 8;

/// Time for which a new owner is told where it can take the orders of the tenure before.
const HANDOVER_PERIOD: Duration = Duration::from_secs(5);

/// Index of a member; members are never renumbered within a term.
type MemberId = usize;

#[derive(Clone, Debug)]
struct Peer {
    machine: Machine,
    /// Instant at which the member's lease has lapsed for certain, on this machine's clock.
    lapse: BootInstant,
    /// False once the lapse has been acted on.
    live: bool,
    heard: BootInstant,
    revision: u64,
    retired: Vec<Incarnation>,
}

/// Ownership of one shard.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    owner: Option<MemberId>,
    fence: Fence,
    /// True once an answer to the owner may have told it of the grant.
    told: bool,
    /// True when the owner was told to give the shard up and has not confirmed it.
    /// Invariant: only a grant that was told is released.
    releasing: bool,
    /// Member that held the shard last, with the fence it reported.
    previous: Option<MemberId>,
    /// The last tenure, when it ended by a release.
    released: Option<Release>,
    load: f64,
}

impl Slot {
    /// Takes the shard back from its owner, at once when that one can't know of the grant.
    fn withdraw(&mut self) {
        if self.told {
            self.releasing = true;
        } else {
            self.owner = None;
        }
    }
}

/// End of a tenure by a release.
#[derive(Clone, Copy, Debug)]
struct Release {
    member: MemberId,
    fence: Fence,
    at: BootInstant,
}

/// Grants leases and assigns shards during one term.
#[derive(Clone, Debug)]
pub struct Coordinator {
    timing: Timing,
    me: CoordinatorRef,
    /// No grant is made earlier. Invariant: the previous term's authority has lapsed by then.
    grants_from: BootInstant,
    /// End of the formation period.
    formed: BootInstant,
    sequence: u32,
    peers: Vec<Peer>,
    names: BTreeMap<MachineName, MemberId>,
    services: BTreeMap<ServiceName, Vec<Slot>>,
    routes: Arc<RouteTable>,
    route_count: u32,
    routes_stale: bool,
    balanced: BootInstant,
    moves: u64,
}

/// Counters of a coordinator for status and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Members with a lease.
    pub members: usize,
    /// Shards without an owner.
    pub unowned: usize,
    /// Shards that their owner was told to give up.
    pub releasing: usize,
    /// Grants made in this term.
    pub grants: u64,
    /// Shards moved for balance in this term.
    pub moves: u64,
}

impl Coordinator {
    /// Starts a term. `grants_from` must not be earlier than the end of the previous term's
    /// authority; the formation period is added here.
    #[must_use]
    pub fn new(
        timing: Timing,
        me: CoordinatorRef,
        now: BootInstant,
        grants_from: BootInstant,
    ) -> Self {
        let formed = now + timing.formation;
        let grants_from = grants_from.max(formed);
        let mut coordinator = Self {
            timing,
            me,
            grants_from,
            formed,
            sequence: 0,
            peers: Vec::new(),
            names: BTreeMap::new(),
            services: BTreeMap::new(),
            routes: Arc::default(),
            route_count: 0,
            routes_stale: true,
            balanced: now,
            moves: 0,
        };
        coordinator.add_service(&ServiceName::new(table::CUSTOMERS_SERVICE));
        coordinator
    }

    /// Goes on under a later term of the same daemon, with the leases and owners of this one.
    #[must_use]
    pub fn promote(mut self, me: CoordinatorRef) -> Self {
        self.me = me;
        self.routes_stale = true;
        self
    }

    /// Changes the instant from which grants are made, as earlier terms turn out to have ended.
    /// Has no effect once a grant was made.
    pub fn set_grants_from(&mut self, now: BootInstant, grants_from: BootInstant) {
        if self.sequence == 0 {
            let formed = self.formed.max(grants_from);
            self.grants_from = formed.max(now);
        }
    }

    /// The coordinator's term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.me.term
    }

    /// Who the coordinator is.
    #[must_use]
    pub fn identity(&self) -> &CoordinatorRef {
        &self.me
    }

    /// The current route table.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Counters for status and metrics.
    #[must_use]
    pub fn counters(&self) -> Counters {
        let slots = self.services.values().flatten();
        let mut counters = Counters {
            members: self.peers.iter().filter(|p| p.live).count(),
            grants: u64::from(self.sequence),
            moves: self.moves,
            ..Counters::default()
        };
        for slot in slots {
            counters.unowned += usize::from(slot.owner.is_none());
            counters.releasing += usize::from(slot.releasing);
        }
        counters
    }

    /// Instant at which any other member was last heard of, when there was one.
    #[must_use]
    pub fn others_heard(&self) -> Option<BootInstant> {
        let others = self.peers.iter().filter(|p| p.machine.name != self.me.name);
        others.map(|p| p.heard).max()
    }

    /// Number of other members that were ever heard of in this term.
    #[must_use]
    pub fn others(&self) -> usize {
        self.peers
            .iter()
            .filter(|p| p.machine.name != self.me.name)
            .count()
    }

    /// Answers a member's heartbeat. `authority_until` is the end of the coordinator's own
    /// authority and `cell_version` that of its last confirmed renewal.
    pub fn on_heartbeat(
        &mut self,
        now: BootInstant,
        authority_until: BootInstant,
        cell_version: u64,
        request: &Request,
    ) -> Reply {
        if request.term > self.me.term || now >= authority_until {
            return Reply::Refused(None);
        }
        let Some(id) = self.admit(now, request) else {
            return Reply::Refused(Some(self.me.clone()));
        };
        self.take_report(now, id, request);
        let lease = self.renew(id, now, authority_until);
        self.lapse(now);
        self.plan(now);
        self.reply(now, id, lease, cell_version, request)
    }

    /// Acts on lapsed leases and balances the load.
    pub fn tick(&mut self, now: BootInstant, authority_until: BootInstant) {
        if now >= authority_until {
            return;
        }
        self.lapse(now);
        self.plan(now);
    }

    fn admit(&mut self, now: BootInstant, request: &Request) -> Option<MemberId> {
        let machine = &request.machine;
        let Some(&id) = self.names.get(&machine.name) else {
            return Some(self.add_peer(now, machine));
        };
        let peer = &mut self.peers[id];
        if peer.machine.incarnation != machine.incarnation {
            let refused = now < peer.lapse || peer.retired.contains(&machine.incarnation);
            if refused {
                return None;
            }
            retire(peer);
            peer.live = true;
            peer.revision += 1;
            self.replace_incarnation(id, machine);
        }
        let peer = &mut self.peers[id];
        if peer.machine != *machine {
            peer.machine = machine.clone();
            self.routes_stale = true;
        }
        let peer = &mut self.peers[id];
        if !peer.live {
            peer.live = true;
            self.routes_stale = true;
        }
        peer.heard = now;
        Some(id)
    }

    /// Frees what the previous incarnation held. Shards of a back end that checks no fences and
    /// still runs stay with it under new fences, since requests may still be running there.
    fn replace_incarnation(&mut self, id: MemberId, machine: &Machine) {
        let frees = self.lapse_frees(id) || !same_back_end(&self.peers[id].machine, machine);
        self.free_all(id, frees);
        for slot in self
            .services
            .values_mut()
            .flatten()
            .filter(|s| s.owner == Some(id))
        {
            self.sequence += 1;
            slot.fence = Fence::new(self.me.term, self.sequence);
            slot.told = true;
            slot.releasing = false;
        }
    }

    fn add_peer(&mut self, now: BootInstant, machine: &Machine) -> MemberId {
        let id = self.peers.len();
        self.peers.push(Peer {
            machine: machine.clone(),
            lapse: now + self.timing.suspicion,
            live: true,
            heard: now,
            revision: 1,
            retired: Vec::new(),
        });
        self.names.insert(machine.name.clone(), id);
        self.routes_stale = true;
        id
    }

    fn add_service(&mut self, service: &ServiceName) {
        if !self.services.contains_key(service) {
            let count = usize::from(table::shard_count(service.as_str()));
            self.services
                .insert(service.clone(), vec![Slot::default(); count]);
        }
    }

    fn take_report(&mut self, now: BootInstant, id: MemberId, request: &Request) {
        if let Some(back_end) = &request.machine.back_end
            && back_end.contract.keyed
        {
            self.add_service(&back_end.contract.service);
        }
        for holding in &request.released {
            self.on_released(now, id, holding);
        }
        for holding in &request.held {
            self.on_held(id, holding);
        }
        for slot in self
            .services
            .values_mut()
            .flatten()
            .filter(|s| s.owner == Some(id))
        {
            slot.load *= 1.0 - LOAD_SMOOTHING;
        }
        let period = self.timing.heartbeat.as_secs_f64();
        // A move of the reserved service's shards costs its customers more than their load does.
        let served = |load: &&ShardLoad| load.id.service.as_str() != table::CUSTOMERS_SERVICE;
        for load in request.loads.iter().filter(served) {
            if let Some(slot) = self.slot_mut(&load.id) {
                let rate = f64::from(load.requests) / period;
                slot.load += LOAD_SMOOTHING * rate;
            }
        }
    }

    fn on_released(&mut self, now: BootInstant, id: MemberId, holding: &Holding) {
        let Some(slot) = self.slot_mut(&holding.id) else {
            return;
        };
        let matches = slot.owner == Some(id) && slot.fence == holding.fence && slot.releasing;
        if matches {
            slot.owner = None;
            slot.releasing = false;
            slot.previous = None;
            slot.released = Some(Release {
                member: id,
                fence: holding.fence,
                at: now,
            });
            self.routes_stale = true;
        }
    }

    /// Remembers what a member held under an earlier term, so that it gets it back.
    fn on_held(&mut self, id: MemberId, holding: &Holding) {
        self.add_service(&holding.id.service);
        let Some(slot) = self.slot_mut(&holding.id) else {
            return;
        };
        if slot.owner.is_none() && holding.fence > slot.fence {
            slot.previous = Some(id);
            slot.fence = holding.fence;
        }
    }

    fn slot_mut(&mut self, id: &ShardId) -> Option<&mut Slot> {
        self.services
            .get_mut(&id.service)?
            .get_mut(usize::from(id.shard.0))
    }

    /// Frees the shards of members whose lease has lapsed.
    fn lapse(&mut self, now: BootInstant) {
        for id in 0..self.peers.len() {
            let peer = &mut self.peers[id];
            if !peer.live || now < peer.lapse {
                continue;
            }
            peer.live = false;
            peer.revision += 1;
            self.routes_stale = true;
            let fenced = self.lapse_frees(id);
            self.free_all(id, fenced);
        }
    }

    /// Tells whether a lapsed lease alone proves that nothing runs at the member's back end.
    fn lapse_frees(&self, id: MemberId) -> bool {
        self.peers[id]
            .machine
            .back_end
            .as_ref()
            .is_none_or(|b| b.contract.checks_fences)
    }

    /// Frees all shards of a member; with `all` false only those that no back end runs.
    fn free_all(&mut self, id: MemberId, all: bool) {
        for (service, slots) in &mut self.services {
            if !all && service.as_str() != table::CUSTOMERS_SERVICE {
                continue;
            }
            for slot in slots.iter_mut().filter(|s| s.owner == Some(id)) {
                slot.owner = None;
                slot.released = None;
                slot.previous = (!slot.releasing).then_some(id);
                slot.releasing = false;
            }
        }
        self.routes_stale = true;
    }

    fn renew(&mut self, id: MemberId, now: BootInstant, authority_until: BootInstant) -> Duration {
        if now < self.grants_from {
            self.peers[id].lapse = now + self.timing.suspicion;
            return Duration::ZERO;
        }
        let lease = self.timing.authority.min(authority_until.since(now));
        let peer = &mut self.peers[id];
        peer.lapse = peer.lapse.max(now + self.timing.outlast(lease));
        lease
    }

    fn reply(
        &mut self,
        now: BootInstant,
        id: MemberId,
        lease: Duration,
        cell_version: u64,
        request: &Request,
    ) -> Reply {
        let revision = self.peers[id].revision;
        let revision = if lease.is_zero() { 0 } else { revision };
        let known = request.term == self.me.term && request.revision == revision;
        let grants = (revision != 0 && !known).then(|| self.grants_of(now, id));
        let route =
            (request.route_version != self.routes.version).then(|| Arc::clone(&self.routes));
        Reply::Accepted(Accepted {
            coordinator: self.me.clone(),
            lease,
            revision,
            grants,
            route,
            cell_version,
        })
    }

    fn grants_of(&mut self, now: BootInstant, member: MemberId) -> Grants {
        let mut grants = Grants::default();
        for (service, slots) in &mut self.services {
            for (shard, slot) in slots.iter_mut().enumerate() {
                if slot.owner != Some(member) || slot.releasing {
                    continue;
                }
                let id = ShardId {
                    service: service.clone(),
                    shard: Shard(u16::try_from(shard).unwrap_or(u16::MAX)),
                };
                slot.told = true;
                grants
                    .predecessors
                    .extend(predecessor(&self.peers, now, &id, slot));
                grants.holdings.push(Holding {
                    id,
                    fence: slot.fence,
                });
            }
        }
        grants
    }
}

/// The tenure before, while its orders may still be taken.
fn predecessor(peers: &[Peer], now: BootInstant, id: &ShardId, slot: &Slot) -> Option<Predecessor> {
    let release = slot.released?;
    if id.service.as_str() == table::CUSTOMERS_SERVICE || now >= release.at + HANDOVER_PERIOD {
        return None;
    }
    Some(Predecessor {
        released: Holding {
            id: id.clone(),
            fence: release.fence,
        },
        address: peers[release.member].machine.traffic_address,
    })
}

fn same_back_end(left: &Machine, right: &Machine) -> bool {
    let instance = |m: &Machine| m.back_end.as_ref().map(|b| b.instance);
    instance(left) == instance(right)
}

fn retire(peer: &mut Peer) {
    if peer.retired.len() >= RETIRED_INCARNATIONS {
        peer.retired.remove(0);
    }
    peer.retired.push(peer.machine.incarnation);
}
