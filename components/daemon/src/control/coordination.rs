//! Coordinator role: takes, renews and gives up the cell's term, and answers heartbeats.
//!
//! At most one write of the cell's record is in flight at a time.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ownership::closing::Closing;
use ownership::coordinator::Coordinator;
use ownership::heartbeat::{Reply, Request};
use ownership::record::{CellRecord, OpenTerm, WitnessRef};
use ownership::renewal::{Renewal, TermStatus};
use ownership::succession::Action;
use peers::convert;
use peers::wire::HeartbeatReply;
use store::client::{Object, PutOutcome, Store};
use world::instant::BootInstant;
use world::key::Term;

use crate::control::{
    Control, CoordinatorRole, Event, PastTerm, PendingClaim, RecordRead, RecordWritten, WriteKind,
};

/// Shortest time between two announcements of changed routes to the members.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(40);

/// Time without a heartbeat from any other member after which a coordinator gives its term up.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Fewest other members for isolation to be assumed.
const ISOLATION_MIN_MEMBERS: usize = 2;

/// Time after which a coordinator that can't close the earlier terms resigns, as another daemon may
/// reach more witnesses.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a daemon that gave its term up does not take a new one.
const RESIGN_HOLD_OFF: Duration = Duration::from_secs(1);

impl<S: Store> Control<S> {
    /// Does the periodic work of the coordinator: closes earlier terms, chooses witnesses, expires
    /// members, announces changed routes and renews the term. Resigns when it can no longer serve.
    pub(super) fn coordinate(&mut self, now: BootInstant) {
        self.advance_closing(now);
        let Some(role) = &mut self.role else { return };
        let recorded = role.renewal.record().witnesses.clone();
        let witnesses = role.coordinator.choose_witnesses(&recorded);
        let zones_differ = role.coordinator.are_in_distinct_zones(&witnesses);
        role.renewal.update_pledge(now, zones_differ, &witnesses);
        role.renewal.set_witnesses(witnesses);
        role.coordinator.tick(now, role.renewal.authority_until());
        if let Some(reason) = resign_reason(role, now) {
            log::warn!(event = "giving_up", reason = reason, term = role.coordinator.term().0; "");
            return self.resign(now);
        }
        let version = role.coordinator.routes().version;
        if version != role.announced_version && now >= role.next_announcement {
            role.announced_version = version;
            role.next_announcement = now + ANNOUNCE_PERIOD;
            let identity = role.coordinator.identity().clone();
            self.announce_term(&identity);
        }
        self.renew_term(now);
    }

