//! Runs the store operations that the shard manager asks for: lease renewals, changes of the
//! assignment and fencing of other machines' leases. At most one operation of each kind is in
//! flight.
//!
//! The same loop samples the load, checks the local back end and cleans up old responses to peers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use platform::store::{ASSIGNMENTS, LEASES};
use rand::Rng;
use shards::assignment::Assignment;
use shards::lease::Lease;
use shards::manager::{KeyClaim, PeerState, StoreOp, StoreOutcome, Versioned};
use shards::revision::{Revision, StoreEra};
use timer::{BootClock, Clock, Ticks};
use world::instant::BootInstant;
use world::name::MachineName;

use crate::back_end_proxy::{Availability, HEARTBEAT_TIMEOUT};
use crate::cold_limit;
use crate::node::{BACK_END_START_TIMEOUT, Node, UTILIZATION_STEPS};
use crate::relay::StoreClient;

/// Pause after an operation that the store refused or whose outcome is unknown.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after a write that conflicted with another machine's: a few round trips to the store.
const MAX_CONFLICT_PAUSE: Duration = Duration::from_millis(150);
/// Time between two updates of load and failure rates.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Factor applied to the failure rate of a peer at each update.
const FAILURE_DECAY: f64 = 0.97;
/// Factor applied to the request counts by key at each update.
const LOAD_DECAY: f32 = 0.85;

/// Limits operations of one kind to one in flight, with a pause after a failure.
#[derive(Default)]
struct OpSlot {
    in_flight: Cell<bool>,
    not_before: Cell<BootInstant>,
}

impl OpSlot {
    fn is_free(&self, now: BootInstant) -> bool {
        !self.in_flight.get() && now >= self.not_before.get()
    }

    fn start(&self) {
        self.in_flight.set(true);
    }

    fn finish(&self, failed: bool) {
        self.in_flight.set(false);
        if failed {
            self.not_before.set(BootClock.now() + RETRY_PAUSE);
        }
    }

    /// Ends an operation that another machine's write has overtaken, with a random pause: that
    /// machine or the next one may write what this one needs.
    fn finish_overtaken(&self) {
        self.in_flight.set(false);
        let jitter = rand::rng().random_range(0.0..1.0);
        let pause = MAX_CONFLICT_PAUSE.mul_f64(jitter);
        self.not_before.set(BootClock.now() + pause);
    }
}

struct Driver {
    node: Rc<Node>,
    store: Rc<StoreClient>,
    lease: OpSlot,
    assignment: OpSlot,
    fence: OpSlot,
    /// The claim that the peers have received last.
    claim: RefCell<Option<KeyClaim>>,
}

/// Drives the shard manager at each tick and whenever [`Node::keys_changed`] is notified, until the
/// ticks end.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>, mut ticks: Ticks) {
    let driver = Rc::new(Driver {
        node: Rc::clone(&node),
        store,
        lease: OpSlot::default(),
        assignment: OpSlot::default(),
        fence: OpSlot::default(),
        claim: RefCell::default(),
    });
    let mut last_update = BootClock.now();
    loop {
        let ticked = tokio::select! {
            tick = ticks.recv() => match tick {
                Some(_) => true,
                None => return,
            },
            () = node.keys_changed.notified() => false,
        };
        let now = BootClock.now();
        if ticked {
            node.proxy.sample_utilization(now);
        }
        if now.since(last_update) >= LOAD_INTERVAL {
            last_update = now;
            for peer in node.peers() {
                peer.failure_rate().decay(FAILURE_DECAY);
            }
            driver.update_load(now);
            driver.probe_silent_back_end(now);
        }
        node.evict_lapsed_evacuations();
        driver.check_responsiveness(now);
        node.proxy.start_queued();
        node.peer_requests.borrow_mut().evict_expired(now);
        node.suspects.evict_expired(now);
        if node.is_keyed() {
            driver.start_ops(now);
            driver.send_claim(now);
        }
    }
}

impl Driver {
    /// Announces the load and starts to move keys to less loaded machines if needed.
    fn update_load(&self, now: BootInstant) {
        self.node.announce();
        if !self.node.is_keyed() {
            return;
        }
        let mut manager = self.node.shard_manager.borrow_mut();
        manager.decay_load(LOAD_DECAY);
        if self.node.is_stopping() {
            return;
        }
        let utilization = self.node.proxy.utilization();
        let recipients = manager.rebalance(now, utilization);
        if recipients > 0 {
            log::info!(event = "keys-moving", takers = recipients, busy = utilization; "");
        }
    }

