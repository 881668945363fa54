//! Checks that a heartbeat speaks for the back end beside this process.
//!
//! Whoever reaches the address for heartbeats may send one. Only one that agrees with the settings in
//! all that they name of the back end proves anything about it: that it runs, leaves, holds or has
//! released keys, or that another incarnation has exited.

use std::net::SocketAddr;

use platform::heartbeat::Heartbeat;
use snafu::{Snafu, ensure};
use world::name::{ServiceName, ZoneName};

use crate::node::Node;
use crate::wall_clock;

/// Difference between the clocks of a back end and this process that is believed, in milliseconds.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 600_000;

/// Why a heartbeat does not speak for the back end beside this process.
#[derive(Debug, Snafu)]
pub enum ForeignHeartbeat {
    /// The settings name another address of the back end.
    #[snafu(display("it names the address {address}"))]
    OtherAddress {
        /// Address as received.
        address: SocketAddr,
    },
    /// The settings name another service.
    #[snafu(display("it names the service {:?}", service.as_str()))]
    OtherService {
        /// Service as received.
        service: ServiceName,
    },
    /// The machine is in another availability zone.
    #[snafu(display("it names the zone {:?}", zone.as_str()))]
    OtherZone {
        /// Availability zone as received.
        zone: ZoneName,
    },
    /// The back end has not started yet.
    #[snafu(display("its back end starts in the future, at {born}"))]
    Unborn {
        /// Start as received, in Unix milliseconds.
        born: u64,
    },
    /// The service is divided by key.
    #[snafu(display("it lists no keys"))]
    NoKeys,
}

/// Checks a heartbeat against the settings and the configuration in force.
///
/// # Errors
/// Returns the first difference; the heartbeat then proves nothing.
pub fn check(node: &Node, heartbeat: &Heartbeat) -> Result<(), ForeignHeartbeat> {
    let Heartbeat {
        address,
        service,
        zone,
        ..
    } = heartbeat;
    let settings = &node.settings;
    ensure!(
        *address == settings.back_end_address,
        OtherAddressSnafu { address: *address }
    );
    ensure!(
        *service == node.configured_service(),
        OtherServiceSnafu {
            service: service.clone()
        }
    );
    ensure!(
        *zone == settings.zone,
        OtherZoneSnafu { zone: zone.clone() }
    );
    let born = heartbeat.keys.incarnation.born;
    ensure!(has_started(born), UnbornSnafu { born });
    let config = node.active_config();
    let is_keyed = config.is_some_and(|c| c.catalog.is_keyed(service));
    ensure!(heartbeat.lists_keys || !is_keyed, NoKeysSnafu);
    Ok(())
}

/// Returns whether an incarnation can have started at `born`, in Unix milliseconds; one that could not
/// would count as later than all that follow.
#[must_use]
pub fn has_started(born: u64) -> bool {
    born <= wall_clock::unix_ms().saturating_add(MAX_CLOCK_DIFFERENCE_MS)
}
