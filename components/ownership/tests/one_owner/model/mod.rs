//! Simulation of coordinators, members, a store and the network between them in discrete steps.

mod record;
mod witnessing;

use std::collections::BTreeMap;
use std::time::Duration;

use ownership::candidacy::{self, Candidacy};
use ownership::closing::Closing;
use ownership::coordinator::Coordinator;
use ownership::heartbeat::{CoordinatorRef, Reply, Request};
use ownership::member::Member;
use ownership::record::{CellRecord, WitnessRef};
use ownership::renewal::{Renewal, TermStatus};
use ownership::succession::{Action, Succession};
use ownership::table::ShardId;
use ownership::timing::Timing;
use ownership::witness::{ConfirmRequest, EndorseRequest, LocalState, Witness};
use world::instant::BootInstant;
use world::key::Term;
use world::machine::{Incarnation, Machine};
use world::name::{CellName, MachineName, RegionName, ZoneName};

pub(super) const MACHINES: usize = 5;
pub(super) const STEP_MS: u64 = 10;
pub(super) const STEPS: u64 = 2_000;

/// A safety rule that a run leaves out, to show that the check detects the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Omission {
    Nothing,
    /// A successor grants without waiting for the previous authority to end.
    SuccessionWait,
    /// A successor does not close the earlier terms.
    Close,
    /// A restarted witness confirms as if it were the listed one.
    WitnessLife,
    /// A witness that promised to close a term still confirms it.
    Promise,
    /// A member counts its lease from the arrival of the reply.
    LeaseFromArrival,
    /// The coordinator's authority is extended by reading the record.
    ReadConfirms,
    /// A member does not check its lease before it serves.
    LeaseCheck,
    /// A coordinator counts the store's confirmations despite its pledge.
    Pledge,
    /// A witness keeps a pledge that was withdrawn.
    Withdrawal,
    /// A witness endorses and confirms every candidate.
    OneCandidate,
    /// An acting coordinator grants without waiting for the previous authority to end.
    ActingWait,
    /// The promise of a coordinator that gave a pledge suffices to end its term.
    PledgedWord,
    /// A successor closes the earlier term without the acting one that may have followed.
    CloseActing,
}

#[derive(Clone, Debug)]
pub(super) struct Fault {
    pub(super) at_step: u64,
    pub(super) length: u64,
    pub(super) kind: FaultKind,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum FaultKind {
    Pause(usize),
    CutFrom(usize),
    CutTo(usize),
    CutPair(usize, usize),
    CutStore(usize),
    CutWrites(usize),
    Restart(usize),
    StoreDown,
    AnswersLost,
}

pub(super) enum Delivery {
    Heartbeat {
        to: usize,
        from: usize,
        sent: BootInstant,
        request: Box<Request>,
    },
    Answer {
        to: usize,
        incarnation: Incarnation,
        sent: BootInstant,
        reported: usize,
        reply: Reply,
    },
    Confirm {
        to: usize,
        from: usize,
        sent: BootInstant,
        request: ConfirmRequest,
        witness: WitnessRef,
    },
    Confirmed {
        to: usize,
        incarnation: Incarnation,
        sent: BootInstant,
        witness: WitnessRef,
        sequence: u64,
    },
    Adopt {
        to: usize,
        from: usize,
        coordinator: CoordinatorRef,
    },
    Endorse {
        to: usize,
        from: usize,
        request: EndorseRequest,
    },
    Endorsed {
        to: usize,
        incarnation: Incarnation,
        from: usize,
        term: Term,
    },
    Close {
        to: usize,
        from: usize,
        term: Term,
    },
    Closed {
        to: usize,
        incarnation: Incarnation,
        from: usize,
        term: Term,
        unpledged: bool,
    },
    StoreWrite {
        from: usize,
        incarnation: Incarnation,
        expected: u64,
        record: CellRecord,
    },
    StoreAnswer {
        to: usize,
        incarnation: Incarnation,
        outcome: Outcome,
    },
}

pub(super) enum Outcome {
    Written { write_id: u64, version: u64 },
    Conflict(CellRecord, u64),
    Read(Option<(CellRecord, u64)>),
}

pub(super) struct Node {
    machine: Machine,
    member: Member,
    succession: Succession,
    coordinator: Option<Role>,
    witness: Witness,
    candidacy: Option<Candidacy>,
    /// The candidate endorsed last.
    endorsed: Option<MachineName>,
    /// The last term held, with whether its pledge was still binding.
    last_held: Option<(Term, bool)>,
    take_over: Option<PendingTakeOver>,
    next_heartbeat: u64,
    next_renewal: u64,
    next_read: u64,
    paused: bool,
    /// Excess of the clock rate over true time, in parts per million.
    rate: u64,
}

impl Node {
    fn local_state(&self) -> LocalState {
        LocalState {
            incarnation: self.machine.incarnation,
            term: self.member.term(),
        }
    }

