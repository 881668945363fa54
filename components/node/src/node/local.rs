//! The process itself, its shutdown, its back end and what it announces.

use shards::revision::StoreEra;
use timer::{BootClock, Clock};
use world::instant::BootInstant;
use world::name::ServiceName;

use super::{BACK_END_START_TIMEOUT, Node};
use crate::back_end::ExchangeError;
use crate::back_end_proxy::{Availability, HEARTBEAT_TIMEOUT, LocalBackEnd};
use crate::cold_limit;
use crate::crash_watch::{self, ExitProof};
use crate::departures::Departure;
use crate::frame::{BackEndStatus, Features, Frame, NodeStatus};

/// Steps into which the announced utilization is rounded, so that small changes are not announced.
pub(crate) const UTILIZATION_STEPS: f64 = 8.0;

/// The frames that tell peers of a changed status.
struct Announcement {
    hello: Frame,
    /// The change alone; `None` if it takes a whole `Hello`.
    update: Option<Frame>,
}

impl Announcement {
    fn new(previous: Option<&NodeStatus>, status: &NodeStatus) -> Self {
        let update = previous.and_then(|p| status.update_since(p));
        Self {
            hello: Frame::Hello(Box::new(status.clone())),
            update: update.map(Frame::StatusUpdate),
        }
    }

    fn for_features(&self, features: Features) -> &Frame {
        let update = self.update.as_ref().filter(|_| features.status_updates);
        update.unwrap_or(&self.hello)
    }
}

impl Node {
    /// Returns the service of the local back end; the one in the settings before its first
    /// heartbeat.
    #[must_use]
    pub fn service(&self) -> ServiceName {
        let back_end = self.proxy.back_end.borrow();
        back_end
            .as_ref()
            .map_or_else(|| self.configured_service(), |b| b.service.clone())
    }

    /// Returns the service of the local back end as the settings file names it now.
    #[must_use]
    pub fn configured_service(&self) -> ServiceName {
        self.configured_service.borrow().clone()
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
            service: self.service(),
            address: self.settings.advertised_address,
            incarnation: self.incarnation,
            version: self.announced_version.get(),
            back_end: ready.map(|b| BackEndStatus {
                incarnation: b.incarnation.clone(),
                slots: b.slots,
                cold: cold_limit::is_cold(self, now),
            }),
            lease: self
                .shard_manager
                .borrow()
                .lease()
                .map(|l| (l.revision, l.value)),
            catalog_version: self.configuration_version(),
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
        let full = Announcement::new(previous, &status);
        let reduced_previous = previous.map(NodeStatus::for_other_services);
        let reduced = Announcement::new(reduced_previous.as_ref(), &status.for_other_services());
        for peer in self.peers.borrow().values() {
            if peer.with_status(|s| s.service == service) == Some(true) {
                peer.send(full.for_features(peer.features()));
            } else if !reduced_unchanged {
                peer.send(reduced.for_features(peer.features()));
            }
        }
    }

    /// Returns the status announced last; the current one if none has been announced.
    #[must_use]
    pub fn last_announced(&self) -> NodeStatus {
        let last = self.last_announced.borrow().clone();
        last.unwrap_or_else(|| self.status())
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
            self.proxy.connections.on_exit();
        }
        self.proxy.crash_watch.on_heartbeat(&back_end.incarnation);
        self.proxy.set_back_end(back_end);
        cold_limit::apply(self);
        if before != after {
            self.proxy.set_availability(state);
            self.announce();
            self.keys_changed.notify_one();
        }
    }

    /// Returns whether the local back end's current incarnation runs beyond doubt, so that no other one
    /// can have taken its address: a connection to it is open, and it has given a sign of life or may
    /// still hold keys.
    pub(crate) fn is_back_end_running(&self, now: BootInstant) -> bool {
        let back_end = self.proxy.back_end.borrow();
        let Some(back_end) = back_end.as_ref() else {
            return false;
        };
        let is_heard = now.since(back_end.last_contact) <= HEARTBEAT_TIMEOUT;
        let may_hold_keys =
            self.is_keyed() && !self.shard_manager.borrow().have_grants_expired(now);
        (is_heard || may_hold_keys) && self.proxy.connections.has_used(now)
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

    /// Returns whether the local back end has said that it leaves.
    #[must_use]
    pub(crate) fn is_back_end_leaving(&self) -> bool {
        let incarnation = self.proxy.incarnation();
        incarnation.is_some_and(|i| self.departures.contain(&i))
    }

    /// Records that back ends leave, and tells the peers. If the local one is among them, it is taken out
    /// of use and its keys move.
    pub(crate) fn on_departure(&self, departure: Departure) {
        if self
            .departures
            .insert(departure, self.proxy.incarnation().as_ref())
        {
            for peer in self.peers() {
                peer.send_departures(&self.settings.machine, &self.departures.known());
            }
        }
        self.apply_departures();
    }

    /// Records which departures the store has.
    pub(crate) fn on_departures_stored(&self, era: StoreEra, departures: Vec<Departure>) {
        self.departures.on_stored(era, departures);
        self.apply_departures();
    }

    /// Records departures of which an earlier run of this process has told a peer.
    pub(super) fn on_departures_returned(&self, departures: Vec<Departure>) {
        let current = self.proxy.incarnation();
        for departure in departures {
            self.departures.insert(departure, current.as_ref());
        }
        self.apply_departures();
    }

    /// Takes the back end out of use if it has said that it leaves, also to an earlier run of this process.
    fn apply_departures(&self) {
        if let Some(incarnation) = self.proxy.incarnation()
            && self.departures.contain(&incarnation)
        {
            self.shard_manager
                .borrow_mut()
                .on_deregistered(&incarnation.id);
            self.set_availability(Availability::Leaving);
        }
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
        let incarnation = self.proxy.incarnation();
        self.set_availability(Availability::Down);
        if let Some(incarnation) = &incarnation {
            crash_watch::on_exit(self, incarnation, ExitProof::Refused);
        }
        if incarnation.is_some() || now.since(self.started) > BACK_END_START_TIMEOUT {
            self.shard_manager.borrow_mut().on_back_end_exit(now);
            self.keys_changed.notify_one();
        }
    }
}
