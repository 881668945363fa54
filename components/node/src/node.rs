//! State that the parts of the process share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use balance::choice::Distance;
use balance::link_delay::LinkDelay;
use balance::retry_budget::{RetryBudget, RetryLimit};
use catalog::Catalog;
use platform::bounds::Bounds;
use platform::configuration;
use platform::settings::Settings;
use platform::store::DirectTransport;
use rand::seq::IteratorRandom;
use serde_json::Value;
use shards::assignment::{Assignment, Change};
use shards::incarnation::BackEndIncarnation;
use shards::manager::{ShardManager, Timing, Versioned};
use timer::{BootClock, Clock};
use tokio::sync::Notify;
use world::instant::BootInstant;
use world::name::{MachineName, RegionName, ServiceName};

use crate::back_end::{ConnectionPool, ExchangeError};
use crate::back_end_proxy::{Availability, BackEndProxy, LocalBackEnd};
use crate::early_changes::EarlyChanges;
use crate::failure_rate::FailureRate;
use crate::frame::{BackEndStatus, ForwardedRequest, Frame, NodeStatus};
use crate::link::{FrameSender, Peer, keep_connected, send_frame};
use crate::metrics::Metrics;
use crate::peer_server::PeerRequests;
use crate::retry_detector::RetryDetector;

/// Time after the start in which a back end that is not there yet is not taken for gone.
pub(crate) const START_GRACE: Duration = Duration::from_secs(3);

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Revision of the stored object.
    pub revision: u64,
    /// Decoded form.
    pub catalog: Rc<Catalog>,
    /// The document, for other processes.
    pub document: Rc<Value>,
}

/// The process.
pub struct Node {
    /// What it was told when it started.
    pub settings: Settings,
    /// Random number of the process.
    pub incarnation: u64,
    /// When it started.
    pub started: BootInstant,
    /// Connections to the store.
    pub direct: DirectTransport,
    /// The way to the back end.
    pub proxy: BackEndProxy,
    /// This machine's part in the assignment of its service's keys.
    pub shard_manager: RefCell<ShardManager>,
    /// Requests of other processes.
    pub served: RefCell<PeerRequests>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The longest patience of callers by route.
    pub retry_detector: RetryDetector,
    /// Callers' requests that are not answered.
    pub open_requests: Cell<usize>,
    /// Position of the last heartbeat of the present back end.
    pub last_sequence: Cell<u64>,
    /// How often requests fail at the back end on this machine.
    pub own_failures: FailureRate,
    /// Woken when the keys may need attention.
    pub keys_changed: Notify,
    /// Woken when every caller must get its final answer at once, since the process ends.
    pub last_call: Notify,
    catalog: RefCell<Option<ActiveConfig>>,
    views: RefCell<HashMap<ServiceName, Rc<Versioned<Assignment>>>>,
    peers: RefCell<BTreeMap<MachineName, Rc<Peer>>>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    stopping: Cell<bool>,
    closing: Cell<bool>,
    store_works: Cell<bool>,
    change: Cell<u64>,
    last_hello: RefCell<Option<NodeStatus>>,
    /// Id of the back end that said last that it leaves for good, and the time of day in Unix
    /// milliseconds: every boot of it until then has left, also one that is heard of later.
    departed: RefCell<Option<(String, u64)>>,
    /// Changes of assignments that came before those that they follow.
    early: RefCell<EarlyChanges>,
    /// Delay of the links to each other region.
    delays: RefCell<BTreeMap<RegionName, LinkDelay>>,
    /// Bounds in force; those in `settings` are the ones at the start.
    bounds: Cell<Bounds>,
    /// Whether all machines have been listed since the start.
    listed: Cell<bool>,
}

