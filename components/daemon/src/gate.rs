//! Gates admit the requests for an owned shard and count those in flight, so that a shard is
//! released only when nothing of its tenure can still run.
//!
//! A gate belongs to one tenure: one period of ownership of a shard, identified by its fence.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use orders::table::OrderTable;
use ownership::table::{self, Holding};
use world::instant::BootInstant;
use world::key::{Fence, Shard};
use world::name::ServiceName;

use crate::allowance::AllowanceOwner;

/// Value of `abandoned_end_ns` that stands for "until the back end has been replaced".
const UNTIL_REPLACED_NS: u64 = u64::MAX;

/// Admission to one tenure of a shard.
#[derive(Debug)]
pub struct Gate {
    holding: Holding,
    closing: AtomicBool,
    in_flight: AtomicU32,
    /// True when a request was abandoned that may still run at the back end, for an unknown time.
    abandoned: AtomicBool,
    /// Boot instant in nanoseconds before which an abandoned request may still run.
    abandoned_end_ns: AtomicU64,
    /// Requests admitted since the last call of `take_request_count`.
    request_count: AtomicU32,
    /// Shared with the gate of the next tenure when this daemon owns the shard again.
    orders: Arc<Mutex<OrderTable>>,
    allowance_owner: Arc<Mutex<AllowanceOwner>>,
    /// True once the gate of a later tenure shares the orders.
    has_successor: AtomicBool,
}

impl Gate {
    /// Creates an open gate for a tenure that starts at `now` with the given orders.
    #[must_use]
    pub fn new(holding: Holding, orders: OrderTable, now: BootInstant) -> Self {
        let orders = Arc::new(Mutex::new(orders));
        let allowance_owner = Arc::new(Mutex::new(AllowanceOwner::new(now)));
        Self::with_shared(holding, orders, allowance_owner)
    }

    fn with_shared(
        holding: Holding,
        orders: Arc<Mutex<OrderTable>>,
        allowance_owner: Arc<Mutex<AllowanceOwner>>,
    ) -> Self {
        Self {
            holding,
            closing: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            abandoned: AtomicBool::new(false),
            abandoned_end_ns: AtomicU64::new(0),
            request_count: AtomicU32::new(0),
            orders,
            allowance_owner,
            has_successor: AtomicBool::new(false),
        }
    }

    /// Creates the gate of a later tenure of the same daemon. It shares the orders, and also the
    /// allowances if `continuous`: no other daemon can have owned the shard in between.
    #[must_use]
    pub fn successor(&self, holding: Holding, now: BootInstant, continuous: bool) -> Self {
        self.has_successor.store(true, Ordering::SeqCst);
        self.orders().advance_fence(now, holding.fence);
        let allowance_owner = if continuous {
            Arc::clone(&self.allowance_owner)
        } else {
            Arc::new(Mutex::new(AllowanceOwner::new(now)))
        };
        Self::with_shared(holding, Arc::clone(&self.orders), allowance_owner)
    }

    /// Returns whether the gate of a later tenure of this daemon shares the orders.
    #[must_use]
    pub fn has_successor(&self) -> bool {
        self.has_successor.load(Ordering::SeqCst)
    }

    /// Returns the shard and its fence.
    #[must_use]
    pub fn holding(&self) -> &Holding {
        &self.holding
    }

