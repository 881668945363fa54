//! Decoded form of the operator's configuration: routes, services and limits.

pub mod freshness;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;
use world::name::{RegionName, ServiceName};
use world::rate::RequestRate;

/// One accepted configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version set by the operator; a newer configuration has a higher one.
    pub version: u64,
    /// Routes by host in lower case, the longest path prefix first.
    routes: HashMap<String, Vec<Rc<Route>>>,
    /// Routes that name home regions, by each of their services.
    bound_routes: HashMap<ServiceName, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Whether the operator gives a route the top priority 0, so that calls inherit the priority of the request that
    /// they serve.
    pub has_top_priority: bool,
}

/// A rule that maps requests with a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Whether the responses are large, as those of downloads; such requests are idempotent.
    pub large_responses: bool,
    /// Regions in which a request may run and to which its body may be sent; empty for any region.
    pub homes: SmallVec<[RegionName; 2]>,
    /// Upper bound on the time for a response, whatever timeout the caller states.
    pub timeout: Duration,
    /// Time within which a response should arrive.
    pub latency_target: Duration,
    /// Priority of the requests; 0 is served first.
    pub priority: u8,
    /// Whether the operator has stated the priority; those of the routes of calls alone are left out.
    pub states_priority: bool,
    /// Largest number of back ends that may execute one request.
    pub max_attempts: u8,
    /// Services that share the requests of the route, by weight.
    pub traffic_split: SmallVec<[WeightedService; 2]>,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the greatest weight of the route; 0 to 1.
    pub weight: f64,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Whether the service is sharded: each shard key is held by one back end at a time.
    pub keyed: bool,
    /// Largest number of connections to one back end.
    pub max_connections: usize,
    /// Time for which a back end is cold after its start; zero if it is not stated.
    pub cold_start: Duration,
    /// Requests per second that a cold back end takes; `None` for any number.
    pub cold_rate: Option<RequestRate>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 67_108_864,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Catalog {
    /// Creates a catalog; orders the routes of each host by descending length of their prefix.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<ServiceName, Service>,
        limits: Limits,
    ) -> Self {
        let has_top_priority = routes.iter().any(|r| r.states_priority && r.priority == 0);
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        let mut bound_routes: HashMap<ServiceName, Vec<Rc<Route>>> = HashMap::new();
        for route in routes.into_iter().map(Rc::new) {
            let host = route.host.to_ascii_lowercase();
            let services = route.traffic_split.iter().map(|s| &s.service);
            for service in services.filter(|_| !route.homes.is_empty()) {
                let bound = bound_routes.entry(service.clone()).or_default();
                bound.push(Rc::clone(&route));
            }
            by_host.entry(host).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            bound_routes,
            services,
            limits,
            has_top_priority,
        }
    }

    /// Returns the route of the host, in lower case, with the longest prefix of `path`; `None` if no route
    /// matches.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        self.routes
            .get(host)?
            .iter()
            .find(|r| path.starts_with(&r.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns whether any route names home regions.
    #[must_use]
    pub fn has_homes(&self) -> bool {
        !self.bound_routes.is_empty()
    }

    /// Returns the routes to a service that name home regions.
    #[must_use]
    pub fn bound_routes(&self, service: &ServiceName) -> &[Rc<Route>] {
        let bound = self.bound_routes.get(service);
        bound.map_or(&[], Vec::as_slice)
    }

    /// Returns the sharded services.
    pub fn keyed_services(&self) -> impl Iterator<Item = &ServiceName> {
        let keyed = self.services.iter().filter(|(_, s)| s.keyed);
        keyed.map(|(name, _)| name)
    }

    /// Returns whether the service is sharded; false if it is not configured.
    #[must_use]
    pub fn is_keyed(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|s| s.keyed)
    }
}

impl Route {
    /// Returns whether a request may run in a region; an empty name among the homes is no region.
    #[must_use]
    pub fn may_run_in(&self, region: &RegionName) -> bool {
        let is_home = |home: &RegionName| home == region && !home.as_str().is_empty();
        self.homes.is_empty() || self.homes.iter().any(is_home)
    }

    /// Returns the service for a request; a `sample` uniform in 0..1 selects the services in
    /// proportion to their weights. `None` if no service has a weight above zero.
    #[must_use]
    pub fn pick_service(&self, sample: f64) -> Option<&ServiceName> {
        let total: f64 = self.traffic_split.iter().map(|s| s.weight).sum();
        let mut remaining = sample * total;
        for entry in &self.traffic_split {
            remaining -= entry.weight;
            if remaining < 0.0 {
                return Some(&entry.service);
            }
        }
        self.traffic_split
            .iter()
            .rfind(|s| s.weight > 0.0)
            .map(|s| &s.service)
    }
}
