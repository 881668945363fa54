//! The routes, services and limits that a configuration names.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use world::name::ServiceName;

/// One accepted configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version that the operator gave; a newer configuration has a higher one.
    pub version: u64,
    /// Routes by host.
    routes: HashMap<String, Vec<Route>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// A rule that maps requests to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Rank of the request; 0 is served first.
    pub priority: u8,
    /// Most back ends that one request may be sent to.
    pub attempts: u8,
    /// Services and their weights; never empty.
    pub parts: SmallVec<[Part; 2]>,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The service.
    pub service: ServiceName,
    /// Share in proportion to the weights of the other parts.
    pub weight: u32,
}

/// What a configuration says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Whether each key is held by one back end.
    pub keyed: bool,
    /// Connections that one back end accepts.
    pub connections: usize,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request in bytes.
    pub head_bytes: usize,
    /// Longest body of a request in bytes.
    pub body_bytes: u64,
    /// Longest time for a head to arrive.
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
    /// Makes a catalog; the routes of a host are ordered by falling length of their prefix.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<ServiceName, Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services,
            limits,
        }
    }

    /// The route of a request: among its host's routes the one with the longest matching prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .get(host)?
            .iter()
            .find(|r| path.starts_with(&r.prefix))
    }

    /// Services whose keys are held by one back end each.
    pub fn keyed_services(&self) -> impl Iterator<Item = &ServiceName> {
        let keyed = self.services.iter().filter(|(_, s)| s.keyed);
        keyed.map(|(name, _)| name)
    }

    /// Whether the service's keys are held by one back end each.
    #[must_use]
    pub fn is_keyed(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|s| s.keyed)
    }
}

impl Route {
    /// The service that takes the request when `draw` is uniform in 0..1.
    ///
    /// The draw is mapped to the parts in proportion to their weights.
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.parts.iter().map(|p| p.weight).sum();
        let mut left = draw * f64::from(total);
        for part in &self.parts {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        self.parts
            .iter()
            .rfind(|p| p.weight > 0)
            .map(|p| &p.service)
    }
}
