//! Restricts the destinations of a request to the home regions of its route.

use std::rc::Rc;
use std::time::Duration;

use catalog::{Catalog, Route};
use platform::settings::Settings;
use timer::{BootClock, Clock};
use world::name::{MachineName, RegionName, ServiceName};

use super::RequestDispatch;
use crate::frame::NodeStatus;
use crate::homes;
use crate::peer::Peer;

/// Time after the loss of the connection to a machine in which it still counts as offering its
/// service, as most lost connections reopen within it.
const RECONNECT_GRACE: Duration = Duration::from_millis(900);

/// Why no home region can serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoHome {
    /// No machine in a home region offers the service.
    NoMachine,
    /// The owner of the key is in another region.
    KeyElsewhere,
    /// All machines of the service are in evacuated zones.
    Evacuated,
}

impl NoHome {
    /// Name in the log and the metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::NoMachine => "no-machine",
            Self::KeyElsewhere => "key-elsewhere",
            Self::Evacuated => "evacuated",
        }
    }
}

/// The regions in which a request may run, both by the configuration at its arrival and by the one in
/// force now.
pub(super) struct Homes<'a> {
    at_arrival: &'a Route,
    /// `None` if it is the same or names no homes.
    in_force: Option<Rc<Route>>,
}

impl Homes<'_> {
    /// Returns whether the request may run in a region.
    pub(super) fn allow(&self, region: &RegionName) -> bool {
        let in_force = self.in_force.as_ref();
        self.at_arrival.may_run_in(region) && in_force.is_none_or(|r| r.may_run_in(region))
    }

    fn are_named(&self) -> bool {
        let in_force = self.in_force.as_ref();
        !self.at_arrival.homes.is_empty() || in_force.is_some_and(|r| !r.homes.is_empty())
    }
}

/// The regions whose back ends of the service are to be left to requests that may run in fewer regions
/// than this one.
pub(super) struct ReservedRegions<'a> {
    settings: &'a Settings,
    /// `None` if the request itself may run in one region only, or no route to the service has homes.
    others: Option<(Rc<Catalog>, &'a ServiceName, &'a str)>,
}

impl ReservedRegions<'_> {
    /// Returns whether a region is a home of another route to the service that excludes some region.
    pub(super) fn includes(&self, region: &RegionName) -> bool {
        let Some((catalog, service, own_route)) = &self.others else {
            return false;
        };
        let bound = catalog.bound_routes(service);
        let excludes = |route: &Route| {
            let mut regions = self.settings.zones.values();
            regions.any(|r| !route.may_run_in(r))
        };
        let mut others = bound.iter().filter(|r| r.name != *own_route);
        others.any(|route| route.may_run_in(region) && excludes(route))
    }
}

impl RequestDispatch<'_> {
    /// Returns the regions in which the request should leave room for others.
    pub(super) fn reserved_regions(&self) -> ReservedRegions<'_> {
        let is_bound = self.route.homes.len() == 1;
        let config = self.node.active_config().filter(|_| !is_bound);
        let catalog = config.map(|c| c.catalog);
        let others = catalog
            .filter(|c| !c.bound_routes(&self.service).is_empty())
            .map(|c| (c, &self.service, self.route.name.as_str()));
        ReservedRegions {
            settings: &self.node.settings,
            others,
        }
    }

    /// Returns where the request may run now.
    pub(super) fn homes(&self) -> Homes<'_> {
        let is_replaced = self.node.configuration_version() != self.version;
        let in_force = is_replaced.then(|| homes::route_in_force(self.node, &self.template));
        Homes {
            at_arrival: self.route,
            in_force: in_force.flatten(),
        }
    }

    /// Returns whether the request may be sent to a peer now.
    pub(super) fn may_send_to(&self, peer: &Peer) -> bool {
        let homes = self.homes();
        let keyed = self.keyed_assignment().is_some();
        let allowed =
            |s: &NodeStatus| homes.allow(&s.region) && self.node.may_use_zone(&s.zone, keyed);
        peer.with_status(allowed) == Some(true)
    }

    /// Returns why no home region can serve the request; `None` if one may, or if it has no homes.
    pub(super) fn missing_home(&self) -> Option<NoHome> {
        let homes = self.homes();
        if !homes.are_named() && self.node.evacuated_count() == 0 {
            return None;
        }
        if let Some(assignment) = self.keyed_assignment() {
            let assignment = assignment?;
            let owner = &assignment.value.range(self.template.key?)?.machine;
            let region = self.region_of(owner)?;
            if !homes.allow(&region) {
                return Some(NoHome::KeyElsewhere);
            }
            return self.is_service_evacuated().then_some(NoHome::Evacuated);
        }
        let is_local = homes.allow(&self.node.settings.region) && self.local_back_end().is_some();
        let serves = |s: &NodeStatus| homes.allow(&s.region) && self.offers_service(s);
        let now = BootClock.now();
        let may_serve = |peer: &Rc<Peer>| {
            let lost_for = now.since(peer.link_changed_at());
            match peer.with_status(serves) {
                Some(serves) => serves && (peer.is_connected() || lost_for < RECONNECT_GRACE),
                None => lost_for < RECONNECT_GRACE,
            }
        };
        let is_offered = is_local || self.node.peers().iter().any(may_serve);
        if is_offered {
            None
        } else if self.is_service_evacuated() {
            Some(NoHome::Evacuated)
        } else {
            homes.are_named().then_some(NoHome::NoMachine)
        }
    }

    /// Returns whether machines offer the service, but all of them in evacuated zones.
    fn is_service_evacuated(&self) -> bool {
        let local = self.node.proxy.ready_for(&self.service);
        let own_zone = local.map(|_| self.node.settings.zone.clone());
        let zone = |peer: &Rc<Peer>| {
            let offers = |s: &NodeStatus| (s.service == self.service).then(|| s.zone.clone());
            peer.with_status(offers).flatten()
        };
        let peers = self.node.peers();
        let mut zones = own_zone.into_iter().chain(peers.iter().filter_map(zone));
        let mut is_offered = false;
        let all_evacuated = zones.all(|zone| {
            is_offered = true;
            !self.node.may_use_zone(&zone, false)
        });
        is_offered && all_evacuated
    }

    fn region_of(&self, machine: &MachineName) -> Option<RegionName> {
        if *machine == self.node.settings.machine {
            return Some(self.node.settings.region.clone());
        }
        self.node.peer(machine)?.with_status(|s| s.region.clone())
    }
}
