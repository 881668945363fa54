//! Witnesses: confirming a coordinator without the store, and closing earlier terms.

use std::sync::Arc;
use std::time::Duration;

use ownership::record::WitnessRef;
use peers::wire::{CloseRequest, ConfirmRequest};
use platform::client::Store;
use world::key::Term;
use world::machine::Incarnation;
use world::moment::Moment;
use world::name::MachineName;

use crate::control::{Control, Event};

/// Longest wait for a witness's answer.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between two requests to close the earlier terms.
const CLOSE_PERIOD: Duration = Duration::from_millis(100);

impl<S: Store> Control<S> {
    /// Answers a coordinator that asks for this daemon's confirmation.
    pub(super) fn confirms(&self, cell: &str, term: Term, asked: Incarnation) -> bool {
        let own = self.shared.machine.load().incarnation;
        let known = self.member.term();
        let mine = cell == self.shared.settings.cell.as_str();
        mine && self.stopping.is_none() && self.witness.confirms(term, asked, own, known)
    }

    /// Promises never to confirm or hold a term again.
    pub(super) fn close_term(&mut self, cell: &str, term: Term) -> bool {
        if cell != self.shared.settings.cell.as_str() {
            return false;
        }
        self.witness.close(term);
        if self
            .role
            .as_ref()
            .is_some_and(|r| r.coordinator.term() <= term)
        {
            self.step_down("closed");
        }
        true
    }

    pub(super) fn on_confirmed(&mut self, witness: &WitnessRef, sent: Moment) {
        if let Some(role) = &mut self.role {
            role.renewal.on_witness_confirmed(witness, sent);
        }
    }

    pub(super) fn on_closed(&mut self, now: Moment, name: &MachineName, term: Term) {
        if let Some(role) = &mut self.role {
            role.closing.on_closed(now, name, term);
        }
    }

    /// Asks the witnesses to confirm the term when the store has been silent for a while.
    pub(super) fn ask_witnesses(&self, now: Moment) {
        let Some(role) = &self.role else { return };
        if !role.renewal.needs_witnesses(now) {
            return;
        }
        let term = role.coordinator.term();
        for witness in role.renewal.counting_witnesses() {
            self.ask_witness(now, term, witness.clone());
        }
    }

    fn ask_witness(&self, sent: Moment, term: Term, witness: WitnessRef) {
        let request = ConfirmRequest {
            cell: self.shared.settings.cell.to_string(),
            term: u64::from(term.0),
            incarnation: witness.incarnation.0,
        };
        let pool = Arc::clone(&self.pool);
        let events = self.events.clone();
        tokio::spawn(async move {
            let call = async {
                let mut client = pool.control(witness.address).await.ok()?;
                client.confirm(request).await.ok()
            };
            let reply = tokio::time::timeout(WITNESS_TIMEOUT, call).await;
            match reply {
                Ok(Some(reply)) if reply.get_ref().confirmed => {
                    let _ = events.send(Event::Confirmed { witness, sent }).await;
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => pool.forget(witness.address),
            }
        });
    }

    /// Asks for the promises that end the earlier terms, and lets this term grant from then on.
    pub(super) fn close_earlier_terms(&mut self, now: Moment) {
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
            self.ask_to_close(request);
        }
    }

    fn ask_to_close(&self, request: ownership::closing::Request) {
        let message = CloseRequest {
            cell: self.shared.settings.cell.to_string(),
            term: u64::from(request.term.0),
        };
        let pool = Arc::clone(&self.pool);
        let events = self.events.clone();
        tokio::spawn(async move {
            let call = async {
                let mut client = pool.control(request.address).await.ok()?;
                client.close(message).await.ok()
            };
            let reply = tokio::time::timeout(WITNESS_TIMEOUT, call).await;
            match reply {
                Ok(Some(reply)) if reply.get_ref().closed => {
                    let (name, term) = (request.name, request.term);
                    let _ = events.send(Event::Closed { name, term }).await;
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => pool.forget(request.address),
            }
        });
    }
}
