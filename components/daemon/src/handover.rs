//! Orders of released tenures that wait to be taken by the tenures that follow.

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

/// Orders kept for their next owners. Each tenure's orders are given away at most once, so that
/// no ticket can be started by two tenures.
#[derive(Debug, Default)]
pub struct Handovers(Mutex<HashMap<Holding, Kept>>);

#[derive(Debug)]
struct Kept {
    orders: Handover,
    until: BootInstant,
}

impl Handovers {
    /// Keeps the orders of a drained gate until `until`, unless it has none or a later gate of
    /// this daemon goes on with them.
    pub fn keep(&self, now: BootInstant, until: BootInstant, gate: &Gate) {
        if gate.is_renewed() {
            return;
        }
        let orders = gate.orders().take_handover(now);
        if !orders.orders.is_empty() {
            let kept = Kept { orders, until };
            self.lock().insert(gate.holding().clone(), kept);
        }
    }

    /// Gives a tenure's orders away.
    pub fn take(&self, released: &Holding) -> Option<Handover> {
        self.lock().remove(released).map(|kept| kept.orders)
    }

    /// Forgets orders that nobody has taken in time.
    pub fn expire(&self, now: BootInstant) {
        self.lock().retain(|_, kept| now < kept.until);
    }

    /// Tells whether all orders have been taken or forgotten.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Holding, Kept>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers a daemon that follows this one as owner.
///
/// # Errors
/// Refuses a request that can't be read.
pub fn give(shared: &Shared, request: &TakeOrdersRequest) -> Result<Vec<HandedOrders>, Status> {
    let released = convert::holdings_from_wire(&request.released)
        .map_err(|fault| Status::invalid_argument(fault.to_string()))?;
    let given = released.iter().filter_map(|released| {
        let orders = shared.handovers.take(released)?;
        Some(handover::to_wire(released, orders))
    });
    Ok(given.collect())
}
