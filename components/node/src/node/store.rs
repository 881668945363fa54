//! The store: whether it can be reached, and its era.

use std::time::Duration;

use platform::store::{RequestError, StoreRequest, StoreResponse, Transport, WatchTransport};
use shards::revision::StoreEra;
use timer::{BootClock, Clock};
use world::excerpt::excerpt;
use world::instant::BootInstant;

use super::Node;

/// Time over which the processes spread the calls that they make in each new era and that can wait.
pub(crate) const ERA_SPREAD: Duration = Duration::from_secs(2);

impl Node {
    /// Sends a request to the store over this process's own connections.
    ///
    /// # Errors
    /// Returns an error when there is no response; it says whether the request may have been
    /// executed.
    pub async fn perform(&self, request: &StoreRequest) -> Result<StoreResponse, RequestError> {
        let result = self.direct.perform(request).await;
        self.on_store_response(&result);
        result
    }

    /// Sends a watch to the store over this process's own connections.
    ///
    /// # Errors
    /// Returns an error when there is no response.
    pub async fn perform_watch(
        &self,
        request: &StoreRequest,
    ) -> Result<StoreResponse, RequestError> {
        let result = self.direct.perform_watch(request).await;
        self.on_store_response(&result);
        result
    }

    /// Records the era that a response of the store names, received directly or through a peer.
    pub(crate) fn on_store_response(&self, result: &Result<StoreResponse, RequestError>) {
        if let Ok(response) = result {
            self.on_store_era(response.era);
        }
    }

    /// Begins an era of the store, unless it or a later one is known, and tells all peers: each of
    /// them may wait in a watch that nothing else ends.
    pub fn on_store_era(&self, era: StoreEra) {
        let now = BootClock.now();
        self.shard_manager.borrow_mut().on_era(now, era);
        let previous = self.store_era();
        if era <= previous {
            return;
        }
        self.store_era.send_replace(era);
        self.update_freshness(|f| f.on_restored(now));
        self.metrics.on_store_era();
        self.log_store_era(now, era, previous);
        self.keys_changed.notify_one();
        for peer in self.peers() {
            peer.send_store_era(era);
        }
    }

    fn log_store_era(&self, now: BootInstant, era: StoreEra, previous: StoreEra) {
        let manager = self.shard_manager.borrow();
        log::warn!(
            event = "store-era",
            era:% = era,
            previous:% = previous,
            carried_keys = manager.carried_keys(),
            lease_left_ms = manager.carried_lease_left(now).as_millis() as u64;
            ""
        );
    }

    /// Returns the latest known era of the store, the first one before any response.
    #[must_use]
    pub fn store_era(&self) -> StoreEra {
        *self.store_era.borrow()
    }

    /// Waits until an era later than `era` is known, and returns it.
    pub async fn later_store_era(&self, era: StoreEra) -> StoreEra {
        let mut eras = self.store_era.subscribe();
        match eras.wait_for(|known| *known > era).await {
            Ok(known) => *known,
            Err(_) => unreachable!("the sender lives as long as the node"),
        }
    }

    /// Logs that an object is left out, as it is no record of its kind: another writer's. One line
    /// stands for many.
    pub(crate) fn on_skipped_record(&self, kind: &str, name: &str) {
        if let Some(count) = self.skipped_records.admit(BootClock.now(), 1) {
            log::warn!(event = "records-skipped", count, kind, last = excerpt(name); "");
        }
    }

    /// Records whether the store can be reached directly, and announces a change of that.
    pub fn on_store_result(&self, reachable: bool) {
        if self.store_reachable.replace(reachable) != reachable {
            log::info!(event = if reachable { "store-regained" } else { "store-lost" }; "");
            self.announce();
        }
    }
}
