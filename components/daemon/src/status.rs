//! The status of a daemon as the admin API returns it.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Status of a daemon and of its cell as the daemon knows it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Name of the machine.
    pub name: String,
    /// Number drawn at the start of the daemon process.
    pub incarnation: String,
    /// The cell.
    pub cell: String,
    /// Highest term of the cell that the daemon knows.
    pub term: u32,
    /// Name of the cell's coordinator, when known.
    pub coordinator: Option<String>,
    /// Remaining time of the member lease in milliseconds; 0 without a lease.
    pub lease_ms: u64,
    /// Number of shards that the daemon holds.
    pub held: usize,
    /// Number of withdrawn shards that are still being drained.
    pub closing: usize,
    /// Version of the active lists; 0 when there are none.
    pub lists_version: u64,
    /// Version of the route table.
    pub route_version: u64,
    /// Machines of the cell.
    pub machines: Vec<MachineStatus>,
    /// Owners of the shards.
    pub owners: Vec<OwnerStatus>,
    /// Status of the coordinator; `None` when this daemon is not the coordinator.
    pub coordination: Option<CoordinationStatus>,
    /// Counters of this daemon since its start.
    pub counts: serde_json::Value,
    /// Counts of calls made to the platform's store.
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
    /// True while it or its back end accepts no new requests.
    pub draining: bool,
    /// Number of shards that it owns.
    pub shards: usize,
}

/// A range of adjacent shards with one owner.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct OwnerStatus {
    /// The service.
    pub service: String,
    /// First shard.
    pub first: u16,
    /// Last shard, inclusive.
    pub last: u16,
    /// Name of the owning machine.
    pub machine: String,
}

/// Status of a coordinator.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct CoordinationStatus {
    /// Remaining time of the authority in milliseconds.
    pub authority_ms: u64,
    /// Number of members with a lease.
    pub members: usize,
    /// Number of shards without an owner.
    pub unowned: usize,
    /// Number of shards that are being moved between owners.
    pub releasing: usize,
    /// Grants made in this term.
    pub grants: u64,
    /// Shards moved for balance in this term.
    pub moves: u64,
}
