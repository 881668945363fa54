//! Daemons, back ends and a platform of one user, all in this process on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use daemon::daemon::{Daemon, StartError};
use daemon::settings::{ListenAddresses, Settings};
use daemon::shared::Shared;
use orders::table::Bounds;
use ownership::table::CUSTOMERS_SERVICE;
use ownership::timing::Timing;
use snafu::{ResultExt, Snafu};
use tokio::time::Instant;
use world::name::{CellName, MachineName, RegionName, ZoneName};

use crate::stand_in::back_end::{BackEnd, Profile};
use crate::stand_in::platform::Platform;
use crate::stand_in::record::Recorder;

/// Longest wait until a new deployment owns all its shards.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two looks at a deployment that is getting ready.
const READY_PERIOD: Duration = Duration::from_millis(20);

/// Longest time that a stop waits in experiments.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A service of a user.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Its name.
    pub name: &'static str,
    /// True when it is divided by key.
    pub keyed: bool,
    /// Lookups that it offers.
    pub lookups: &'static [&'static str],
    /// Orders that it offers.
    pub orders: &'static [&'static str],
    /// Time that one request takes.
    pub service_time: Duration,
}

/// What a user's deployment looks like.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name of the cell.
    pub cell: &'static str,
    /// Zones as pairs of region and zone.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Services, each with one target a zone.
    pub services: Vec<ServiceSpec>,
    /// Requests that a target runs at the same time.
    pub slots: u32,
    /// True when targets check fences and lease sessions.
    pub checks_fences: bool,
    /// Traffic threads of each daemon.
    pub traffic_threads: usize,
    /// Durations of the lease protocol.
    pub timing: Timing,
    /// The lists.
    pub lists: String,
}

/// Why a deployment can't be brought up.
#[derive(Debug, Snafu)]
pub enum DeploymentError {
    /// A stand-in has no port.
    #[snafu(display("cannot start a stand-in: {source}"))]
    StandIn {
        /// What went wrong.
        source: std::io::Error,
    },
    /// A daemon does not start.
    #[snafu(display("cannot start daemon {machine}: {source}"))]
    Start {
        /// Its machine.
        machine: String,
        /// What went wrong.
        #[snafu(source(from(StartError, Box::new)))]
        source: Box<StartError>,
    },
    /// Not everything is owned in time.
    #[snafu(display("after {waited:?} not every shard is owned: {missing}"))]
    NotReady {
        /// Time waited.
        waited: Duration,
        /// What is missing.
        missing: String,
    },
}

/// Place and service of one machine.
#[derive(Clone, Debug)]
struct Site {
    name: String,
    region: &'static str,
    zone: &'static str,
    service: usize,
}

/// One machine with its daemon and back end, as far as they run.
pub struct Node {
    site: Site,
    /// The daemon.
    pub daemon: Option<Daemon>,
    /// The back end.
    pub back_end: Option<BackEnd>,
}

/// A running deployment.
pub struct Deployment {
    spec: Spec,
    /// The platform.
    pub platform: Platform,
    /// What the back ends executed.
    pub recorder: Recorder,
    /// Machines by name.
    pub nodes: BTreeMap<String, Node>,
}

impl Deployment {
    /// Starts everything without waiting for ownership.
    ///
    /// # Errors
    /// Fails when a port is missing or a daemon refuses its settings.
    pub async fn start(spec: Spec) -> Result<Self, DeploymentError> {
        let platform = Platform::start().await.context(StandInSnafu)?;
        platform.put(lists::LISTS_OBJECT, spec.lists.clone());
        let recorder = Recorder::default();
        let mut deployment = Self {
            platform,
            recorder,
            nodes: BTreeMap::new(),
            spec,
        };
        for site in deployment.sites() {
            let name = site.name.clone();
            deployment.nodes.insert(
                name.clone(),
                Node {
                    site,
                    daemon: None,
                    back_end: None,
                },
            );
            deployment.start_node(&name).await?;
        }
        Ok(deployment)
    }

    fn sites(&self) -> Vec<Site> {
        let mut sites = Vec::new();
        for (service, spec) in self.spec.services.iter().enumerate() {
            for (region, zone) in &self.spec.zones {
                let name = format!("{zone}-{}", spec.name);
                sites.push(Site {
                    name,
                    region,
                    zone,
                    service,
                });
            }
        }
        sites
    }

