//! Machines, their location, and the back end that runs beside each daemon.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::name::{MachineName, RegionName, ZoneName};

/// Random id of one run of a daemon or back end; a restart draws a new one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The back end that runs beside a daemon, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEnd {
    /// The back end's incarnation.
    pub instance: Incarnation,
    /// Contract of the service that it offers.
    pub contract: Contract,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// True when it takes no new work.
    pub draining: bool,
}

/// A machine and its daemon, as the daemon announces them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name from the settings, unique in the deployment.
    pub name: MachineName,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Region of the machine.
    pub region: RegionName,
    /// Availability zone of the machine.
    pub zone: ZoneName,
    /// Address for control messages of other daemons.
    pub peer_address: SocketAddr,
    /// Address for requests that other daemons forward.
    pub traffic_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// The back end beside the daemon; `None` until one has announced itself.
    pub back_end: Option<BackEnd>,
    /// True once the daemon is stopping.
    pub leaving: bool,
}

/// Network distance between two machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Link {
    /// Both are in the same zone.
    Zone,
    /// Both are in the same region, in different zones.
    Region,
    /// They are in different regions; the link is slow and its traffic is billed by volume.
    Distant,
}

impl Machine {
    /// Returns the link from a machine in `region` and `zone` to this one.
    #[must_use]
    pub fn link_from(&self, region: &RegionName, zone: &ZoneName) -> Link {
        if self.region != *region {
            return Link::Distant;
        }
        if self.zone != *zone {
            return Link::Region;
        }
        Link::Zone
    }

    /// Returns whether the machine takes new work for the named service: neither the daemon is
    /// stopping nor its back end draining.
    #[must_use]
    pub fn offers(&self, service: &str) -> bool {
        if self.leaving {
            return false;
        }
        self.back_end
            .as_ref()
            .is_some_and(|b| !b.draining && b.contract.service.as_str() == service)
    }
}
