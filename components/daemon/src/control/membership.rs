//! The member's part: heartbeats, grants, gates and the back end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use ownership::heartbeat::{CoordinatorRef, Reply, Request, ShardLoad};
use ownership::member::Changes;
use ownership::succession::Step;
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

/// Silence after which a back end counts as gone.
const BACK_END_SILENCE: Duration = Duration::from_secs(3);

/// Time between two reads of the cell's record while the coordinator is suspected.
const READ_PERIOD: Duration = Duration::from_millis(100);

/// Longest wait for the answer to a heartbeat.
const BEAT_TIMEOUT: Duration = Duration::from_millis(400);

impl<S: Store> Control<S> {
    pub(super) fn check_lapse(&mut self, now: BootInstant) {
        if self.member.check_lapse(now) {
            self.shared.counters.lapses.add();
            log::warn!(event = "lease_lapsed", held = self.member.held_count(); "");
            self.publish_lease();
        }
    }

    /// Tells request threads and the back end of the member's lease.
    fn publish_lease(&mut self) {
        let ended = self.member.session() != self.published_session;
        self.published_session = self.member.session();
        let before = self.shared.lease.load();
        let lease = self.shared.lease.store(self.member.lease_until(), ended);
        if lease.until > before.until {
            self.extend_back_end(lease);
        }
    }

    fn extend_back_end(&self, lease: Lease) {
        let Some(back_end) = self.shared.back_end.load_full() else {
            return;
        };
        if !back_end.info.contract.keyed {
            return;
        }
        let client = self.shared.back_end_client.clone();
        tokio::spawn(async move { client.extend_lease(back_end.address, lease).await });
    }

    /// Sends a heartbeat when one is due.
    pub(super) fn beat(&mut self, now: BootInstant) {
        let waiting = self
            .beat_sent
            .is_some_and(|sent| now.since(sent) < BEAT_TIMEOUT * 2);
        if now < self.next_beat || waiting {
            return;
        }
        let Some(coordinator) = self.member.coordinator().cloned() else {
            return;
        };
        self.next_beat = now + self.shared.settings.timing.heartbeat;
        self.shared.counters.heartbeats.add();
        let request = self.heartbeat_request();
        let reported = request.released.len();
        if coordinator.name == self.shared.settings.name {
            let reply = self.on_heartbeat(now, &request);
            self.on_heartbeat_done(now, now, reported, Ok(reply));
            return;
        }
        self.beat_sent = Some(now);
        self.send_heartbeat(now, reported, coordinator.address, &request);
    }

