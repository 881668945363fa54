//! State of the process, shared by its tasks on one thread.
//!
//! Configurations and assignments only move to higher revisions. A change of state that peers
//! depend on is announced to them; one that affects the keys wakes [`Node::keys_changed`].

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
use crate::crash_watch::{self, ExitProof};
use crate::failure_rate::FailureRate;
use crate::frame::{BackEndStatus, Features, ForwardedRequest, Frame, NodeStatus};
use crate::link::{FrameSender, Peer, keep_connected, send_frame};
use crate::metrics::Metrics;
use crate::peer_requests::PeerRequests;
use crate::pending_changes::PendingChanges;
use crate::retry_detector::RetryDetector;
use crate::suspects::{self, CrashReport, Source, Suspects};

/// Time after the start of the process within which a back end that refuses connections counts as
/// still starting, not as exited.
pub(crate) const BACK_END_START_TIMEOUT: Duration = Duration::from_secs(3);

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Revision of the stored object.
    pub revision: u64,
    /// The decoded document.
    pub catalog: Rc<Catalog>,
    /// The document as stored, to send to peers.
    pub document: Rc<Value>,
}

/// State of the process.
pub struct Node {
    /// Settings read at the start.
    pub settings: Settings,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Start of the process.
    pub started: BootInstant,
    /// Direct connections to the store.
    pub direct: DirectTransport,
    /// Sends requests to the local back end.
    pub proxy: BackEndProxy,
    /// Decides which keys of the service this machine grants, and holds its lease.
    pub shard_manager: RefCell<ShardManager>,
    /// Requests that peers have forwarded to this machine.
    pub peer_requests: RefCell<PeerRequests>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Recognises callers' retries by their shorter timeouts.
    pub retry_detector: RetryDetector,
    /// Number of local callers' requests without a response yet.
    pub open_requests: Cell<usize>,
    /// Sequence number of the last heartbeat of the current back end.
    pub last_sequence: Cell<u64>,
    /// Share of requests that fail at the local back end.
    pub local_failures: FailureRate,
    /// Requests that may have crashed back ends.
    pub suspects: Suspects,
    /// Notified when the shard manager may have something to do.
    pub keys_changed: Notify,
    /// Notified shortly before the process exits: callers get their final responses at once.
    pub abort_requests: Notify,
    active_config: RefCell<Option<ActiveConfig>>,
    assignments: RefCell<HashMap<ServiceName, Rc<Versioned<Assignment>>>>,
    peers: RefCell<BTreeMap<MachineName, Rc<Peer>>>,
    retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    stopping: Cell<bool>,
    closing: Cell<bool>,
    store_reachable: Cell<bool>,
    /// Version of the status announced last; 0 before the first.
    announced_version: Cell<u64>,
    last_announced: RefCell<Option<NodeStatus>>,
    /// Id of the back end that last deregistered, and when, in Unix milliseconds. Covers every
    /// incarnation with this id born until then, also one whose first heartbeat comes later.
    deregistered: RefCell<Option<(String, u64)>>,
    /// Assignment changes whose base revision has not arrived yet.
    pending_changes: RefCell<PendingChanges>,
    /// Delay of the links to each remote region.
    link_delays: RefCell<BTreeMap<RegionName, LinkDelay>>,
    /// Bounds of the deployment in force, such as its drain time, longest grant and retry budget;
    /// `settings` has those read at the start.
    bounds: Cell<Bounds>,
    /// Whether the member records have been listed since the start.
    members_listed: Cell<bool>,
}

