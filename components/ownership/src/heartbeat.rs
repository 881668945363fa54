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
    /// Version of the lists it has in force.
    pub lists_version: u64,
    /// What it held last, while it has no grants under `term`.
    pub held: Vec<Holding>,
    /// What it no longer holds and has no request in flight for.
    pub released: Vec<Holding>,
    /// Load of its shards.
    pub loads: Vec<ShardLoad>,
}

/// The coordinator of a cell as known to a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorRef {
    /// Its term.
    pub term: Term,
    /// Its machine.
    pub name: MachineName,
    /// Where its daemon listens for others.
    pub address: SocketAddr,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answering daemon does not accept the heartbeat; it names the coordinator it knows.
    Refused(Option<CoordinatorRef>),
    /// The lease is renewed.
    Accepted(Accepted),
}

/// Answer of the coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Who answers.
    pub coordinator: CoordinatorRef,
    /// The lease, counted by the member from when it sent the heartbeat.
    pub lease: Duration,
    /// Revision of the member's grants.
    pub revision: u64,
    /// All grants of the member, when the revision differs from the member's.
    pub grants: Option<Grants>,
    /// The route table, when its version differs from the member's.
    pub route: Option<Arc<RouteTable>>,
    /// Version of the cell's record at the coordinator's last confirmed renewal.
    pub cell_version: u64,
}

/// All grants of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grants {
    /// What the member holds from now on.
    pub holdings: Vec<Holding>,
    /// Released tenures that some of the holdings follow.
    pub predecessors: Vec<Predecessor>,
}

/// A tenure that was released as planned. Its orders may be taken by the tenure that follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// The tenure.
    pub released: Holding,
    /// Where the daemon that released it takes requests of other daemons.
    pub address: SocketAddr,
}
