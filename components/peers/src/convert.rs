//! Conversions between wire messages and domain types.
//!
//! The `..._from_wire` functions validate names, addresses and numbers and never panic.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ownership::heartbeat::{
    Accepted, CoordinatorRef, Grants, Predecessor, Reply, Request, ShardLoad,
};
use ownership::table::{self, Holding, OwnerRange, RouteTable, ShardId};
use snafu::{ResultExt, Snafu};
use world::contract::{Contract, Operation};
use world::key::{Fence, Shard, Term};
use world::machine::{BackEnd, Incarnation, Machine};
use world::name::{CellName, MachineName, NameError, RegionName, ServiceName, ZoneName};

use crate::wire;

/// Error of a message from a peer that can't be converted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// A name does not follow the naming rules.
    #[snafu(display("field {field}: {source}"))]
    Name {
        /// Field of the message.
        field: &'static str,
        /// Rule that the name breaks.
        source: NameError,
    },
    /// An address is not an IP address with a port.
    #[snafu(display("field {field}: not an address"))]
    Address {
        /// Field of the message.
        field: &'static str,
        /// Error of the address parser.
        source: std::net::AddrParseError,
    },
    /// A required field is absent.
    #[snafu(display("field {field} is missing"))]
    Missing {
        /// Field of the message.
        field: &'static str,
    },
    /// A value is outside the range of its field.
    #[snafu(display("field {field} is out of range"))]
    Range {
        /// Field of the message.
        field: &'static str,
    },
}

/// Converts a machine.
#[must_use]
pub fn machine_to_wire(machine: &Machine) -> wire::MemberInfo {
    wire::MemberInfo {
        name: machine.name.to_string(),
        incarnation: machine.incarnation.0,
        region: machine.region.to_string(),
        zone: machine.zone.to_string(),
        peer_address: machine.peer_address.to_string(),
        traffic_address: machine.traffic_address.to_string(),
        caller_address: machine.caller_address.to_string(),
        back_end: machine.back_end.as_ref().map(back_end_to_wire),
        leaving: machine.leaving,
    }
}

fn back_end_to_wire(back_end: &BackEnd) -> wire::BackEnd {
    let contract = &back_end.contract;
    let operations = contract
        .operations
        .iter()
        .map(|o| wire::Operation {
            name: o.name.to_string(),
            order: o.order,
        })
        .collect();
    wire::BackEnd {
        service: contract.service.to_string(),
        slots: back_end.slots,
        draining: back_end.draining,
        keyed: contract.keyed,
        checks_fences: contract.checks_fences,
        operations,
        instance: back_end.instance.0,
    }
}

/// Parses a machine.
///
/// # Errors
/// Returns an error that names the first invalid field.
pub fn machine_from_wire(info: &wire::MemberInfo) -> Result<Machine, WireError> {
    let address = |text: &str, field| text.parse().context(AddressSnafu { field });
    let check_name = |text: &str, field| world::name::check(text).context(NameSnafu { field });
    check_name(&info.name, "name")?;
    check_name(&info.region, "region")?;
    check_name(&info.zone, "zone")?;
    Ok(Machine {
        name: MachineName::new(&info.name),
        incarnation: Incarnation(info.incarnation),
        region: RegionName::new(&info.region),
        zone: ZoneName::new(&info.zone),
        peer_address: address(&info.peer_address, "peer_address")?,
        traffic_address: address(&info.traffic_address, "traffic_address")?,
        caller_address: address(&info.caller_address, "caller_address")?,
        back_end: info.back_end.as_ref().map(back_end_from_wire).transpose()?,
        leaving: info.leaving,
    })
}

