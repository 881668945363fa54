//! Assembles the status shown to operators.

use ownership::table::RouteTable;
use serde::Serialize;
use store::client::Store;
use world::instant::BootInstant;

use crate::control::{Control, CoordinatorRole};
use crate::status::{CoordinationStatus, MachineStatus, OwnerStatus, Status};

impl<S: Store> Control<S> {
    pub(super) fn status(&self, now: BootInstant) -> Status {
        let machine = self.shared.machine.load();
        let routes = self.shared.routes.load();
        Status {
            name: machine.name.to_string(),
            incarnation: machine.incarnation.to_string(),
            cell: self.shared.settings.cell.to_string(),
            term: self.member.term().0,
            coordinator: self.member.coordinator().map(|c| c.name.to_string()),
            lease_ms: remaining_ms(self.member.lease_until(), now),
            held: self.member.holding_count(),
            closing: self.draining.len(),
            lists_version: self.shared.lists.load().as_ref().map_or(0, |l| l.version),
            route_version: routes.version,
            machines: machines(&routes),
            owners: owners(&routes),
            coordination: self.role.as_ref().map(|role| coordination(role, now)),
            counts: to_json(&self.shared.counters.counts()),
            store_calls: to_json(&(self.store_calls)()),
        }
    }
}

fn remaining_ms(until: BootInstant, now: BootInstant) -> u64 {
    u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX)
}

fn to_json(value: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or_default()
}

fn machines(routes: &RouteTable) -> Vec<MachineStatus> {
    let ranges = routes.ranges();
    let shards = |index: usize| {
        let owned = ranges.iter().filter(|r| usize::from(r.machine) == index);
        owned.map(|r| usize::from(r.last.0 - r.first.0) + 1).sum()
    };
    let machines = routes.machines.iter().enumerate();
    machines
        .map(|(index, machine)| MachineStatus {
            name: machine.name.to_string(),
            region: machine.region.to_string(),
            zone: machine.zone.to_string(),
            service: machine
                .back_end
                .as_ref()
                .map(|b| b.contract.service.to_string()),
            draining: machine.leaving || machine.back_end.as_ref().is_some_and(|b| b.draining),
            shards: shards(index),
        })
        .collect()
}

fn owners(routes: &RouteTable) -> Vec<OwnerStatus> {
    let name = |index: u16| {
        let machine = routes.machines.get(usize::from(index));
        machine.map(|m| m.name.to_string()).unwrap_or_default()
    };
    routes
        .ranges()
        .iter()
        .map(|range| OwnerStatus {
            service: range.service.to_string(),
            first: range.first.0,
            last: range.last.0,
            machine: name(range.machine),
        })
        .collect()
}

fn coordination(role: &CoordinatorRole, now: BootInstant) -> CoordinationStatus {
    let counters = role.coordinator.counters();
    CoordinationStatus {
        authority_ms: remaining_ms(role.renewal.authority_until(), now),
        members: counters.members,
        unowned: counters.unowned,
        releasing: counters.releasing,
        grants: counters.grants,
        moves: counters.moves,
    }
}