    /// Starts the daemon and the back end of a machine that has none.
    ///
    /// # Errors
    /// Fails when a port is missing or the daemon refuses its settings.
    pub async fn start_node(&mut self, name: &str) -> Result<(), DeploymentError> {
        let Some(node) = self.nodes.get(name) else {
            return Ok(());
        };
        let site = node.site.clone();
        let settings = self.settings(&site);
        let daemon = spawn_daemon(name, settings).await?;
        let profile = self.profile(&site);
        let mut back_end = BackEnd::start(profile, self.recorder.clone())
            .await
            .context(StandInSnafu)?;
        back_end.announce_to(daemon.listen().admin);
        if let Some(node) = self.nodes.get_mut(name) {
            node.daemon = Some(daemon);
            node.back_end = Some(back_end);
        }
        Ok(())
    }

    fn settings(&self, site: &Site) -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            name: MachineName::new(&site.name),
            cell: CellName::new(self.spec.cell),
            region: RegionName::new(site.region),
            zone: ZoneName::new(site.zone),
            listen: ListenAddresses {
                callers: any,
                peers: any,
                traffic: any,
                admin: any,
            },
            platform: self.platform.address(),
            secret: format!("secret of the cell {}", self.spec.cell),
            timing: self.spec.timing,
            orders: Bounds::default(),
            traffic_threads: self.spec.traffic_threads,
            max_body: 1 << 20,
            stop_timeout: STOP_TIMEOUT,
            metrics: None,
        }
    }

    fn profile(&self, site: &Site) -> Profile {
        let service = &self.spec.services[site.service];
        let owned = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
        Profile {
            machine: site.name.clone(),
            service: service.name.to_owned(),
            keyed: service.keyed,
            checks_fences: self.spec.checks_fences,
            lookups: owned(service.lookups),
            orders: owned(service.orders),
            slots: self.spec.slots,
            service_time: service.service_time,
        }
    }

    /// Waits until every daemon has a lease, lists and a table in which every shard is owned.
    ///
    /// # Errors
    /// Fails when that takes too long.
    pub async fn await_ready(&self) -> Result<Duration, DeploymentError> {
        let started = Instant::now();
        loop {
            let missing = self.missing();
            let Some(missing) = missing else {
                return Ok(started.elapsed());
            };
            let waited = started.elapsed();
            if waited > READY_TIMEOUT {
                return NotReadySnafu { waited, missing }.fail();
            }
            tokio::time::sleep(READY_PERIOD).await;
        }
    }

    fn missing(&self) -> Option<String> {
        let running: Vec<&Node> = self.nodes.values().filter(|n| n.daemon.is_some()).collect();
        running.iter().find_map(|node| {
            let daemon = node.daemon.as_ref()?;
            let missing = self.missing_at(daemon.shared(), running.len())?;
            Some(format!("{}: {missing}", node.site.name))
        })
    }

    fn missing_at(&self, shared: &Shared, machines: usize) -> Option<String> {
        if !shared.lease.load().is_held(shared.now()) {
            return Some("no lease".to_owned());
        }
        if shared.lists.load().is_none() {
            return Some("no lists".to_owned());
        }
        let routes = shared.routes.load();
        let offering = routes
            .machines
            .iter()
            .filter(|m| m.back_end.is_some())
            .count();
        if offering < machines {
            return Some(format!("{offering} of {machines} back ends"));
        }
        let keyed = self
            .spec
            .services
            .iter()
            .filter(|s| s.keyed)
            .map(|s| s.name);
        for service in keyed.chain([CUSTOMERS_SERVICE]) {
            let owners = routes
                .owners
                .iter()
                .find(|(name, _)| name.as_str() == service);
            let unowned = owners.map_or(1, |(_, owners)| {
                owners.iter().filter(|o| o.is_none()).count()
            });
            if unowned > 0 {
                return Some(format!("{unowned} shards of {service} unowned"));
            }
        }
        None
    }

    /// Addresses for callers, by machine, of the daemons that run.
    #[must_use]
    pub fn entries(&self) -> Vec<(String, SocketAddr)> {
        let daemon = |n: &Node| n.daemon.as_ref().map(|d| d.listen().callers);
        self.nodes
            .iter()
            .filter_map(|(name, n)| Some((name.clone(), daemon(n)?)))
            .collect()
    }

    /// Addresses of the back ends that run.
    #[must_use]
    pub fn back_ends(&self) -> Vec<SocketAddr> {
        let back_ends = self.nodes.values().filter_map(|n| n.back_end.as_ref());
        back_ends.map(BackEnd::address).collect()
    }

    /// Names of the machines in a zone.
    #[must_use]
    pub fn zone(&self, zone: &str) -> Vec<String> {
        let nodes = self.nodes.iter().filter(|(_, node)| node.site.zone == zone);
        nodes.map(|(name, _)| name.clone()).collect()
    }

    /// Zone of a machine.
    #[must_use]
    pub fn zone_of(&self, name: &str) -> Option<&'static str> {
        self.nodes.get(name).map(|node| node.site.zone)
    }

    /// The machine that coordinates the cell, as the majority of daemons last heard.
    pub async fn coordinator(&self) -> Option<String> {
        let mut votes: BTreeMap<String, usize> = BTreeMap::new();
        for node in self.nodes.values() {
            let Some(daemon) = &node.daemon else { continue };
            let (sender, receiver) = tokio::sync::oneshot::channel();
            let event = daemon::control::Event::Status(sender);
            if daemon.shared().events.send(event).await.is_err() {
                continue;
            }
            if let Some(name) = receiver.await.ok().and_then(|status| status.coordinator) {
                *votes.entry(name).or_default() += 1;
            }
        }
        votes
            .into_iter()
            .max_by_key(|(_, count)| *count)
            .map(|(name, _)| name)
    }

    /// Owners of all shards of a service, as a daemon that runs knows them.
    #[must_use]
    pub fn owners(&self, service: &str) -> Vec<Option<String>> {
        let Some(daemon) = self.nodes.values().find_map(|n| n.daemon.as_ref()) else {
            return Vec::new();
        };
        let routes = daemon.shared().routes.load();
        let shards = 0..ownership::table::shard_count(service);
        let owner = |shard| routes.owner(service, world::key::Shard(shard));
        shards
            .map(|shard| owner(shard).map(|m| m.name.to_string()))
            .collect()
    }

    /// Cuts the links from each machine of one group to each of the other; both ways on demand.
    pub fn cut(&self, from: &[String], to: &[String], both_ways: bool) {
        self.block(from, to);
        if both_ways {
            self.block(to, from);
        }
    }

    fn block(&self, from: &[String], to: &[String]) {
        let daemons = |names: &[String]| {
            let nodes = names
                .iter()
                .filter_map(|name| self.nodes.get(name)?.daemon.as_ref());
            nodes.collect::<Vec<_>>()
        };
        let addresses = daemons(to).into_iter().flat_map(|daemon| {
            let listen = daemon.listen();
            [listen.peers, listen.traffic]
        });
        let addresses: std::collections::HashSet<SocketAddr> = addresses.collect();
        for daemon in daemons(from) {
            daemon.shared().link_filter.set_blocked(addresses.clone());
        }
    }

    /// Mends all links.
    pub fn mend(&self) {
        for daemon in self.nodes.values().filter_map(|n| n.daemon.as_ref()) {
            daemon
                .shared()
                .link_filter
                .set_blocked(std::collections::HashSet::new());
        }
    }

    /// Ends a machine's daemon and back end at once.
    pub async fn kill(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.back_end = None;
        if let Some(daemon) = node.daemon.take() {
            let _ = tokio::task::spawn_blocking(move || daemon.kill()).await;
        }
    }

    /// Ends a machine's back end at once; its daemon runs on.
    pub fn crash_back_end(&mut self, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.back_end = None;
        }
    }

    /// Stops a machine's daemon as planned, in the background.
    pub fn stop(&mut self, name: &str) -> Option<tokio::task::JoinHandle<()>> {
        let daemon = self.nodes.get_mut(name)?.daemon.take()?;
        Some(tokio::task::spawn_blocking(move || daemon.stop()))
    }

    /// Name of the machine that owns a key, as far as a daemon knows.
    #[must_use]
    pub fn owner_of(&self, service: &str, key: &[u8]) -> Option<String> {
        let daemon = self.nodes.values().find_map(|n| n.daemon.as_ref())?;
        let shard = ownership::table::shard_of(service, world::key::KeyHash::new(key));
        let routes = daemon.shared().routes.load();
        routes.owner(service, shard).map(|m| m.name.to_string())
    }

    /// Ends everything at once.
    pub async fn end(mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
            self.kill(&name).await;
        }
    }
}

