//! Member role: sends heartbeats, applies grants to gates and tracks the back end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use ownership::heartbeat::{CoordinatorRef, Reply, Request, ShardLoad};
use ownership::member::Changes;
use ownership::succession::Action;
use peers::convert;
use peers::wire::HeartbeatReply;
use store::client::Store;
use tokio::sync::Semaphore;
use world::instant::BootInstant;
use world::machine::{BackEnd, Machine};

use crate::control::{Control, Event, RecordRead};
use crate::gate::Gate;
use crate::lease::Lease;
use crate::shared::LocalBackEnd;

/// Time without an announcement after which a back end counts as gone.
const BACK_END_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two reads of the cell's record while the coordinator is suspected.
const READ_PERIOD: Duration = Duration::from_millis(100);

/// Longest wait for the reply to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);

impl<S: Store> Control<S> {
    /// Publishes the end of the member lease once it has lapsed.
    pub(super) fn expire_lease(&mut self, now: BootInstant) {
        if self.member.expire_lease(now) {
            self.shared.counters.lapses.add();
            log::warn!(event = "lease_lapsed", held = self.member.holding_count(); "");
            self.publish_lease();
        }
    }

    /// Publishes the member lease to request threads and, when extended, to the back end.
    fn publish_lease(&mut self) {
        let ended = self.member.session() != self.published_session;
        self.published_session = self.member.session();
        let before = self.shared.lease.load();
        let lease = self.shared.lease.store(self.member.lease_until(), ended);
        if lease.until > before.until {
            self.extend_back_end_lease(lease);
        }
    }

    fn extend_back_end_lease(&self, lease: Lease) {
        let Some(back_end) = self.shared.back_end.load_full() else {
            return;
        };
        if !back_end.info.contract.keyed {
            return;
        }
        let client = self.shared.back_end_client.clone();
        tokio::spawn(async move { client.extend_lease(back_end.address, lease).await });
    }

    /// Sends a heartbeat when one is due and none is in flight.
    pub(super) fn send_due_heartbeat(&mut self, now: BootInstant) {
        let in_flight = self
            .heartbeat_sent
            .is_some_and(|sent| now.since(sent) < HEARTBEAT_TIMEOUT * 2);
        if now < self.next_heartbeat || in_flight {
            return;
        }
        let Some(coordinator) = self.member.coordinator().cloned() else {
            return;
        };
        self.next_heartbeat = now + self.shared.settings.timing.heartbeat;
        self.shared.counters.heartbeats.add();
        let request = self.heartbeat_request();
        let released_count = request.released.len();
        if coordinator.name == self.shared.settings.name {
            let reply = self.on_heartbeat(now, &request);
            self.on_heartbeat_done(now, now, released_count, Ok(reply));
            return;
        }
        self.heartbeat_sent = Some(now);
        self.send_heartbeat(now, released_count, coordinator.address, &request);
    }

    fn send_heartbeat(
        &mut self,
        sent: BootInstant,
        released_count: usize,
        address: SocketAddr,
        request: &Request,
    ) {
        let mut message = convert::heartbeat_request_to_wire(request);
        message.lists = self.take_requested_lists();
        let pool = Arc::clone(&self.pool);
        let events = self.events.clone();
        tokio::spawn(async move {
            let call = async {
                let mut client = pool.control(address).await.map_err(|e| e.to_string())?;
                let reply = client.heartbeat(message).await.map_err(|e| e.to_string())?;
                Ok(reply.into_inner())
            };
            let outcome = tokio::time::timeout(HEARTBEAT_TIMEOUT, call).await;
            let result = outcome.unwrap_or_else(|_| Err("timeout".to_owned()));
            if result.is_err() {
                pool.evict(address);
            }
            let _ = events
                .send(Event::HeartbeatDone {
                    sent,
                    released_count,
                    result,
                })
                .await;
        });
    }

    fn heartbeat_request(&self) -> Request {
        let lists_version = self.shared.lists.load().as_ref().map_or(0, |l| l.version);
        Request {
            cell: self.shared.settings.cell.clone(),
            term: self.member.term(),
            machine: Machine::clone(&self.shared.machine.load()),
            revision: self.member.revision(),
            route_version: self.shared.routes.load().version,
            lists_version,
            former_holdings: self.member.holdings_to_report(),
            released: self.member.released(),
            loads: self.take_loads(),
        }
    }

    /// Returns the requests of each shard since the last call and resets the counts.
    fn take_loads(&self) -> Vec<ShardLoad> {
        let gates = self.shared.gates.load();
        let loads = gates.iter().map(|gate| ShardLoad {
            id: gate.holding().id.clone(),
            requests: gate.take_request_count(),
        });
        loads.filter(|load| load.requests > 0).collect()
    }