fn back_end_from_wire(back_end: &wire::BackEnd) -> Result<BackEnd, WireError> {
    let service =
        ServiceName::from_input(&back_end.service).context(NameSnafu { field: "service" })?;
    let operations = back_end.operations.iter();
    let operations: Result<_, NameError> = operations
        .map(|o| Operation::from_input(&o.name, o.order))
        .collect();
    let operations = operations.context(NameSnafu {
        field: "operations",
    })?;
    let contract = Contract {
        service,
        keyed: back_end.keyed,
        checks_fences: back_end.checks_fences,
        operations,
    };
    Ok(BackEnd {
        instance: Incarnation(back_end.instance),
        contract,
        slots: back_end.slots,
        draining: back_end.draining,
    })
}

/// Converts holdings, grouped by service.
#[must_use]
pub fn holdings_to_wire(holdings: &[Holding]) -> Vec<wire::HoldingSet> {
    let mut sets: BTreeMap<&ServiceName, wire::HoldingSet> = BTreeMap::new();
    for holding in holdings {
        let set = sets.entry(&holding.id.service).or_default();
        set.shards.push(u32::from(holding.id.shard.0));
        set.fences.push(holding.fence.0);
    }
    sets.into_iter()
        .map(|(service, mut set)| {
            set.service = service.to_string();
            set
        })
        .collect()
}

/// Parses holdings. Shards without a fence and fences without a shard are ignored.
///
/// # Errors
/// Returns an error that names the first invalid field.
pub fn holdings_from_wire(sets: &[wire::HoldingSet]) -> Result<Vec<Holding>, WireError> {
    let mut holdings = Vec::new();
    for set in sets {
        let service = service_name(&set.service)?;
        for (shard, fence) in set.shards.iter().zip(&set.fences) {
            let shard = shard_number(&service, *shard)?;
            let id = ShardId {
                service: service.clone(),
                shard,
            };
            holdings.push(Holding {
                id,
                fence: Fence(*fence),
            });
        }
    }
    Ok(holdings)
}

/// Converts loads, grouped by service.
fn loads_to_wire(loads: &[ShardLoad]) -> Vec<wire::LoadSet> {
    let mut sets: BTreeMap<&ServiceName, wire::LoadSet> = BTreeMap::new();
    for load in loads {
        let set = sets.entry(&load.id.service).or_default();
        set.shards.push(u32::from(load.id.shard.0));
        set.requests.push(load.requests);
    }
    sets.into_iter()
        .map(|(service, mut set)| {
            set.service = service.to_string();
            set
        })
        .collect()
}

fn loads_from_wire(sets: &[wire::LoadSet]) -> Result<Vec<ShardLoad>, WireError> {
    let mut loads = Vec::new();
    for set in sets {
        let service = service_name(&set.service)?;
        for (shard, requests) in set.shards.iter().zip(&set.requests) {
            let shard = shard_number(&service, *shard)?;
            let id = ShardId {
                service: service.clone(),
                shard,
            };
            loads.push(ShardLoad {
                id,
                requests: *requests,
            });
        }
    }
    Ok(loads)
}

/// Parses the name of a service. Between peers it may also be [`table::CUSTOMERS_SERVICE`], which
/// is no valid name elsewhere.
fn service_name(text: &str) -> Result<ServiceName, WireError> {
    if text == table::CUSTOMERS_SERVICE {
        return Ok(ServiceName::new(text));
    }
    ServiceName::from_input(text).context(NameSnafu { field: "service" })
}

fn shard_number(service: &ServiceName, shard: u32) -> Result<Shard, WireError> {
    let count = table::shard_count(service.as_str());
    match u16::try_from(shard) {
        Ok(shard) if shard < count => Ok(Shard(shard)),
        _ => RangeSnafu { field: "shard" }.fail(),
    }
}

/// Converts a heartbeat; the caller sets `lists`.
#[must_use]
pub fn heartbeat_request_to_wire(request: &Request) -> wire::HeartbeatRequest {
    wire::HeartbeatRequest {
        cell: request.cell.to_string(),
        term: u64::from(request.term.0),
        member: Some(machine_to_wire(&request.machine)),
        grant_revision: request.revision,
        route_version: request.route_version,
        lists_version: request.lists_version,
        held: holdings_to_wire(&request.former_holdings),
        released: holdings_to_wire(&request.released),
        loads: loads_to_wire(&request.loads),
        lists: None,
    }
}