    /// Probes the address of a back end that holds keys and has sent no heartbeat for a while or since the
    /// start of this process: a refused connection shows that it has exited. No request would show that
    /// once its grants have run out, as this machine then rejects all.
    fn probe_silent_back_end(&self, now: BootInstant) {
        if !self.node.is_keyed() {
            return;
        }
        let is_missing = self.node.shard_manager.borrow().is_back_end_missing();
        let is_starting = now.since(self.node.started) <= BACK_END_START_TIMEOUT;
        let is_suspect = (is_missing && !is_starting) || self.is_silent(now);
        // An open connection shows that it runs.
        if is_suspect && self.node.proxy.connections.evict_closed(now) == 0 {
            tokio::task::spawn_local(probe_back_end(Rc::clone(&self.node)));
        }
    }

    /// Stops sending requests to a back end that has requests in flight and has sent neither a
    /// heartbeat nor a response for a while.
    fn check_responsiveness(&self, now: BootInstant) {
        if self.is_silent(now) && !self.node.proxy.is_idle() {
            self.node.set_availability(Availability::Down);
            self.node.shard_manager.borrow_mut().set_unresponsive(true);
        }
    }

    /// Whether the back end is in use and has sent neither a heartbeat nor a response for a while.
    fn is_silent(&self, now: BootInstant) -> bool {
        let back_end = self.node.proxy.back_end.borrow();
        back_end.as_ref().is_some_and(|b| {
            b.state == Availability::Ready && now.since(b.last_contact) > HEARTBEAT_TIMEOUT
        })
    }

    /// Passes the state of the peers of the same service to the shard manager.
    fn update_peers(&self) {
        let service = self.node.service();
        let has_cold_limit = cold_limit::is_configured(&self.node);
        let is_cold = cold_limit::is_cold(&self.node, BootClock.now());
        let mut manager = self.node.shard_manager.borrow_mut();
        manager.set_cold(has_cold_limit && is_cold);
        manager.set_evacuated(self.node.evacuated_machines());
        for peer in self.node.peers() {
            let Some(status) = peer.status() else {
                continue;
            };
            if status.service != service {
                continue;
            }
            let back_end = status.back_end.filter(|_| !status.leaving);
            manager.set_peer(
                peer.machine.clone(),
                PeerState {
                    connected: peer.is_connected(),
                    link_changed_at: peer.link_changed_at(),
                    cold: has_cold_limit && back_end.as_ref().is_some_and(|b| b.cold),
                    incarnation: back_end.map(|b| b.incarnation),
                    lease: status
                        .lease
                        .map(|(revision, value)| Versioned { revision, value }),
                    lease_received_at: peer.lease_received_at(),
                    utilization: f64::from(status.utilization_eighths) / UTILIZATION_STEPS,
                },
            );
        }
    }

    /// Tells the peers of the service which keys this machine claims in a new era of the store.
    fn send_claim(&self, now: BootInstant) {
        let manager = self.node.shard_manager.borrow();
        let claim = manager.key_claim(now);
        if *self.claim.borrow() == claim {
            return;
        }
        if let Some(claim) = &claim {
            log::info!(event = "keys-claimed", era:% = manager.era(), keys = manager.carried_keys(), spans = claim.spans.len(); "");
            self.node.broadcast_claim(manager.era(), claim);
        }
        drop(manager);
        *self.claim.borrow_mut() = claim;
    }

    /// Starts the operations that the shard manager wants next and whose slot is free.
    fn start_ops(self: &Rc<Self>, now: BootInstant) {
        self.update_peers();
        self.node.shard_manager.borrow_mut().on_tick(now);
        let mut manager = self.node.shard_manager.borrow_mut();
        let era = manager.era();
        let lease = manager.lease_op(now).filter(|_| self.lease.is_free(now));
        let assignment = manager
            .assignment_op(now)
            .filter(|_| self.assignment.is_free(now));
        let fence = manager.fence_op(now).filter(|_| self.fence.is_free(now));
        if let Some(op) = &assignment {
            manager.on_assignment_sent(now, op);
        }
        drop(manager);
        if let Some(op) = lease {
            self.lease.start();
            tokio::task::spawn_local(Rc::clone(self).run_lease_op(era, op));
        }
        if let Some(op) = assignment {
            self.assignment.start();
            tokio::task::spawn_local(Rc::clone(self).run_assignment_op(era, op));
        }
        if let Some((machine, op)) = fence {
            self.fence.start();
            tokio::task::spawn_local(Rc::clone(self).run_fence_op(era, machine, op));
        }
    }

