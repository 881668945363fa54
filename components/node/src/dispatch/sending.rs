//! Sends a request to a back end, on this machine or through a peer.

use std::rc::Rc;
use std::time::Duration;

use timer::{BootClock, Clock};

use super::{Destination, REROUTE_INTERVAL, RequestDispatch, millis};
use crate::back_end_proxy::submission;
use crate::frame::{ForwardedRequest, LossCause, RejectReason, RequestOutcome};
use crate::peer::Peer;

/// Time for a lost connection to reopen before a request sent over it counts as lost.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(900);
/// The same for an idempotent request, which can go to another back end instead.
const RECONNECT_TIMEOUT_IDEMPOTENT: Duration = Duration::from_millis(120);

impl RequestDispatch<'_> {
    pub(super) async fn send(&self, destination: &Destination, final_pass: bool) -> RequestOutcome {
        let (distance, delay) = self.distance_and_delay(destination);
        if self.is_link_congested(final_pass, distance, delay) {
            let reason = RejectReason::Delayed;
            let retry_ms = millis(delay);
            return RequestOutcome::NotRun { reason, retry_ms };
        }
        let mut request = self.template.clone();
        request.remaining_ms = millis(self.remaining());
        request.missed_target = self.is_retry;
        request.target_ms = millis(self.target(final_pass, distance, delay));
        match destination {
            Destination::Local => submission::submit(self.node, Rc::new(request)).await,
            Destination::Peer(peer) => {
                request.id = peer.next_id();
                self.send_to_peer(peer, request).await
            }
        }
    }

    /// Sends a request to a peer, again with the same id after a lost connection, as the peer runs
    /// each id only once.
    async fn send_to_peer(&self, peer: &Rc<Peer>, mut request: ForwardedRequest) -> RequestOutcome {
        let incarnation = peer.incarnation();
        loop {
            // Arrives before the request, in case the peer has not learned of a crash yet.
            peer.send_crashes(&self.node.suspects.reports_on(&request));
            request.remaining_ms = millis(self.remaining());
            request.sent_ms = BootClock.now().as_millis();
            let sent = request.clone().for_features(peer.features());
            let outcome = peer.request(sent).await;
            if !matches!(outcome, RequestOutcome::Lost(LossCause::LinkLost)) {
                return outcome;
            }
            if !self.await_reconnect(peer, incarnation).await || !self.may_send_to(peer) {
                return outcome;
            }
        }
    }

    /// Waits for the connection to reopen; returns whether it leads to the same incarnation in
    /// time.
    async fn await_reconnect(&self, peer: &Rc<Peer>, incarnation: u64) -> bool {
        let timeout = if self.route.idempotent {
            RECONNECT_TIMEOUT_IDEMPOTENT
        } else {
            RECONNECT_TIMEOUT
        };
        let until = BootClock.now() + timeout;
        while BootClock.now() < until {
            if peer.is_connected() {
                // Lets the connection's task run in case that it is about to end.
                tokio::task::yield_now().await;
                return peer.incarnation() == incarnation;
            }
            tokio::time::sleep(REROUTE_INTERVAL).await;
        }
        false
    }
}