    pub(super) fn on_heartbeat_done(
        &mut self,
        sent: BootInstant,
        now: BootInstant,
        released_count: usize,
        result: Result<HeartbeatReply, String>,
    ) {
        if self.heartbeat_sent == Some(sent) {
            self.heartbeat_sent = None;
        }
        let message = match result {
            Ok(message) => message,
            Err(reason) => return self.on_heartbeat_failed(&reason),
        };
        let reply = match convert::heartbeat_reply_from_wire(&message) {
            Ok(reply) => reply,
            Err(error) => return self.on_heartbeat_failed(&error.to_string()),
        };
        match reply {
            Reply::Refused(None) => {}
            Reply::Refused(Some(other)) => {
                if other.term > self.member.term() && self.member.adopt(other) {
                    self.next_heartbeat = now;
                }
            }
            Reply::Accepted(accepted) => {
                let unbroken = now < self.member.lease_until();
                let term = accepted.coordinator.term;
                let version = accepted.cell_version;
                self.succession.on_reply(term, version, sent, now);
                let changes = self
                    .member
                    .on_accepted(sent, now, released_count, &accepted);
                self.publish_lease();
                self.apply_changes(now, unbroken, &changes);
                if let Some(routes) = accepted.route {
                    self.set_routes(routes);
                }
                if let Some(document) = message.lists {
                    self.activate_lists(document);
                }
                if message.want_lists {
                    self.lists_requested = true;
                    self.next_heartbeat = now;
                }
            }
        }
    }

    fn on_heartbeat_failed(&self, reason: &str) {
        self.shared.counters.heartbeats_failed.add();
        log::debug!(event = "heartbeat_failed", reason = reason; "");
    }

    fn set_routes(&mut self, routes: Arc<ownership::table::RouteTable>) {
        if routes.version < self.shared.routes.load().version {
            return;
        }
        let version = routes.version;
        self.set_rank(&routes);
        self.shared.routes.store(routes);
        self.shared.route_version.send_replace(version);
    }

    /// Sets the rank in succession: the number of machines whose name sorts before this one's and
    /// that are neither leaving nor the coordinator.
    fn set_rank(&mut self, routes: &ownership::table::RouteTable) {
        let coordinator = self.member.coordinator().map(|c| &c.name);
        let own_name = &self.shared.settings.name;
        let earlier = routes
            .machines
            .iter()
            .filter(|m| Some(&m.name) != coordinator && m.name < *own_name && !m.leaving)
            .count();
        self.succession
            .set_rank(u32::try_from(earlier).unwrap_or(u32::MAX));
    }

    /// Closes and opens gates. `unbroken` is true when the lease ran without a gap until now.
    fn apply_changes(&mut self, now: BootInstant, unbroken: bool, changes: &Changes) {
        if changes.opened.is_empty() && changes.closed.is_empty() {
            return;
        }
        let mut gates = self.shared.gates.load().as_ref().clone();
        let mut closed = HashMap::new();
        for holding in &changes.closed {
            if self.cancel_pending(holding) {
                self.member.on_drained(holding);
            }
            if let Some(gate) = gates.remove(holding) {
                gate.close();
                closed.insert(holding.id.clone(), Arc::clone(&gate));
                self.draining.push(gate);
            }
        }
        for holding in &changes.opened {
            if let Some(gate) = closed.get(&holding.id) {
                let gate = gate.successor(holding.clone(), now, unbroken);
                gates.insert(Arc::new(gate));
            }
        }
        self.shared.gates.store(Arc::new(gates));
        self.open_gates(now, changes, &closed);
        log::info!(
            event = "grants_changed",
            opened = changes.opened.len(),
            closed = changes.closed.len(),
            held = self.member.holding_count();
            ""
        );
    }

    /// Releases closed shards whose requests have all ended.
    pub(super) fn release_drained(&mut self, now: BootInstant) {
        if self.draining.is_empty() {
            return;
        }
        self.settle_abandoned(now);
        let (drained, draining) = self
            .draining
            .drain(..)
            .partition(|gate: &Arc<Gate>| gate.is_drained(now));
        self.draining = draining;
        let until = now + self.shared.settings.orders.lifetime;
        for gate in &drained {
            self.shared.handovers.keep(now, until, gate);
            self.member.on_drained(gate.holding());
        }
        if self.member.has_released() {
            self.next_heartbeat = self.next_heartbeat.min(now);
        }
    }