/// Parses a heartbeat; `lists` is ignored.
///
/// # Errors
/// Returns an error that names the first invalid field.
pub fn heartbeat_request_from_wire(message: &wire::HeartbeatRequest) -> Result<Request, WireError> {
    let member = message
        .member
        .as_ref()
        .ok_or(WireError::Missing { field: "member" })?;
    Ok(Request {
        cell: CellName::from_input(&message.cell).context(NameSnafu { field: "cell" })?,
        term: term_from_wire(message.term)?,
        machine: machine_from_wire(member)?,
        revision: message.grant_revision,
        route_version: message.route_version,
        lists_version: message.lists_version,
        former_holdings: holdings_from_wire(&message.held)?,
        released: holdings_from_wire(&message.released)?,
        loads: loads_from_wire(&message.loads)?,
    })
}

/// Parses a term.
///
/// # Errors
/// Returns [`WireError::Range`] when the number exceeds `u32::MAX`.
pub fn term_from_wire(number: u64) -> Result<Term, WireError> {
    u32::try_from(number)
        .map(Term)
        .map_err(|_| WireError::Range { field: "term" })
}

/// Converts a reply to a heartbeat; the caller sets `lists` and `want_lists`.
#[must_use]
pub fn heartbeat_reply_to_wire(reply: &Reply) -> wire::HeartbeatReply {
    match reply {
        Reply::Refused(None) => wire::HeartbeatReply::default(),
        Reply::Refused(Some(coordinator)) => coordinator_to_wire(coordinator),
        Reply::Accepted(accepted) => accepted_to_wire(accepted),
    }
}

fn coordinator_to_wire(coordinator: &CoordinatorRef) -> wire::HeartbeatReply {
    wire::HeartbeatReply {
        term: u64::from(coordinator.term.0),
        coordinator: coordinator.name.to_string(),
        coordinator_address: coordinator.address.to_string(),
        ..wire::HeartbeatReply::default()
    }
}

fn accepted_to_wire(accepted: &Accepted) -> wire::HeartbeatReply {
    let grants = accepted.grants.as_ref().map(grants_to_wire);
    wire::HeartbeatReply {
        accepted: true,
        lease_ms: u32::try_from(accepted.lease.as_millis()).unwrap_or(u32::MAX),
        grant_revision: accepted.revision,
        grants,
        route: accepted.route.as_ref().map(|route| route_to_wire(route)),
        cell_version: accepted.cell_version,
        ..coordinator_to_wire(&accepted.coordinator)
    }
}

fn grants_to_wire(grants: &Grants) -> wire::GrantSet {
    let mut by_address: BTreeMap<SocketAddr, Vec<Holding>> = BTreeMap::new();
    for predecessor in &grants.predecessors {
        let list = by_address.entry(predecessor.address).or_default();
        list.push(predecessor.released.clone());
    }
    let sets = by_address
        .into_iter()
        .map(|(address, list)| wire::PredecessorSet {
            traffic_address: address.to_string(),
            released: holdings_to_wire(&list),
        });
    wire::GrantSet {
        grants: holdings_to_wire(&grants.holdings),
        predecessors: sets.collect(),
    }
}

fn grants_from_wire(set: &wire::GrantSet) -> Result<Grants, WireError> {
    let mut predecessors = Vec::new();
    for predecessor_set in &set.predecessors {
        let field = "traffic_address";
        let address = predecessor_set
            .traffic_address
            .parse()
            .context(AddressSnafu { field })?;
        let released = holdings_from_wire(&predecessor_set.released)?;
        predecessors.extend(
            released
                .into_iter()
                .map(|released| Predecessor { released, address }),
        );
    }
    Ok(Grants {
        holdings: holdings_from_wire(&set.grants)?,
        predecessors,
    })
}

