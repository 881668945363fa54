//! Carries out what the keeper decides: renewals, changes of the assignment and takeovers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use platform::store::{ASSIGNMENTS, LEASES};
use shards::assignment::Assignment;
use shards::keeper::{Call, Outcome, Peer, Stored};
use shards::lease::Lease;
use timer::{BootClock, Clock, Ticks};
use world::moment::Moment;
use world::name::MachineName;

use crate::gate::{BackEndCondition, SILENCE};
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
    not_before: Cell<Moment>,
}

impl Turn {
    fn take(&self, now: Moment) -> bool {
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
            node.gate.sample_busy(now);
        }
        if now.since(looked) >= LOAD_INTERVAL {
            looked = now;
            for peer in node.peers() {
                peer.failures().decay(FAILURE_DECAY);
            }
            driver.look_at_load(now);
            driver.look_for_back_end(now);
        }
        driver.check_silence(now);
        node.gate.pump();
        node.served.borrow_mut().sweep(now);
        if node.is_keyed() {
            driver.step(now);
        }
    }
}

impl Driver {
    fn look_at_load(&self, now: Moment) {
        self.node.announce();
        if !self.node.is_keyed() {
            return;
        }
        let mut keeper = self.node.keeper.borrow_mut();
        keeper.decay_load(LOAD_DECAY);
        if self.node.is_stopping() {
            return;
        }
        let busy = self.node.gate.busy();
        let takers = keeper.relieve(now, busy);
        if takers > 0 {
            log::info!(event = "keys-moving", takers, busy; "");
        }
    }

    /// A back end that held keys and has not shown up may be gone; a refused connection shows it.
    fn look_for_back_end(&self, now: Moment) {
        let missing = self.node.is_keyed() && self.node.keeper.borrow().misses_back_end();
        if missing && now.since(self.node.started) > START_GRACE {
            let node = Rc::clone(&self.node);
            tokio::task::spawn_local(async move {
                if let Err(fault) = node.gate.connections.probe().await {
                    node.on_exchange_fault(fault);
                }
            });
        }
    }

    /// A back end that owes answers and sends no heartbeats gets no more requests.
    fn check_silence(&self, now: Moment) {
        let silent = self.node.gate.back_end.borrow().as_ref().is_some_and(|b| {
            b.state == BackEndCondition::Ready
                && now.since(b.heard) > SILENCE
                && !self.node.gate.is_idle()
        });
        if silent {
            self.node.set_condition(BackEndCondition::Down);
            self.node.keeper.borrow_mut().set_silent(true);
        }
    }

    fn update_peers(&self) {
        let service = self.node.service();
        let mut keeper = self.node.keeper.borrow_mut();
        for peer in self.node.peers() {
            let Some(m) = peer.member() else { continue };
            if m.service != service {
                continue;
            }
            let staying = m.back_end.filter(|_| !m.leaving);
            keeper.set_peer(
                peer.machine.clone(),
                Peer {
                    connected: peer.is_connected(),
                    since: peer.since(),
                    life: staying.map(|b| b.life),
                    lease: m.lease.map(|(revision, value)| Stored { revision, value }),
                    lease_seen: peer.lease_seen(),
                    busy: f64::from(m.busy) / BUSY_STEPS,
                },
            );
        }
    }

    fn step(self: &Rc<Self>, now: Moment) {
        self.update_peers();
        self.node.keeper.borrow_mut().tidy(now);
        let keeper = self.node.keeper.borrow();
        let lease = keeper.lease_call(now).filter(|_| self.lease.take(now));
        let view = keeper.view_call(now).filter(|_| self.view.take(now));
        let fence = keeper.fence_call(now).filter(|_| self.fence.take(now));
        drop(keeper);
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

    async fn do_lease(self: Rc<Self>, first: Call<Lease>) {
        let name = self.node.settings.machine.clone();
        let mut next = Some(first);
        let mut failed = false;
        while let Some(call) = next {
            let sent = BootClock.now();
            let outcome = self.store.call(LEASES, name.as_str(), &call).await;
            failed = !matches!(
                outcome,
                Outcome::Done(_) | Outcome::Conflict(_) | Outcome::Absent
            );
            if failed {
                log::warn!(event = "lease-not-renewed", outcome:? = outcome; "");
            }
            next = self.node.keeper.borrow_mut().on_lease(sent, &call, outcome);
        }
        self.lease.end(failed);
        self.node.announce();
        self.node.keys_changed.notify_one();
    }

    async fn do_view(self: Rc<Self>, call: Call<Assignment>) {
        let service = self.node.service();
        let outcome = self.store.call(ASSIGNMENTS, service.as_str(), &call).await;
        let failed = !matches!(
            outcome,
            Outcome::Done(_) | Outcome::Conflict(_) | Outcome::Absent
        );
        log::info!(event = "assignment-call", call = call_name(&call), outcome = outcome_name(&outcome); "");
        let wrote = !matches!(call, Call::Read) && matches!(outcome, Outcome::Done(_));
        let found = match &outcome {
            Outcome::Done(stored) | Outcome::Conflict(Some(stored)) => Some(stored.clone()),
            _ => None,
        };
        let before = self.node.view(&service);
        self.node
            .keeper
            .borrow_mut()
            .on_view_outcome(&call, outcome);
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

    async fn do_fence(self: Rc<Self>, machine: MachineName, call: Call<Lease>) {
        let outcome = self.store.call(LEASES, machine.as_str(), &call).await;
        let failed = !matches!(
            outcome,
            Outcome::Done(_) | Outcome::Conflict(_) | Outcome::Absent
        );
        log::info!(event = "fence", machine = machine.as_str(), call = call_name(&call), outcome = outcome_name(&outcome); "");
        let now = BootClock.now();
        self.node
            .keeper
            .borrow_mut()
            .on_fence(now, &machine, &call, outcome);
        self.fence.end(failed);
        self.node.keys_changed.notify_one();
    }
}

fn call_name<T>(call: &Call<T>) -> &'static str {
    match call {
        Call::Read => "read",
        Call::Create(_) => "create",
        Call::Replace(_) => "replace",
    }
}

fn outcome_name<T>(outcome: &Outcome<T>) -> &'static str {
    match outcome {
        Outcome::Done(_) => "done",
        Outcome::Conflict(_) => "conflict",
        Outcome::Absent => "absent",
        Outcome::Unknown => "unknown",
        Outcome::Refused => "refused",
    }
}

/// Whether the call replaces the object of that revision.
fn is_base<T>(call: &Call<T>, revision: u64) -> bool {
    matches!(call, Call::Replace(stored) if stored.revision == revision)
}
