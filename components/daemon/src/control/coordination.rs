//! The coordinator's part: taking, renewing and losing the cell's term.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ownership::closing::Closing;
use ownership::coordinator::Coordinator;
use ownership::heartbeat::{Reply, Request};
use ownership::record::{CellRecord, OpenTerm, WitnessRef};
use ownership::renewal::{Claim, Renewal};
use ownership::succession::Step;
use peers::convert;
use peers::wire::HeartbeatReply;
use store::client::{Object, PutOutcome, Store};
use world::instant::BootInstant;
use world::key::Term;

use crate::control::{
    Control, Event, HeldTerm, PendingClaim, RecordRead, RecordWritten, Role, WriteKind,
};

/// Shortest time between two rounds of telling members that ownership has changed.
const TELLING_PERIOD: Duration = Duration::from_millis(40);

/// Silence of all other members after which a coordinator gives its term up.
const ISOLATION: Duration = Duration::from_millis(1_500);

/// Fewest other members whose silence counts as isolation.
const ISOLATION_MEMBERS: usize = 2;

/// Time after which a coordinator that can't close the earlier terms leaves it to others, who may
/// reach more witnesses.
const CLOSING_PATIENCE: Duration = Duration::from_millis(500);

/// Time for which a coordinator that gave its term up leaves it to others.
const HOLD_OFF: Duration = Duration::from_secs(1);

impl<S: Store> Control<S> {
    /// Renews the term, acts on lapsed members, and gives the term up when isolated.
    pub(super) fn coordinate(&mut self, now: BootInstant) {
        self.close_earlier_terms(now);
        let Some(role) = &mut self.role else { return };
        let listed = role.renewal.record().witnesses.clone();
        let witnesses = role.coordinator.choose_witnesses(&listed);
        let standing = role.coordinator.are_apart(&witnesses);
        role.renewal.review_pledge(now, standing, &witnesses);
        role.renewal.set_witnesses(witnesses);
        role.coordinator.tick(now, role.renewal.authority_until());
        if let Some(reason) = failing(role, now) {
            log::warn!(event = "giving_up", reason = reason, term = role.coordinator.term().0; "");
            return self.resign(now);
        }
        let version = role.coordinator.routes().version;
        if version != role.told_version && now >= role.next_telling {
            role.told_version = version;
            role.next_telling = now + TELLING_PERIOD;
            let me = role.coordinator.identity().clone();
            self.announce_term(&me);
        }
        self.renew_term(now);
    }

    /// Renews the term when it is due: at the store, which an acting coordinator only reads to see
    /// whether it answers, and at the witnesses.
    fn renew_term(&mut self, now: BootInstant) {
        let Some(role) = &mut self.role else { return };
        if now < role.next_renewal {
            return;
        }
        role.next_renewal = now + self.shared.settings.timing.renewal;
        if role.renewal.is_acting() {
            self.read_record();
        } else if !self.writing {
            let expected = role.renewal.version();
            let record = role.renewal.start(now, rand::random());
            self.write_record(WriteKind::Renewal, expected, &record);
        }
        self.ask_witnesses(now);
    }

    fn write_record(&mut self, kind: WriteKind, expected: u64, record: &CellRecord) {
        self.writing = true;
        let store = self.store.clone();
        let name = self.record_name();
        let events = self.events.clone();
        let value = Bytes::from(record.to_bytes());
        let write_id = record.write_id;
        tokio::spawn(async move {
            let result = store.put(&name, expected, value).await;
            let written = RecordWritten {
                kind,
                write_id,
                result,
            };
            let _ = events.send(Event::RecordWritten(written)).await;
        });
    }

    pub(super) fn on_record_written(&mut self, now: BootInstant, written: RecordWritten) {
        self.writing = false;
        let RecordWritten {
            kind,
            write_id,
            result,
        } = written;
        match (kind, result) {
            (WriteKind::TakeOver, Ok(PutOutcome::Written(version))) => {
                if let Some(claim) = self.claim.take() {
                    self.become_coordinator(now, claim, version);
                }
            }
            (WriteKind::TakeOver, Ok(PutOutcome::Conflict(_))) => self.claim = None,
            (WriteKind::TakeOver, Err(error)) => {
                log::warn!(event = "take_over_unsettled", error = error.to_string().as_str(); "");
                self.read_record();
            }
            (WriteKind::Renewal, Ok(PutOutcome::Written(version))) => {
                if let Some(role) = &mut self.role {
                    role.renewal.on_confirmed(write_id, version);
                }
            }
            (WriteKind::Renewal, Ok(PutOutcome::Conflict(_)) | Err(_)) => self.read_record(),
            (WriteKind::Resignation, _) => {}
        }
    }

