//! State that the control thread writes and request threads read.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, PoisonError, RwLock};

use arc_swap::{ArcSwap, ArcSwapOption};
use lists::document::Lists;
use orders::ticket::TicketKey;
use ownership::table::RouteTable;
use peers::secret::PeerToken;
use routing::machine_stats::MachineStats;
use routing::retry::RetryBudget;
use timer::{BootClock, Clock};
use tokio::sync::{Semaphore, mpsc, watch};
use world::instant::BootInstant;
use world::machine::{BackEnd, Machine};
use world::name::MachineName;

use crate::allowance::Purses;
use crate::back_end::BackEndClient;
use crate::control::Event;
use crate::gate::GateTable;
use crate::handover::Handovers;
use crate::lease::LeaseCell;
use crate::metrics::Counters;
use crate::pool::PeerPool;
use crate::reach::Reach;
use crate::settings::Settings;

/// The lists that a daemon has in force.
#[derive(Debug)]
pub struct ListsInForce {
    /// Version of the object in the store.
    pub version: u64,
    /// The document as stored.
    pub text: String,
    /// The document, checked.
    pub lists: Lists,
}

/// The back end beside the daemon, while it announces itself.
#[derive(Debug)]
pub struct LocalBackEnd {
    /// What it announced.
    pub info: BackEnd,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// One permit a slot.
    pub slots: Arc<Semaphore>,
    /// Requests that wait for a slot.
    pub waiting: Arc<AtomicU32>,
}

/// Everything that request threads need.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// This machine as it describes itself.
    pub machine: ArcSwap<Machine>,
    /// Owners and machines as last told by the coordinator.
    pub routes: ArcSwap<RouteTable>,
    /// Announces new versions of `routes`.
    pub route_news: watch::Sender<u64>,
    /// The lists in force; none before the first heartbeat.
    pub lists: ArcSwapOption<ListsInForce>,
    /// Gates of the shards held.
    pub gates: ArcSwap<GateTable>,
    /// The member lease.
    pub lease: LeaseCell,
    /// The back end beside the daemon.
    pub back_end: ArcSwapOption<LocalBackEnd>,
    /// Client of that back end.
    pub back_end_client: BackEndClient,
    /// Daemons that can be reached.
    pub reach: Reach,
    /// Connections for requests.
    pub pool: PeerPool,
    /// Budget of retries.
    pub budget: RetryBudget,
    /// Key that tickets are signed with.
    pub ticket_key: TicketKey,
    /// Borrowed allowances.
    pub purses: Purses,
    /// Orders of released tenures.
    pub handovers: Handovers,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Events for the control thread.
    pub events: mpsc::Sender<Event>,
    observed: RwLock<HashMap<MachineName, Arc<MachineStats>>>,
}

impl std::fmt::Debug for Settings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Settings")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Shared {
    /// State of a daemon that has just started.
    #[must_use]
    pub fn new(settings: Settings, machine: Machine, events: mpsc::Sender<Event>) -> Self {
        let token = PeerToken::from_secret(&settings.secret);
        let reach = Reach::default();
        let ticket_key = TicketKey::from_secret(&settings.secret);
        Self {
            settings,
            machine: ArcSwap::from_pointee(machine),
            routes: ArcSwap::default(),
            route_news: watch::Sender::new(0),
            lists: ArcSwapOption::empty(),
            gates: ArcSwap::default(),
            lease: LeaseCell::default(),
            back_end: ArcSwapOption::empty(),
            back_end_client: BackEndClient::new(),
            reach: reach.clone(),
            pool: PeerPool::new(token, reach),
            budget: RetryBudget::default(),
            ticket_key,
            purses: Purses::default(),
            handovers: Handovers::default(),
            counters: Arc::default(),
            events,
            observed: RwLock::default(),
        }
    }

    /// The current instant of the lease clock.
    #[must_use]
    pub fn now(&self) -> BootInstant {
        BootClock.now()
    }

    /// What was observed of a machine.
    #[must_use]
    pub fn observed(&self, name: &MachineName) -> Arc<MachineStats> {
        let known = self.observed.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(observed) = known.get(name) {
            return Arc::clone(observed);
        }
        drop(known);
        let mut known = self
            .observed
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(known.entry(name.clone()).or_default())
    }
}
