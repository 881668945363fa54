//! State of the process, shared by its tasks on one thread.
//!
//! Configurations only move to higher versions, whatever their revision in the store, assignments
//! only to later revisions. A change of state that peers depend on is announced to them; one that
//! affects the keys wakes [`Node::keys_changed`].

mod configuration;
mod evacuations;
mod keys;
mod local;
mod peers;
mod retries;
mod store;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use balance::link_delay::LinkDelay;
use balance::retry_budget::RetryBudget;
use catalog::freshness::Freshness;
use platform::bounds::Bounds;
use platform::settings::Settings;
use platform::store::DirectTransport;
use shards::assignment::Assignment;
use shards::manager::{ShardManager, Timing, Versioned};
use shards::revision::StoreEra;
use timer::{BootClock, Clock};
use tokio::sync::{Notify, watch};
use world::instant::BootInstant;
use world::log_limit::LogLimit;
use world::name::{MachineName, RegionName, ServiceName};

use crate::back_end::ConnectionPool;
use crate::back_end_proxy::BackEndProxy;
use crate::config_check::ConfigCheck;
use crate::config_lag::ConfigLag;
use crate::departures::Departures;
use crate::evacuations::Evacuations;
use crate::failure_rate::FailureRate;
use crate::frame::{ForwardedRequest, NodeStatus};
use crate::frame_stream::QueuedBytes;
use crate::leaving::LeavingBackEnds;
use crate::link_admission::LinkAdmission;
use crate::memory::MemoryAccount;
use crate::metrics::Metrics;
use crate::peer::Peer;
use crate::peer_requests::PeerRequests;
use crate::pending_changes::PendingChanges;
use crate::refusals::Refusals;
use crate::retry_detector::RetryDetector;
use crate::single_request::SingleRequest;
use crate::suspects::Suspects;

pub use configuration::ActiveConfig;
pub(crate) use local::UTILIZATION_STEPS;
pub(crate) use store::ERA_SPREAD;

/// Time after the start of the process within which a back end that refuses connections counts as
/// still starting, not as exited.
pub(crate) const BACK_END_START_TIMEOUT: Duration = Duration::from_secs(3);

/// Connections to a back end that carry no request.
const PROBE_CONNECTIONS: usize = 1;

