//! Plans which shards are granted, withdrawn and moved, and rebuilds the route table.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use world::instant::BootInstant;
use world::key::Fence;
use world::name::ServiceName;

use crate::assignment::{self, WeightedShard};
use crate::coordinator::{Coordinator, MemberId, Slot};
use crate::table::{self, MachineIndex, RouteTable};

/// Maximum number of shards of a service that one round of balancing moves.
const MOVES_PER_ROUND: usize = 64;

/// Time between two rounds of balancing.
const BALANCE_PERIOD: Duration = Duration::from_secs(1);

impl Coordinator {
    pub(super) fn plan(&mut self, now: BootInstant) {
        if now < self.grants_from {
            self.update_routes();
            return;
        }
        let balance = now >= self.last_balance + BALANCE_PERIOD;
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in &services {
            let candidates = self.candidates(service);
            self.revoke(service, &candidates);
            self.grant(service, &candidates);
            if balance {
                self.balance(service, &candidates);
            }
        }
        if balance {
            self.last_balance = now;
        }
        self.update_routes();
    }

    /// Returns the members that may own shards of a service.
    fn candidates(&self, service: &ServiceName) -> Vec<MemberId> {
        let reserved = service.as_str() == table::CUSTOMERS_SERVICE;
        (0..self.members.len())
            .filter(|id| {
                let member = &self.members[*id];
                let fits = match reserved {
                    true => !member.machine.leaving,
                    false => member.machine.offers(service.as_str()),
                };
                member.live && fits
            })
            .collect()
    }

    /// Withdraws shards from live members that are no candidates any more.
    fn revoke(&mut self, service: &ServiceName, candidates: &[MemberId]) {
        let Some(slots) = self.services.get_mut(service) else {
            return;
        };
        for slot in slots.iter_mut().filter(|s| !s.releasing) {
            let Some(owner) = slot.owner else { continue };
            if candidates.contains(&owner) || !self.members[owner].live {
                continue;
            }
            slot.withdraw();
            self.members[owner].revision += 1;
        }
    }

    fn grant(&mut self, service: &ServiceName, candidates: &[MemberId]) {
        let Some(slots) = self.services.get_mut(service) else {
            return;
        };
        if candidates.is_empty() || slots.iter().all(|s| s.owner.is_some()) {
            return;
        }
        let weighted = weighted_shards(slots, candidates);
        for placement in assignment::assign_unowned(&weighted, candidates.len()) {
            let id = candidates[placement.candidate];
            self.sequence += 1;
            let slot = &mut slots[placement.shard];
            slot.owner = Some(id);
            slot.fence = Fence::new(self.me.term, self.sequence);
            slot.grant_sent = false;
            slot.previous = None;
            self.members[id].revision += 1;
        }
        self.routes_stale = true;
    }

    fn balance(&mut self, service: &ServiceName, candidates: &[MemberId]) {
        let Some(slots) = self.services.get_mut(service) else {
            return;
        };
        if slots.iter().any(|s| s.releasing || s.owner.is_none()) {
            return;
        }
        let weighted = weighted_shards(slots, candidates);
        let moves = assignment::rebalance(&weighted, candidates.len(), MOVES_PER_ROUND);
        for movement in moves {
            let slot = &mut slots[movement.shard];
            let Some(owner) = slot.owner else { continue };
            slot.withdraw();
            self.members[owner].revision += 1;
            self.moves += 1;
        }
    }

    /// Rebuilds the route table after a change.
    fn update_routes(&mut self) {
        if !self.routes_stale {
            return;
        }
        self.routes_stale = false;
        self.route_count += 1;
        let mut index: Vec<Option<MachineIndex>> = vec![None; self.members.len()];
        let mut machines = Vec::new();
        for (id, member) in self.members.iter().enumerate().filter(|(_, p)| p.live) {
            index[id] = MachineIndex::try_from(machines.len()).ok();
            machines.push(member.machine.clone());
        }
        let mut owners = BTreeMap::new();
        for (service, slots) in &self.services {
            let list = slots
                .iter()
                .map(|s| s.owner.and_then(|o| index[o]))
                .collect();
            owners.insert(service.clone(), list);
        }
        let version = Fence::new(self.me.term, self.route_count).0;
        self.routes = Arc::new(RouteTable {
            version,
            machines,
            owners,
        });
    }
}

fn weighted_shards(slots: &[Slot], candidates: &[MemberId]) -> Vec<WeightedShard> {
    let position = |id: MemberId| candidates.iter().position(|c| *c == id);
    slots
        .iter()
        .enumerate()
        .map(|(shard, slot)| WeightedShard {
            shard,
            unowned: slot.owner.is_none(),
            owner: slot.owner.and_then(position),
            previous: slot.previous.and_then(position),
            weight: slot.load + assignment::IDLE_SHARD_WEIGHT,
        })
        .collect()
}
