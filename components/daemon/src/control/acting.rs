//! Acting for a lost coordinator while the store is silent.

use std::sync::Arc;
use std::time::Duration;

use ownership::candidacy::{self, Candidacy};
use ownership::closing::Closing;
use ownership::coordinator::Coordinator;
use ownership::record::{CellRecord, WitnessRef};
use ownership::renewal::Renewal;
use ownership::witness::{EndorseRequest, Own};
use peers::witnessing;
use store::client::{Object, Store};
use world::instant::BootInstant;
use world::key::Term;
use world::name::MachineName;

use crate::control::witnessing::ask;
use crate::control::{Control, Event};

/// Time between two requests for endorsement.
const STAND_PERIOD: Duration = Duration::from_millis(50);

impl<S: Store> Control<S> {
    /// What this daemon knows of itself as a witness.
    pub(super) fn own(&self) -> Own {
        Own {
            incarnation: self.shared.machine.load().incarnation,
            known: self.member.term(),
        }
    }

    /// Stands for the acting term when neither the coordinator nor the store answers.
    pub(super) fn stand(&mut self, now: BootInstant) {
        if self.role.is_some() || self.stopping.is_some() || now < self.next_stand {
            return;
        }
        self.next_stand = now + STAND_PERIOD;
        let known = self.member.term();
        self.candidacy.take_if(|c| c.term() < known);
        if !self.succession.has_missed(now) {
            return;
        }
        if self.candidacy.is_none() {
            self.candidacy = self.start_candidacy(now);
        }
        let Some(candidacy) = &self.candidacy else {
            return;
        };
        for witness in candidacy.requests() {
            self.ask_to_endorse(candidacy, witness);
        }
    }

    fn start_candidacy(&mut self, now: BootInstant) -> Option<Candidacy> {
        let term = self.member.term();
        let name = &self.shared.settings.name;
        let witnesses = self.witness.electorate(term)?.to_vec();
        let position = candidacy::position(&witnesses, name)?;
        self.succession.store_floor()?;
        if !self.succession.should_stand(now, position) {
            return None;
        }
        let timing = self.shared.settings.timing;
        let candidacy = Candidacy::new(timing, term.acting(), witnesses, name, now)?;
        let request = candidacy.request(&candidacy.witnesses()[position]);
        if !self.witness.endorses(&request, self.own(), false) {
            return None;
        }
        log::info!(event = "standing", term = term.acting().0; "");
        Some(candidacy)
    }

    fn ask_to_endorse(&self, candidacy: &Candidacy, witness: &WitnessRef) {
        let request = candidacy.request(witness);
        let message = witnessing::endorse_to_wire(&self.shared.settings.cell, &request);
        let pool = Arc::clone(&self.pool);
        let events = self.events.clone();
        let (name, address, term) = (witness.name.clone(), witness.address, request.term);
        tokio::spawn(async move {
            let reply = ask(&pool, address, async |mut client| {
                client.endorse(message).await
            });
            if reply.await.is_some_and(|reply| reply.endorsed) {
                let _ = events.send(Event::Endorsed { name, term }).await;
            }
        });
    }

    /// Answers a candidate. A machine that still hears its coordinator endorses nobody.
    pub(super) fn endorses(
        &mut self,
        now: BootInstant,
        cell: &str,
        request: &EndorseRequest,
    ) -> bool {
        let mine = cell == self.shared.settings.cell.as_str();
        if !mine || self.stopping.is_some() || !self.succession.has_missed(now) {
            return false;
        }
        let candidacy = self.candidacy.as_ref();
        let yields = candidacy.is_some_and(|c| c.yields_to(request));
        let endorsed = self.witness.endorses(request, self.own(), yields);
        if endorsed && yields {
            self.candidacy = None;
        }
        endorsed
    }

    pub(super) fn on_endorsed(&mut self, now: BootInstant, name: &MachineName, term: Term) {
        let candidacy = self.candidacy.as_mut().filter(|c| c.term() == term);
        let Some(candidacy) = candidacy else { return };
        candidacy.on_endorsed(now, name);
        if let Some(grants_from) = candidacy.grants_from() {
            self.act(now, grants_from);
        }
    }

    /// Takes up the acting term that this daemon has won.
    fn act(&mut self, now: BootInstant, grants_from: BootInstant) {
        let Some(candidacy) = self.candidacy.take() else {
            return;
        };
        let floor = self.succession.store_floor();
        let overtaken = self.member.term() > candidacy.term();
        let Some(floor) = floor.filter(|_| !overtaken) else {
            return;
        };
        let timing = self.shared.settings.timing;
        let witnesses = candidacy.witnesses().to_vec();
        let record = self.own_record(candidacy.term(), 0, witnesses, Vec::new());
        let me = record.coordinator_ref();
        log::info!(event = "term_taken", term = me.term.0, acting = true; "");
        self.shared.counters.take_overs.add();
        self.announce_term(&me);
        let coordinator = Coordinator::new(timing, me, now, grants_from);
        let renewal = Renewal::acting(timing, record, now, floor);
        let closing = Closing::new(timing, Vec::new(), now);
        self.hold_term(now, now, coordinator, renewal, closing);
    }

    /// Takes the next term through the store, which answers again; or finds that another
    /// daemon has done so.
    pub(super) fn on_record_while_acting(
        &mut self,
        now: BootInstant,
        record: &CellRecord,
        object: &Object,
    ) {
        let held = self.role.as_ref().map(|r| r.coordinator.term());
        if held.is_some_and(|term| record.term > term) {
            self.step_down("overtaken");
            self.member.adopt(record.coordinator_ref());
            return;
        }
        self.succession.on_version(object.version, now);
        if !self.writing && self.stopping.is_none() {
            self.claim_term(now, object.version, Some(record));
        }
    }
}
