//! Where everything of a small deployment on loopback is: every third machine offers orders, the
//! others hold the keys of lists.

use std::net::SocketAddr;

use serde_json::json;

use crate::back_end::Place;

/// Port of the store on its own machine.
pub const STORE: u16 = 7_000;
/// Port of a machine's back end.
pub const BACK_END: u16 = 7_001;
/// Port for the heartbeats of the back end.
pub const HEARTBEATS: u16 = 7_002;
/// Port for callers.
pub const CALLERS: u16 = 7_003;
/// Port for the platform's question whether a process takes new work.
pub const READINESS: u16 = 7_004;
/// Port for other processes.
pub const PEERS: u16 = 7_005;
/// Port for metrics.
pub const METRICS: u16 = 7_010;

/// The addresses of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    block: u8,
    net: u8,
}

/// What differs between the settings of processes.
#[derive(Clone, Copy, Debug)]
pub struct ProcessSettings<'a> {
    /// Name of the machine.
    pub name: &'a str,
    /// Where the process reaches its back end.
    pub back_end: SocketAddr,
    /// Where it reaches the store.
    pub store: SocketAddr,
    /// Bounds of the deployment.
    pub bounds: &'a [String],
}

impl Layout {
    /// Makes a layout; `block` and `net` keep deployments apart that run at once.
    #[must_use]
    pub fn new(block: u8, net: u8) -> Self {
        Self { block, net }
    }

    /// Address of a port on a machine.
    ///
    /// # Panics
    /// Panics if there are more machines than addresses.
    #[must_use]
    pub fn at(self, machine: usize, port: u16) -> SocketAddr {
        let host = u8::try_from(machine + 1).expect("few machines");
        SocketAddr::from(([127, self.block, self.net, host], port))
    }

    /// A machine's back end, which is reached where it listens.
    #[must_use]
    pub fn back_end(self, machine: usize) -> Place {
        Place {
            id: format!("i-{machine}"),
            service: service(machine),
            address: self.at(machine, BACK_END),
            told_address: self.at(machine, BACK_END),
            heartbeats: self.at(machine, HEARTBEATS),
        }
    }

    /// Text of the settings file of a machine's process.
    #[must_use]
    pub fn settings(self, machine: usize, process: &ProcessSettings) -> String {
        let at = |port| self.at(machine, port);
        json!({
            "nodeName": process.name, "ip": at(PEERS).ip(), "zone": "z", "region": "r",
            "listenAddresses": {
                "outbound": at(CALLERS), "ready": at(READINESS), "control": at(HEARTBEATS)
            },
            "internalPortRange": [PEERS, METRICS],
            "bounds": process.bounds,
            "applicationAddress": process.back_end, "service": service(machine),
            "platform": {"address": process.store}
        })
        .to_string()
    }
}

/// Service of a machine's back end.
#[must_use]
pub fn service(machine: usize) -> &'static str {
    if machine.is_multiple_of(3) {
        "orders"
    } else {
        "lists"
    }
}