    /// Starts a new lease session to invalidate abandoned requests, so that they can't take effect
    /// later. A back end that does not check fences is waited for until it is replaced.
    fn settle_abandoned(&mut self, now: BootInstant) {
        let abandoned = |gate: &&Arc<Gate>| gate.has_abandoned() && gate.in_flight() == 0;
        if !self.draining.iter().any(|gate| abandoned(&gate)) {
            return;
        }
        let back_end = self.shared.back_end.load();
        let checks = back_end
            .as_ref()
            .is_none_or(|b| b.info.contract.checks_fences);
        if !checks {
            self.draining
                .iter()
                .filter(abandoned)
                .for_each(|gate| gate.set_abandoned_until_replaced());
            return;
        }
        let before = self.shared.lease.start_session();
        let until = before.until.max(now) + self.shared.settings.timing.margin;
        self.draining
            .iter()
            .filter(abandoned)
            .for_each(|gate| gate.set_abandoned_end(until));
    }

    /// Records the announced back end. Slots and queue are kept unless the instance or the number
    /// of slots has changed.
    pub(super) fn on_announced(&mut self, now: BootInstant, info: BackEnd, address: SocketAddr) {
        self.last_announcement = now;
        let current = self.shared.back_end.load_full();
        if current
            .as_ref()
            .is_some_and(|c| c.info == info && c.address == address)
        {
            return;
        }
        let replaced = current
            .as_ref()
            .is_none_or(|c| c.info.instance != info.instance);
        if replaced {
            let gates = self.shared.gates.load();
            gates
                .iter()
                .chain(&self.draining)
                .for_each(|gate| gate.on_back_end_replaced());
        }
        let reusable = current.filter(|c| !replaced && c.info.slots == info.slots);
        let (slots, waiting) = match reusable {
            Some(current) => (Arc::clone(&current.slots), Arc::clone(&current.waiting)),
            None => (
                Arc::new(Semaphore::new(usize::try_from(info.slots).unwrap_or(1))),
                Arc::new(AtomicU32::new(0)),
            ),
        };
        log::info!(
            event = "back_end_announced",
            service = info.contract.service.as_str(),
            address = address.to_string().as_str(),
            draining = info.draining;
            ""
        );
        self.update_machine(now, |machine| machine.back_end = Some(info.clone()));
        let local = LocalBackEnd {
            info,
            address,
            slots,
            waiting,
        };
        self.shared.back_end.store(Some(Arc::new(local)));
    }

    /// Drops a back end that has stopped announcing itself.
    pub(super) fn expire_back_end(&mut self, now: BootInstant) {
        if now.since(self.last_announcement) > BACK_END_TIMEOUT {
            self.drop_back_end("silent");
        }
    }

    pub(super) fn drop_back_end(&mut self, reason: &str) {
        if self.shared.back_end.load().is_none() {
            return;
        }
        log::warn!(event = "back_end_gone", reason = reason; "");
        self.shared.back_end.store(None);
        self.update_machine(self.shared.now(), |machine| machine.back_end = None);
    }

    /// Changes this machine's description and sends it to the coordinator with a heartbeat at once.
    pub(super) fn update_machine(&mut self, now: BootInstant, change: impl FnOnce(&mut Machine)) {
        let mut machine = Machine::clone(&self.shared.machine.load());
        change(&mut machine);
        self.shared.machine.store(Arc::new(machine));
        self.next_heartbeat = now;
    }

    /// Adopts a coordinator with a later term, and sends a heartbeat at once to one that is already
    /// adopted.
    pub(super) fn on_adopt(&mut self, now: BootInstant, cell: &str, coordinator: CoordinatorRef) {
        if cell != self.shared.settings.cell.as_str() {
            return;
        }
        if self.member.coordinator() == Some(&coordinator) {
            self.next_heartbeat = now;
            return;
        }
        let newer = coordinator.term > self.member.term();
        if newer && self.member.adopt(coordinator) {
            self.step_down_if_superseded();
            self.succession.on_contact(now);
            self.force_heartbeat(now);
        }
    }

    /// Makes a heartbeat due now, even if one to an earlier coordinator is still in flight.
    pub(super) fn force_heartbeat(&mut self, now: BootInstant) {
        self.heartbeat_sent = None;
        self.next_heartbeat = now;
    }

    /// Reads the cell's record while the coordinator is suspected.
    pub(super) fn watch_coordinator(&mut self, now: BootInstant) {
        let inactive = self.role.is_some() || self.shutdown.is_some();
        if inactive || self.reading || self.writing || now < self.next_read {
            return;
        }
        if self.succession.next_action(now, false) == Action::Read {
            self.next_read = now + READ_PERIOD;
            self.read_record();
        }
    }

    /// Reads the cell's record in the background unless a read is in flight.
    pub(super) fn read_record(&mut self) {
        if self.reading {
            return;
        }
        self.reading = true;
        let store = self.store.clone();
        let name = self.record_name();
        let events = self.events.clone();
        tokio::spawn(async move {
            let result = store.get(&name).await;
            let _ = events.send(Event::RecordRead(RecordRead { result })).await;
        });
    }

    /// Name of the object that holds the cell's record.
    pub(super) fn record_name(&self) -> String {
        format!("cell.{}", self.shared.settings.cell)
    }
}
