//! Opens the gates of granted shards, with the orders of the previous tenure where it ended by a
//! release.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use orders::handover::Handover;
use orders::table::OrderTable;
use ownership::heartbeat::Predecessor;
use ownership::member::Changes;
use ownership::table::{Holding, ShardId};
use peers::wire::TakeOrdersRequest;
use peers::{convert, handover};
use store::client::Store;
use world::instant::BootInstant;

use crate::control::{Control, Event};
use crate::gate::Gate;
use crate::pool::{ConnectError, PeerPool};

/// Longest wait for the orders of the previous tenures.
const TAKE_ORDERS_TIMEOUT: Duration = Duration::from_secs(1);

/// A granted shard and the orders that its tenure starts with, if any were handed over.
#[derive(Debug)]
pub struct GrantedShard {
    holding: Holding,
    orders: Option<Handover>,
}

impl<S: Store> Control<S> {
    /// Opens the gates of granted shards other than the `renewed` ones. A shard that another daemon
    /// has released opens when that daemon has sent its orders, or without orders after
    /// [`TAKE_ORDERS_TIMEOUT`].
    pub(super) fn open_gates(
        &mut self,
        now: BootInstant,
        changes: &Changes,
        renewed: &HashMap<ShardId, Arc<Gate>>,
    ) {
        let mut sources: BTreeMap<SocketAddr, Vec<&Predecessor>> = BTreeMap::new();
        for predecessor in &changes.predecessors {
            let list = sources.entry(predecessor.address).or_default();
            list.push(predecessor);
        }
        let has_predecessor = |holding: &Holding| {
            let mut predecessors = changes.predecessors.iter();
            predecessors.any(|p| p.released.id == holding.id)
        };
        let (waiting, ready): (Vec<_>, Vec<_>) = changes
            .opened
            .iter()
            .filter(|holding| !renewed.contains_key(&holding.id))
            .cloned()
            .partition(|holding| has_predecessor(holding));
        for (address, predecessors) in sources {
            let ids: Vec<&ShardId> = predecessors.iter().map(|p| &p.released.id).collect();
            let holdings = waiting.iter().filter(|h| ids.contains(&&h.id));
            let released = predecessors.iter().map(|p| p.released.clone()).collect();
            self.take_orders(address, holdings.cloned().collect(), released);
        }
        self.pending_grants.extend(waiting);
        let ready = ready.into_iter().map(|holding| GrantedShard {
            holding,
            orders: None,
        });
        self.insert_gates(now, ready.collect());
    }

    /// Removes a granted shard whose gate has not opened yet. Returns whether there was one.
    pub(super) fn cancel_pending(&mut self, holding: &Holding) -> bool {
        let before = self.pending_grants.len();
        self.pending_grants.retain(|pending| pending != holding);
        self.pending_grants.len() < before
    }

    /// Opens the gates of those shards that are still pending.
    pub(super) fn on_orders_taken(&mut self, now: BootInstant, mut shards: Vec<GrantedShard>) {
        shards.retain(|shard| self.cancel_pending(&shard.holding));
        self.insert_gates(now, shards);
    }

    fn insert_gates(&mut self, now: BootInstant, shards: Vec<GrantedShard>) {
        if shards.is_empty() {
            return;
        }
        let bounds = self.shared.settings.orders;
        let mut gates = self.shared.gates.load().as_ref().clone();
        for GrantedShard { holding, orders } in shards {
            let table = match orders {
                Some(orders) => OrderTable::from_handover(holding.fence, bounds, now, orders),
                None => OrderTable::new(holding.fence, bounds),
            };
            gates.insert(Arc::new(Gate::new(holding, table, now)));
        }
        self.shared.gates.store(Arc::new(gates));
    }

    /// Requests the orders of the `released` tenures in the background, for the tenures `holdings`.
    fn take_orders(&self, address: SocketAddr, holdings: Vec<Holding>, released: Vec<Holding>) {
        let pool = Arc::clone(&self.pool);
        let events = self.events.clone();
        tokio::spawn(async move {
            let call = fetch_orders(&pool, address, &released);
            let taken = match tokio::time::timeout(TAKE_ORDERS_TIMEOUT, call).await {
                Ok(Ok(taken)) => taken,
                Ok(Err(status)) => {
                    log::warn!(event = "orders_not_taken", reason = status.message(); "");
                    HashMap::new()
                }
                Err(_) => {
                    log::warn!(event = "orders_not_taken", reason = "timeout"; "");
                    HashMap::new()
                }
            };
            let mut taken = taken;
            let shards = holdings.into_iter().map(|holding| GrantedShard {
                orders: taken.remove(&holding.id),
                holding,
            });
            let _ = events.send(Event::OrdersTaken(shards.collect())).await;
        });
    }
}

async fn fetch_orders(
    pool: &PeerPool,
    address: SocketAddr,
    released: &[Holding],
) -> Result<HashMap<ShardId, Handover>, tonic::Status> {
    let unreachable = |error: ConnectError| tonic::Status::unavailable(error.to_string());
    let mut client = pool.traffic(address).await.map_err(unreachable)?;
    let request = TakeOrdersRequest {
        released: convert::holdings_to_wire(released),
    };
    let mut responses = client.take_orders(request).await?.into_inner();
    let mut taken = HashMap::new();
    while let Some(message) = responses.message().await? {
        let (holding, orders) = handover::from_wire(message)
            .map_err(|error| tonic::Status::data_loss(error.to_string()))?;
        taken.insert(holding.id, orders);
    }
    Ok(taken)
}