    fn send_heartbeat(
        &mut self,
        sent: BootInstant,
        reported: usize,
        address: SocketAddr,
        request: &Request,
    ) {
        let mut message = convert::heartbeat_request_to_wire(request);
        message.lists = self.wanted_lists();
        let pool = Arc::clone(&self.pool);
        let events = self.events.clone();
        tokio::spawn(async move {
            let call = async {
                let mut client = pool.control(address).await.map_err(|e| e.to_string())?;
                let reply = client.heartbeat(message).await.map_err(|e| e.to_string())?;
                Ok(reply.into_inner())
            };
            let timeout = tokio::time::timeout(BEAT_TIMEOUT, call).await;
            let result = timeout.unwrap_or_else(|_| Err("timeout".to_owned()));
            if result.is_err() {
                pool.evict(address);
            }
            let _ = events
                .send(Event::HeartbeatDone {
                    sent,
                    reported,
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
            held: self.member.report(),
            released: self.member.released(),
            loads: self.take_loads(),
        }
    }

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
        reported: usize,
        result: Result<HeartbeatReply, String>,
    ) {
        if self.beat_sent == Some(sent) {
            self.beat_sent = None;
        }
        let message = match result {
            Ok(message) => message,
            Err(reason) => return self.on_heartbeat_failed(&reason),
        };
        let reply = match convert::heartbeat_reply_from_wire(&message) {
            Ok(reply) => reply,
            Err(fault) => return self.on_heartbeat_failed(&fault.to_string()),
        };
        match reply {
            Reply::Refused(None) => {}
            Reply::Refused(Some(other)) => {
                if other.term > self.member.term() && self.member.adopt(other) {
                    self.next_beat = now;
                }
            }
            Reply::Accepted(accepted) => {
                let unbroken = now < self.member.lease_until();
                let term = accepted.coordinator.term;
                let version = accepted.cell_version;
                self.succession.on_reply(term, version, sent, now);
                let changes = self.member.on_accepted(sent, now, reported, &accepted);
                self.publish_lease();
                self.apply(now, unbroken, &changes);
                if let Some(routes) = accepted.route {
                    self.take_routes(routes);
                }
                if let Some(document) = message.lists {
                    self.take_lists(document);
                }
                if message.want_lists {
                    self.lists_wanted = true;
                    self.next_beat = now;
                }
            }
        }
    }

    fn on_heartbeat_failed(&self, reason: &str) {
        self.shared.counters.heartbeats_failed.add();
        log::debug!(event = "heartbeat_failed", reason = reason; "");
    }

    fn take_routes(&mut self, routes: Arc<ownership::table::RouteTable>) {
        if routes.version < self.shared.routes.load().version {
            return;
        }
        let version = routes.version;
        self.set_rank(&routes);
        self.shared.routes.store(routes);
        self.shared.route_version.send_replace(version);
    }

    /// Ranks the members by name for succession, without the coordinator.
    fn set_rank(&mut self, routes: &ownership::table::RouteTable) {
        let coordinator = self.member.coordinator().map(|c| &c.name);
        let me = &self.shared.settings.name;
        let earlier = routes
            .machines
            .iter()
            .filter(|m| Some(&m.name) != coordinator && m.name < *me && !m.leaving)
            .count();
        self.succession
            .set_rank(u32::try_from(earlier).unwrap_or(u32::MAX));
    }

    /// Closes and opens gates. `unbroken` tells that the lease ran without a gap until now.
    fn apply(&mut self, now: BootInstant, unbroken: bool, changes: &Changes) {
        if changes.opened.is_empty() && changes.closed.is_empty() {
            return;
        }
        let mut gates = self.shared.gates.load().as_ref().clone();
        let mut closed = HashMap::new();
        for holding in &changes.closed {
            if self.withdraw(holding) {
                self.member.on_drained(holding);
            }
            if let Some(gate) = gates.remove(holding) {
                gate.close();
                closed.insert(holding.id.clone(), Arc::clone(&gate));
                self.closing.push(gate);
            }
        }
        for holding in &changes.opened {
            if let Some(gate) = closed.get(&holding.id) {
                let gate = gate.successor(holding.clone(), now, unbroken);
                gates.insert(Arc::new(gate));
            }
        }
        self.shared.gates.store(Arc::new(gates));
        self.open(now, changes, &closed);
        log::info!(
            event = "grants_changed",
            opened = changes.opened.len(),
            closed = changes.closed.len(),
            held = self.member.held_count();
            ""
        );
    }

    /// Releases closed shards for which nothing can run any more.
    pub(super) fn release_drained(&mut self, now: BootInstant) {
        if self.closing.is_empty() {
            return;
        }
        self.settle_abandoned(now);
        let (drained, closing) = self
            .closing
            .drain(..)
            .partition(|gate: &Arc<Gate>| gate.is_drained(now));
        self.closing = closing;
        let until = now + self.shared.settings.orders.lifetime;
        for gate in &drained {
            self.shared.handovers.keep(now, until, gate);
            self.member.on_drained(gate.holding());
        }
        if self.member.has_released() {
            self.next_beat = self.next_beat.min(now);
        }
    }

    /// Ends the lease session of abandoned requests, so that they can't take effect later.
    fn settle_abandoned(&mut self, now: BootInstant) {
        let abandoned = |gate: &&Arc<Gate>| gate.has_abandoned() && gate.in_flight() == 0;
        if !self.closing.iter().any(|gate| abandoned(&gate)) {
            return;
        }
        let back_end = self.shared.back_end.load();
        let checks = back_end
            .as_ref()
            .is_none_or(|b| b.info.contract.checks_fences);
        if !checks {
            self.closing
                .iter()
                .filter(abandoned)
                .for_each(|gate| gate.set_abandoned_until_replaced());
            return;
        }
        let before = self.shared.lease.rotate();
        let until = before.until.max(now) + self.shared.settings.timing.margin;
        self.closing
            .iter()
            .filter(abandoned)
            .for_each(|gate| gate.set_abandoned_end(until));
    }

    pub(super) fn on_announced(&mut self, now: BootInstant, info: BackEnd, address: SocketAddr) {
        self.announced = now;
        let known = self.shared.back_end.load_full();
        if known
            .as_ref()
            .is_some_and(|k| k.info == info && k.address == address)
        {
            return;
        }
        let replaced = known
            .as_ref()
            .is_none_or(|k| k.info.instance != info.instance);
        if replaced {
            let gates = self.shared.gates.load();
            gates
                .iter()
                .chain(&self.closing)
                .for_each(|gate| gate.on_back_end_replaced());
        }
        let reusable = known.filter(|k| !replaced && k.info.slots == info.slots);
        let (slots, waiting) = match reusable {
            Some(known) => (Arc::clone(&known.slots), Arc::clone(&known.waiting)),
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

    pub(super) fn check_back_end(&mut self, now: BootInstant) {
        if now.since(self.announced) > BACK_END_SILENCE {
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

    /// Changes how this machine describes itself and tells the coordinator at once.
    pub(super) fn update_machine(&mut self, now: BootInstant, change: impl FnOnce(&mut Machine)) {
        let mut machine = Machine::clone(&self.shared.machine.load());
        change(&mut machine);
        self.shared.machine.store(Arc::new(machine));
        self.next_beat = now;
    }

    pub(super) fn on_adopt(&mut self, now: BootInstant, cell: &str, coordinator: CoordinatorRef) {
        if cell != self.shared.settings.cell.as_str() {
            return;
        }
        if self.member.coordinator() == Some(&coordinator) {
            self.next_beat = now;
            return;
        }
        let newer = coordinator.term > self.member.term();
        if newer && self.member.adopt(coordinator) {
            self.step_down_if_overtaken();
            self.succession.on_contact(now);
            self.beat_at_once(now);
        }
    }

    /// Sends the next heartbeat now, even if one to an earlier coordinator is still unanswered.
    pub(super) fn beat_at_once(&mut self, now: BootInstant) {
        self.beat_sent = None;
        self.next_beat = now;
    }

    /// Reads the cell's record while the coordinator is suspected.
    pub(super) fn watch_coordinator(&mut self, now: BootInstant) {
        let quiet = self.role.is_some() || self.stopping.is_some();
        if quiet || self.reading || self.writing || now < self.next_read {
            return;
        }
        if self.succession.step(now, false) == Step::Read {
            self.next_read = now + READ_PERIOD;
            self.read_record();
        }
    }

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

    pub(super) fn record_name(&self) -> String {
        format!("cell.{}", self.shared.settings.cell)
    }
}
