//! Keeps the orders of released tenures until the next owners of their shards fetch them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use orders::handover::Handover;
use ownership::table::Holding;
use peers::wire::{HandedOrders, TakeOrdersRequest};
use peers::{convert, handover};
use tonic::Status;
use world::instant::BootInstant;

use crate::gate::Gate;
use crate::shared::Shared;

/// Orders of released tenures, by tenure. Each tenure's orders are handed over at most once, so
/// that no ticket can be started by two tenures.
#[derive(Debug, Default)]
pub struct Handovers(Mutex<HashMap<Holding, PendingHandover>>);

#[derive(Debug)]
struct PendingHandover {
    orders: Handover,
    expires_at: BootInstant,
}

impl Handovers {
    /// Keeps the orders of a drained gate until `expires_at`, unless it has none or the gate of a
    /// later tenure of this daemon shares them.
    pub fn keep(&self, now: BootInstant, expires_at: BootInstant, gate: &Gate) {
        if gate.has_successor() {
            return;
        }
        let orders = gate.orders().take_handover(now);
        if !orders.orders.is_empty() {
            let pending = PendingHandover { orders, expires_at };
            self.lock().insert(gate.holding().clone(), pending);
        }
    }

    /// Removes and returns the orders of a tenure. `None` if they were taken, expired or never
    /// kept.
    pub fn take(&self, released: &Holding) -> Option<Handover> {
        self.lock().remove(released).map(|pending| pending.orders)
    }

    /// Drops orders that no daemon has taken in time.
    pub fn expire(&self, now: BootInstant) {
        self.lock().retain(|_, pending| now < pending.expires_at);
    }

    /// Returns whether no orders are kept any more.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Holding, PendingHandover>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Hands the orders of released tenures over to the next owner of their shards.
///
/// # Errors
/// `InvalidArgument` when the request names a malformed tenure.
pub fn take_orders(
    shared: &Shared,
    request: &TakeOrdersRequest,
) -> Result<Vec<HandedOrders>, Status> {
    let released = convert::holdings_from_wire(&request.released)
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    let handed = released.iter().filter_map(|released| {
        let orders = shared.handovers.take(released)?;
        Some(handover::to_wire(released, orders))
    });
    Ok(handed.collect())
}