    fn step_down(&mut self) {
        if let Some(role) = self.coordinator.take() {
            self.last_held = Some((role.coordinator.term(), role.renewal.is_pledged()));
        }
    }

    fn drop_old_take_over(&mut self, now: BootInstant) {
        let old = self.take_over.as_ref();
        if old.is_some_and(|c| now.since(c.sent) > Duration::from_secs(1)) {
            self.take_over = None;
        }
    }
}

pub(super) struct Role {
    coordinator: Coordinator,
    renewal: Renewal,
    closing: Closing,
    next_close: u64,
    started: u64,
}

pub(super) struct PendingTakeOver {
    record: CellRecord,
    sent: BootInstant,
    no_writes_since: BootInstant,
}

pub(super) struct Run {
    timing: Timing,
    omission: Omission,
    nodes: Vec<Node>,
    store: Option<(CellRecord, u64)>,
    queue: BTreeMap<(u64, u64), Delivery>,
    serial: u64,
    step: u64,
    faults: Vec<Fault>,
    delays: Vec<u64>,
    pub(super) owned_steps: u64,
    /// False for a cell that is too small for witnesses.
    pub(super) witnesses: bool,
    /// True for a pledge that is also given while the store responds.
    pub(super) always_pledge: bool,
    /// True when a new coordinator announces itself at once.
    pub(super) announcing: bool,
    /// Terms that were taken without the store.
    pub(super) acting_terms: u32,
}

impl Run {
    pub(super) fn new(
        omission: Omission,
        faults: Vec<Fault>,
        delays: Vec<u64>,
        rates: &[u64],
    ) -> Self {
        let timing = Timing::default();
        let nodes = (0..MACHINES).map(|i| node(i, rates[i], timing)).collect();
        Self {
            timing,
            omission,
            nodes,
            store: None,
            queue: BTreeMap::new(),
            serial: 0,
            step: 0,
            faults,
            delays,
            owned_steps: 0,
            witnesses: true,
            always_pledge: true,
            announcing: true,
            acting_terms: 0,
        }
    }

    fn local_time(&self, index: usize) -> BootInstant {
        let true_ns = (self.step + 100_000) * STEP_MS * 1_000_000;
        let extra = true_ns / 1_000_000 * self.nodes[index].rate;
        BootInstant::from_nanos(true_ns + extra)
    }

    fn active(&self, wanted: impl Fn(FaultKind) -> bool) -> bool {
        self.faults
            .iter()
            .any(|f| wanted(f.kind) && self.step >= f.at_step && self.step < f.at_step + f.length)
    }

    fn cut(&self, from: usize, to: usize) -> bool {
        self.active(|k| match k {
            FaultKind::CutFrom(i) => i == from,
            FaultKind::CutTo(i) => i == to,
            FaultKind::CutPair(a, b) => (a, b) == (from, to) || (b, a) == (from, to),
            _ => false,
        })
    }

    fn send(&mut self, delivery: Delivery) {
        self.serial += 1;
        let delay = self.delays[self.serial as usize % self.delays.len()];
        self.queue
            .insert((self.step + delay, self.serial), delivery);
    }

    pub(super) fn run(&mut self) -> Result<(), String> {
        while self.step < STEPS {
            self.apply_faults();
            self.deliver();
            for index in 0..MACHINES {
                if !self.nodes[index].paused {
                    self.act(index);
                }
            }
            self.check()?;
            self.step += 1;
        }
        Ok(())
    }

