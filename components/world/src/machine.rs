//! Machines, where they stand, and the back end beside each daemon.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::name::{MachineName, RegionName, ZoneName};

/// One life of a daemon or back end; a restart draws a new number.
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

/// The back end beside a daemon, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEnd {
    /// One life of the back end; a restart draws a new number.
    pub instance: Incarnation,
    /// What it promises.
    pub contract: Contract,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// True when it asks for no new work.
    pub draining: bool,
}

/// A machine with its daemon, as the daemon describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name from the settings, unique in the deployment.
    pub name: MachineName,
    /// Life of the daemon.
    pub incarnation: Incarnation,
    /// Region that the machine stands in.
    pub region: RegionName,
    /// Availability zone that the machine stands in.
    pub zone: ZoneName,
    /// Address for other daemons' control messages.
    pub peer_address: SocketAddr,
    /// Address for requests that other daemons forward.
    pub traffic_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// The back end beside the daemon, when one has announced itself.
    pub back_end: Option<BackEnd>,
    /// True once the daemon is stopping.
    pub leaving: bool,
}

/// How two machines are joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Link {
    /// Both stand in one zone.
    Zone,
    /// Both stand in one region, in different zones.
    Region,
    /// They stand in different regions, joined by the slow link that is paid by volume.
    Distant,
}

impl Machine {
    /// The link from a place to this machine.
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

    /// Tells whether the machine may be given new work of the named service.
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
