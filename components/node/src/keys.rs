//! Carries out what the shard manager decides: renewals, changes of the assignment and takeovers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use platform::store::{ASSIGNMENTS, LEASES};
use shards::assignment::Assignment;
use shards::lease::Lease;
use shards::manager::{PeerState, StoreOp, StoreOutcome, Versioned};
use timer::{BootClock, Clock, Ticks};
use world::instant::BootInstant;
use world::name::MachineName;

use crate::back_end_proxy::{Availability, HEARTBEAT_TIMEOUT};
use crate::node::{BUSY_STEPS, Node, START_GRACE};
use crate::relay::StoreClient;

/// Pause after a call that the store did not carry out.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time between two looks at the load.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Factor by which past failures of a peer shrink with each look.
const FAILURE_DECAY: f64 = 0.97;
/// Factor by which the counts of requests by key shrink with each look.
const LOAD_DECAY: f32 = 0.85;

/// Keeps at most one call of a kind under way, with a pause after failures.
#[derive(Default)]
struct Turn {
    busy: Cell<bool>,
    not_before: Cell<BootInstant>,
}

impl Turn {
    fn take(&self, now: BootInstant) -> bool {
        !self.busy.get() && now >= self.not_before.get()
    }

    fn start(&self) {
        self.busy.set(true);
    }

    fn end(&self, failed: bool) {
        self.busy.set(false);
        if failed {
            self.not_before.set(BootClock.now() + RETRY_PAUSE);
        }
    }
}

struct Driver {
    node: Rc<Node>,
    store: Rc<StoreClient>,
    lease: Turn,
    view: Turn,
    fence: Turn,
}

/// Looks after the keys of this machine until the process ends.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>, mut ticks: Ticks) {
    let driver = Rc::new(Driver {
        node: Rc::clone(&node),
        store,
        lease: Turn::default(),
        view: Turn::default(),
        fence: Turn::default(),
    });
    let mut looked = BootClock.now();
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
        if now.since(looked) >= LOAD_INTERVAL {
            looked = now;
            for peer in node.peers() {
                peer.failure_rate().decay(FAILURE_DECAY);
            }
            driver.look_at_load(now);
            driver.look_for_back_end(now);
        }
        driver.check_silence(now);
        node.proxy.start_queued();
        node.served.borrow_mut().evict_expired(now);
        if node.is_keyed() {
            driver.step(now);
        }
    }
}

impl Driver {
    fn look_at_load(&self, now: BootInstant) {
        self.node.announce();
        if !self.node.is_keyed() {
            return;
        }
        let mut manager = self.node.shard_manager.borrow_mut();
        manager.decay_load(LOAD_DECAY);
        if self.node.is_stopping() {
            return;
        }
        let busy = self.node.proxy.utilization();
        let takers = manager.rebalance(now, busy);
        if takers > 0 {
            log::info!(event = "keys-moving", takers, busy; "");
        }
    }

    /// A back end that held keys and has not shown up may be gone; a refused connection shows it.
    fn look_for_back_end(&self, now: BootInstant) {
        let missing =
            self.node.is_keyed() && self.node.shard_manager.borrow().is_back_end_missing();
        if missing && now.since(self.node.started) > START_GRACE {
            let node = Rc::clone(&self.node);
            tokio::task::spawn_local(async move {
                if let Err(fault) = node.proxy.connections.probe().await {
                    node.on_exchange_error(fault);
                }
            });
        }
    }

    /// A back end that owes answers and sends no heartbeats gets no more requests.
    fn check_silence(&self, now: BootInstant) {
        let silent = self.node.proxy.back_end.borrow().as_ref().is_some_and(|b| {
            b.state == Availability::Ready
                && now.since(b.last_contact) > HEARTBEAT_TIMEOUT
                && !self.node.proxy.is_idle()
        });
        if silent {
            self.node.set_condition(Availability::Down);
            self.node.shard_manager.borrow_mut().set_unresponsive(true);
        }
    }

    fn update_peers(&self) {
        let service = self.node.service();
        let mut manager = self.node.shard_manager.borrow_mut();
        for peer in self.node.peers() {
            let Some(m) = peer.status() else { continue };
            if m.service != service {
                continue;
            }
            let staying = m.back_end.filter(|_| !m.leaving);
            manager.set_peer(
                peer.machine.clone(),
                PeerState {
                    connected: peer.is_connected(),
                    since: peer.link_changed_at(),
                    incarnation: staying.map(|b| b.incarnation),
                    lease: m
                        .lease
                        .map(|(revision, value)| Versioned { revision, value }),
                    lease_seen: peer.lease_received_at(),
                    busy: f64::from(m.utilization_eighths) / BUSY_STEPS,
                },
            );
        }
    }