    /// Renews the term at the store and at the witnesses when renewal is due. An acting coordinator
    /// only reads from the store, to find out whether it responds again.
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
        self.request_confirmations(now);
    }

    /// Writes the record in the background if it is still at version `expected`.
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
            self.succession.on_store_response(now);
        }
        let object = match read.result {
            Ok(object) => object,
            Err(error) => {
                log::debug!(event = "record_unread", error = error.to_string().as_str(); "");
                return;
            }
        };
        let Some(object) = object else {
            return self.try_take_over(now, None);
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
                return self.on_store_regained(now, record, object);
            }
            if role.renewal.on_read_back(record, object.version) == TermStatus::Lost {
                self.step_down("overtaken");
            }
            self.member.adopt(record.coordinator_ref());
            return;
        }
        let adopted = record.term > self.member.term();
        self.member.adopt(record.coordinator_ref());
        self.succession.on_record(record, object.version, now);
        if adopted && !self.is_own_or_resigned(record) {
            // A newly discovered coordinator has one suspicion timeout to reply.
            self.succession.on_contact(now);
            self.force_heartbeat(now);
            return;
        }
        self.try_take_over(now, Some(record));
    }

    /// Returns whether the record names no other daemon that could be coordinating.
    fn is_own_or_resigned(&self, record: &CellRecord) -> bool {
        record.coordinator == self.shared.settings.name || record.resigned
    }

    /// Claims the next term if succession is due, given that the record was just read.
    fn try_take_over(&mut self, now: BootInstant, previous: Option<&CellRecord>) {
        if self.writing || self.shutdown.is_some() {
            return;
        }
        let Action::TakeOver(expected) = self.succession.next_action(now, true) else {
            return;
        };
        self.claim_term(now, expected, previous);
    }

    /// Requests that the record at version `expected` be replaced by one with the next term.
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
        let unconfirmed_since = self.succession.version_since().unwrap_or(now);
        self.claim = Some(PendingClaim {
            record: record.clone(),
            sent: now,
            unconfirmed_since,
        });
        self.write_record(WriteKind::TakeOver, expected, &record);
    }

    /// Returns a record that names this daemon as coordinator.
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
            unconfirmed_since,
        } = claim;
        let timing = self.shared.settings.timing;
        let identity = record.coordinator_ref();
        log::info!(event = "term_taken", term = identity.term.0, version = version; "");
        self.shared.counters.take_overs.add();
        self.announce_term(&identity);
        // A daemon that is still acting under the previous term already has proof that the earlier
        // terms have ended, so there is nothing to close.
        let acting_role = self.role.take().filter(|role| {
            role.renewal.is_acting() && role.coordinator.term().next_stored() == identity.term
        });
        let closing = match acting_role {
            Some(_) => Closing::new(timing, Vec::new(), now),
            None => Closing::new(timing, record.open_terms.clone(), unconfirmed_since),
        };
        let grants_from = closing.grants_from().unwrap_or(now);
        let coordinator = match acting_role {
            Some(role) => role.coordinator.promote(identity.clone()),
            None => Coordinator::new(timing, identity.clone(), now, grants_from),
        };
        let renewal = Renewal::new(timing, record, version, sent);
        self.start_coordinating(now, now + timing.renewal, coordinator, renewal, closing);
    }

    /// Starts to coordinate under a term whose first renewal is due at `next_renewal`.
    pub(super) fn start_coordinating(
        &mut self,
        now: BootInstant,
        next_renewal: BootInstant,
        coordinator: Coordinator,
        renewal: Renewal,
        closing: Closing,
    ) {
        let identity = coordinator.identity().clone();
        self.role = Some(CoordinatorRole {
            started: now,
            coordinator,
            renewal,
            closing,
            next_close: now,
            _lists_watch: self.watch_lists(),
            lists: self.lists_document(),
            next_renewal,
            announced_version: 0,
            next_announcement: now,
        });
        self.member.adopt(identity);
        self.force_heartbeat(now);
    }

    /// Asks every machine of the route table to send a heartbeat to the coordinator `identity` at
    /// once.
    pub(super) fn announce_term(&self, identity: &ownership::heartbeat::CoordinatorRef) {
        let message = convert::adopt_to_wire(&self.shared.settings.cell, identity);
        for machine in &self.shared.routes.load().machines {
            if machine.name == identity.name {
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

    /// Returns the reply to a member. Refuses, and names the known coordinator of the cell, when
    /// this daemon does not coordinate it.
    pub(super) fn on_heartbeat(&mut self, now: BootInstant, request: &Request) -> HeartbeatReply {
        let coordinator = self.member.coordinator().cloned();
        let same_cell = request.cell == self.shared.settings.cell;
        let Some(role) = self.role.as_mut().filter(|_| same_cell) else {
            return convert::heartbeat_reply_to_wire(&Reply::Refused(
                coordinator.filter(|_| same_cell),
            ));
        };
        let until = role.renewal.authority_until();
        let version = role.renewal.version();
        let reply = role.coordinator.on_heartbeat(now, until, version, request);
        let mut message = convert::heartbeat_reply_to_wire(&reply);
        if message.accepted {
            let relayed = role.lists.as_ref().map_or(0, |l| l.version);
            message.want_lists = request.lists_version > relayed;
            message.lists = role
                .lists
                .as_ref()
                .filter(|l| l.version > request.lists_version)
                .cloned();
        }
        message
    }

    /// Steps down when a later term is known.
    pub(super) fn step_down_if_superseded(&mut self) {
        let term = self.member.term();
        if self
            .role
            .as_ref()
            .is_some_and(|r| r.coordinator.term() < term)
        {
            self.step_down("overtaken");
        }
    }

    /// Stops coordinating and remembers the term; the stored record is left unchanged.
    pub(super) fn step_down(&mut self, reason: &str) {
        if let Some(role) = self.role.take() {
            self.last_term = Some(PastTerm {
                term: role.coordinator.term(),
                pledged: role.renewal.is_pledged(),
            });
            log::warn!(event = "term_lost", reason = reason; "");
            self.shared.counters.terms_lost.add();
        }
    }

    /// Gives the term up and records that, so that a successor need not wait until it suspects this
    /// daemon.
    pub(super) fn resign(&mut self, now: BootInstant) {
        let Some(role) = &mut self.role else { return };
        let expected = role.renewal.version();
        let acting = role.renewal.is_acting();
        role.renewal.resign(now);
        let record = role.renewal.start(now, rand::random());
        self.step_down("resigned");
        self.succession.delay_take_over(now + RESIGN_HOLD_OFF);
        if acting {
            return;
        }
        self.write_record(WriteKind::Resignation, expected, &record);
    }
}

/// Returns why the coordinator should resign, or `None` when it should go on.
fn resign_reason(role: &CoordinatorRole, now: BootInstant) -> Option<&'static str> {
    if is_isolated(&role.coordinator, now) {
        return Some("isolated");
    }
    if role.renewal.has_lost_quorum(now) {
        return Some("no-witnesses");
    }
    let timed_out = now.since(role.started) >= CLOSING_TIMEOUT;
    (timed_out && !role.closing.is_done()).then_some("earlier-terms-open")
}

fn is_isolated(coordinator: &Coordinator, now: BootInstant) -> bool {
    let timed_out = coordinator
        .last_heartbeat_of_others()
        .is_some_and(|at| now.since(at) > ISOLATION_TIMEOUT);
    timed_out && coordinator.other_member_count() >= ISOLATION_MIN_MEMBERS
}