    pub(super) fn on_record_read(&mut self, now: BootInstant, read: RecordRead) {
        self.reading = false;
        if read.result.is_ok() {
            self.succession.on_store_answer(now);
        }
        let object = match read.result {
            Ok(object) => object,
            Err(error) => {
                log::debug!(event = "record_unread", error = error.to_string().as_str(); "");
                return;
            }
        };
        let Some(object) = object else {
            return self.step_forward(now, None);
        };
        match CellRecord::from_bytes(&object.value) {
            Ok(record) => self.on_record(now, &record, &object),
            Err(error) => {
                let object = self.record_name();
                log::error!(
                    event = "record_malformed",
                    object = object.as_str(),
                    error = error.to_string().as_str();
                    ""
                );
            }
        }
    }

    fn on_record(&mut self, now: BootInstant, record: &CellRecord, object: &Object) {
        if let Some(claim) = self.claim.take()
            && claim.record.write_id == record.write_id
        {
            return self.become_coordinator(now, claim, object.version);
        }
        if let Some(role) = &mut self.role {
            if role.renewal.is_acting() {
                return self.on_record_while_acting(now, record, object);
            }
            if role.renewal.on_read_back(record, object.version) == Claim::Lost {
                self.step_down("overtaken");
            }
            self.member.adopt(record.coordinator_ref());
            return;
        }
        let adopted = record.term > self.member.term();
        self.member.adopt(record.coordinator_ref());
        self.succession.on_record(record, object.version, now);
        if adopted && !self.names_me(record) {
            // The coordinator just learned of gets the time of one suspicion to answer.
            self.succession.on_contact(now);
            self.beat_at_once(now);
            return;
        }
        self.step_forward(now, Some(record));
    }

    fn names_me(&self, record: &CellRecord) -> bool {
        record.coordinator == self.shared.settings.name || record.resigned
    }

    /// Takes the term over if the time has come, given that the record was just read.
    fn step_forward(&mut self, now: BootInstant, previous: Option<&CellRecord>) {
        if self.writing || self.stopping.is_some() {
            return;
        }
        let Step::TakeOver(expected) = self.succession.step(now, true) else {
            return;
        };
        self.claim_term(now, expected, previous);
    }

    /// Replaces the record at version `expected` by one with the next term.
    pub(super) fn claim_term(
        &mut self,
        now: BootInstant,
        expected: u64,
        previous: Option<&CellRecord>,
    ) {
        let previous_term = previous.map_or(Term(0), |r| r.term);
        let term = previous_term.max(self.member.term()).next_stored();
        let open_terms = previous.map(CellRecord::terms_to_close);
        let write_id = rand::random();
        let record = self.own_record(term, write_id, Vec::new(), open_terms.unwrap_or_default());
        let store_ended = self.succession.version_since().unwrap_or(now);
        self.claim = Some(PendingClaim {
            record: record.clone(),
            sent: now,
            store_ended,
        });
        self.write_record(WriteKind::TakeOver, expected, &record);
    }

    /// A record that names this daemon as coordinator.
    pub(super) fn own_record(
        &self,
        term: Term,
        write_id: u64,
        witnesses: Vec<WitnessRef>,
        open_terms: Vec<OpenTerm>,
    ) -> CellRecord {
        let machine = self.shared.machine.load();
        CellRecord {
            cell: self.shared.settings.cell.clone(),
            term,
            coordinator: machine.name.clone(),
            incarnation: machine.incarnation,
            address: machine.peer_address,
            write_id,
            resigned: false,
            witnesses,
            open_terms,
        }
    }

    fn become_coordinator(&mut self, now: BootInstant, claim: PendingClaim, version: u64) {
        let PendingClaim {
            record,
            sent,
            store_ended,
        } = claim;
        let timing = self.shared.settings.timing;
        let me = record.coordinator_ref();
        log::info!(event = "term_taken", term = me.term.0, version = version; "");
        self.shared.counters.take_overs.add();
        self.announce_term(&me);
        // A daemon that still acts for the term before holds the proof that it has ended.
        let acted = self.role.take().filter(|role| {
            role.renewal.is_acting() && role.coordinator.term().next_stored() == me.term
        });
        let closing = match acted {
            Some(_) => Closing::new(timing, Vec::new(), now),
            None => Closing::new(timing, record.open_terms.clone(), store_ended),
        };
        let grants_from = closing.grants_from().unwrap_or(now);
        let coordinator = match acted {
            Some(role) => role.coordinator.promote(me.clone()),
            None => Coordinator::new(timing, me.clone(), now, grants_from),
        };
        let renewal = Renewal::new(timing, record, version, sent);
        self.hold_term(now, now + timing.renewal, coordinator, renewal, closing);
    }

