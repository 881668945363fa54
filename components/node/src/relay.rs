//! Sends store requests directly, or through a peer while the store cannot be reached or rejects
//! requests of this process.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use platform::store::{
    Client, RequestError, StoreRequest, StoreResponse, Transport, WatchTransport,
};
use rand::seq::IndexedRandom;
use timer::{BootClock, Clock};
use world::instant::BootInstant;

use crate::frame::NodeStatus;
use crate::node::Node;

/// Time after a failed direct request for which peers are tried first.
const DIRECT_BACKOFF: Duration = Duration::from_millis(1_500);
/// Longest time for a request through a peer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Transport to the store that falls back to peers with a working connection.
pub struct RelayTransport {
    node: Rc<Node>,
    last_direct_failure: Cell<Option<BootInstant>>,
}

/// Client of the store that uses [`RelayTransport`].
pub type StoreClient = Client<RelayTransport>;

/// Creates a client of the store that sends requests for `node`.
#[must_use]
pub fn client(node: &Rc<Node>) -> StoreClient {
    Client::new(RelayTransport {
        node: Rc::clone(node),
        last_direct_failure: Cell::new(None),
    })
}

impl RelayTransport {
    /// Sends a request through a random peer that reaches the store.
    ///
    /// # Errors
    /// `NotExecuted` if there is no such peer or the request did not get to the store,
    /// `MaybeExecuted` if the response is lost or takes longer than `RELAY_TIMEOUT`.
    async fn send_through_peer(
        &self,
        request: &StoreRequest,
    ) -> Result<StoreResponse, RequestError> {
        let candidates: Vec<_> = self
            .node
            .peers()
            .into_iter()
            .filter(|p| p.is_connected() && p.with_status(can_relay).unwrap_or(false))
            .collect();
        let Some(peer) = candidates.choose(&mut rand::rng()) else {
            return Err(RequestError::NotExecuted);
        };
        self.node.metrics.on_store_request("relayed");
        let relayed = peer.forward_store_request(request.clone());
        let result = tokio::time::timeout(RELAY_TIMEOUT, relayed).await;
        let result = result.unwrap_or(Err(RequestError::MaybeExecuted));
        self.node.on_store_response(&result);
        result
    }

    fn count_bytes(&self, call: &'static str, result: &Result<StoreResponse, RequestError>) {
        if let Ok(response) = result {
            self.node.metrics.on_store_bytes(call, response.body.len());
        }
    }
}

/// Whether a process reaches the store and can pass on its responses.
fn can_relay(status: &NodeStatus) -> bool {
    status.store_reachable && status.features.store_eras
}

impl Transport for RelayTransport {
    async fn perform(&self, request: &StoreRequest) -> Result<StoreResponse, RequestError> {
        let now = BootClock.now();
        let prefer_peer = self
            .last_direct_failure
            .get()
            .is_some_and(|at| now.since(at) < DIRECT_BACKOFF);
        if prefer_peer {
            let relayed = self.send_through_peer(request).await;
            if relayed != Err(RequestError::NotExecuted) {
                return relayed;
            }
        }
        let direct = self.node.perform(request).await;
        self.node.metrics.on_store_request(match &direct {
            Ok(response) if response.is_refusal() => "refused",
            Ok(_) => "answered",
            Err(RequestError::NotExecuted) => "not-done",
            Err(RequestError::MaybeExecuted) => "unknown",
        });
        self.count_bytes("call", &direct);
        let refused = direct.as_ref().is_ok_and(StoreResponse::is_refusal);
        let reachable = direct.is_ok() && !refused;
        self.node.on_store_result(reachable);
        self.last_direct_failure.set((!reachable).then_some(now));
        if refused || direct == Err(RequestError::NotExecuted) {
            let relayed = self.send_through_peer(request).await;
            if relayed != Err(RequestError::NotExecuted) {
                return relayed;
            }
        }
        direct
    }
}

impl WatchTransport for RelayTransport {
    /// Watches are never sent through a peer.
    async fn perform_watch(&self, request: &StoreRequest) -> Result<StoreResponse, RequestError> {
        let result = self.node.perform_watch(request).await;
        self.count_bytes("watch", &result);
        let refused = result.as_ref().is_ok_and(StoreResponse::is_refusal);
        if refused || result == Err(RequestError::NotExecuted) {
            // Peers rely on the watches of processes that reach the store.
            self.node.on_store_result(false);
        }
        result
    }
}