async fn spawn_daemon(name: &str, settings: Settings) -> Result<Daemon, DeploymentError> {
    let started = tokio::task::spawn_blocking(move || Daemon::start(settings)).await;
    let machine = name.to_owned();
    match started {
        Ok(result) => result.context(StartSnafu { machine }),
        Err(error) => Err(DeploymentError::StandIn {
            source: std::io::Error::other(error),
        }),
    }
}

/// Terms that both users' lists give to ordinary customers.
fn service_terms(plan: &str, service: &str, orders: bool) -> String {
    let orders = if orders {
        "orders = { rate = 2000, burst = 2000 }\n"
    } else {
        ""
    };
    format!(
        "[plans.{plan}.{service}]\nlookups = {{ rate = 20000, burst = 20000 }}\n{orders}deadline_ms = 4000\n\n"
    )
}

/// The press office in small: two regions, two zones each, three services of four targets.
#[must_use]
pub fn press_office() -> Spec {
    let mut lists = String::from("[customers]\n");
    for vendor in 0..40 {
        lists.push_str(&format!("vendor-{vendor} = \"kiosk\"\n"));
    }
    lists.push_str("distributor = \"reader\"\nflood = \"narrow\"\n\n");
    lists.push_str(&service_terms("kiosk", "credits", true));
    lists.push_str(&service_terms("kiosk", "listings", false));
    lists.push_str(&service_terms("kiosk", "statements", false));
    lists.push_str(&service_terms("reader", "listings", false));
    lists.push_str(
        "[plans.narrow.listings]\nlookups = { rate = 20, burst = 5 }\ndeadline_ms = 1000\n",
    );
    Spec {
        cell: "maroc",
        zones: vec![
            ("nord", "nord-a"),
            ("nord", "nord-b"),
            ("sud", "sud-a"),
            ("sud", "sud-b"),
        ],
        services: vec![
            service("listings", false, &["bundles"], &[]),
            service("statements", false, &["past"], &[]),
            service("credits", true, &["balance"], &["post"]),
        ],
        slots: 18,
        checks_fences: true,
        traffic_threads: 1,
        timing: Timing::default(),
        lists,
    }
}