/// State of the process.
pub struct Node {
    /// Settings read at the start.
    pub settings: Settings,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Start of the process.
    pub started: BootInstant,
    /// Sends requests to the local back end.
    pub proxy: BackEndProxy,
    /// Memory that messages take together.
    pub memory: Rc<MemoryAccount>,
    /// Logs that clients reach a bound.
    pub refusals: Refusals,
    /// Decides which keys of the service this machine grants, and holds its lease.
    pub shard_manager: RefCell<ShardManager>,
    /// Requests that peers have forwarded to this machine.
    pub peer_requests: RefCell<PeerRequests>,
    /// Bytes that wait to be written to the connections of peers.
    pub queued_bytes: QueuedBytes,
    /// Admission of requests of peers by the machine's link.
    pub link_admission: LinkAdmission,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Recognises callers' retries by their shorter timeouts.
    pub retry_detector: RetryDetector,
    /// Number of local callers' requests of which a part has arrived and whose response has not been
    /// written yet.
    pub open_requests: Cell<usize>,
    /// Sequence number of the last heartbeat of the current back end.
    pub last_sequence: Cell<u64>,
    /// Share of requests that fail at the local back end.
    pub local_failures: FailureRate,
    /// Requests that may have crashed back ends.
    pub suspects: Suspects,
    /// Back ends that have said in a response that they leave.
    pub leaving: LeavingBackEnds,
    /// Back ends of this machine that have said that they leave.
    pub departures: Departures,
    /// Notified when the shard manager may have something to do.
    pub keys_changed: Notify,
    /// Notified shortly before the process exits: callers get their final responses at once.
    pub abort_requests: Notify,
    /// Asks whether the configuration in force is the newest.
    pub config_check: ConfigCheck,
    /// How long versions of the configuration that peers have are missing here.
    pub config_lag: ConfigLag,
    /// The request to a peer for its configuration.
    config_request: SingleRequest,
    /// The request to a peer for its assignments.
    assignments_request: SingleRequest,
    active_config: RefCell<Option<ActiveConfig>>,
    config_freshness: Cell<Freshness>,
    evacuations: RefCell<Evacuations>,
    assignments: RefCell<HashMap<ServiceName, Rc<Versioned<Assignment>>>>,
    peers: RefCell<BTreeMap<MachineName, Rc<Peer>>>,
    retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    stopping: Cell<bool>,
    closing: Cell<bool>,
    store_reachable: Cell<bool>,
    /// Direct connections to the store.
    direct: DirectTransport,
    /// Latest known era of the store; only rises.
    store_era: watch::Sender<StoreEra>,
    /// Version of the status announced last; 0 before the first.
    announced_version: Cell<u64>,
    last_announced: RefCell<Option<NodeStatus>>,
    /// Assignment changes whose base revision has not arrived yet.
    pending_changes: RefCell<PendingChanges>,
    /// Delay of the links to each remote region.
    link_delays: RefCell<BTreeMap<RegionName, LinkDelay>>,
    /// Bounds of the deployment in force, such as its drain time, longest grant and retry budget;
    /// `settings` has those read at the start.
    bounds: Cell<Bounds>,
    /// Limits the lines about objects in the store that are no records of their kind.
    skipped_records: LogLimit,
    /// Service of the back end as the settings file names it now.
    configured_service: RefCell<ServiceName>,
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
        let memory = MemoryAccount::of_messages(settings.memory_limit);
        Self {
            incarnation,
            started: now,
            proxy: BackEndProxy::new(ConnectionPool::with_memory(
                settings.back_end_address,
                MemoryAccount::of_responses(settings.memory_limit, Some(Rc::clone(&memory))),
            )),
            memory,
            refusals: Refusals::default(),
            shard_manager: RefCell::new(
                ShardManager::new(settings.machine.clone(), timing, now)
                    .with_first_start(settings.first_start),
            ),
            peer_requests: RefCell::default(),
            queued_bytes: QueuedBytes::with_link_rate(settings.link_rate),
            link_admission: LinkAdmission::default(),
            metrics: Metrics::default(),
            retry_detector: RetryDetector::default(),
            open_requests: Cell::new(0),
            last_sequence: Cell::new(0),
            local_failures: FailureRate::default(),
            suspects: Suspects::default(),
            leaving: LeavingBackEnds::default(),
            departures: Departures::default(),
            keys_changed: Notify::new(),
            abort_requests: Notify::new(),
            config_request: SingleRequest::default(),
            assignments_request: SingleRequest::default(),
            active_config: RefCell::default(),
            config_check: ConfigCheck::default(),
            config_lag: ConfigLag::default(),
            config_freshness: Cell::default(),
            evacuations: RefCell::default(),
            assignments: RefCell::default(),
            peers: RefCell::default(),
            retry_budgets: RefCell::default(),
            stopping: Cell::new(false),
            closing: Cell::new(false),
            store_reachable: Cell::new(true),
            direct: DirectTransport::new(settings.store_address),
            store_era: watch::Sender::default(),
            announced_version: Cell::new(0),
            last_announced: RefCell::default(),
            pending_changes: RefCell::default(),
            link_delays: RefCell::default(),
            bounds: Cell::new(settings.bounds),
            skipped_records: LogLimit::default(),
            configured_service: RefCell::new(settings.service.clone()),
            members_listed: Cell::new(false),
            settings,
        }
    }

    /// Returns whether the service of this machine is divided by key.
    #[must_use]
    pub fn is_keyed(&self) -> bool {
        let service = self.service();
        self.active_config()
            .is_some_and(|c| c.catalog.is_keyed(&service))
    }

    /// Returns how many requests a back end of a service can run at once with the connections that it
    /// takes: one each, and one for a probe.
    #[must_use]
    pub fn usable_slots(&self, service: &ServiceName, slots: u32) -> u32 {
        let config = self.active_config();
        let service = config
            .as_ref()
            .and_then(|c| c.catalog.services.get(service));
        let connections = service.map_or(usize::MAX, |s| s.max_connections);
        let most = connections.saturating_sub(PROBE_CONNECTIONS).max(1);
        slots.min(u32::try_from(most).unwrap_or(u32::MAX))
    }

    /// Returns the key of a request, `None` if its service is not divided by key.
    #[must_use]
    pub fn shard_key(&self, request: &ForwardedRequest) -> Option<u16> {
        let keyed = self
            .active_config()
            .is_some_and(|c| c.catalog.is_keyed(&request.service));
        request.key.filter(|_| keyed)
    }
}