    fn step(self: &Rc<Self>, now: BootInstant) {
        self.update_peers();
        self.node.shard_manager.borrow_mut().on_tick(now);
        let manager = self.node.shard_manager.borrow();
        let lease = manager.lease_op(now).filter(|_| self.lease.take(now));
        let view = manager.assignment_op(now).filter(|_| self.view.take(now));
        let fence = manager.fence_op(now).filter(|_| self.fence.take(now));
        drop(manager);
        if let Some(call) = lease {
            self.lease.start();
            tokio::task::spawn_local(Rc::clone(self).do_lease(call));
        }
        if let Some(call) = view {
            self.view.start();
            tokio::task::spawn_local(Rc::clone(self).do_view(call));
        }
        if let Some((machine, call)) = fence {
            self.fence.start();
            tokio::task::spawn_local(Rc::clone(self).do_fence(machine, call));
        }
    }

    async fn do_lease(self: Rc<Self>, first: StoreOp<Lease>) {
        let name = self.node.settings.machine.clone();
        let mut next = Some(first);
        let mut failed = false;
        while let Some(call) = next {
            let sent = BootClock.now();
            let outcome = self.store.execute(LEASES, name.as_str(), &call).await;
            failed = !matches!(
                outcome,
                StoreOutcome::Done(_) | StoreOutcome::Conflict(_) | StoreOutcome::Absent
            );
            if failed {
                log::warn!(event = "lease-not-renewed", outcome:? = outcome; "");
            }
            next = self
                .node
                .shard_manager
                .borrow_mut()
                .on_lease_outcome(sent, &call, outcome);
        }
        self.lease.end(failed);
        self.node.announce();
        self.node.keys_changed.notify_one();
    }

    async fn do_view(self: Rc<Self>, call: StoreOp<Assignment>) {
        let service = self.node.service();
        let outcome = self
            .store
            .execute(ASSIGNMENTS, service.as_str(), &call)
            .await;
        let failed = !matches!(
            outcome,
            StoreOutcome::Done(_) | StoreOutcome::Conflict(_) | StoreOutcome::Absent
        );
        log::info!(event = "assignment-call", call = call_name(&call), outcome = outcome_name(&outcome); "");
        let wrote = !matches!(call, StoreOp::Read) && matches!(outcome, StoreOutcome::Done(_));
        let found = match &outcome {
            StoreOutcome::Done(stored) | StoreOutcome::Conflict(Some(stored)) => {
                Some(stored.clone())
            }
            _ => None,
        };
        let before = self.node.view(&service);
        self.node
            .shard_manager
            .borrow_mut()
            .on_assignment_outcome(&call, outcome);
        if let Some(stored) = found
            && self.node.on_assignment(&service, stored)
            && wrote
        {
            let base = before.filter(|b| is_base(&call, b.revision));
            self.node.publish_change(&service, base.as_deref());
        }
        self.view.end(failed);
        self.node.keys_changed.notify_one();
    }

    async fn do_fence(self: Rc<Self>, machine: MachineName, call: StoreOp<Lease>) {
        let outcome = self.store.execute(LEASES, machine.as_str(), &call).await;
        let failed = !matches!(
            outcome,
            StoreOutcome::Done(_) | StoreOutcome::Conflict(_) | StoreOutcome::Absent
        );
        log::info!(event = "fence", machine = machine.as_str(), call = call_name(&call), outcome = outcome_name(&outcome); "");
        let now = BootClock.now();
        self.node
            .shard_manager
            .borrow_mut()
            .on_fence_outcome(now, &machine, &call, outcome);
        self.fence.end(failed);
        self.node.keys_changed.notify_one();
    }
}

fn call_name<T>(call: &StoreOp<T>) -> &'static str {
    match call {
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
        StoreOutcome::Unknown => "unknown",
        StoreOutcome::Refused => "refused",
    }
}

/// Whether the call replaces the object of that revision.
fn is_base<T>(call: &StoreOp<T>, revision: u64) -> bool {
    matches!(call, StoreOp::Replace(stored) if stored.revision == revision)
}