    /// Whether the store is still in that era, as far as this process knows.
    fn is_current(&self, era: StoreEra) -> bool {
        self.node.shard_manager.borrow().era() == era
    }

    async fn run_lease_op(self: Rc<Self>, era: StoreEra, first: StoreOp<Lease>) {
        let name = self.node.settings.machine.clone();
        let mut next = Some(first);
        let mut failed = false;
        while let Some(op) = next {
            let sent = BootClock.now();
            let outcome = self.store.execute_in(era, LEASES, name.as_str(), &op).await;
            failed = is_failure(&outcome);
            if failed {
                log::warn!(event = "lease-not-renewed", outcome:? = outcome; "");
            }
            next = self
                .node
                .shard_manager
                .borrow_mut()
                .on_lease_outcome(sent, era, &op, outcome);
        }
        self.lease.finish(failed && self.is_current(era));
        self.node.announce();
        self.node.keys_changed.notify_one();
    }

    async fn run_assignment_op(self: Rc<Self>, era: StoreEra, op: StoreOp<Assignment>) {
        let service = self.node.service();
        let outcome = self
            .store
            .execute_in(era, ASSIGNMENTS, service.as_str(), &op)
            .await;
        let failed = is_failure(&outcome);
        log::info!(event = "assignment-call", call = op_name(&op), outcome = outcome_name(&outcome); "");
        let wrote = !matches!(op, StoreOp::Read) && matches!(outcome, StoreOutcome::Done(_));
        let overtaken = matches!(outcome, StoreOutcome::Conflict(_));
        let stored = match &outcome {
            StoreOutcome::Done(stored) | StoreOutcome::Conflict(Some(stored)) => {
                Some(stored.clone())
            }
            _ => None,
        };
        let before = self.node.assignment(&service);
        self.node
            .shard_manager
            .borrow_mut()
            .on_assignment_outcome(era, &op, outcome);
        if let Some(stored) = stored
            && self.node.on_assignment(&service, stored)
            && wrote
        {
            let base = before.filter(|b| replaces_revision(&op, b.revision));
            self.node.publish_change(&service, base.as_deref());
        }
        if overtaken {
            self.assignment.finish_overtaken();
        } else {
            self.assignment.finish(failed && self.is_current(era));
        }
        self.node.keys_changed.notify_one();
    }

    async fn run_fence_op(self: Rc<Self>, era: StoreEra, machine: MachineName, op: StoreOp<Lease>) {
        let outcome = self
            .store
            .execute_in(era, LEASES, machine.as_str(), &op)
            .await;
        let failed = is_failure(&outcome);
        log::info!(event = "fence", machine = machine.as_str(), call = op_name(&op), outcome = outcome_name(&outcome); "");
        let now = BootClock.now();
        self.node
            .shard_manager
            .borrow_mut()
            .on_fence_outcome(now, era, &machine, &op, outcome);
        self.fence.finish(failed && self.is_current(era));
        self.node.keys_changed.notify_one();
    }
}

/// Probes the back end; a refused connection says nothing of one that has given a sign of life since.
async fn probe_back_end(node: Rc<Node>) {
    let sign_of_life = || {
        let back_end = node.proxy.back_end.borrow();
        back_end
            .as_ref()
            .map(|b| (b.incarnation.clone(), b.last_contact))
    };
    let before = sign_of_life();
    if let Err(error) = node.proxy.connections.probe().await
        && sign_of_life() == before
    {
        node.on_exchange_error(error);
    }
}

fn op_name<T>(op: &StoreOp<T>) -> &'static str {
    match op {
        StoreOp::Read => "read",
        StoreOp::Create(_) => "create",
        StoreOp::Replace(_) => "replace",
    }
}

fn outcome_name<T>(outcome: &StoreOutcome<T>) -> &'static str {
    match outcome {
        StoreOutcome::Done(_) => "done",
        StoreOutcome::Conflict(_) => "conflict",
        StoreOutcome::Absent => "absent",
        StoreOutcome::Unreadable(_) => "unreadable",
        StoreOutcome::Unknown => "unknown",
        StoreOutcome::Refused => "refused",
    }
}

/// Returns whether the store has not answered the operation.
fn is_failure<T>(outcome: &StoreOutcome<T>) -> bool {
    matches!(
        outcome,
        StoreOutcome::Unreadable(_) | StoreOutcome::Unknown | StoreOutcome::Refused
    )
}

/// Returns whether the operation replaces the object at that revision.
fn replaces_revision<T>(op: &StoreOp<T>, revision: Revision) -> bool {
    matches!(op, StoreOp::Replace(stored) if stored.revision == revision)
}