/// The co-operative in small: two regions, two zones each, three services of four targets.
#[must_use]
pub fn cooperative() -> Spec {
    let mut lists = String::from("[customers]\n");
    for member in 0..40 {
        lists.push_str(&format!("member-{member} = \"full\"\n"));
    }
    lists.push_str("student = \"search-only\"\nflood = \"narrow\"\n\n");
    lists.push_str(&service_terms("full", "extracts", true));
    lists.push_str(&service_terms("full", "searches", false));
    lists.push_str(&service_terms("full", "records", false));
    lists.push_str(&service_terms("search-only", "searches", false));
    lists.push_str(
        "[plans.narrow.searches]\nlookups = { rate = 20, burst = 5 }\ndeadline_ms = 1000\n",
    );
    Spec {
        cell: "polska",
        zones: vec![
            ("polnoc", "polnoc-a"),
            ("polnoc", "polnoc-b"),
            ("poludnie", "poludnie-a"),
            ("poludnie", "poludnie-b"),
        ],
        services: vec![
            service("searches", false, &["judgments"], &[]),
            service("records", false, &["full"], &[]),
            service("extracts", true, &["state"], &["order"]),
        ],
        slots: 12,
        checks_fences: true,
        traffic_threads: 1,
        timing: Timing::default(),
        lists,
    }
}

/// One region for load measurements: a service without keys and one divided by key, targets
/// that take no time, and plans that allow everything.
#[must_use]
pub fn plain(zones: Vec<(&'static str, &'static str)>, traffic_threads: usize) -> Spec {
    let terms = |service| {
        format!(
            "[plans.all.{service}]\nlookups = {{ rate = 1000000, burst = 1000000 }}\n\
             orders = {{ rate = 1000000, burst = 1000000 }}\ndeadline_ms = 2000\n\n"
        )
    };
    let instant = Duration::ZERO;
    Spec {
        cell: "plain",
        zones,
        services: vec![
            ServiceSpec {
                service_time: instant,
                ..service("open", false, &["get"], &[])
            },
            ServiceSpec {
                service_time: instant,
                ..service("keyed", true, &["get"], &["put"])
            },
        ],
        slots: 64,
        checks_fences: false,
        traffic_threads,
        timing: Timing::default(),
        lists: format!(
            "[customers]\nload = \"all\"\n\n{}{}",
            terms("open"),
            terms("keyed")
        ),
    }
}

fn service(
    name: &'static str,
    keyed: bool,
    lookups: &'static [&'static str],
    orders: &'static [&'static str],
) -> ServiceSpec {
    ServiceSpec {
        name,
        keyed,
        lookups,
        orders,
        service_time: Duration::from_millis(2),
    }
}
