//! The coordinator's side of the lease protocol: grants leases and assigns shards to members.

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

/// Smoothing factor of a shard's load (exponential moving average); with the default heartbeat its
/// time constant is about two and a half seconds.
const LOAD_SMOOTHING: f64 = 0.06;

/// Number of replaced incarnations that are kept for a machine, to refuse their heartbeats.
const RETIRED_INCARNATIONS: usize = 8;

/// Time for which a new owner's grant names the previous tenure, to take over its orders.
const HANDOVER_PERIOD: Duration = Duration::from_secs(5);

/// Index of a member; members are never renumbered within a term.
type MemberId = usize;

#[derive(Clone, Debug)]
struct MemberState {
    machine: Machine,
    /// Instant, on this machine's clock, from which the member's lease has certainly lapsed.
    lapses_at: BootInstant,
    /// False once the lease has lapsed and the shards are freed.
    live: bool,
    last_heartbeat: BootInstant,
    revision: u64,
    retired: Vec<Incarnation>,
}

/// Ownership of one shard.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    owner: Option<MemberId>,
    fence: Fence,
    /// True once a reply with the grant may have been sent to the owner.
    grant_sent: bool,
    /// True while the owner is to release the shard and has not confirmed it.
    /// Invariant: only a grant that was sent is released.
    releasing: bool,
    /// Member that reported the shard as held last, or whose lease lapsed while it owned it.
    previous: Option<MemberId>,
    /// The previous tenure, if it ended by a release.
    released: Option<Release>,
    load: f64,
}

impl Slot {
    /// Withdraws the shard from its owner; at once if the grant was never sent.
    fn withdraw(&mut self) {
        if self.grant_sent {
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
    formation_end: BootInstant,
    sequence: u32,
    members: Vec<MemberState>,
    member_ids: BTreeMap<MachineName, MemberId>,
    services: BTreeMap<ServiceName, Vec<Slot>>,
    routes: Arc<RouteTable>,
    route_count: u32,
    routes_stale: bool,
    last_balance: BootInstant,
    moves: u64,
}

/// Counters of a coordinator for status and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Members with a lease.
    pub members: usize,
    /// Shards without an owner.
    pub unowned: usize,
    /// Shards that their owner is to release.
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
        let formation_end = now + timing.formation;
        let grants_from = grants_from.max(formation_end);
        let mut coordinator = Self {
            timing,
            me,
            grants_from,
            formation_end,
            sequence: 0,
            members: Vec::new(),
            member_ids: BTreeMap::new(),
            services: BTreeMap::new(),
            routes: Arc::default(),
            route_count: 0,
            routes_stale: true,
            last_balance: now,
            moves: 0,
        };
        coordinator.add_service(&ServiceName::new(table::CUSTOMERS_SERVICE));
        coordinator
    }

    /// Continues under a later term of the same daemon, with the leases and owners of this one.
    #[must_use]
    pub fn promote(mut self, me: CoordinatorRef) -> Self {
        self.me = me;
        self.routes_stale = true;
        self
    }

    /// Sets the instant from which grants are made, once it is known when earlier terms ended.
    /// Has no effect after the first grant.
    pub fn set_grants_from(&mut self, now: BootInstant, grants_from: BootInstant) {
        if self.sequence == 0 {
            let formation_end = self.formation_end.max(grants_from);
            self.grants_from = formation_end.max(now);
        }
    }