/// Parses a reply to a heartbeat; `lists` and `want_lists` are ignored.
///
/// # Errors
/// Returns an error that names the first invalid field.
pub fn heartbeat_reply_from_wire(message: &wire::HeartbeatReply) -> Result<Reply, WireError> {
    let coordinator = coordinator_from_wire(message)?;
    if !message.accepted {
        return Ok(Reply::Refused(coordinator));
    }
    let coordinator = coordinator.ok_or(WireError::Missing {
        field: "coordinator",
    })?;
    let grants = message.grants.as_ref().map(grants_from_wire).transpose()?;
    let route = message.route.as_ref().map(route_from_wire).transpose()?;
    Ok(Reply::Accepted(Accepted {
        coordinator,
        lease: Duration::from_millis(u64::from(message.lease_ms)),
        revision: message.grant_revision,
        grants,
        route: route.map(Arc::new),
        cell_version: message.cell_version,
    }))
}

fn coordinator_from_wire(
    message: &wire::HeartbeatReply,
) -> Result<Option<CoordinatorRef>, WireError> {
    if message.coordinator.is_empty() {
        return Ok(None);
    }
    let field = "coordinator_address";
    Ok(Some(CoordinatorRef {
        term: term_from_wire(message.term)?,
        name: MachineName::from_input(&message.coordinator).context(NameSnafu {
            field: "coordinator",
        })?,
        address: message
            .coordinator_address
            .parse()
            .context(AddressSnafu { field })?,
    }))
}

/// Converts the announcement of a coordinator to the members of its cell.
#[must_use]
pub fn adopt_to_wire(cell: &CellName, coordinator: &CoordinatorRef) -> wire::AdoptRequest {
    wire::AdoptRequest {
        cell: cell.to_string(),
        term: u64::from(coordinator.term.0),
        coordinator: coordinator.name.to_string(),
        address: coordinator.address.to_string(),
    }
}

/// Parses the announcement of a coordinator.
///
/// # Errors
/// Returns an error that names the first invalid field.
pub fn adopt_from_wire(message: &wire::AdoptRequest) -> Result<CoordinatorRef, WireError> {
    Ok(CoordinatorRef {
        term: term_from_wire(message.term)?,
        name: MachineName::from_input(&message.coordinator).context(NameSnafu {
            field: "coordinator",
        })?,
        address: message
            .address
            .parse()
            .context(AddressSnafu { field: "address" })?,
    })
}

fn route_to_wire(table: &RouteTable) -> wire::RouteTable {
    let routes = table
        .ranges()
        .into_iter()
        .map(|range| wire::Route {
            service: range.service.to_string(),
            first: u32::from(range.first.0),
            last: u32::from(range.last.0),
            member: u32::from(range.machine),
        })
        .collect();
    let members = table.machines.iter().map(machine_to_wire).collect();
    wire::RouteTable {
        version: table.version,
        members,
        routes,
    }
}

fn route_from_wire(message: &wire::RouteTable) -> Result<RouteTable, WireError> {
    let machines: Result<Vec<Machine>, WireError> =
        message.members.iter().map(machine_from_wire).collect();
    let mut table = RouteTable {
        version: message.version,
        machines: machines?,
        owners: BTreeMap::new(),
    };
    for route in &message.routes {
        let service = service_name(&route.service)?;
        let first = shard_number(&service, route.first)?;
        let last = shard_number(&service, route.last)?;
        let machine = u16::try_from(route.member)
            .ok()
            .filter(|index| usize::from(*index) < table.machines.len())
            .ok_or(WireError::Range { field: "member" })?;
        table.set_range(&OwnerRange {
            service,
            first,
            last,
            machine,
        });
    }
    Ok(table)
}
