//! Simulated witnesses: confirm, close and endorse terms, and act for a lost coordinator.

use super::*;

impl Run {
    pub(super) fn on_confirm(
        &mut self,
        to: usize,
        from: usize,
        sent: BootInstant,
        request: &ConfirmRequest,
        witness: WitnessRef,
    ) {
        let node = &mut self.nodes[to];
        let local = node.local_state();
        let mut request = request.clone();
        if self.omission == Omission::WitnessLife {
            request.witness_incarnation = local.incarnation;
        }
        if self.omission == Omission::OneCandidate
            && request.term.is_acting()
            && let Some(endorsed) = &node.endorsed
        {
            request.coordinator = endorsed.clone();
        }
        let confirmed = node.witness.confirm(&request, local);
        if !confirmed || self.cut(to, from) {
            return;
        }
        let incarnation = self.nodes[from].machine.incarnation;
        let sequence = request.pledge.sequence;
        self.send(Delivery::Confirmed {
            to: from,
            incarnation,
            sent,
            witness,
            sequence,
        });
    }

    pub(super) fn on_close(&mut self, to: usize, from: usize, term: Term) {
        let promise = self.omission != Omission::Promise;
        let node = &mut self.nodes[to];
        if promise {
            node.witness.close(term);
        }
        if node
            .coordinator
            .as_ref()
            .is_some_and(|r| r.coordinator.term() <= term)
        {
            node.step_down();
        }
        let unpledged = node.last_held == Some((term.stored(), false));
        if !self.cut(to, from) {
            let incarnation = self.nodes[from].machine.incarnation;
            self.send(Delivery::Closed {
                to: from,
                incarnation,
                from: to,
                term,
                unpledged,
            });
        }
    }

    /// Announces a new coordinator to all machines.
    pub(super) fn announce(&mut self, from: usize, coordinator: &CoordinatorRef) {
        if !self.announcing {
            return;
        }
        for to in (0..MACHINES).filter(|to| *to != from) {
            self.send(Delivery::Adopt {
                to,
                from,
                coordinator: coordinator.clone(),
            });
        }
    }

    pub(super) fn on_adopt(&mut self, to: usize, coordinator: CoordinatorRef) {
        let now = self.local_time(to);
        let node = &mut self.nodes[to];
        if coordinator.term <= node.member.term() {
            return;
        }
        let term = coordinator.term;
        node.member.adopt(coordinator);
        let role = node.coordinator.as_ref();
        if role.is_some_and(|role| role.coordinator.term() < term) {
            node.step_down();
        }
        node.succession.on_contact(now);
        node.next_heartbeat = 0;
    }

    pub(super) fn on_endorse(&mut self, to: usize, from: usize, request: &EndorseRequest) {
        let now = self.local_time(to);
        let any = self.omission == Omission::OneCandidate;
        let node = &mut self.nodes[to];
        let local = node.local_state();
        let candidacy = node.candidacy.as_ref();
        let preempted = candidacy.is_some_and(|c| c.is_preempted_by(request)) || any;
        let missed = node.succession.has_missed_heartbeat(now);
        if !missed || !node.witness.endorse(request, local, preempted) {
            return;
        }
        node.endorsed = Some(request.candidate.clone());
        if preempted && !any {
            node.candidacy = None;
        }
        if !self.cut(to, from) {
            let incarnation = self.nodes[from].machine.incarnation;
            let term = request.term;
            self.send(Delivery::Endorsed {
                to: from,
                incarnation,
                from: to,
                term,
            });
        }
    }

    pub(super) fn on_endorsed(
        &mut self,
        to: usize,
        incarnation: Incarnation,
        from: usize,
        term: Term,
    ) {
        let now = self.local_time(to);
        let name = self.nodes[from].machine.name.clone();
        let node = &mut self.nodes[to];
        if node.machine.incarnation != incarnation {
            return;
        }
        let candidacy = node.candidacy.as_mut();
        let Some(candidacy) = candidacy.filter(|c| c.term() == term) else {
            return;
        };
        candidacy.on_endorsed(now, &name);
        if let Some(grants_from) = candidacy.grants_from() {
            self.act_for_coordinator(to, now, grants_from);
        }
    }