    fn apply_faults(&mut self) {
        for index in 0..MACHINES {
            self.nodes[index].paused =
                self.active(|k| matches!(k, FaultKind::Pause(i) if i == index));
        }
        let restarts: Vec<usize> = self
            .faults
            .iter()
            .filter(|f| f.at_step == self.step)
            .filter_map(|f| match f.kind {
                FaultKind::Restart(i) => Some(i),
                _ => None,
            })
            .collect();
        for index in restarts {
            let rate = self.nodes[index].rate;
            let mut fresh = node(index, rate, self.timing);
            fresh.machine.incarnation = Incarnation(self.step * 100 + index as u64 + 1_000);
            fresh.succession = Succession::new(self.timing, self.local_time(index));
            self.nodes[index] = fresh;
        }
    }

    fn deliver(&mut self) {
        let mut due = Vec::new();
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.step {
                break;
            }
            due.push(entry.remove());
        }
        for delivery in due {
            self.deliver_one(delivery);
        }
    }

    fn deliver_one(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Heartbeat { to, from, .. } if self.cut(from, to) => {}
            Delivery::Heartbeat { to, .. } if self.nodes[to].paused => self.send(delivery),
            Delivery::Heartbeat {
                to,
                from,
                sent,
                request,
            } => {
                self.on_heartbeat(to, from, sent, &request);
            }
            Delivery::Answer { to, .. } if self.nodes[to].paused => self.send(delivery),
            Delivery::Answer {
                to,
                incarnation,
                sent,
                reported,
                reply,
            } => {
                if self.nodes[to].machine.incarnation == incarnation {
                    self.on_answer(to, sent, reported, reply);
                }
            }
            Delivery::Confirm { to, from, .. }
            | Delivery::Close { to, from, .. }
            | Delivery::Endorse { to, from, .. }
            | Delivery::Adopt { to, from, .. }
                if self.cut(from, to) => {}
            Delivery::Confirm { to, .. }
            | Delivery::Adopt { to, .. }
            | Delivery::Endorse { to, .. }
            | Delivery::Endorsed { to, .. }
            | Delivery::Confirmed { to, .. }
            | Delivery::Close { to, .. }
            | Delivery::Closed { to, .. }
                if self.nodes[to].paused =>
            {
                self.send(delivery);
            }
            Delivery::Confirm {
                to,
                from,
                sent,
                request,
                witness,
            } => self.on_confirm(to, from, sent, &request, witness),
            Delivery::Adopt {
                to, coordinator, ..
            } => self.on_adopt(to, coordinator),
            Delivery::Endorse { to, from, request } => self.on_endorse(to, from, &request),
            Delivery::Endorsed {
                to,
                incarnation,
                from,
                term,
            } => self.on_endorsed(to, incarnation, from, term),
            Delivery::Confirmed {
                to,
                incarnation,
                sent,
                witness,
                sequence,
            } => {
                let node = &mut self.nodes[to];
                if node.machine.incarnation == incarnation
                    && let Some(role) = &mut node.coordinator
                {
                    role.renewal.on_witness_confirmed(&witness, sent, sequence);
                }
            }
            Delivery::Close { to, from, term } => self.on_close(to, from, term),
            Delivery::Closed {
                to,
                incarnation,
                from,
                term,
                unpledged,
            } => {
                let now = self.local_time(to);
                let unpledged = unpledged || self.omission == Omission::PledgedWord;
                let name = self.nodes[from].machine.name.clone();
                let node = &mut self.nodes[to];
                if node.machine.incarnation == incarnation
                    && let Some(role) = &mut node.coordinator
                {
                    role.closing.on_closed(now, &name, term.acting(), unpledged);
                }
            }
            Delivery::StoreWrite {
                from,
                incarnation,
                expected,
                record,
            } => {
                self.on_store_write(from, incarnation, expected, record);
            }
            Delivery::StoreAnswer { to, .. } if self.nodes[to].paused => self.send(delivery),
            Delivery::StoreAnswer {
                to,
                incarnation,
                outcome,
            } => {
                if self.nodes[to].machine.incarnation == incarnation {
                    self.on_store_answer(to, outcome);
                }
            }
        }
    }

    /// Updates the pledge and the witnesses, runs the coordinator and closes earlier terms.
    fn coordinate(&mut self, index: usize, now: BootInstant) {
        let omission = self.omission;
        let step = self.step;
        let Some(role) = &mut self.nodes[index].coordinator else {
            return;
        };
        let grants_from = match omission {
            Omission::SuccessionWait | Omission::Close => Some(now),
            _ => role.closing.grants_from(),
        };
        if let Some(grants_from) = grants_from
            && !role.renewal.is_acting()
        {
            role.coordinator.set_grants_from(now, grants_from);
        }
        if role.closing.is_done() {
            role.renewal.clear_open_terms();
        }
        let present = role.renewal.record().witnesses.clone();
        if self.witnesses {
            let witnesses = role.coordinator.choose_witnesses(&present);
            if omission != Omission::Pledge {
                let always_pledge = self.always_pledge;
                role.renewal.update_pledge(now, always_pledge, &witnesses);
            }
            role.renewal.set_witnesses(witnesses);
        }
        let until = role.renewal.authority_until();
        role.coordinator.tick(now, until);
        if step < role.next_close {
            return;
        }
        role.next_close = step + 10;
        let closes = role.closing.requests();
        for close in closes {
            if let Some(to) = index_of(&close.name) {
                let term = match omission {
                    Omission::CloseActing => close.term.stored(),
                    _ => close.term,
                };
                self.send(Delivery::Close {
                    to,
                    from: index,
                    term,
                });
            }
        }
    }

    fn ask_witnesses(&mut self, index: usize, now: BootInstant) {
        let Some(role) = &self.nodes[index].coordinator else {
            return;
        };
        if !role.renewal.needs_witnesses(now) && self.omission != Omission::Pledge {
            return;
        }
        let term = role.coordinator.term();
        let mut pledge = role.renewal.pledge_status();
        pledge.pledged |= matches!(self.omission, Omission::Pledge | Omission::Withdrawal);
        let witnesses: Vec<WitnessRef> = role.renewal.eligible_witnesses().cloned().collect();
        for witness in witnesses.clone() {
            if let Some(to) = index_of(&witness.name) {
                let request = ConfirmRequest {
                    term,
                    coordinator: self.nodes[index].machine.name.clone(),
                    witness_incarnation: witness.incarnation,
                    pledge,
                    witnesses: witnesses.clone(),
                };
                self.send(Delivery::Confirm {
                    to,
                    from: index,
                    sent: now,
                    request,
                    witness,
                });
            }
        }
    }

    fn on_heartbeat(&mut self, to: usize, from: usize, sent: BootInstant, request: &Request) {
        let now = self.local_time(to);
        let Some(Role {
            coordinator,
            renewal,
            ..
        }) = &mut self.nodes[to].coordinator
        else {
            return;
        };
        let until = renewal.authority_until();
        let reply = coordinator.on_heartbeat(now, until, renewal.version(), request);
        if self.cut(to, from) {
            return;
        }
        let incarnation = request.machine.incarnation;
        let reported = request.released.len();
        self.send(Delivery::Answer {
            to: from,
            incarnation,
            sent,
            reported,
            reply,
        });
    }

    fn on_answer(&mut self, to: usize, sent: BootInstant, reported: usize, reply: Reply) {
        let now = self.local_time(to);
        let counted = if self.omission == Omission::LeaseFromArrival {
            now
        } else {
            sent
        };
        let node = &mut self.nodes[to];
        match reply {
            Reply::Accepted(accepted) => {
                let changes = node.member.on_accepted(counted, now, reported, &accepted);
                for holding in &changes.closed {
                    node.member.on_drained(holding);
                }
                let term = accepted.coordinator.term;
                node.succession
                    .on_reply(term, accepted.cell_version, sent, now);
            }
            Reply::Refused(Some(other)) => {
                node.member.adopt(other);
            }
            Reply::Refused(None) => {}
        }
    }

    fn act(&mut self, index: usize) {
        let now = self.local_time(index);
        self.nodes[index].member.expire_lease(now);
        self.resign_if_failing(index, now);
        self.coordinate(index, now);
        self.renew(index, now);
        self.send_heartbeat(index, now);
        self.watch(index, now);
        if self.step.is_multiple_of(5) {
            self.run_for_acting_term(index, now);
        }
    }

    fn renew(&mut self, index: usize, now: BootInstant) {
        let node = &mut self.nodes[index];
        let Some(Role { renewal, .. }) = &mut node.coordinator else {
            return;
        };
        if self.step < node.next_renewal {
            return;
        }
        node.next_renewal = self.step + self.timing.renewal.as_millis() as u64 / STEP_MS;
        if renewal.is_acting() {
            self.read_store(index);
            return self.ask_witnesses(index, now);
        }
        let expected = renewal.version();
        let record = renewal.start(now, self.serial * 16 + index as u64);
        self.write_store(index, expected, record);
        self.ask_witnesses(index, now);
        if self.step.is_multiple_of(5) {
            self.read_store(index);
        }
    }

    fn send_heartbeat(&mut self, index: usize, now: BootInstant) {
        let node = &mut self.nodes[index];
        if self.step < node.next_heartbeat {
            return;
        }
        node.next_heartbeat = self.step + self.timing.heartbeat.as_millis() as u64 / STEP_MS;
        let Some(coordinator) = node.member.coordinator() else {
            return;
        };
        let Some(to) = index_of(&coordinator.name) else {
            return;
        };
        let request = Request {
            cell: CellName::new("nord"),
            term: node.member.term(),
            machine: node.machine.clone(),
            revision: node.member.revision(),
            route_version: 0,
            lists_version: 0,
            former_holdings: node.member.holdings_to_report(),
            released: node.member.released(),
            loads: Vec::new(),
        };
        self.send(Delivery::Heartbeat {
            to,
            from: index,
            sent: now,
            request: Box::new(request),
        });
    }

    fn watch(&mut self, index: usize, now: BootInstant) {
        let node = &mut self.nodes[index];
        let due = self.step >= node.next_read;
        let suspicious = node.succession.next_action(now, false) == Action::Read;
        if node.coordinator.is_some() || !due || !suspicious {
            return node.drop_old_take_over(now);
        }
        node.next_read = self.step + 10;
        node.drop_old_take_over(now);
        self.read_store(index);
    }

    fn check(&mut self) -> Result<(), String> {
        let mut owners: BTreeMap<ShardId, usize> = BTreeMap::new();
        for index in 0..MACHINES {
            let now = self.local_time(index);
            let member = &self.nodes[index].member;
            let serves = now < member.lease_until() || self.omission == Omission::LeaseCheck;
            if !serves {
                continue;
            }
            for holding in member.holdings() {
                if let Some(other) = owners.insert(holding.id.clone(), index) {
                    let id = &holding.id;
                    return Err(format!(
                        "{id:?} owned by {other} and {index} at {}",
                        self.step
                    ));
                }
            }
        }
        self.owned_steps += u64::from(!owners.is_empty());
        Ok(())
    }
}

pub(super) fn index_of(name: &MachineName) -> Option<usize> {
    name.as_str().strip_prefix('m')?.parse().ok()
}

pub(super) fn node(index: usize, rate: u64, timing: Timing) -> Node {
    let machine = Machine {
        name: MachineName::new(&format!("m{index}")),
        incarnation: Incarnation(index as u64 + 1),
        region: RegionName::new("nord"),
        zone: ZoneName::new("a"),
        peer_address: "127.0.0.1:1".parse().expect("address"),
        traffic_address: "127.0.0.1:3".parse().expect("address"),
        caller_address: "127.0.0.1:2".parse().expect("address"),
        back_end: None,
        leaving: false,
    };
    let mut succession = Succession::new(timing, BootInstant::default());
    succession.set_rank(index as u32);
    Node {
        machine,
        member: Member::new(),
        succession,
        coordinator: None,
        witness: Witness::default(),
        candidacy: None,
        endorsed: None,
        last_held: None,
        take_over: None,
        next_heartbeat: 0,
        next_renewal: 0,
        next_read: 0,
        paused: false,
        rate,
    }
}
