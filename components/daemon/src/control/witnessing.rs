//! Witness protocol: confirms a coordinator without the store, and closes earlier terms.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ownership::record::WitnessRef;
use ownership::witness::ConfirmRequest;
use peers::wire::control_client::ControlClient;
use peers::wire::{CloseReply, CloseRequest};
use peers::witnessing;
use store::client::Store;
use tonic::{Response, Status};
use world::instant::BootInstant;
use world::key::Term;
use world::name::MachineName;

use crate::control::{Control, Event, PastTerm};
use crate::pool::{PeerPool, SignedChannel};

/// Longest wait for a witness's reply.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between two requests to close the earlier terms.
const CLOSE_PERIOD: Duration = Duration::from_millis(100);

impl<S: Store> Control<S> {
    /// Decides whether to confirm the term of a coordinator as its witness.
    pub(super) fn on_confirm_request(&mut self, cell: &str, request: &ConfirmRequest) -> bool {
        let same_cell = cell == self.shared.settings.cell.as_str();
        let state = self.own_state();
        same_cell && self.shutdown.is_none() && self.witness.confirm(request, state)
    }

    /// Closes the term: from now on this daemon neither confirms nor holds it or an earlier one. A
    /// request of another cell changes nothing.
    pub(super) fn on_close_request(&mut self, cell: &str, term: Term) -> CloseReply {
        if cell != self.shared.settings.cell.as_str() {
            return CloseReply::default();
        }
        self.witness.close(term);
        if self
            .role
            .as_ref()
            .is_some_and(|r| r.coordinator.term() <= term)
        {
            self.step_down("closed");
        }
        let unpledged = PastTerm {
            term: term.stored(),
            pledged: false,
        };
        CloseReply {
            closed: true,
            unpledged: self.last_term == Some(unpledged),
        }
    }

    /// Records a confirmation of this daemon's term.
    pub(super) fn on_confirmed(&mut self, witness: &WitnessRef, sent: BootInstant, number: u64) {
        if let Some(role) = &mut self.role {
            role.renewal.on_witness_confirmed(witness, sent, number);
        }
    }

    /// Records that a machine has closed an earlier term.
    pub(super) fn on_closed(
        &mut self,
        now: BootInstant,
        name: &MachineName,
        term: Term,
        unpledged: bool,
    ) {
        if let Some(role) = &mut self.role {
            role.closing.on_closed(now, name, term, unpledged);
        }
    }

    /// Asks the witnesses to confirm the term when their confirmation is needed.
    pub(super) fn request_confirmations(&mut self, now: BootInstant) {
        let Some(role) = &self.role else { return };
        if !role.renewal.needs_witnesses(now) {
            return;
        }
        let witnesses: Vec<WitnessRef> = role.renewal.eligible_witnesses().cloned().collect();
        let coordinator = role.coordinator.identity().clone();
        let pledge = role.renewal.pledge_status();
        for witness in &witnesses {
            let request = ConfirmRequest {
                term: coordinator.term,
                coordinator: coordinator.name.clone(),
                witness_incarnation: witness.incarnation,
                pledge,
                witnesses: witnesses.clone(),
            };
            if witness.name == coordinator.name {
                // An acting coordinator is one of the witnesses.
                if self.witness.confirm(&request, self.own_state()) {
                    self.on_confirmed(witness, now, pledge.sequence);
                }
                continue;
            }
            self.request_confirmation(now, witness.clone(), &request);
        }
    }

    fn request_confirmation(
        &self,
        sent: BootInstant,
        witness: WitnessRef,
        request: &ConfirmRequest,
    ) {
        let message = witnessing::confirm_to_wire(&self.shared.settings.cell, request);
        let number = request.pledge.sequence;
        let pool = Arc::clone(&self.pool);
        let events = self.events.clone();
        tokio::spawn(async move {
            let reply = call_witness(&pool, witness.address, async |mut client| {
                client.confirm(message).await
            });
            let confirmed = reply.await.is_some_and(|reply| reply.confirmed);
            if confirmed {
                let _ = events
                    .send(Event::Confirmed {
                        witness,
                        sent,
                        number,
                    })
                    .await;
            }
        });
    }

    /// Requests the closing of the earlier terms and lets this term grant once they have ended.
    pub(super) fn advance_closing(&mut self, now: BootInstant) {
        let Some(role) = &mut self.role else { return };
        if let Some(grants_from) = role.closing.grants_from() {
            role.coordinator.set_grants_from(now, grants_from);
        }
        if role.closing.is_done() {
            role.renewal.clear_open_terms();
            return;
        }
        if now < role.next_close {
            return;
        }
        role.next_close = now + CLOSE_PERIOD;
        for request in role.closing.requests() {
            self.request_close(request);
        }
    }

    fn request_close(&self, request: ownership::closing::Request) {
        let message = CloseRequest {
            cell: self.shared.settings.cell.to_string(),
            term: u64::from(request.term.0),
        };
        let pool = Arc::clone(&self.pool);
        let events = self.events.clone();
        tokio::spawn(async move {
            let reply = call_witness(&pool, request.address, async |mut client| {
                client.close(message).await
            });
            let Some(reply) = reply.await.filter(|reply| reply.closed) else {
                return;
            };
            let closed = Event::Closed {
                name: request.name,
                term: request.term,
                unpledged: reply.unpledged,
            };
            let _ = events.send(closed).await;
        });
    }
}

/// Calls the control service of a machine. Returns `None`, and drops the connection, when the call
/// fails or takes longer than [`WITNESS_TIMEOUT`].
pub(super) async fn call_witness<T>(
    pool: &PeerPool,
    address: SocketAddr,
    call: impl AsyncFnOnce(ControlClient<SignedChannel>) -> Result<Response<T>, Status>,
) -> Option<T> {
    let exchange = async {
        let client = pool.control(address).await.ok()?;
        call(client).await.ok()
    };
    let reply = tokio::time::timeout(WITNESS_TIMEOUT, exchange).await;
    let reply = reply.ok().flatten();
    if reply.is_none() {
        pool.evict(address);
    }
    reply.map(Response::into_inner)
}
