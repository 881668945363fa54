//! Runs the daemons, stand-in back ends and stand-in platform of one user in this process, on
//! loopback.

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

/// Longest wait until every shard of a new deployment is owned.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two readiness checks.
const READY_PERIOD: Duration = Duration::from_millis(20);

/// Stop timeout of the daemons.
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

/// Description of a deployment.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name of the cell.
    pub cell: &'static str,
    /// Zones as pairs of region and zone.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Services, each with one machine in every zone.
    pub services: Vec<ServiceSpec>,
    /// Requests that a target runs at the same time.
    pub slots: u32,
    /// True when back ends check fencing tokens and lease sessions.
    pub checks_fences: bool,
    /// Traffic threads of each daemon.
    pub traffic_threads: usize,
    /// Durations of the lease protocol.
    pub timing: Timing,
    /// Text of the lists: customers and their plans.
    pub lists: String,
}

/// Error while a deployment starts.
#[derive(Debug, Snafu)]
pub enum DeploymentError {
    /// A stand-in cannot bind a port.
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
    /// Not every shard is owned within the timeout.
    #[snafu(display("after {waited:?} not every shard is owned: {missing}"))]
    NotReady {
        /// Time waited.
        waited: Duration,
        /// The machine that is not ready and what it lacks.
        missing: String,
    },
}

/// Name, zone and service of one machine.
#[derive(Clone, Debug)]
struct Site {
    name: String,
    region: &'static str,
    zone: &'static str,
    /// Index into the spec's services.
    service: usize,
}

/// One machine; its daemon and back end are `None` while they do not run.
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
    /// The stand-in platform.
    pub platform: Platform,
    /// Records the executions of all back ends.
    pub recorder: Recorder,
    /// Machines by name.
    pub nodes: BTreeMap<String, Node>,
}

impl Deployment {
    /// Starts the platform and all machines without waiting until shards are owned.
    ///
    /// # Errors
    /// Fails when no port can be bound or a daemon rejects its settings.
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

    /// Starts the daemon and the back end of a machine. An unknown name is ignored.
    ///
    /// # Errors
    /// Fails when no port can be bound or the daemon rejects its settings.
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

    /// Waits until every running daemon has a lease, lists and a routing table in which every shard
    /// is owned. Returns the time waited.
    ///
    /// # Errors
    /// Fails after `READY_TIMEOUT`.
    pub async fn await_ready(&self) -> Result<Duration, DeploymentError> {
        let started = Instant::now();
        loop {
            let missing = self.unready_part();
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

    /// Returns the first machine that is not ready and what it lacks.
    fn unready_part(&self) -> Option<String> {
        let running: Vec<&Node> = self.nodes.values().filter(|n| n.daemon.is_some()).collect();
        running.iter().find_map(|node| {
            let daemon = node.daemon.as_ref()?;
            let missing = self.unready_part_of(daemon.shared(), running.len())?;
            Some(format!("{}: {missing}", node.site.name))
        })
    }

    /// Returns what a daemon lacks to be ready, `machines` being the number of running daemons.
    fn unready_part_of(&self, shared: &Shared, machines: usize) -> Option<String> {
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

    /// Returns the caller addresses of all running daemons with their machines, sorted by name.
    #[must_use]
    pub fn entries(&self) -> Vec<(String, SocketAddr)> {
        let daemon = |n: &Node| n.daemon.as_ref().map(|d| d.listen().callers);
        self.nodes
            .iter()
            .filter_map(|(name, n)| Some((name.clone(), daemon(n)?)))
            .collect()
    }

    /// Returns the addresses of all running back ends.
    #[must_use]
    pub fn back_ends(&self) -> Vec<SocketAddr> {
        let back_ends = self.nodes.values().filter_map(|n| n.back_end.as_ref());
        back_ends.map(BackEnd::address).collect()
    }

    /// Returns the names of the machines in a zone.
    #[must_use]
    pub fn machines_in_zone(&self, zone: &str) -> Vec<String> {
        let nodes = self.nodes.iter().filter(|(_, node)| node.site.zone == zone);
        nodes.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the zone of a machine, or `None` for an unknown name.
    #[must_use]
    pub fn zone_of(&self, name: &str) -> Option<&'static str> {
        self.nodes.get(name).map(|node| node.site.zone)
    }

    /// Returns the machine that most running daemons take for the coordinator.
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

    /// Returns the owner of each shard of a service by the routing table of one running daemon;
    /// empty when none runs.
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

    /// Blocks connections from each machine of one group to each of the other, and also in the
    /// reverse direction with `both_ways`. Replaces what these machines blocked before.
    pub fn block_links(&self, from: &[String], to: &[String], both_ways: bool) {
        self.block_one_way(from, to);
        if both_ways {
            self.block_one_way(to, from);
        }
    }

    fn block_one_way(&self, from: &[String], to: &[String]) {
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

    /// Removes all blocks of links.
    pub fn restore_links(&self) {
        for daemon in self.nodes.values().filter_map(|n| n.daemon.as_ref()) {
            daemon
                .shared()
                .link_filter
                .set_blocked(std::collections::HashSet::new());
        }
    }

    /// Kills a machine's daemon and back end without a graceful shutdown.
    pub async fn kill(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.back_end = None;
        if let Some(daemon) = node.daemon.take() {
            let _ = tokio::task::spawn_blocking(move || daemon.kill()).await;
        }
    }

    /// Crashes a machine's back end; its daemon keeps running.
    pub fn crash_back_end(&mut self, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.back_end = None;
        }
    }

    /// Shuts a machine's daemon down gracefully in the background; its back end keeps running.
    /// Returns `None` when no daemon runs there.
    pub fn stop(&mut self, name: &str) -> Option<tokio::task::JoinHandle<()>> {
        let daemon = self.nodes.get_mut(name)?.daemon.take()?;
        Some(tokio::task::spawn_blocking(move || daemon.stop()))
    }

    /// Returns the machine that owns a key by the routing table of one running daemon.
    #[must_use]
    pub fn owner_of(&self, service: &str, key: &[u8]) -> Option<String> {
        let daemon = self.nodes.values().find_map(|n| n.daemon.as_ref())?;
        let shard = ownership::table::shard_of(service, world::key::KeyHash::new(key));
        let routes = daemon.shared().routes.load();
        routes.owner(service, shard).map(|m| m.name.to_string())
    }

    /// Kills all machines and drops the platform.
    pub async fn kill_all(mut self) {
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

/// Returns the section of the lists for a plan and service, with limits that ordinary requests do
/// not reach.
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

/// Scaled-down deployment of the press office: two regions with two zones each, three services of
/// four targets.
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

/// Scaled-down deployment of the co-operative: two regions with two zones each, three services of
/// four targets.
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

/// Deployment for load measurements: a service without keys and one divided by key, targets that
/// answer at once, and a plan whose limits are not reached.
#[must_use]
pub fn load_spec(zones: Vec<(&'static str, &'static str)>, traffic_threads: usize) -> Spec {
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