    /// Runs for the acting term when neither the coordinator nor the store responds.
    pub(super) fn run_for_acting_term(&mut self, index: usize, now: BootInstant) {
        let node = &mut self.nodes[index];
        if node.coordinator.is_some() {
            return;
        }
        let term = node.member.term();
        if node.candidacy.as_ref().is_some_and(|c| c.term() < term) {
            node.candidacy = None;
        }
        if !node.succession.has_missed_heartbeat(now) {
            return;
        }
        if node.candidacy.is_none() {
            let Some(witnesses) = node.witness.candidacy_witnesses(term).map(<[_]>::to_vec) else {
                return;
            };
            let Some(position) = candidacy::position(&witnesses, &node.machine.name) else {
                return;
            };
            if node.succession.last_write_lower_bound().is_none()
                || !node.succession.should_become_candidate(now, position)
            {
                return;
            }
            let local = node.local_state();
            let name = node.machine.name.clone();
            let candidacy = Candidacy::new(self.timing, term.acting(), witnesses, &name, now);
            let Some(candidacy) = candidacy else { return };
            let request = candidacy.request(&candidacy.witnesses()[position]);
            if !node.witness.endorse(&request, local, false) {
                return;
            }
            node.candidacy = Some(candidacy);
        }
        let Some(candidacy) = &self.nodes[index].candidacy else {
            return;
        };
        let asked = candidacy.pending_witnesses();
        let requests: Vec<(Option<usize>, EndorseRequest)> = asked
            .map(|witness| (index_of(&witness.name), candidacy.request(witness)))
            .collect();
        for (to, request) in requests {
            if let Some(to) = to {
                self.send(Delivery::Endorse {
                    to,
                    from: index,
                    request,
                });
            }
        }
    }

    pub(super) fn act_for_coordinator(
        &mut self,
        index: usize,
        now: BootInstant,
        grants_from: BootInstant,
    ) {
        let timing = self.timing;
        let grants_from = match self.omission {
            Omission::ActingWait => now,
            _ => grants_from,
        };
        let node = &mut self.nodes[index];
        let Some(candidacy) = node.candidacy.take() else {
            return;
        };
        let Some(store_confirmed) = node.succession.last_write_lower_bound() else {
            return;
        };
        if node.member.term() > candidacy.term() {
            return;
        }
        let record = CellRecord {
            cell: CellName::new("nord"),
            term: candidacy.term(),
            coordinator: node.machine.name.clone(),
            incarnation: node.machine.incarnation,
            address: node.machine.peer_address,
            write_id: 0,
            resigned: false,
            witnesses: candidacy.witnesses().to_vec(),
            open_terms: Vec::new(),
        };
        let me = record.coordinator_ref();
        node.coordinator = Some(Role {
            coordinator: Coordinator::new(timing, me.clone(), now, grants_from),
            renewal: Renewal::acting(timing, record, now, store_confirmed),
            closing: Closing::new(timing, Vec::new(), now),
            next_close: 0,
            started: self.step,
        });
        node.member.adopt(me.clone());
        self.acting_terms += 1;
        self.announce(index, &me);
    }

    /// Resigns from a term that has lost its witnesses' quorum or can't close the earlier ones.
    pub(super) fn resign_if_failing(&mut self, index: usize, now: BootInstant) {
        let node = &mut self.nodes[index];
        let Some(role) = &mut node.coordinator else {
            return;
        };
        let open = !role.closing.is_done() && self.step >= role.started + 50;
        if !role.renewal.has_lost_quorum(now) && !open {
            return;
        }
        let expected = role.renewal.version();
        role.renewal.resign(now);
        let record = role.renewal.start(now, self.serial * 16 + index as u64);
        node.step_down();
        node.succession
            .delay_take_over(now + Duration::from_secs(3));
        self.write_store(index, expected, record);
    }
}
