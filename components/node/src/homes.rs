//! Home regions of routes: the regions in which the configuration in force lets a request run.

use std::collections::BTreeSet;
use std::rc::Rc;

use catalog::{Catalog, Route};
use http1::request::target_path;
use platform::message;
use platform::settings::Settings;
use world::excerpt::excerpt;
use world::name::RegionName;

use crate::frame::{ForwardedRequest, RejectReason};
use crate::node::Node;

/// Returns the route that the configuration in force has for a request; `None` if it has none or no
/// route names homes.
#[must_use]
pub fn route_in_force(node: &Node, request: &ForwardedRequest) -> Option<Rc<Route>> {
    let config = node.active_config()?;
    if !config.catalog.has_homes() {
        return None;
    }
    let host = message::host(&request.target, &request.headers);
    let path = target_path(&request.target);
    config.catalog.route(&host, path).cloned()
}

/// Checks whether the back end on this machine may run a request by the configuration in force here.
///
/// Without a configuration, shortly after a start, the homes that the entry knows decide alone.
///
/// # Errors
/// Returns the reason of the rejection.
pub fn check(node: &Node, request: &ForwardedRequest) -> Result<(), RejectReason> {
    let route = route_in_force(node, request);
    let region = &node.settings.region;
    if route.as_ref().is_none_or(|r| r.may_run_in(region)) {
        return Ok(());
    }
    node.metrics.on_no_home("wrong-region");
    log::info!(
        event = "wrong-region",
        id = std::str::from_utf8(&request.request_id).unwrap_or("?"),
        route = route.as_ref().map_or("-", |r| r.name.as_str()),
        region = region.as_str();
        ""
    );
    Err(RejectReason::WrongRegion)
}

/// Logs the routes of a configuration with homes that are no regions of the deployment.
pub fn log_unknown(settings: &Settings, catalog: &Catalog) {
    let regions: BTreeSet<&RegionName> = settings
        .zones
        .values()
        .chain([&settings.region])
        .filter(|r| !r.as_str().is_empty())
        .collect();
    for route in catalog.routes() {
        let homes = route.homes.iter().filter(|home| !regions.contains(home));
        let unknown: Vec<&str> = homes.map(|home| home.as_str()).collect();
        if !unknown.is_empty() {
            let homes = unknown.join(",");
            log::warn!(event = "unknown-home", version = catalog.version, route = excerpt(&route.name), homes = excerpt(&homes); "");
        }
    }
}
