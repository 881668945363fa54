//! Replaces a lost coordinator while the store does not respond.
//!
//! A witness of the lost term asks the other witnesses for endorsement and, with enough of them,
//! coordinates under an acting term until a term can be taken through the store again.

use std::sync::Arc;
use std::time::Duration;

use ownership::candidacy::{self, Candidacy};
use ownership::closing::Closing;
use ownership::coordinator::Coordinator;
use ownership::record::{CellRecord, WitnessRef};
use ownership::renewal::Renewal;
use ownership::witness::{EndorseRequest, LocalState};
use peers::witnessing;
use store::client::{Object, Store};
use world::instant::BootInstant;
use world::key::Term;
use world::name::MachineName;

use crate::control::witnessing::call_witness;
use crate::control::{Control, Event};

/// Time between two rounds of endorsement requests.
const ENDORSE_PERIOD: Duration = Duration::from_millis(50);

impl<S: Store> Control<S> {
    /// State of this daemon that its decisions as a witness depend on.
    pub(super) fn own_state(&self) -> LocalState {
        LocalState {
            incarnation: self.shared.machine.load().incarnation,
            term: self.member.term(),
        }
    }

    /// Requests endorsements for the acting term while neither the coordinator nor the store
    /// responds.
    pub(super) fn seek_endorsements(&mut self, now: BootInstant) {
        if self.role.is_some() || self.shutdown.is_some() || now < self.next_endorse {
            return;
        }
        self.next_endorse = now + ENDORSE_PERIOD;
        let known_term = self.member.term();
        self.candidacy.take_if(|c| c.term() < known_term);
        if !self.succession.has_missed_heartbeat(now) {
            return;
        }
        if self.candidacy.is_none() {
            self.candidacy = self.start_candidacy(now);
        }
        let Some(candidacy) = &self.candidacy else {
            return;
        };
        for witness in candidacy.pending_witnesses() {
            self.request_endorsement(candidacy, witness);
        }
    }

    /// Returns a candidacy for the acting term if this daemon is an eligible witness, its delay by
    /// position among them has passed, and it endorses itself.
    fn start_candidacy(&mut self, now: BootInstant) -> Option<Candidacy> {
        let term = self.member.term();
        let name = &self.shared.settings.name;
        let witnesses = self.witness.candidacy_witnesses(term)?.to_vec();
        let position = candidacy::position(&witnesses, name)?;
        self.succession.last_write_lower_bound()?;
        if !self.succession.should_become_candidate(now, position) {
            return None;
        }
        let timing = self.shared.settings.timing;
        let candidacy = Candidacy::new(timing, term.acting(), witnesses, name, now)?;
        let request = candidacy.request(&candidacy.witnesses()[position]);
        if !self.witness.endorse(&request, self.own_state(), false) {
            return None;
        }
        log::info!(event = "standing", term = term.acting().0; "");
        Some(candidacy)
    }

    fn request_endorsement(&self, candidacy: &Candidacy, witness: &WitnessRef) {
        let request = candidacy.request(witness);
        let message = witnessing::endorse_to_wire(&self.shared.settings.cell, &request);
        let pool = Arc::clone(&self.pool);
        let events = self.events.clone();
        let (name, address, term) = (witness.name.clone(), witness.address, request.term);
        tokio::spawn(async move {
            let reply = call_witness(&pool, address, async |mut client| {
                client.endorse(message).await
            });
            if reply.await.is_some_and(|reply| reply.endorsed) {
                let _ = events.send(Event::Endorsed { name, term }).await;
            }
        });
    }

    /// Decides whether to endorse a candidate. A machine that still receives replies from its
    /// coordinator endorses nobody.
    pub(super) fn on_endorse_request(
        &mut self,
        now: BootInstant,
        cell: &str,
        request: &EndorseRequest,
    ) -> bool {
        let same_cell = cell == self.shared.settings.cell.as_str();
        if !same_cell || self.shutdown.is_some() || !self.succession.has_missed_heartbeat(now) {
            return false;
        }
        let candidacy = self.candidacy.as_ref();
        let preempted = candidacy.is_some_and(|c| c.is_preempted_by(request));
        let endorsed = self.witness.endorse(request, self.own_state(), preempted);
        if endorsed && preempted {
            self.candidacy = None;
        }
        endorsed
    }

    /// Counts an endorsement and starts acting once there are enough.
    pub(super) fn on_endorsed(&mut self, now: BootInstant, name: &MachineName, term: Term) {
        let candidacy = self.candidacy.as_mut().filter(|c| c.term() == term);
        let Some(candidacy) = candidacy else { return };
        candidacy.on_endorsed(now, name);
        if let Some(grants_from) = candidacy.grants_from() {
            self.start_acting(now, grants_from);
        }
    }

    /// Starts the acting term that enough witnesses have endorsed, unless a later term is known.
    fn start_acting(&mut self, now: BootInstant, grants_from: BootInstant) {
        let Some(candidacy) = self.candidacy.take() else {
            return;
        };
        let floor = self.succession.last_write_lower_bound();
        let superseded = self.member.term() > candidacy.term();
        let Some(floor) = floor.filter(|_| !superseded) else {
            return;
        };
        let timing = self.shared.settings.timing;
        let witnesses = candidacy.witnesses().to_vec();
        let record = self.own_record(candidacy.term(), 0, witnesses, Vec::new());
        let identity = record.coordinator_ref();
        log::info!(event = "term_taken", term = identity.term.0, acting = true; "");
        self.shared.counters.take_overs.add();
        self.announce_term(&identity);
        let coordinator = Coordinator::new(timing, identity, now, grants_from);
        let renewal = Renewal::acting(timing, record, now, floor);
        let closing = Closing::new(timing, Vec::new(), now);
        self.start_coordinating(now, now, coordinator, renewal, closing);
    }

    /// Takes the next term through the store, which responds again, or steps down when the record
    /// shows that another daemon has taken a later one.
    pub(super) fn on_store_regained(
        &mut self,
        now: BootInstant,
        record: &CellRecord,
        object: &Object,
    ) {
        let own_term = self.role.as_ref().map(|r| r.coordinator.term());
        if own_term.is_some_and(|term| record.term > term) {
            self.step_down("overtaken");
            self.member.adopt(record.coordinator_ref());
            return;
        }
        self.succession.on_version(object.version, now);
        if !self.writing && self.shutdown.is_none() {
            self.claim_term(now, object.version, Some(record));
        }
    }
}