    /// Starts to coordinate under a term, to be renewed first at `next_renewal`.
    pub(super) fn hold_term(
        &mut self,
        now: BootInstant,
        next_renewal: BootInstant,
        coordinator: Coordinator,
        renewal: Renewal,
        closing: Closing,
    ) {
        let me = coordinator.identity().clone();
        self.role = Some(Role {
            started: now,
            coordinator,
            renewal,
            closing,
            next_close: now,
            _lists_watch: self.watch_lists(),
            lists: self.lists_document(),
            next_renewal,
            told_version: 0,
            next_telling: now,
        });
        self.member.adopt(me);
        self.beat_at_once(now);
    }

    /// Tells the members that this daemon knows of to send a heartbeat to it at once.
    pub(super) fn announce_term(&self, me: &ownership::heartbeat::CoordinatorRef) {
        let message = convert::adopt_to_wire(&self.shared.settings.cell, me);
        for machine in &self.shared.routes.load().machines {
            if machine.name == me.name {
                continue;
            }
            let pool = Arc::clone(&self.pool);
            let message = message.clone();
            let address = machine.peer_address;
            tokio::spawn(async move {
                if let Ok(mut client) = pool.control(address).await {
                    let _ = client.adopt(message).await;
                }
            });
        }
    }

    pub(super) fn on_heartbeat(&mut self, now: BootInstant, request: &Request) -> HeartbeatReply {
        let known = self.member.coordinator().cloned();
        let mine = request.cell == self.shared.settings.cell;
        let Some(role) = self.role.as_mut().filter(|_| mine) else {
            return convert::heartbeat_reply_to_wire(&Reply::Refused(known.filter(|_| mine)));
        };
        let until = role.renewal.authority_until();
        let version = role.renewal.version();
        let reply = role.coordinator.on_heartbeat(now, until, version, request);
        let mut message = convert::heartbeat_reply_to_wire(&reply);
        if message.accepted {
            let known = role.lists.as_ref().map_or(0, |l| l.version);
            message.want_lists = request.lists_version > known;
            message.lists = role
                .lists
                .as_ref()
                .filter(|l| l.version > request.lists_version)
                .cloned();
        }
        message
    }

    pub(super) fn step_down_if_overtaken(&mut self) {
        let term = self.member.term();
        if self
            .role
            .as_ref()
            .is_some_and(|r| r.coordinator.term() < term)
        {
            self.step_down("overtaken");
        }
    }

    pub(super) fn step_down(&mut self, reason: &str) {
        if let Some(role) = self.role.take() {
            self.last_held = Some(HeldTerm {
                term: role.coordinator.term(),
                pledged: role.renewal.is_pledged(),
            });
            log::warn!(event = "term_lost", reason = reason; "");
            self.shared.counters.terms_lost.add();
        }
    }

    /// Gives the term up, so that a successor need not suspect this daemon first.
    pub(super) fn resign(&mut self, now: BootInstant) {
        let Some(role) = &mut self.role else { return };
        let expected = role.renewal.version();
        let acting = role.renewal.is_acting();
        role.renewal.resign(now);
        let record = role.renewal.start(now, rand::random());
        self.step_down("resigned");
        self.succession.hold_off(now + HOLD_OFF);
        if acting {
            return;
        }
        self.write_record(WriteKind::Resignation, expected, &record);
    }
}

/// Why a coordinator should leave the term to others, when it should.
fn failing(role: &Role, now: BootInstant) -> Option<&'static str> {
    if is_isolated(&role.coordinator, now) {
        return Some("isolated");
    }
    if role.renewal.is_starved(now) {
        return Some("no-witnesses");
    }
    let late = now.since(role.started) >= CLOSING_PATIENCE;
    (late && !role.closing.is_done()).then_some("earlier-terms-open")
}

fn is_isolated(coordinator: &Coordinator, now: BootInstant) -> bool {
    let silent = coordinator
        .others_heard()
        .is_some_and(|heard| now.since(heard) > ISOLATION);
    silent && coordinator.others() >= ISOLATION_MEMBERS
}