impl Node {
    /// Makes the process's state.
    #[must_use]
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        let now = BootClock.now();
        let timing = Timing {
            max_grant: settings.bounds.hold_max,
            ..Timing::default()
        };
        Self {
            incarnation,
            started: now,
            direct: DirectTransport::new(settings.store_address),
            proxy: BackEndProxy::new(ConnectionPool::new(settings.back_end_address)),
            shard_manager: RefCell::new(ShardManager::new(settings.machine.clone(), timing, now)),
            served: RefCell::default(),
            metrics: Metrics::default(),
            retry_detector: RetryDetector::default(),
            open_requests: Cell::new(0),
            last_sequence: Cell::new(0),
            own_failures: FailureRate::default(),
            keys_changed: Notify::new(),
            last_call: Notify::new(),
            catalog: RefCell::default(),
            views: RefCell::default(),
            peers: RefCell::default(),
            budgets: RefCell::default(),
            stopping: Cell::new(false),
            closing: Cell::new(false),
            store_works: Cell::new(true),
            change: Cell::new(0),
            last_hello: RefCell::default(),
            departed: RefCell::default(),
            early: RefCell::default(),
            delays: RefCell::default(),
            bounds: Cell::new(settings.bounds),
            listed: Cell::new(false),
            settings,
        }
    }

    // ---- configuration ----

    /// The configuration in force, if any is known.
    #[must_use]
    pub fn active_config(&self) -> Option<ActiveConfig> {
        self.catalog.borrow().clone()
    }

    /// Puts a configuration in force unless a newer one is; returns whether it did.
    pub fn on_configuration(&self, revision: u64, document: Value, source: &str) -> bool {
        let known = self.catalog.borrow().as_ref().map(|c| c.revision);
        if known >= Some(revision) {
            return false;
        }
        let catalog = match configuration::decode(&document) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(event = "configuration-refused", revision, source, error:% = error; "");
                return false;
            }
        };
        log::info!(event = "configuration-in-force", revision, version = catalog.version, source; "");
        *self.catalog.borrow_mut() = Some(ActiveConfig {
            revision,
            catalog: Rc::new(catalog),
            document: Rc::new(document),
        });
        self.keys_changed.notify_one();
        self.announce();
        true
    }

    /// Whether the keys of this machine's service are held by one back end each.
    #[must_use]
    pub fn is_keyed(&self) -> bool {
        let service = self.service();
        self.active_config()
            .is_some_and(|c| c.catalog.is_keyed(&service))
    }

    /// The key of a request, if its service is divided by key.
    #[must_use]
    pub fn shard_key(&self, request: &ForwardedRequest) -> Option<u16> {
        let keyed = self
            .active_config()
            .is_some_and(|c| c.catalog.is_keyed(&request.service));
        request.key.filter(|_| keyed)
    }

    // ---- this machine ----

    /// Service of the back end on this machine.
    #[must_use]
    pub fn service(&self) -> ServiceName {
        let back_end = self.proxy.back_end.borrow();
        back_end
            .as_ref()
            .map_or_else(|| self.settings.service.clone(), |b| b.service.clone())
    }

    /// Whether the process is about to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Records that the process is about to stop.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.shard_manager.borrow_mut().stop();
        self.announce();
    }

    /// Whether the process only finishes what has begun.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Takes no new requests any more.
    pub fn close(&self) {
        self.closing.set(true);
    }

    /// What this process says of itself.
    #[must_use]
    pub fn member(&self) -> NodeStatus {
        let now = BootClock.now();
        let back_end = self.proxy.back_end.borrow();
        let ready = back_end.as_ref().filter(|b| b.state == Availability::Ready);
        NodeStatus {
            machine: self.settings.machine.clone(),
            region: self.settings.region.clone(),
            zone: self.settings.zone.clone(),
            service: back_end
                .as_ref()
                .map_or_else(|| self.settings.service.clone(), |b| b.service.clone()),
            address: self.settings.advertised_address,
            incarnation: self.incarnation,
            version: self.change.get(),
            back_end: ready.map(|b| BackEndStatus {
                incarnation: b.incarnation.clone(),
                slots: b.slots,
                cold: b.cold_until > now,
            }),
            lease: self
                .shard_manager
                .borrow()
                .lease()
                .map(|l| (l.revision, l.value)),
            catalog_revision: self.catalog.borrow().as_ref().map_or(0, |c| c.revision),
            store_reachable: self.store_works.get(),
            leaving: self.stopping.get(),
            utilization_eighths: self.told_busy(),
        }
    }

    /// The used share of the capacity, which matters to others only where keys can move.
    fn told_busy(&self) -> u32 {
        if self.is_keyed() {
            (self.proxy.utilization() * BUSY_STEPS).round() as u32
        } else {
            0
        }
    }

    /// Tells the other processes what has changed about this one.
    ///
    /// Lease and load matter only to machines of the same service.
    pub fn announce(&self) {
        let mut member = self.member();
        let last = self.last_hello.borrow().clone();
        let known = last.as_ref();
        member.version = known.map_or(0, |l| l.version);
        if known == Some(&member) {
            return;
        }
        let unchanged =
            known.is_some_and(|l| l.for_other_services() == member.for_other_services());
        self.change.set(self.change.get() + 1);
        member.version = self.change.get();
        *self.last_hello.borrow_mut() = Some(member.clone());
        let service = member.service.clone();
        let brief = Frame::Hello(Box::new(member.for_other_services()));
        let full = Frame::Hello(Box::new(member));
        for peer in self.peers.borrow().values() {
            if peer.with_status(|m| m.service == service) == Some(true) {
                peer.send(&full);
            } else if !unchanged {
                peer.send(&brief);
            }
        }
    }

    /// What this process last told all others of itself.
    #[must_use]
    pub fn last_announced(&self) -> NodeStatus {
        let last = self.last_hello.borrow().clone();
        last.unwrap_or_else(|| self.member())
    }

    /// Records whether the store has answered.
    pub fn on_store_result(&self, works: bool) {
        if self.store_works.replace(works) != works {
            log::info!(event = if works { "store-regained" } else { "store-lost" }; "");
            self.announce();
        }
    }

    /// Takes over a heartbeat of the back end.
    pub fn on_back_end(&self, back_end: LocalBackEnd) {
        let before = self
            .proxy
            .back_end
            .borrow()
            .as_ref()
            .map(|b| (b.incarnation.clone(), b.state));
        let state = back_end.state;
        let after = Some((back_end.incarnation.clone(), state));
        if before != after {
            log::info!(event = "back-end", id = back_end.incarnation.id.as_str(), born = back_end.incarnation.born, state:? = state; "");
        }
        self.proxy.set_back_end(back_end);
        if before != after {
            self.proxy.set_availability(state);
            self.announce();
            self.keys_changed.notify_one();
        }
    }

    /// Changes whether the back end takes requests.
    pub fn set_condition(&self, condition: Availability) {
        let changed = self
            .proxy
            .back_end
            .borrow()
            .as_ref()
            .is_some_and(|b| b.state != condition);
        if changed {
            log::info!(event = "back-end", state:? = condition; "");
            self.proxy.set_availability(condition);
            self.announce();
            self.keys_changed.notify_one();
        }
    }

    /// Records that a back end leaves for good, at a time of day in Unix milliseconds.
    pub fn on_deregistered(&self, id: &str, unix_ms: u64) {
        *self.departed.borrow_mut() = Some((id.to_owned(), unix_ms));
    }

    /// Whether a boot of a back end has said that it leaves for good.
    #[must_use]
    pub fn has_left(&self, incarnation: &BackEndIncarnation) -> bool {
        let departed = self.departed.borrow();
        departed
            .as_ref()
            .is_some_and(|(id, at)| *id == incarnation.id && incarnation.born <= *at)
    }

    /// Records a sign of life of the back end.
    pub fn on_back_end_response(&self) {
        if let Some(b) = self.proxy.back_end.borrow_mut().as_mut() {
            b.last_contact = BootClock.now();
        }
    }

    /// Takes in that an exchange with the back end failed.
    pub fn on_exchange_error(&self, fault: ExchangeError) {
        if fault != ExchangeError::NobodyListens {
            return;
        }
        let now = BootClock.now();
        let connections = &self.proxy.connections;
        // Its process has ended only if no connection of it is left either.
        if connections.in_use() > 0 || connections.evict_closed(now) > 0 {
            return;
        }
        let known = self.proxy.back_end.borrow().is_some();
        self.set_condition(Availability::Down);
        if known || now.since(self.started) > START_GRACE {
            self.shard_manager.borrow_mut().on_back_end_exit(now);
            self.keys_changed.notify_one();
        }
    }

    // ---- other processes ----

    /// All other processes that are known.
    #[must_use]
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// The process on a machine.
    #[must_use]
    pub fn peer(&self, machine: &MachineName) -> Option<Rc<Peer>> {
        self.peers.borrow().get(machine).cloned()
    }

    /// A process that is connected and is as wanted, drawn at random.
    #[must_use]
    pub fn draw_peer(&self, wanted: impl Fn(&NodeStatus) -> bool) -> Option<Rc<Peer>> {
        let peers = self.peers.borrow();
        let fitting = peers
            .values()
            .filter(|p| p.is_connected() && p.with_status(&wanted) == Some(true));
        fitting.choose(&mut rand::rng()).cloned()
    }

    /// Sends a frame to every process that is connected.
    pub fn broadcast(&self, frame: &Frame) {
        for peer in self.peers.borrow().values() {
            peer.send(frame);
        }
    }

    /// Starts to look for a process unless it is known.
    pub fn meet(self: &Rc<Self>, machine: &MachineName, address: std::net::SocketAddr) {
        if *machine == self.settings.machine {
            return;
        }
        if let Some(peer) = self.peer(machine) {
            peer.set_listed_address(address);
            return;
        }
        log::info!(event = "peer-found", machine = machine.as_str(), address:% = address; "");
        let peer = Rc::new(Peer::new(machine.clone(), address));
        self.peers
            .borrow_mut()
            .insert(machine.clone(), Rc::clone(&peer));
        tokio::task::spawn_local(keep_connected(Rc::clone(self), peer));
    }

    /// Bounds of the deployment that are in force.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Takes in that a connection was opened or lost.
    pub fn on_link_change(&self) {
        self.keys_changed.notify_one();
    }

    /// Takes in news of another process; `sender` leads back to it.
    pub fn on_news(self: &Rc<Self>, frame: Frame, sender: &FrameSender) {
        match frame {
            Frame::Hello(member) => self.on_hello(*member),
            Frame::Catalog { revision, document } => match serde_json::from_slice(&document) {
                Ok(document) => {
                    self.on_configuration(revision, document, "peer");
                }
                Err(error) => {
                    log::warn!(event = "configuration-refused", revision, error:% = error; "");
                }
            },
            Frame::CatalogRequest => {
                if let Some(c) = self.active_config() {
                    send_frame(
                        sender,
                        &Frame::Catalog {
                            revision: c.revision,
                            document: c.document.to_string().into_bytes(),
                        },
                    );
                }
            }
            Frame::Assignment {
                service,
                revision,
                assignment,
            } => {
                let value = *assignment;
                self.on_assignment(&service, Versioned { revision, value });
            }
            Frame::AssignmentChange {
                service,
                base,
                revision,
                change,
            } => self.on_assignment_change(&service, base, revision, *change),
            Frame::AssignmentsRequest { known } => {
                for (service, view) in self.views.borrow().iter() {
                    let newer = |(s, revision): &(ServiceName, u64)| {
                        s == service && *revision >= view.revision
                    };
                    if !known.iter().any(newer) {
                        send_frame(sender, &assignment_frame(service, view));
                    }
                }
            }
            Frame::Ping { probe } => {
                send_frame(sender, &Frame::Pong { probe });
            }
            Frame::Pong { .. } => {}
            Frame::Request(_)
            | Frame::Response { .. }
            | Frame::Cancel { .. }
            | Frame::StoreRequest { .. }
            | Frame::StoreResponse { .. } => {
                log::warn!(event = "frame-unexpected"; "");
            }
        }
    }

    fn on_hello(self: &Rc<Self>, member: NodeStatus) {
        self.meet(&member.machine, member.address);
        if let Some(peer) = self.peer(&member.machine)
            && peer.update(member)
        {
            self.keys_changed.notify_one();
        }
    }

    /// Regions of the deployment but the own one.
    #[must_use]
    pub fn other_regions(&self) -> BTreeSet<RegionName> {
        let regions = self.settings.zones.values().cloned();
        regions.filter(|r| *r != self.settings.region).collect()
    }

    /// Number of a probe of the links to a region; nothing if an earlier one is awaited.
    pub fn start_probe(&self, region: &RegionName, now: BootInstant) -> Option<u64> {
        let mut delays = self.delays.borrow_mut();
        delays.entry(region.clone()).or_default().start_probe(now)
    }

    /// Takes in the answer to a probe.
    pub fn on_pong(&self, peer: &Peer, probe: u64) {
        let mut delays = self.delays.borrow_mut();
        let delay = peer.with_status(|m| delays.get_mut(&m.region));
        if let Some(delay) = delay.flatten() {
            delay.on_probe_reply(probe, BootClock.now());
        }
    }

    /// Time that frames queue on the way to a region and back.
    #[must_use]
    pub fn link_delay(&self, region: &RegionName) -> Duration {
        let delays = self.delays.borrow();
        let delay = delays
            .get(region)
            .map(|d| d.queueing_delay(BootClock.now()));
        delay.unwrap_or_default()
    }

    /// How far a machine is away.
    #[must_use]
    pub fn distance(&self, member: &NodeStatus) -> Distance {
        if member.zone == self.settings.zone {
            Distance::Zone
        } else if member.region == self.settings.region {
            Distance::Region
        } else {
            Distance::Remote
        }
    }

    // ---- keys ----

    /// The assignment of a service's keys, if it is known.
    #[must_use]
    pub fn view(&self, service: &ServiceName) -> Option<Rc<Versioned<Assignment>>> {
        self.views.borrow().get(service).cloned()
    }

    /// Applies a change to the assignment that it was made to; one that comes before others that
    /// it follows is kept for later.
    fn on_assignment_change(
        &self,
        service: &ServiceName,
        base: u64,
        revision: u64,
        change: Change,
    ) {
        let known = self.view(service).map_or(0, |v| v.revision);
        if known >= revision {
            return;
        }
        self.early
            .borrow_mut()
            .insert(service, base, revision, change);
        while let Some(view) = self.view(service) {
            let next = self.early.borrow_mut().take(service, view.revision);
            let Some((revision, change)) = next else {
                return;
            };
            let value = view.value.with_change(&change);
            if !self.on_assignment(service, Versioned { revision, value }) {
                return;
            }
        }
    }

    /// Services of whose assignment another process knows a later revision, or which are divided by
    /// key and whose assignment is not known.
    #[must_use]
    pub fn outdated_assignments(&self) -> BTreeSet<ServiceName> {
        let early = self.early.borrow();
        let known = |service: &ServiceName| self.view(service).map_or(0, |v| v.revision);
        let behind = early.latest().filter(|(s, revision)| known(s) < *revision);
        let mut outdated: BTreeSet<ServiceName> = behind.map(|(s, _)| s.clone()).collect();
        if let Some(active_config) = self.active_config() {
            let unknown = active_config
                .catalog
                .keyed_services()
                .filter(|s| known(s) == 0);
            outdated.extend(unknown.cloned());
        }
        outdated
    }

    /// Takes over an assignment if it is newer than the one known.
    pub fn on_assignment(&self, service: &ServiceName, view: Versioned<Assignment>) -> bool {
        if !view.value.is_valid() {
            log::error!(event = "assignment-refused", service = service.as_str(), revision = view.revision; "");
            return false;
        }
        let newer = self
            .views
            .borrow()
            .get(service)
            .is_none_or(|v| v.revision < view.revision);
        if !newer {
            return false;
        }
        log::info!(event = "assignment", service = service.as_str(), revision = view.revision, ranges = view.value.ranges.len(), keys = key_counts(&view.value).as_str(); "");
        if *service == self.service() {
            self.shard_manager.borrow_mut().on_assignment(view.clone());
            self.keys_changed.notify_one();
        }
        self.views
            .borrow_mut()
            .insert(service.clone(), Rc::new(view));
        true
    }

    /// Tells the other processes what this one has changed in an assignment.
    pub fn publish_change(&self, service: &ServiceName, before: Option<&Versioned<Assignment>>) {
        let Some(view) = self.view(service) else {
            return;
        };
        let frame = match before {
            Some(old) => Frame::AssignmentChange {
                service: service.clone(),
                base: old.revision,
                revision: view.revision,
                change: Box::new(old.value.diff(&view.value)),
            },
            None => assignment_frame(service, &view),
        };
        self.broadcast(&frame);
    }

    /// Asks for the assignments that this process does not know.
    #[must_use]
    pub fn assignment_question(&self) -> Frame {
        let views = self.views.borrow();
        let known = views.iter().map(|(s, v)| (s.clone(), v.revision));
        Frame::AssignmentsRequest {
            known: known.collect(),
        }
    }

    /// Tells which revision of its service's assignment this process knows; one that knows less
    /// asks for it.
    #[must_use]
    pub fn assignment_notice(&self) -> Option<Frame> {
        let service = self.service();
        let view = self.view(&service)?;
        Some(Frame::AssignmentChange {
            service,
            base: view.revision,
            revision: view.revision,
            change: Box::new(view.value.diff(&view.value)),
        })
    }

    // ---- retries ----

    /// Works on the retry budget of a service.
    pub fn with_budget<R>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(self.retry_limit()));
        work(budget)
    }

    /// Takes over bounds that have changed.
    pub fn on_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
        self.shard_manager
            .borrow_mut()
            .set_max_grant(bounds.hold_max);
        self.update_budgets();
    }

    /// Takes in that all machines have been listed.
    pub fn on_members_listed(&self) {
        self.listed.set(true);
        self.update_budgets();
    }

    fn update_budgets(&self) {
        let limit = self.retry_limit();
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_limit(limit);
        }
    }

    fn retry_limit(&self) -> RetryLimit {
        let bounds = self.bounds.get();
        let total = RetryLimit {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window: bounds.retry_window,
        };
        let known = self.peers.borrow().len() + 1;
        total.per_machine(self.listed.get().then_some(known))
    }
}

/// Steps in which the used share of the capacity is told, so that small changes stay untold.
pub(crate) const BUSY_STEPS: f64 = 8.0;

fn assignment_frame(service: &ServiceName, view: &Versioned<Assignment>) -> Frame {
    Frame::Assignment {
        service: service.clone(),
        revision: view.revision,
        assignment: Box::new(view.value.clone()),
    }
}

/// How many keys each machine owns, for logs.
fn key_counts(assignment: &Assignment) -> String {
    let counts: Vec<String> = assignment
        .holders
        .keys()
        .map(|m| format!("{m}:{}", assignment.key_count(m)))
        .collect();
    counts.join(",")
}
