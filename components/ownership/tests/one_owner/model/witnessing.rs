//! Witnesses: confirming, closing, endorsing, and acting for a lost coordinator.

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
        let own = node.own();
        let mut request = request.clone();
        if self.omission == Omission::WitnessLife {
            request.asked = own.incarnation;
        }
        if self.omission == Omission::OneCandidate
            && request.term.is_acting()
            && let Some(endorsed) = &node.endorsed
        {
            request.coordinator = endorsed.clone();
        }
        let confirmed = node.witness.confirms(&request, own);
        if !confirmed || self.cut(to, from) {
            return;
        }
        let incarnation = self.nodes[from].machine.incarnation;
        let number = request.notice.number;
        self.send(Delivery::Confirmed {
            to: from,
            incarnation,
            sent,
            witness,
            number,
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

    /// Tells all machines who coordinates now.
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
        let now = self.local(to);
        let node = &mut self.nodes[to];
        if coordinator.term <= node.member.term() {
            return;
        }
        let term = coordinator.term;
        node.member.adopt(coordinator);
        let held = node.coordinator.as_ref();
        if held.is_some_and(|role| role.coordinator.term() < term) {
            node.step_down();
        }
        node.succession.on_contact(now);
        node.next_beat = 0;
    }

    pub(super) fn on_endorse(&mut self, to: usize, from: usize, request: &EndorseRequest) {
        let now = self.local(to);
        let any = self.omission == Omission::OneCandidate;
        let node = &mut self.nodes[to];
        let own = node.own();
        let candidacy = node.candidacy.as_ref();
        let yields = candidacy.is_some_and(|c| c.yields_to(request)) || any;
        let missed = node.succession.has_missed(now);
        if !missed || !node.witness.endorses(request, own, yields) {
            return;
        }
        node.endorsed = Some(request.candidate.clone());
        if yields && !any {
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
        let now = self.local(to);
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

    /// Stands for the acting term when neither the coordinator nor the store answers.
    pub(super) fn stand(&mut self, index: usize, now: BootInstant) {
        let node = &mut self.nodes[index];
        if node.coordinator.is_some() {
            return;
        }
        let term = node.member.term();
        if node.candidacy.as_ref().is_some_and(|c| c.term() < term) {
            node.candidacy = None;
        }
        if !node.succession.has_missed(now) {
            return;
        }
        if node.candidacy.is_none() {
            let Some(witnesses) = node.witness.electorate(term).map(<[_]>::to_vec) else {
                return;
            };
            let Some(position) = candidacy::position(&witnesses, &node.machine.name) else {
                return;
            };
            if node.succession.store_floor().is_none()
                || !node.succession.should_stand(now, position)
            {
                return;
            }
            let own = node.own();
            let name = node.machine.name.clone();
            let candidacy = Candidacy::new(self.timing, term.acting(), witnesses, &name, now);
            let Some(candidacy) = candidacy else { return };
            let request = candidacy.request(&candidacy.witnesses()[position]);
            if !node.witness.endorses(&request, own, false) {
                return;
            }
            node.candidacy = Some(candidacy);
        }
        let Some(candidacy) = &self.nodes[index].candidacy else {
            return;
        };
        let asked = candidacy.requests();
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
        let Some(floor) = node.succession.store_floor() else {
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
            renewal: Renewal::acting(timing, record, now, floor),
            closing: Closing::new(timing, Vec::new(), now),
            next_close: 0,
            started: self.step,
        });
        node.member.adopt(me.clone());
        self.acting_terms += 1;
        self.announce(index, &me);
    }

    /// Gives up a term whose witnesses are silent, or that can't close the earlier ones.
    pub(super) fn resign_if_failing(&mut self, index: usize, now: BootInstant) {
        let node = &mut self.nodes[index];
        let Some(role) = &mut node.coordinator else {
            return;
        };
        let open = !role.closing.is_done() && self.step >= role.started + 50;
        if !role.renewal.is_starved(now) && !open {
            return;
        }
        let expected = role.renewal.version();
        role.renewal.resign(now);
        let record = role.renewal.start(now, self.serial * 16 + index as u64);
        node.step_down();
        node.succession.hold_off(now + Duration::from_secs(3));
        self.write_store(index, expected, record);
    }
}
