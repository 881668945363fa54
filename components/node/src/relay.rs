//! Calls to the store, through another process while the store turns this one away.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use platform::store::{Client, RequestError, StoreRequest, StoreResponse, Transport};
use rand::seq::IndexedRandom;
use timer::{BootClock, Clock};
use world::instant::BootInstant;

use crate::node::Node;

/// Time after a failure for which the direct way is not tried first.
const DETOUR_TIME: Duration = Duration::from_millis(1_500);
/// Longest time for a call through another process.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The ways to the store.
pub struct Ways {
    node: Rc<Node>,
    direct_failed: Cell<Option<BootInstant>>,
}

/// A client of the store over any way.
pub type StoreClient = Client<Ways>;

/// Makes a client of the store.
#[must_use]
pub fn client(node: &Rc<Node>) -> StoreClient {
    Client::new(Ways {
        node: Rc::clone(node),
        direct_failed: Cell::new(None),
    })
}

impl Ways {
    async fn through_peer(&self, call: &StoreRequest) -> Result<StoreResponse, RequestError> {
        let able: Vec<_> = self
            .node
            .peers()
            .into_iter()
            .filter(|p| p.is_connected() && p.with_status(|m| m.store_reachable).unwrap_or(false))
            .collect();
        let Some(peer) = able.choose(&mut rand::rng()) else {
            return Err(RequestError::NotExecuted);
        };
        self.node.metrics.on_store_request("relayed");
        let relayed = peer.forward_store_request(call.clone());
        let result = tokio::time::timeout(RELAY_TIMEOUT, relayed).await;
        result.unwrap_or(Err(RequestError::MaybeExecuted))
    }
}

impl Transport for Ways {
    async fn perform(&self, call: &StoreRequest) -> Result<StoreResponse, RequestError> {
        let now = BootClock.now();
        let detour = self
            .direct_failed
            .get()
            .is_some_and(|at| now.since(at) < DETOUR_TIME);
        if detour {
            let relayed = self.through_peer(call).await;
            if relayed != Err(RequestError::NotExecuted) {
                return relayed;
            }
        }
        let direct = self.node.direct.perform(call).await;
        self.node.metrics.on_store_request(match &direct {
            Ok(response) if matches!(response.status, 429 | 503) => "refused",
            Ok(_) => "answered",
            Err(RequestError::NotExecuted) => "not-done",
            Err(RequestError::MaybeExecuted) => "unknown",
        });
        let refused = matches!(&direct, Ok(a) if matches!(a.status, 429 | 503));
        let works = direct.is_ok() && !refused;
        self.node.on_store_result(works);
        self.direct_failed.set((!works).then_some(now));
        if (refused || direct == Err(RequestError::NotExecuted))
            && let Ok(response) = self.through_peer(call).await
        {
            return Ok(response);
        }
        direct
    }
}
