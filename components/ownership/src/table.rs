//! The route table: the owner of each shard, published by the coordinator.

use std::collections::BTreeMap;

use world::key::{Fence, KeyHash, Shard};
use world::machine::Machine;
use world::name::ServiceName;

/// Reserved service whose shards decide which daemon is the owner of a customer's allowance.
/// No real service has this name, as valid names contain no `@`.
pub const CUSTOMERS_SERVICE: &str = "@customers";

/// Shards of [`CUSTOMERS_SERVICE`].
pub const CUSTOMER_SHARDS: u16 = 64;

/// Returns the number of shards of a service.
#[must_use]
pub fn shard_count(service: &str) -> u16 {
    if service == CUSTOMERS_SERVICE {
        return CUSTOMER_SHARDS;
    }
    world::key::SHARDS_PER_SERVICE
}

/// Returns the shard of a service that a key belongs to.
#[must_use]
pub fn shard_of(service: &str, key: KeyHash) -> Shard {
    key.shard(shard_count(service))
}

/// A shard of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardId {
    /// The service.
    pub service: ServiceName,
    /// The shard within the service.
    pub shard: Shard,
}

/// A shard held under a fence.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holding {
    /// The shard.
    pub id: ShardId,
    /// Fence of the grant.
    pub fence: Fence,
}

/// Index of a machine in a [`RouteTable`].
pub type MachineIndex = u16;

/// Owners of all shards and the machines of a cell at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Version; it rises with each change and across terms.
    pub version: u64,
    /// The cell's live machines.
    pub machines: Vec<Machine>,
    /// Per service one entry a shard. Invariant: an index is below `machines.len()`.
    pub owners: BTreeMap<ServiceName, Vec<Option<MachineIndex>>>,
}

impl RouteTable {
    /// Returns the machine that owns a shard.
    #[must_use]
    pub fn owner(&self, service: &str, shard: Shard) -> Option<&Machine> {
        let index = self.owner_index(service, shard)?;
        self.machines.get(usize::from(index))
    }

    fn owner_index(&self, service: &str, shard: Shard) -> Option<MachineIndex> {
        let owners = self
            .owners
            .iter()
            .find(|(name, _)| name.as_str() == service)?
            .1;
        owners.get(usize::from(shard.0)).copied().flatten()
    }

    /// Returns the owners of all services as ranges of adjacent shards with the same owner.
    #[must_use]
    pub fn ranges(&self) -> Vec<OwnerRange> {
        let mut ranges: Vec<OwnerRange> = Vec::new();
        for (service, owners) in &self.owners {
            for (shard, owner) in owners.iter().enumerate() {
                let Some(machine) = *owner else { continue };
                let shard = Shard(u16::try_from(shard).unwrap_or(u16::MAX));
                push_range(&mut ranges, service, shard, machine);
            }
        }
        ranges
    }

    /// Sets the owner of every shard in a range.
    pub fn set_range(&mut self, range: &OwnerRange) {
        let count = usize::from(shard_count(range.service.as_str()));
        let owners = self
            .owners
            .entry(range.service.clone())
            .or_insert_with(|| vec![None; count]);
        for shard in range.first.0..=range.last.0 {
            if let Some(owner) = owners.get_mut(usize::from(shard)) {
                *owner = Some(range.machine);
            }
        }
    }
}

fn push_range(
    ranges: &mut Vec<OwnerRange>,
    service: &ServiceName,
    shard: Shard,
    machine: MachineIndex,
) {
    if let Some(last) = ranges.last_mut()
        && last.service == *service
        && last.machine == machine
        && last.last.0 + 1 == shard.0
    {
        last.last = shard;
        return;
    }
    ranges.push(OwnerRange {
        service: service.clone(),
        first: shard,
        last: shard,
        machine,
    });
}

/// Adjacent shards with one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRange {
    /// The service.
    pub service: ServiceName,
    /// First shard of the range.
    pub first: Shard,
    /// Last shard of the range, included.
    pub last: Shard,
    /// The owner's index in the table.
    pub machine: MachineIndex,
}