impl Node {
    /// Creates the state of a process without configuration, back end or peers.
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
            peer_requests: RefCell::default(),
            metrics: Metrics::default(),
            retry_detector: RetryDetector::default(),
            open_requests: Cell::new(0),
            last_sequence: Cell::new(0),
            local_failures: FailureRate::default(),
            suspects: Suspects::default(),
            keys_changed: Notify::new(),
            abort_requests: Notify::new(),
            active_config: RefCell::default(),
            assignments: RefCell::default(),
            peers: RefCell::default(),
            retry_budgets: RefCell::default(),
            stopping: Cell::new(false),
            closing: Cell::new(false),
            store_reachable: Cell::new(true),
            announced_version: Cell::new(0),
            last_announced: RefCell::default(),
            deregistered: RefCell::default(),
            pending_changes: RefCell::default(),
            link_delays: RefCell::default(),
            bounds: Cell::new(settings.bounds),
            members_listed: Cell::new(false),
            settings,
        }
    }

    // ---- configuration ----

    /// Returns the configuration in force, `None` until the first one arrives.
    #[must_use]
    pub fn active_config(&self) -> Option<ActiveConfig> {
        self.active_config.borrow().clone()
    }

    /// Puts a configuration in force if it is valid and newer than the current one; returns whether
    /// it did. `source` is logged.
    pub fn on_configuration(&self, revision: u64, document: Value, source: &str) -> bool {
        let current = self.active_config.borrow().as_ref().map(|c| c.revision);
        if current >= Some(revision) {
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
        *self.active_config.borrow_mut() = Some(ActiveConfig {
            revision,
            catalog: Rc::new(catalog),
            document: Rc::new(document),
        });
        self.keys_changed.notify_one();
        self.announce();
        true
    }

    /// Returns whether the service of this machine is divided by key.
    #[must_use]
    pub fn is_keyed(&self) -> bool {
        let service = self.service();
        self.active_config()
            .is_some_and(|c| c.catalog.is_keyed(&service))
    }

    /// Returns the key of a request, `None` if its service is not divided by key.
    #[must_use]
    pub fn shard_key(&self, request: &ForwardedRequest) -> Option<u16> {
        let keyed = self
            .active_config()
            .is_some_and(|c| c.catalog.is_keyed(&request.service));
        request.key.filter(|_| keyed)
    }

    // ---- this machine ----

    /// Returns the service of the local back end; the one in the settings before its first
    /// heartbeat.
    #[must_use]
    pub fn service(&self) -> ServiceName {
        let back_end = self.proxy.back_end.borrow();
        back_end
            .as_ref()
            .map_or_else(|| self.settings.service.clone(), |b| b.service.clone())
    }

    /// Returns whether the process has been asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Begins the graceful shutdown: announces it to the peers and makes grants as long as
    /// possible, so that they last while the process is away.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.shard_manager.borrow_mut().stop();
        self.announce();
    }

    /// Returns whether new requests are rejected and only running ones are finished.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Rejects new requests from now on.
    pub fn close(&self) {
        self.closing.set(true);
    }

    /// Returns the current status of this process, as peers receive it.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
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
            version: self.announced_version.get(),
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
            catalog_revision: self
                .active_config
                .borrow()
                .as_ref()
                .map_or(0, |c| c.revision),
            store_reachable: self.store_reachable.get(),
            leaving: self.stopping.get(),
            utilization_eighths: self.announced_utilization(),
            features: Features::SUPPORTED,
        }
    }

    /// Returns the used share of the capacity in steps of 1 / `UTILIZATION_STEPS`; 0 for a service
    /// without keys, where peers have no use for it.
    fn announced_utilization(&self) -> u32 {
        if self.is_keyed() {
            (self.proxy.utilization() * UTILIZATION_STEPS).round() as u32
        } else {
            0
        }
    }

    /// Sends this process's status to all connected peers if it has changed since the last call.
    ///
    /// Lease and utilization go only to peers of the same service; a change of these alone is not
    /// sent to the rest.
    pub fn announce(&self) {
        let mut status = self.status();
        let last = self.last_announced.borrow().clone();
        let previous = last.as_ref();
        status.version = previous.map_or(0, |l| l.version);
        if previous == Some(&status) {
            return;
        }
        let reduced_unchanged =
            previous.is_some_and(|l| l.for_other_services() == status.for_other_services());
        self.announced_version.set(self.announced_version.get() + 1);
        status.version = self.announced_version.get();
        *self.last_announced.borrow_mut() = Some(status.clone());
        let service = status.service.clone();
        let reduced = Frame::Hello(Box::new(status.for_other_services()));
        let full = Frame::Hello(Box::new(status));
        for peer in self.peers.borrow().values() {
            if peer.with_status(|s| s.service == service) == Some(true) {
                peer.send(&full);
            } else if !reduced_unchanged {
                peer.send(&reduced);
            }
        }
    }

    /// Returns the status announced last; the current one if none has been announced.
    #[must_use]
    pub fn last_announced(&self) -> NodeStatus {
        let last = self.last_announced.borrow().clone();
        last.unwrap_or_else(|| self.status())
    }

    /// Records whether the store can be reached directly, and announces a change of that.
    pub fn on_store_result(&self, reachable: bool) {
        if self.store_reachable.replace(reachable) != reachable {
            log::info!(event = if reachable { "store-regained" } else { "store-lost" }; "");
            self.announce();
        }
    }

    /// Records the state that a heartbeat of the local back end reports.
    pub fn on_heartbeat(&self, back_end: LocalBackEnd) {
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
        if let Some((previous, _)) = &before
            && *previous != back_end.incarnation
        {
            crash_watch::on_exit(self, previous, ExitProof::Replaced);
        }
        self.proxy.crash_watch.on_heartbeat(&back_end.incarnation);
        self.proxy.set_back_end(back_end);
        if before != after {
            self.proxy.set_availability(state);
            self.announce();
            self.keys_changed.notify_one();
        }
    }

    /// Changes whether the local back end takes requests; no effect before its first heartbeat.
    pub fn set_availability(&self, availability: Availability) {
        let changed = self
            .proxy
            .back_end
            .borrow()
            .as_ref()
            .is_some_and(|b| b.state != availability);
        if changed {
            log::info!(event = "back-end", state:? = availability; "");
            self.proxy.set_availability(availability);
            self.announce();
            self.keys_changed.notify_one();
        }
    }

    /// Records that a back end has deregistered at `unix_ms` (Unix time in milliseconds).
    pub fn on_deregistered(&self, id: &str, unix_ms: u64) {
        *self.deregistered.borrow_mut() = Some((id.to_owned(), unix_ms));
    }

    /// Returns whether an incarnation of a back end has deregistered.
    #[must_use]
    pub fn is_deregistered(&self, incarnation: &BackEndIncarnation) -> bool {
        let deregistered = self.deregistered.borrow();
        deregistered
            .as_ref()
            .is_some_and(|(id, at)| *id == incarnation.id && incarnation.born <= *at)
    }

    /// Records that the local back end has responded to a request sent at `sent`.
    pub fn on_back_end_response(&self, sent: BootInstant) {
        self.proxy.crash_watch.on_response(sent);
        if let Some(b) = self.proxy.back_end.borrow_mut().as_mut() {
            b.last_contact = BootClock.now();
        }
    }

    /// Handles a failed exchange with the local back end: marks it as down if nobody listens on its
    /// address and no connection to it is left.
    pub fn on_exchange_error(&self, error: ExchangeError) {
        if error != ExchangeError::NobodyListens {
            return;
        }
        let now = BootClock.now();
        let connections = &self.proxy.connections;
        // The back end has exited only if no connection to it is open either;
        // `evict_closed` returns how many idle ones remain.
        if connections.in_use() > 0 || connections.evict_closed(now) > 0 {
            return;
        }
        let incarnation = {
            let back_end = self.proxy.back_end.borrow();
            back_end.as_ref().map(|b| b.incarnation.clone())
        };
        self.set_availability(Availability::Down);
        if let Some(incarnation) = &incarnation {
            crash_watch::on_exit(self, incarnation, ExitProof::Refused);
        }
        if incarnation.is_some() || now.since(self.started) > BACK_END_START_TIMEOUT {
            self.shard_manager.borrow_mut().on_back_end_exit(now);
            self.keys_changed.notify_one();
        }
    }

    // ---- peers ----

    /// Returns all known peers, connected or not.
    #[must_use]
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// Returns the peer on a machine, if it is known.
    #[must_use]
    pub fn peer(&self, machine: &MachineName) -> Option<Rc<Peer>> {
        self.peers.borrow().get(machine).cloned()
    }

    /// Returns a random connected peer whose status matches `predicate`.
    #[must_use]
    pub fn random_peer(&self, predicate: impl Fn(&NodeStatus) -> bool) -> Option<Rc<Peer>> {
        let peers = self.peers.borrow();
        let candidates = peers
            .values()
            .filter(|p| p.is_connected() && p.with_status(&predicate) == Some(true));
        candidates.choose(&mut rand::rng()).cloned()
    }

    /// Sends a frame to every connected peer.
    pub fn broadcast(&self, frame: &Frame) {
        for peer in self.peers.borrow().values() {
            peer.send(frame);
        }
    }

    /// Sends reports of crashes to every connected peer that decodes them.
    pub fn broadcast_crashes(&self, reports: &[CrashReport]) {
        for peer in self.peers.borrow().values() {
            peer.send_crashes(reports);
        }
    }

    /// Adds the peer on a machine and keeps a connection to it open; updates the address of a known
    /// peer. Does nothing for this machine itself.
    pub fn add_peer(self: &Rc<Self>, machine: &MachineName, address: std::net::SocketAddr) {
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

    /// Returns the bounds in force.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Handles a connection to a peer that was opened or lost.
    pub fn on_link_change(&self) {
        self.keys_changed.notify_one();
    }

    /// Handles a frame from a peer that is not part of a request; replies go to `sender`.
    pub fn on_frame(self: &Rc<Self>, frame: Frame, sender: &FrameSender) {
        match frame {
            Frame::Hello(status) => self.on_hello(*status),
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
                for (service, stored) in self.assignments.borrow().iter() {
                    let up_to_date = |(s, revision): &(ServiceName, u64)| {
                        s == service && *revision >= stored.revision
                    };
                    if !known.iter().any(up_to_date) {
                        send_frame(sender, &assignment_frame(service, stored));
                    }
                }
            }
            Frame::CrashReports(reports) => {
                for report in &reports {
                    suspects::on_report(self, report, Source::Peer);
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

    fn on_hello(self: &Rc<Self>, status: NodeStatus) {
        self.add_peer(&status.machine, status.address);
        if let Some(peer) = self.peer(&status.machine)
            && peer.update(status)
        {
            self.keys_changed.notify_one();
        }
    }

    /// Returns the regions of the deployment without that of this machine.
    #[must_use]
    pub fn other_regions(&self) -> BTreeSet<RegionName> {
        let regions = self.settings.zones.values().cloned();
        regions.filter(|r| *r != self.settings.region).collect()
    }

    /// Starts a delay probe of a region and returns its number, `None` while an earlier probe is
    /// in flight.
    pub fn start_probe(&self, region: &RegionName, now: BootInstant) -> Option<u64> {
        let mut delays = self.link_delays.borrow_mut();
        delays.entry(region.clone()).or_default().start_probe(now)
    }

    /// Records the reply to a delay probe.
    pub fn on_pong(&self, peer: &Peer, probe: u64) {
        let mut delays = self.link_delays.borrow_mut();
        let delay = peer.with_status(|s| delays.get_mut(&s.region));
        if let Some(delay) = delay.flatten() {
            delay.on_probe_reply(probe, BootClock.now());
        }
    }

    /// Returns the round-trip queueing delay of frames to a region, 0 if it is unknown.
    #[must_use]
    pub fn link_delay(&self, region: &RegionName) -> Duration {
        let delays = self.link_delays.borrow();
        let delay = delays
            .get(region)
            .map(|d| d.queueing_delay(BootClock.now()));
        delay.unwrap_or_default()
    }

    /// Returns how far a machine is from this one.
    #[must_use]
    pub fn distance(&self, status: &NodeStatus) -> Distance {
        if status.zone == self.settings.zone {
            Distance::Zone
        } else if status.region == self.settings.region {
            Distance::Region
        } else {
            Distance::Remote
        }
    }

    // ---- keys ----

    /// Returns the newest known assignment of a service's keys.
    #[must_use]
    pub fn assignment(&self, service: &ServiceName) -> Option<Rc<Versioned<Assignment>>> {
        self.assignments.borrow().get(service).cloned()
    }

    /// Applies a change to the assignment at its base revision, then the pending changes that
    /// follow; a change whose base revision has not arrived is kept until it does.
    fn on_assignment_change(
        &self,
        service: &ServiceName,
        base: u64,
        revision: u64,
        change: Change,
    ) {
        let current = self.assignment(service).map_or(0, |a| a.revision);
        if current >= revision {
            return;
        }
        self.pending_changes
            .borrow_mut()
            .insert(service, base, revision, change);
        while let Some(stored) = self.assignment(service) {
            let next = self
                .pending_changes
                .borrow_mut()
                .take(service, stored.revision);
            let Some((revision, change)) = next else {
                return;
            };
            let value = stored.value.with_change(&change);
            if !self.on_assignment(service, Versioned { revision, value }) {
                return;
            }
        }
    }

    /// Returns the services whose assignment a peer has at a later revision, and the services
    /// divided by key whose assignment is not known.
    #[must_use]
    pub fn assignments_to_fetch(&self) -> BTreeSet<ServiceName> {
        let pending = self.pending_changes.borrow();
        let known_revision =
            |service: &ServiceName| self.assignment(service).map_or(0, |a| a.revision);
        let behind = pending
            .latest()
            .filter(|(s, revision)| known_revision(s) < *revision);
        let mut outdated: BTreeSet<ServiceName> = behind.map(|(s, _)| s.clone()).collect();
        if let Some(active_config) = self.active_config() {
            let unknown = active_config
                .catalog
                .keyed_services()
                .filter(|s| known_revision(s) == 0);
            outdated.extend(unknown.cloned());
        }
        outdated
    }

    /// Stores an assignment if it is valid and newer than the known one; returns whether it did.
    pub fn on_assignment(&self, service: &ServiceName, stored: Versioned<Assignment>) -> bool {
        if !stored.value.is_valid() {
            log::error!(event = "assignment-refused", service = service.as_str(), revision = stored.revision; "");
            return false;
        }
        let newer = self
            .assignments
            .borrow()
            .get(service)
            .is_none_or(|known| known.revision < stored.revision);
        if !newer {
            return false;
        }
        log::info!(event = "assignment", service = service.as_str(), revision = stored.revision, ranges = stored.value.ranges.len(), keys = key_counts(&stored.value).as_str(); "");
        if *service == self.service() {
            self.shard_manager
                .borrow_mut()
                .on_assignment(stored.clone());
            self.keys_changed.notify_one();
        }
        self.assignments
            .borrow_mut()
            .insert(service.clone(), Rc::new(stored));
        true
    }

    /// Broadcasts the current assignment of a service after a write of this process: as a change
    /// from `before`, or whole if that is `None`.
    pub fn publish_change(&self, service: &ServiceName, before: Option<&Versioned<Assignment>>) {
        let Some(stored) = self.assignment(service) else {
            return;
        };
        let frame = match before {
            Some(old) => Frame::AssignmentChange {
                service: service.clone(),
                base: old.revision,
                revision: stored.revision,
                change: Box::new(old.value.diff(&stored.value)),
            },
            None => assignment_frame(service, &stored),
        };
        self.broadcast(&frame);
    }

    /// Returns a frame that asks a peer for assignments newer than those known here.
    #[must_use]
    pub fn assignment_request(&self) -> Frame {
        let assignments = self.assignments.borrow();
        let known = assignments.iter().map(|(s, a)| (s.clone(), a.revision));
        Frame::AssignmentsRequest {
            known: known.collect(),
        }
    }

    /// Returns an empty change that tells a peer which revision of its service's assignment this
    /// process has, so that a peer with an older one fetches it; `None` if it has none.
    #[must_use]
    pub fn assignment_announcement(&self) -> Option<Frame> {
        let service = self.service();
        let stored = self.assignment(&service)?;
        Some(Frame::AssignmentChange {
            service,
            base: stored.revision,
            revision: stored.revision,
            change: Box::new(stored.value.diff(&stored.value)),
        })
    }

    // ---- retries ----

    /// Calls `work` with the retry budget of a service.
    pub fn with_retry_budget<R>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(self.retry_limit()));
        work(budget)
    }

    /// Puts changed bounds in force.
    pub fn on_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
        self.shard_manager
            .borrow_mut()
            .set_max_grant(bounds.hold_max);
        self.update_budgets();
    }

    /// Records that all member records have been listed, which makes the number of machines known.
    pub fn on_members_listed(&self) {
        self.members_listed.set(true);
        self.update_budgets();
    }

    fn update_budgets(&self) {
        let limit = self.retry_limit();
        for budget in self.retry_budgets.borrow_mut().values_mut() {
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
        let machines = self.peers.borrow().len() + 1;
        total.per_machine(self.members_listed.get().then_some(machines))
    }
}

/// Steps into which the announced utilization is rounded, so that small changes are not announced.
pub(crate) const UTILIZATION_STEPS: f64 = 8.0;

fn assignment_frame(service: &ServiceName, stored: &Versioned<Assignment>) -> Frame {
    Frame::Assignment {
        service: service.clone(),
        revision: stored.revision,
        assignment: Box::new(stored.value.clone()),
    }
}

/// Formats the number of keys of each machine for the log.
fn key_counts(assignment: &Assignment) -> String {
    let counts: Vec<String> = assignment
        .holders
        .keys()
        .map(|m| format!("{m}:{}", assignment.key_count(m)))
        .collect();
    counts.join(",")
}
