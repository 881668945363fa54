//! Addresses and settings of a small deployment on loopback.
//!
//! The back end of every third machine, from machine 0 on, offers the service `orders`; the others
//! offer `lists`, which is sharded by key.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::json;

use crate::back_end::BackEndConfig;

/// Port of the store, which has a machine of its own.
pub const STORE_PORT: u16 = 7_000;
/// Port of the back end.
pub const BACK_END_PORT: u16 = 7_001;
/// Port of the node for heartbeats of its back end.
pub const HEARTBEAT_PORT: u16 = 7_002;
/// Port of the node for callers.
pub const CALLER_PORT: u16 = 7_003;
/// Port of the node for the platform's readiness checks.
pub const READINESS_PORT: u16 = 7_004;
/// Port of the node for its peers.
pub const PEER_PORT: u16 = 7_005;
/// Port of the node for metrics.
pub const METRICS_PORT: u16 = 7_010;

/// Start of the id of a back end, before the number of its machine.
const BACK_END_PREFIX: &str = "i-";

/// Addresses of one deployment: `127.<second octet>.<third octet>.<machine + 1>`.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    second_octet: u8,
    third_octet: u8,
    regions: usize,
    zones_per_region: usize,
}

/// Machines in a row that are in the same zone: one of `orders` and two of `lists`.
const MACHINES_PER_ZONE: usize = 3;

/// Settings of a node that differ between deployments or machines.
#[derive(Clone, Copy, Debug)]
pub struct NodeSettings<'a> {
    /// Node name.
    pub name: &'a str,
    /// Address under which the node connects to its back end.
    pub back_end: SocketAddr,
    /// Address under which it connects to the store.
    pub store: SocketAddr,
    /// Bounds, each as `name=value`.
    pub bounds: &'a [String],
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
}

impl Layout {
    /// Creates a layout; deployments that run at once need different octets.
    #[must_use]
    pub fn new(second_octet: u8, third_octet: u8) -> Self {
        Self {
            second_octet,
            third_octet,
            regions: 1,
            zones_per_region: 1,
        }
    }

    /// Spreads the machines over regions and their availability zones, three machines in a row in each
    /// zone; without it all are in one zone.
    #[must_use]
    pub fn spread(self, regions: usize, zones_per_region: usize) -> Self {
        Self {
            regions,
            zones_per_region,
            ..self
        }
    }

    /// Returns the availability zone of a machine.
    #[must_use]
    pub fn zone(self, machine: usize) -> String {
        numbered("z", self.zone_number(machine))
    }

    /// Returns the region of a machine.
    #[must_use]
    pub fn region(self, machine: usize) -> String {
        self.region_of_zone(self.zone_number(machine))
    }

    fn zone_number(self, machine: usize) -> usize {
        machine / MACHINES_PER_ZONE % (self.regions * self.zones_per_region)
    }

    fn region_of_zone(self, zone: usize) -> String {
        numbered("r", zone / self.zones_per_region)
    }

    /// Returns the address of a port on a machine.
    ///
    /// # Panics
    /// Panics if `machine` exceeds 254.
    #[must_use]
    pub fn address(self, machine: usize, port: u16) -> SocketAddr {
        let host = u8::try_from(machine + 1).expect("machine index is at most 254");
        SocketAddr::from(([127, self.second_octet, self.third_octet, host], port))
    }

    /// Returns the configuration of a machine's back end, which announces its listen address.
    #[must_use]
    pub fn back_end_config(self, machine: usize) -> BackEndConfig {
        BackEndConfig {
            id: back_end_id(machine),
            service: service(machine),
            zone: self.zone(machine),
            listen_address: self.address(machine, BACK_END_PORT),
            advertised_address: self.address(machine, BACK_END_PORT),
            heartbeat_address: self.address(machine, HEARTBEAT_PORT),
        }
    }

    /// Returns the settings file of a machine's node as JSON.
    #[must_use]
    pub fn settings(self, machine: usize, node: &NodeSettings) -> String {
        let address = |port| self.address(machine, port);
        let zones: BTreeMap<String, String> = (0..self.regions * self.zones_per_region)
            .map(|zone| (numbered("z", zone), self.region_of_zone(zone)))
            .collect();
        json!({
            "nodeName": node.name, "ip": address(PEER_PORT).ip(),
            "zone": self.zone(machine), "region": self.region(machine), "zones": zones,
            "listenAddresses": {
                "outbound": address(CALLER_PORT), "ready": address(READINESS_PORT),
                "control": address(HEARTBEAT_PORT)
            },
            "internalPortRange": [PEER_PORT, METRICS_PORT],
            "bounds": node.bounds, "firstStart": node.first_start,
            "applicationAddress": node.back_end, "service": service(machine),
            "platform": {"address": node.store}
        })
        .to_string()
    }
}

/// Returns the name of a zone or region; the first one has no number.
fn numbered(prefix: &str, number: usize) -> String {
    match number {
        0 => prefix.to_owned(),
        _ => format!("{prefix}-{number}"),
    }
}

fn back_end_id(machine: usize) -> String {
    format!("{BACK_END_PREFIX}{machine}")
}

/// Returns the machine of the back end with this id.
///
/// # Panics
/// Panics if the id is not one of a layout.
#[must_use]
pub fn machine_of(back_end: &str) -> usize {
    let number = back_end.strip_prefix(BACK_END_PREFIX);
    number
        .and_then(|n| n.parse().ok())
        .expect("the id of a back end")
}

/// Returns the service of a machine's back end.
#[must_use]
pub fn service(machine: usize) -> &'static str {
    if machine.is_multiple_of(3) {
        "orders"
    } else {
        "lists"
    }
}
