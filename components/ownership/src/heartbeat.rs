//! Messages between a member and its coordinator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use world::key::Term;
use world::machine::Machine;
use world::name::{CellName, MachineName};

use crate::table::{Holding, RouteTable, ShardId};

/// Requests that a shard received since the previous heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardLoad {
    /// The shard.
    pub id: ShardId,
    /// Number of requests.
    pub requests: u32,
}

/// Heartbeat of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The member's cell.
    pub cell: CellName,
    /// Highest term that the member has adopted.
    pub term: Term,
    /// The member itself.
    pub machine: Machine,
    /// Revision of its grants under `term`; 0 for none.
    pub revision: u64,
    /// Version of its route table.
    pub route_version: u64,
    /// Version of its active lists.
    pub lists_version: u64,
    /// Shards that it held last; empty once it has grants under `term`.
    pub former_holdings: Vec<Holding>,
    /// Shards that were withdrawn from it and have no request in flight.
    pub released: Vec<Holding>,
    /// Load of its shards.
    pub loads: Vec<ShardLoad>,
}

/// The coordinator of a cell and where to reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorRef {
    /// Its term.
    pub term: Term,
    /// Its machine.
    pub name: MachineName,
    /// Where its daemon listens for others.
    pub address: SocketAddr,
}

/// Reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The daemon does not accept the heartbeat; it names the coordinator, if it knows one.
    Refused(Option<CoordinatorRef>),
    /// The coordinator accepted the heartbeat.
    Accepted(Accepted),
}

/// Reply of the coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The replying coordinator.
    pub coordinator: CoordinatorRef,
    /// Duration of the lease from when the member sent the heartbeat; zero before the first grant.
    pub lease: Duration,
    /// Revision of the member's grants; 0 before the first grant.
    pub revision: u64,
    /// All grants of the member; `None` when it has this revision already.
    pub grants: Option<Grants>,
    /// The route table; `None` when the member has this version already.
    pub route: Option<Arc<RouteTable>>,
    /// Version of the cell's record at the coordinator's last confirmed renewal.
    pub cell_version: u64,
}

/// All grants of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grants {
    /// Shards that the member holds from now on.
    pub holdings: Vec<Holding>,
    /// Released tenures that precede some of the holdings.
    pub predecessors: Vec<Predecessor>,
}

/// A tenure that ended by a release. The next owner may take over its orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// The tenure.
    pub released: Holding,
    /// Address at which the daemon that released it accepts requests of other daemons.
    pub address: SocketAddr,
}
