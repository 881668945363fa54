//! Gates: which requests for a held shard may still start, and what is in flight.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use orders::table::OrderTable;
use ownership::table::{self, Holding};
use world::instant::BootInstant;
use world::key::{Fence, Shard};
use world::name::ServiceName;

use crate::allowance::Keeper;

/// Instant that stands for "until the back end has been replaced".
const UNTIL_REPLACED: u64 = u64::MAX;

/// One tenure of a shard.
#[derive(Debug)]
pub struct Gate {
    holding: Holding,
    closing: AtomicBool,
    in_flight: AtomicU32,
    /// True once a request was given up that may still run at the back end.
    abandoned: AtomicBool,
    /// Nanoseconds of the instant before which an abandoned request may still run.
    stuck_until: AtomicU64,
    requests: AtomicU32,
    /// Shared with the gate of the tenure after, when the same daemon goes on.
    orders: Arc<Mutex<OrderTable>>,
    keeper: Arc<Mutex<Keeper>>,
    /// True once a later gate shares the orders.
    renewed: AtomicBool,
}

impl Gate {
    /// An open gate of a tenure that starts at `now` with the given orders.
    #[must_use]
    pub fn new(holding: Holding, orders: OrderTable, now: BootInstant) -> Self {
        let orders = Arc::new(Mutex::new(orders));
        let keeper = Arc::new(Mutex::new(Keeper::new(now)));
        Self::sharing(holding, orders, keeper)
    }

    fn sharing(
        holding: Holding,
        orders: Arc<Mutex<OrderTable>>,
        keeper: Arc<Mutex<Keeper>>,
    ) -> Self {
        Self {
            holding,
            closing: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            abandoned: AtomicBool::new(false),
            stuck_until: AtomicU64::new(0),
            requests: AtomicU32::new(0),
            orders,
            keeper,
            renewed: AtomicBool::new(false),
        }
    }

    /// The gate of a later tenure of the same daemon, which goes on with the orders, and with the
    /// allowances it keeps when nobody else can have kept them since.
    #[must_use]
    pub fn renew(&self, holding: Holding, now: BootInstant, unbroken: bool) -> Self {
        self.renewed.store(true, Ordering::SeqCst);
        self.orders().advance_fence(now, holding.fence);
        let keeper = if unbroken {
            Arc::clone(&self.keeper)
        } else {
            Arc::new(Mutex::new(Keeper::new(now)))
        };
        Self::sharing(holding, Arc::clone(&self.orders), keeper)
    }

    /// Tells whether a later gate of this daemon goes on with the orders.
    #[must_use]
    pub fn is_renewed(&self) -> bool {
        self.renewed.load(Ordering::SeqCst)
    }

    /// The shard and its fence.
    #[must_use]
    pub fn holding(&self) -> &Holding {
        &self.holding
    }

    /// Fence of the tenure.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.holding.fence
    }

    /// Orders of this tenure.
    pub fn orders(&self) -> MutexGuard<'_, OrderTable> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Allowances kept by this tenure of the reserved service.
    pub fn keeper(&self) -> MutexGuard<'_, Keeper> {
        self.keeper.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets a request in, unless the gate is closing.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Option<Pass> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let pass = Pass {
            gate: Arc::clone(self),
        };
        if self.closing.load(Ordering::SeqCst) {
            return None;
        }
        self.requests.fetch_add(1, Ordering::Relaxed);
        Some(pass)
    }

    /// Takes the number of requests since the last call.
    pub fn take_requests(&self) -> u32 {
        self.requests.swap(0, Ordering::Relaxed)
    }

    /// Lets no request in from now on.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Tells whether an abandoned request still needs to be waited for.
    #[must_use]
    pub fn has_abandoned(&self) -> bool {
        self.abandoned.load(Ordering::SeqCst)
    }

    /// Replaces "an abandoned request may still run" by the instant after which it can't.
    pub fn settle_abandoned(&self, until: BootInstant) {
        self.abandoned.store(false, Ordering::SeqCst);
        self.stuck_until
            .fetch_max(until.as_nanos(), Ordering::SeqCst);
    }

    /// Notes that only a new back end proves that an abandoned request has ended.
    pub fn settle_on_replacement(&self) {
        self.abandoned.store(false, Ordering::SeqCst);
        self.stuck_until.store(UNTIL_REPLACED, Ordering::SeqCst);
    }

    /// Notes that the back end which ran the abandoned requests is gone.
    pub fn on_replacement(&self) {
        self.abandoned.store(false, Ordering::SeqCst);
        self.stuck_until.store(0, Ordering::SeqCst);
    }

    /// Tells whether nothing of this tenure can still run at `now`.
    #[must_use]
    pub fn is_drained(&self, now: BootInstant) -> bool {
        let quiet = self.in_flight() == 0 && !self.has_abandoned();
        quiet && now.as_nanos() >= self.stuck_until.load(Ordering::SeqCst)
    }
}

/// Permission of one request to be in flight.
#[derive(Debug)]
pub struct Pass {
    gate: Arc<Gate>,
}

impl Pass {
    /// The gate that the request came through.
    #[must_use]
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Notes that the request ends here but may still run at the back end.
    pub fn abandon(&self) {
        self.gate.abandoned.store(true, Ordering::SeqCst);
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The gates of all shards that a daemon holds.
#[derive(Clone, Debug, Default)]
pub struct GateTable {
    services: BTreeMap<ServiceName, Vec<Option<Arc<Gate>>>>,
}

impl GateTable {
    /// The gate of a shard.
    #[must_use]
    pub fn gate(&self, service: &str, shard: Shard) -> Option<&Arc<Gate>> {
        let gates = self
            .services
            .iter()
            .find(|(name, _)| name.as_str() == service)?
            .1;
        gates.get(usize::from(shard.0))?.as_ref()
    }

    /// Adds a gate.
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

    /// Removes the gate of a tenure; a gate of a later tenure stays.
    pub fn remove(&mut self, holding: &Holding) -> Option<Arc<Gate>> {
        let gates = self.services.get_mut(&holding.id.service)?;
        let slot = gates.get_mut(usize::from(holding.id.shard.0))?;
        if slot.as_ref()?.fence() != holding.fence {
            return None;
        }
        slot.take()
    }

    /// All gates.
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
        let pass = gate.enter().expect("open");
        gate.close();
        assert!(gate.enter().is_none());
        assert!(!gate.is_drained(now));
        drop(pass);
        assert!(gate.is_drained(now));
    }

    #[test]
    fn an_abandoned_request_delays_the_release() {
        let gate = gate();
        gate.enter().expect("open").abandon();
        gate.close();
        assert!(!gate.is_drained(BootInstant::from_millis(100)));
        gate.settle_abandoned(BootInstant::from_millis(50));
        assert!(!gate.is_drained(BootInstant::from_millis(49)));
        assert!(gate.is_drained(BootInstant::from_millis(50)));
        gate.settle_on_replacement();
        assert!(!gate.is_drained(BootInstant::from_millis(1_000_000)));
        gate.on_replacement();
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
