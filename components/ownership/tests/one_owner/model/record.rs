//! The simulated store, and take-overs of the term through it.

use super::*;

impl Run {
    pub(super) fn on_store_write(
        &mut self,
        from: usize,
        incarnation: Incarnation,
        expected: u64,
        record: CellRecord,
    ) {
        if self.active(|k| matches!(k, FaultKind::StoreDown)) {
            return;
        }
        let current = self.store.as_ref().map_or(0, |(_, v)| *v);
        let outcome = if current == expected {
            let version = expected + 1;
            let write_id = record.write_id;
            self.store = Some((record, version));
            Outcome::Written { write_id, version }
        } else {
            let (found, version) = self.store.clone().expect("a conflict has a record");
            Outcome::Conflict(found, version)
        };
        self.answer_store(from, incarnation, outcome);
    }

    pub(super) fn answer_store(&mut self, to: usize, incarnation: Incarnation, outcome: Outcome) {
        let lost = self.active(|k| matches!(k, FaultKind::AnswersLost));
        if !lost {
            self.send(Delivery::StoreAnswer {
                to,
                incarnation,
                outcome,
            });
        }
    }

    pub(super) fn read_store(&mut self, index: usize) {
        let cut = self.active(|k| matches!(k, FaultKind::CutStore(i) if i == index));
        let down = self.active(|k| matches!(k, FaultKind::StoreDown));
        if cut || down {
            return;
        }
        let incarnation = self.nodes[index].machine.incarnation;
        let outcome = Outcome::Read(self.store.clone());
        self.answer_store(index, incarnation, outcome);
    }

    pub(super) fn on_store_answer(&mut self, to: usize, outcome: Outcome) {
        let now = self.local_time(to);
        self.nodes[to].succession.on_store_response(now);
        match outcome {
            Outcome::Written { write_id, version } => self.on_written(to, write_id, version),
            Outcome::Conflict(record, version) | Outcome::Read(Some((record, version))) => {
                self.on_record(to, &record, version);
            }
            Outcome::Read(None) => self.try_take_over(to, None),
        }
    }

    pub(super) fn on_written(&mut self, to: usize, write_id: u64, version: u64) {
        let now = self.local_time(to);
        let node = &mut self.nodes[to];
        if let Some(PendingTakeOver {
            record,
            sent,
            no_writes_since,
        }) = node.take_over.take()
        {
            let me = record.coordinator_ref();
            let acting_role = node.coordinator.take().filter(|role| {
                role.renewal.is_acting() && role.coordinator.term().next_stored() == record.term
            });
            let closing = match acting_role {
                Some(_) => Closing::new(self.timing, Vec::new(), now),
                None => Closing::new(self.timing, record.open_terms.clone(), no_writes_since),
            };
            let renewal = Renewal::new(self.timing, record, version, sent);
            let blocked = now + self.timing.store_absence;
            let coordinator = match acting_role {
                Some(role) => role.coordinator.promote(me.clone()),
                None => Coordinator::new(self.timing, me.clone(), now, blocked),
            };
            node.coordinator = Some(Role {
                coordinator,
                renewal,
                closing,
                next_close: 0,
                started: self.step,
            });
            node.member.adopt(me.clone());
            self.announce(to, &me);
            return;
        }
        if let Some(role) = &mut node.coordinator {
            role.renewal.on_confirmed(write_id, version);
        }
    }

    pub(super) fn on_record(&mut self, to: usize, record: &CellRecord, version: u64) {
        let now = self.local_time(to);
        let omission = self.omission;
        let timing = self.timing;
        let node = &mut self.nodes[to];
        if let Some(pending) = node.take_over.take()
            && pending.record.write_id == record.write_id
        {
            node.take_over = Some(pending);
            self.on_written(to, record.write_id, version);
            return;
        }
        if let Some(Role { renewal, .. }) = &mut node.coordinator {
            if renewal.is_acting() {
                if record.term > renewal.record().term {
                    node.step_down();
                } else {
                    node.succession.on_version(version, now);
                    self.take_over_from_acting(to, record, version);
                }
                return;
            }
            if renewal.on_read_back(record, version) == TermStatus::Lost {
                node.step_down();
            } else if omission == Omission::ReadConfirms {
                let record = renewal.record().clone();
                *renewal = Renewal::new(timing, record, version, now);
            }
        }
        node.member.adopt(record.coordinator_ref());
        node.succession.on_record(record, version, now);
        self.try_take_over(to, Some(record));
    }

    /// Starts to take the next stored term, for a daemon that holds an acting one.
    pub(super) fn take_over_from_acting(
        &mut self,
        index: usize,
        previous: &CellRecord,
        version: u64,
    ) {
        if self.nodes[index].take_over.is_none() {
            self.start_take_over(index, version, Some(previous));
        }
    }

    pub(super) fn try_take_over(&mut self, index: usize, previous: Option<&CellRecord>) {
        let now = self.local_time(index);
        let node = &self.nodes[index];
        if node.coordinator.is_some() || node.take_over.is_some() {
            return;
        }
        let Action::TakeOver(expected) = node.succession.next_action(now, true) else {
            return;
        };
        self.start_take_over(index, expected, previous);
    }

    pub(super) fn start_take_over(
        &mut self,
        index: usize,
        expected: u64,
        previous: Option<&CellRecord>,
    ) {
        let now = self.local_time(index);
        let node = &self.nodes[index];
        let record = CellRecord {
            cell: CellName::new("nord"),
            term: node.member.term().next_stored(),
            coordinator: node.machine.name.clone(),
            incarnation: node.machine.incarnation,
            address: node.machine.peer_address,
            write_id: self.serial * 16 + index as u64,
            resigned: false,
            witnesses: Vec::new(),
            open_terms: previous.map(CellRecord::terms_to_close).unwrap_or_default(),
        };
        let no_writes_since = node.succession.version_since().unwrap_or(now);
        self.nodes[index].take_over = Some(PendingTakeOver {
            record: record.clone(),
            sent: now,
            no_writes_since,
        });
        self.write_store(index, expected, record);
    }

    pub(super) fn write_store(&mut self, index: usize, expected: u64, record: CellRecord) {
        let cut = self.active(|k| match k {
            FaultKind::CutStore(i) | FaultKind::CutWrites(i) => i == index,
            _ => false,
        });
        if cut {
            return;
        }
        let incarnation = self.nodes[index].machine.incarnation;
        self.send(Delivery::StoreWrite {
            from: index,
            incarnation,
            expected,
            record,
        });
    }
}
