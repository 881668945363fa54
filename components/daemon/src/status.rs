//! What a daemon tells operators.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Status of a daemon and what it knows of its cell.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Name of the machine.
    pub name: String,
    /// Life of the daemon.
    pub incarnation: String,
    /// The cell.
    pub cell: String,
    /// The cell's term.
    pub term: u32,
    /// The cell's coordinator, when known.
    pub coordinator: Option<String>,
    /// What is left of the member lease in milliseconds.
    pub lease_ms: u64,
    /// Shards held.
    pub held: usize,
    /// Shards that still have requests in flight after they were taken back.
    pub closing: usize,
    /// Version of the lists in force.
    pub lists_version: u64,
    /// Version of the route table.
    pub route_version: u64,
    /// Machines of the cell.
    pub machines: Vec<MachineStatus>,
    /// Who owns what.
    pub owners: Vec<OwnerStatus>,
    /// Counters of the coordinator, when this daemon is it.
    pub coordination: Option<CoordinationStatus>,
    /// Counts of this daemon's decisions.
    pub counts: serde_json::Value,
    /// Calls made to the platform's store.
    pub store_calls: serde_json::Value,
}

/// One machine of a cell.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct MachineStatus {
    /// Name.
    pub name: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Service of its back end, when it has one.
    pub service: Option<String>,
    /// True while it or its back end takes no new work.
    pub draining: bool,
    /// Shards that it owns.
    pub shards: usize,
}

/// Neighbouring shards with one owner.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct OwnerStatus {
    /// The service.
    pub service: String,
    /// First shard.
    pub first: u16,
    /// Last shard, included.
    pub last: u16,
    /// Name of the owning machine.
    pub machine: String,
}

/// Counters of a coordinator.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct CoordinationStatus {
    /// What is left of the authority in milliseconds.
    pub authority_ms: u64,
    /// Members with a lease.
    pub members: usize,
    /// Shards without an owner.
    pub unowned: usize,
    /// Shards on their way from one owner to another.
    pub releasing: usize,
    /// Grants made in this term.
    pub grants: u64,
    /// Shards moved for balance in this term.
    pub moves: u64,
}