    /// Returns the coordinator's term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.me.term
    }

    /// Returns the coordinator's term, machine and address.
    #[must_use]
    pub fn identity(&self) -> &CoordinatorRef {
        &self.me
    }

    /// Returns the current route table.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Returns counters for status and metrics.
    #[must_use]
    pub fn counters(&self) -> Counters {
        let slots = self.services.values().flatten();
        let mut counters = Counters {
            members: self.members.iter().filter(|p| p.live).count(),
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

    /// Returns when the last heartbeat of another member arrived; `None` if there was none.
    #[must_use]
    pub fn last_heartbeat_of_others(&self) -> Option<BootInstant> {
        let others = self
            .members
            .iter()
            .filter(|p| p.machine.name != self.me.name);
        others.map(|p| p.last_heartbeat).max()
    }

    /// Returns the number of other members that have sent a heartbeat in this term.
    #[must_use]
    pub fn other_member_count(&self) -> usize {
        self.members
            .iter()
            .filter(|p| p.machine.name != self.me.name)
            .count()
    }

    /// Handles a member's heartbeat. `authority_until` is the end of the coordinator's own
    /// authority, `cell_version` the record version of its last confirmed renewal.
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
        self.apply_report(now, id, request);
        let lease = self.renew(id, now, authority_until);
        self.expire_leases(now);
        self.plan(now);
        self.reply(now, id, lease, cell_version, request)
    }

    /// Frees the shards of lapsed leases, grants unowned shards and balances the load.
    pub fn tick(&mut self, now: BootInstant, authority_until: BootInstant) {
        if now >= authority_until {
            return;
        }
        self.expire_leases(now);
        self.plan(now);
    }

    fn admit(&mut self, now: BootInstant, request: &Request) -> Option<MemberId> {
        let machine = &request.machine;
        let Some(&id) = self.member_ids.get(&machine.name) else {
            return Some(self.add_member(now, machine));
        };
        let member = &mut self.members[id];
        if member.machine.incarnation != machine.incarnation {
            let refused = now < member.lapses_at || member.retired.contains(&machine.incarnation);
            if refused {
                return None;
            }
            retire(member);
            member.live = true;
            member.revision += 1;
            self.replace_incarnation(id, machine);
        }
        let member = &mut self.members[id];
        if member.machine != *machine {
            member.machine = machine.clone();
            self.routes_stale = true;
        }
        let member = &mut self.members[id];
        if !member.live {
            member.live = true;
            self.routes_stale = true;
        }
        member.last_heartbeat = now;
        Some(id)
    }

    /// Frees the shards of the previous incarnation. Shards of a back end that checks no fences and
    /// still runs stay with it under new fences, since requests may still run there.
    fn replace_incarnation(&mut self, id: MemberId, machine: &Machine) {
        let frees = self.is_fenced(id) || !same_back_end(&self.members[id].machine, machine);
        self.free_shards(id, frees);
        for slot in self
            .services
            .values_mut()
            .flatten()
            .filter(|s| s.owner == Some(id))
        {
            self.sequence += 1;
            slot.fence = Fence::new(self.me.term, self.sequence);
            slot.grant_sent = true;
            slot.releasing = false;
        }
    }

    fn add_member(&mut self, now: BootInstant, machine: &Machine) -> MemberId {
        let id = self.members.len();
        self.members.push(MemberState {
            machine: machine.clone(),
            lapses_at: now + self.timing.suspicion,
            live: true,
            last_heartbeat: now,
            revision: 1,
            retired: Vec::new(),
        });
        self.member_ids.insert(machine.name.clone(), id);
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

    fn apply_report(&mut self, now: BootInstant, id: MemberId, request: &Request) {
        if let Some(back_end) = &request.machine.back_end
            && back_end.contract.keyed
        {
            self.add_service(&back_end.contract.service);
        }
        for holding in &request.released {
            self.on_released(now, id, holding);
        }
        for holding in &request.former_holdings {
            self.on_previous_holding(id, holding);
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
        // The reserved service's shards aren't balanced by load: moving them disturbs their
        // customers more than uneven load does.
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

    /// Records a shard that a member held under an earlier term, so that it is granted it again.
    fn on_previous_holding(&mut self, id: MemberId, holding: &Holding) {
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
    fn expire_leases(&mut self, now: BootInstant) {
        for id in 0..self.members.len() {
            let member = &mut self.members[id];
            if !member.live || now < member.lapses_at {
                continue;
            }
            member.live = false;
            member.revision += 1;
            self.routes_stale = true;
            let fenced = self.is_fenced(id);
            self.free_shards(id, fenced);
        }
    }

    /// Returns whether a lapsed lease alone rules out that the member's back end executes requests:
    /// it has none, or one that checks fences.
    fn is_fenced(&self, id: MemberId) -> bool {
        self.members[id]
            .machine
            .back_end
            .as_ref()
            .is_none_or(|b| b.contract.checks_fences)
    }

    /// Frees all shards of a member; with `all` false only those of the reserved service, which has
    /// no back end.
    fn free_shards(&mut self, id: MemberId, all: bool) {
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
            self.members[id].lapses_at = now + self.timing.suspicion;
            return Duration::ZERO;
        }
        let lease = self.timing.authority.min(authority_until.since(now));
        let member = &mut self.members[id];
        member.lapses_at = member
            .lapses_at
            .max(now + self.timing.with_clock_margin(lease));
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
        let revision = self.members[id].revision;
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
                slot.grant_sent = true;
                grants
                    .predecessors
                    .extend(predecessor(&self.members, now, &id, slot));
                grants.holdings.push(Holding {
                    id,
                    fence: slot.fence,
                });
            }
        }
        grants
    }
}

/// Returns the previous tenure, while its orders may still be taken over.
fn predecessor(
    members: &[MemberState],
    now: BootInstant,
    id: &ShardId,
    slot: &Slot,
) -> Option<Predecessor> {
    let release = slot.released?;
    if id.service.as_str() == table::CUSTOMERS_SERVICE || now >= release.at + HANDOVER_PERIOD {
        return None;
    }
    Some(Predecessor {
        released: Holding {
            id: id.clone(),
            fence: release.fence,
        },
        address: members[release.member].machine.traffic_address,
    })
}

fn same_back_end(left: &Machine, right: &Machine) -> bool {
    let instance = |m: &Machine| m.back_end.as_ref().map(|b| b.instance);
    instance(left) == instance(right)
}

fn retire(member: &mut MemberState) {
    if member.retired.len() >= RETIRED_INCARNATIONS {
        member.retired.remove(0);
    }
    member.retired.push(member.machine.incarnation);
}
