//! Decides from the outcome of a send whether another back end is tried.

use std::time::Duration;

use timer::{BootClock, Clock};
use world::name::MachineName;

use super::homes::NoHome;
use super::{Completion, Destination, REROUTE_INTERVAL, RequestDispatch};
use crate::frame::{RejectReason, RequestOutcome};
use crate::peer::Peer;

/// Longest wait for a changed assignment before a request goes again to the same owner of its key.
const SAME_OWNER_BACKOFF: Duration = Duration::from_millis(200);
/// Share of the route's timeout for which a request waits while its key is handed over.
const HANDOVER_TIMEOUT_RATIO: f64 = 0.5;
/// Time in which a changed assignment reaches every connected machine.
const ASSIGNMENT_PROPAGATION_TIME: Duration = Duration::from_millis(200);

impl RequestDispatch<'_> {
    /// Handles the outcome of a send; returns `None` if another back end is to be tried.
    pub(super) async fn on_outcome(
        &mut self,
        machine: &MachineName,
        destination: &Destination,
        outcome: RequestOutcome,
        final_pass: bool,
    ) -> Option<Completion> {
        match outcome {
            RequestOutcome::Response(response) => {
                let failed = response.status >= 500;
                self.record_result(destination, failed);
                self.attempted.push(machine.clone());
                self.maybe_executed = true;
                if failed && self.may_retry() {
                    self.fallback_response = Some(response);
                    return None;
                }
                self.node.metrics.on_send("answered");
                Some(self.complete_with(*response))
            }
            RequestOutcome::NotRun { reason, retry_ms } => {
                self.node.metrics.on_send("not-run");
                self.on_not_run(machine, destination, reason, retry_ms, final_pass)
                    .await
            }
            RequestOutcome::Lost(loss) => {
                self.node.metrics.on_send("lost");
                self.record_result(destination, true);
                self.maybe_executed = true;
                self.attempted.push(machine.clone());
                log::warn!(event = "send-lost", id = self.id_text(), machine = machine.as_str(), loss:? = loss; "");
                if self.may_retry() {
                    return None;
                }
                Some(self.give_up())
            }
        }
    }

    pub(super) fn id_text(&self) -> &str {
        std::str::from_utf8(&self.template.request_id).unwrap_or("?")
    }

    async fn on_not_run(
        &mut self,
        machine: &MachineName,
        destination: &Destination,
        reason: RejectReason,
        retry_ms: u32,
        final_pass: bool,
    ) -> Option<Completion> {
        log::info!(event = "not-run", id = self.id_text(), machine = machine.as_str(), reason:? = reason, retry_ms; "");
        match reason {
            RejectReason::Blocked => {
                let remaining = Duration::from_millis(u64::from(retry_ms));
                Some(self.quarantined(remaining))
            }
            RejectReason::Isolated if self.is_on_trial() => self.await_copy().await,
            // At another back end it could run beside a copy.
            RejectReason::Full | RejectReason::Delayed if self.is_on_trial() => {
                self.on_rejection(machine, retry_ms, true)
            }
            RejectReason::Full | RejectReason::Delayed | RejectReason::Isolated => {
                let (distance, _) = self.distance_and_delay(destination);
                self.search.on_rejection(distance);
                self.on_rejection(machine, retry_ms, final_pass)
            }
            RejectReason::NoBackEnd | RejectReason::Unreachable | RejectReason::WrongRegion
                if self.keyed_assignment().is_none() =>
            {
                self.on_rejection(machine, retry_ms, final_pass)
            }
            RejectReason::Expired => self.on_rejection(machine, retry_ms, true),
            RejectReason::BackEndRefused => {
                self.record_result(destination, true);
                self.rejections.push((machine.clone(), retry_ms));
                self.attempted.push(machine.clone());
                if self.may_retry() {
                    None
                } else {
                    Some(self.give_up())
                }
            }
            RejectReason::TurnedAway => {
                let is_keyed = self.keyed_assignment().is_some();
                // A back end has received it, so that sending it again is a retry.
                let is_final = (final_pass && !is_keyed) || !self.take_retry();
                if is_final || !is_keyed {
                    return self.on_rejection(machine, retry_ms, is_final);
                }
                self.on_not_holder(destination).await
            }
            RejectReason::NotHolder => self.on_not_holder(destination).await,
            RejectReason::WrongRegion => Some(self.no_home(NoHome::KeyElsewhere)),
            RejectReason::NoBackEnd | RejectReason::Unreachable => {
                self.await_assignment_change().await;
                self.check_handover_timeout()
            }
        }
    }

    /// Waits for the key to be assigned anew after its owner did not hold it.
    async fn on_not_holder(&mut self, destination: &Destination) -> Option<Completion> {
        if let Destination::Peer(peer) = destination {
            self.request_assignments(peer);
        }
        self.await_assignment_change().await;
        self.check_handover_timeout()
    }

    /// Records that a machine rejected the request; gives up if the rejection is final.
    fn on_rejection(
        &mut self,
        machine: &MachineName,
        retry_ms: u32,
        is_final: bool,
    ) -> Option<Completion> {
        self.rejections.push((machine.clone(), retry_ms));
        is_final.then(|| self.give_up())
    }

    /// Waits until the assignment changes, at most for [`SAME_OWNER_BACKOFF`].
    async fn await_assignment_change(&self) {
        let revision = || self.node.assignment(&self.service).map(|a| a.revision);
        let initial = revision();
        let until = BootClock.now() + SAME_OWNER_BACKOFF;
        while BootClock.now() < until && revision() == initial {
            tokio::time::sleep(REROUTE_INTERVAL).await;
        }
    }

    /// Requests the assignments from the peer, once per request and only when a change should have
    /// arrived by now.
    fn request_assignments(&mut self, peer: &Peer) {
        let since = *self.not_holder_since.get_or_insert_with(|| BootClock.now());
        if !self.assignments_requested && BootClock.now().since(since) > ASSIGNMENT_PROPAGATION_TIME
        {
            self.assignments_requested = true;
            peer.send(&self.node.assignment_request());
        }
    }

    /// Gives up on a keyed request once its share of the timeout for a handover has passed.
    fn check_handover_timeout(&mut self) -> Option<Completion> {
        let total = self.route.timeout.as_secs_f64();
        let spent = total - self.remaining().as_secs_f64();
        (spent > total * HANDOVER_TIMEOUT_RATIO).then(|| self.give_up())
    }

    fn record_result(&self, destination: &Destination, failed: bool) {
        match destination {
            Destination::Local => self.node.local_failures.record(failed),
            Destination::Peer(peer) => peer.failure_rate().record(failed),
        }
    }

    /// Returns whether the request may go to one more back end, and spends retry budget on it if
    /// so.
    fn may_retry(&mut self) -> bool {
        if self.is_on_trial() {
            return false;
        }
        let below_limit = self.attempted.len() < usize::from(self.route.max_attempts);
        let allowed = self.route.idempotent || !self.maybe_executed;
        if !below_limit || !allowed || self.remaining() < Duration::from_millis(20) {
            return false;
        }
        self.keyed_assignment().is_none() && self.take_retry()
    }

    /// Spends retry budget on one more send to a back end; returns false if it is exhausted.
    fn take_retry(&self) -> bool {
        let now = BootClock.now();
        let granted = self.node.with_retry_budget(&self.service, |b| b.take(now));
        if granted {
            self.node.metrics.on_retry();
        }
        granted
    }
}