    /// Returns the fence of the tenure.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.holding.fence
    }

    /// Locks the orders of this tenure.
    pub fn orders(&self) -> MutexGuard<'_, OrderTable> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the allowances that this tenure accounts for. Only shards of the reserved service of
    /// customers have any.
    pub fn allowance_owner(&self) -> MutexGuard<'_, AllowanceOwner> {
        self.allowance_owner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request, or returns `None` when the gate is closed.
    #[must_use]
    pub fn try_enter(self: &Arc<Self>) -> Option<GateGuard> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = GateGuard {
            gate: Arc::clone(self),
        };
        if self.closing.load(Ordering::SeqCst) {
            return None;
        }
        self.request_count.fetch_add(1, Ordering::Relaxed);
        Some(guard)
    }

    /// Returns the number of requests admitted since the last call, and resets it.
    pub fn take_request_count(&self) -> u32 {
        self.request_count.swap(0, Ordering::Relaxed)
    }

    /// Admits no request from now on; those in flight go on.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns whether a request was abandoned and it is not yet known how long it may run.
    #[must_use]
    pub fn has_abandoned(&self) -> bool {
        self.abandoned.load(Ordering::SeqCst)
    }

    /// Sets the instant from which no abandoned request can run any more. Never moves it back.
    pub fn set_abandoned_end(&self, until: BootInstant) {
        self.abandoned.store(false, Ordering::SeqCst);
        self.abandoned_end_ns
            .fetch_max(until.as_nanos(), Ordering::SeqCst);
    }

    /// Records that an abandoned request may run until the back end has been replaced.
    pub fn set_abandoned_until_replaced(&self) {
        self.abandoned.store(false, Ordering::SeqCst);
        self.abandoned_end_ns
            .store(UNTIL_REPLACED_NS, Ordering::SeqCst);
    }

    /// Records that the back end which ran the abandoned requests has been replaced.
    pub fn on_back_end_replaced(&self) {
        self.abandoned.store(false, Ordering::SeqCst);
        self.abandoned_end_ns.store(0, Ordering::SeqCst);
    }

    /// Returns whether no request of this tenure can still run at `now`.
    #[must_use]
    pub fn is_drained(&self, now: BootInstant) -> bool {
        let idle = self.in_flight() == 0 && !self.has_abandoned();
        idle && now.as_nanos() >= self.abandoned_end_ns.load(Ordering::SeqCst)
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct GateGuard {
    gate: Arc<Gate>,
}

impl GateGuard {
    /// Returns the gate that admitted the request.
    #[must_use]
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Records that this daemon gives the request up while it may still run at the back end.
    pub fn mark_abandoned(&self) {
        self.gate.abandoned.store(true, Ordering::SeqCst);
    }
}

impl Drop for GateGuard {
    fn drop(&mut self) {
        self.gate.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The gates of all shards that a daemon owns.
#[derive(Clone, Debug, Default)]
pub struct GateTable {
    services: BTreeMap<ServiceName, Vec<Option<Arc<Gate>>>>,
}

impl GateTable {
    /// Returns the gate of a shard, or `None` when the daemon does not own it.
    #[must_use]
    pub fn gate(&self, service: &str, shard: Shard) -> Option<&Arc<Gate>> {
        let gates = self
            .services
            .iter()
            .find(|(name, _)| name.as_str() == service)?
            .1;
        gates.get(usize::from(shard.0))?.as_ref()
    }

    /// Adds a gate, replacing the one that the shard had.
    pub fn insert(&mut self, gate: Arc<Gate>) {
        let id = &gate.holding.id;
        let count = usize::from(table::shard_count(id.service.as_str()));
        let gates = self
            .services
            .entry(id.service.clone())
            .or_insert_with(|| vec![None; count]);
        let shard = usize::from(id.shard.0);
        gates[shard] = Some(gate);
    }

    /// Removes and returns the gate of a tenure. Does nothing and returns `None` when the shard
    /// has no gate or one with another fence.
    pub fn remove(&mut self, holding: &Holding) -> Option<Arc<Gate>> {
        let gates = self.services.get_mut(&holding.id.service)?;
        let slot = gates.get_mut(usize::from(holding.id.shard.0))?;
        if slot.as_ref()?.fence() != holding.fence {
            return None;
        }
        slot.take()
    }

    /// Returns all gates.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Gate>> {
        self.services.values().flatten().flatten()
    }
}

#[cfg(test)]
mod tests {
    use orders::table::Bounds;
    use ownership::table::ShardId;

    use super::*;

    fn gate() -> Arc<Gate> {
        let id = ShardId {
            service: ServiceName::new("credits"),
            shard: Shard(3),
        };
        Arc::new(Gate::new(
            Holding {
                id,
                fence: Fence(9),
            },
            OrderTable::new(Fence(9), Bounds::default()),
            BootInstant::from_millis(1),
        ))
    }

    #[test]
    fn a_closed_gate_lets_nothing_in_and_drains() {
        let gate = gate();
        let now = BootInstant::from_millis(5);
        let guard = gate.try_enter().expect("open");
        gate.close();
        assert!(gate.try_enter().is_none());
        assert!(!gate.is_drained(now));
        drop(guard);
        assert!(gate.is_drained(now));
    }

    #[test]
    fn an_abandoned_request_delays_the_release() {
        let gate = gate();
        gate.try_enter().expect("open").mark_abandoned();
        gate.close();
        assert!(!gate.is_drained(BootInstant::from_millis(100)));
        gate.set_abandoned_end(BootInstant::from_millis(50));
        assert!(!gate.is_drained(BootInstant::from_millis(49)));
        assert!(gate.is_drained(BootInstant::from_millis(50)));
        gate.set_abandoned_until_replaced();
        assert!(!gate.is_drained(BootInstant::from_millis(1_000_000)));
        gate.on_back_end_replaced();
        assert!(gate.is_drained(BootInstant::from_millis(50)));
    }

    #[test]
    fn removes_only_the_named_tenure() {
        let mut table = GateTable::default();
        let gate = gate();
        table.insert(Arc::clone(&gate));
        let mut older = gate.holding().clone();
        older.fence = Fence(8);
        assert!(table.remove(&older).is_none());
        assert!(table.remove(gate.holding()).is_some());
        assert!(table.gate("credits", Shard(3)).is_none());
    }
}
