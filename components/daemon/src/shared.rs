//! State that the control thread writes and request threads read.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, PoisonError, RwLock};

use arc_swap::{ArcSwap, ArcSwapOption};
use lists::document::Lists;
use orders::ticket::TicketKey;
use ownership::table::RouteTable;
use peers::auth::PeerToken;
use routing::machine_stats::MachineStats;
use routing::retry::RetryBudget;
use timer::{BootClock, Clock};
use tokio::sync::{Semaphore, mpsc, watch};
use world::instant::BootInstant;
use world::machine::{BackEnd, Machine};
use world::name::MachineName;

use crate::allowance::TokenCaches;
use crate::back_end::BackEndClient;
use crate::control::Event;
use crate::gate::GateTable;
use crate::handover::Handovers;
use crate::lease::SharedLease;
use crate::link_filter::LinkFilter;
use crate::metrics::Counters;
use crate::pool::PeerPool;
use crate::settings::Settings;

/// The lists document in force.
#[derive(Debug)]
pub struct ActiveLists {
    /// Version of the stored object.
    pub version: u64,
    /// The document as stored.
    pub text: String,
    /// The parsed and validated document.
    pub lists: Lists,
}

/// The back end on this daemon's machine, as long as it announces itself.
#[derive(Debug)]
pub struct LocalBackEnd {
    /// Its latest announcement.
    pub info: BackEnd,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// One permit for each slot.
    pub slots: Arc<Semaphore>,
    /// Requests that wait for a slot.
    pub waiting: Arc<AtomicU32>,
}

/// Everything that request threads need.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// This machine as it is announced to the coordinator.
    pub machine: ArcSwap<Machine>,
    /// Owners and machines, as last received from the coordinator.
    pub routes: ArcSwap<RouteTable>,
    /// Version of `routes`; request threads watch it to wait for a change.
    pub route_version: watch::Sender<u64>,
    /// The lists in force; `None` before the first heartbeat.
    pub lists: ArcSwapOption<ActiveLists>,
    /// Gates of the shards that this daemon owns.
    pub gates: ArcSwap<GateTable>,
    /// The lease of this member.
    pub lease: SharedLease,
    /// The local back end; `None` while it does not announce itself.
    pub back_end: ArcSwapOption<LocalBackEnd>,
    /// Client of the local back end.
    pub back_end_client: BackEndClient,
    /// Links to other daemons that an experiment has cut.
    pub link_filter: LinkFilter,
    /// Connections for requests; the control thread has its own.
    pub pool: PeerPool,
    /// Retry budget.
    pub budget: RetryBudget,
    /// Key that tickets are signed with.
    pub ticket_key: TicketKey,
    /// Tokens borrowed from allowance owners.
    pub token_caches: TokenCaches,
    /// Orders of released tenures, kept for their next owners.
    pub handovers: Handovers,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Events for the control thread.
    pub events: mpsc::Sender<Event>,
    machine_stats: RwLock<HashMap<MachineName, Arc<MachineStats>>>,
}

impl std::fmt::Debug for Settings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Settings")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Shared {
    /// Creates the state of a daemon that has just started.
    #[must_use]
    pub fn new(settings: Settings, machine: Machine, events: mpsc::Sender<Event>) -> Self {
        let token = PeerToken::from_secret(&settings.secret);
        let link_filter = LinkFilter::default();
        let ticket_key = TicketKey::from_secret(&settings.secret);
        Self {
            settings,
            machine: ArcSwap::from_pointee(machine),
            routes: ArcSwap::default(),
            route_version: watch::Sender::new(0),
            lists: ArcSwapOption::empty(),
            gates: ArcSwap::default(),
            lease: SharedLease::default(),
            back_end: ArcSwapOption::empty(),
            back_end_client: BackEndClient::new(),
            link_filter: link_filter.clone(),
            pool: PeerPool::new(token, link_filter),
            budget: RetryBudget::default(),
            ticket_key,
            token_caches: TokenCaches::default(),
            handovers: Handovers::default(),
            counters: Arc::default(),
            events,
            machine_stats: RwLock::default(),
        }
    }

    /// Returns the current instant of the boot clock, by which leases are counted.
    #[must_use]
    pub fn now(&self) -> BootInstant {
        BootClock.now()
    }

    /// Returns the request statistics of a machine, creating them on first use.
    #[must_use]
    pub fn machine_stats(&self, name: &MachineName) -> Arc<MachineStats> {
        let by_machine = self
            .machine_stats
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(stats) = by_machine.get(name) {
            return Arc::clone(stats);
        }
        drop(by_machine);
        let mut by_machine = self
            .machine_stats
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(by_machine.entry(name.clone()).or_default())
    }
}
