//! Drives coordinators and members through random message orders, losses, pauses and clock
//! drift, and checks that no shard has two owners at one instant.
//!
//! The machines have no back ends, so that only the reserved service's shards are assigned;
//! its shards are granted and withdrawn by the same rules as those of any service.

use std::collections::BTreeMap;
use std::time::Duration;

use ownership::coordinator::Coordinator;
use ownership::heartbeat::{Reply, Request};
use ownership::member::Member;
use ownership::record::CellRecord;
use ownership::renewal::{Claim, Renewal};
use ownership::succession::{Step, Succession};
use ownership::table::ShardId;
use ownership::timing::Timing;
use proptest::prelude::*;
use world::key::Term;
use world::machine::{Incarnation, Machine};
use world::moment::Moment;
use world::name::{CellName, MachineName, RegionName, ZoneName};

const MACHINES: usize = 4;
const STEP_MS: u64 = 10;
const STEPS: u64 = 2_000;

/// A safety rule that a run may leave out, to show that the check notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Omission {
    Nothing,
    /// A successor grants without waiting for the previous authority to end.
    SuccessionWait,
    /// A member counts its lease from the arrival of the answer.
    LeaseFromArrival,
    /// The coordinator's authority is extended by reading the record.
    ReadConfirms,
    /// A member does not check its lease before it serves.
    LeaseCheck,
}

#[derive(Clone, Debug)]
struct Fault {
    at_step: u64,
    length: u64,
    kind: FaultKind,
}

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    Pause(usize),
    CutFrom(usize),
    CutTo(usize),
    CutStore(usize),
    Restart(usize),
    StoreDown,
    AnswersLost,
}

enum Delivery {
    Heartbeat {
        to: usize,
        from: usize,
        sent: Moment,
        request: Box<Request>,
    },
    Answer {
        to: usize,
        incarnation: Incarnation,
        sent: Moment,
        reported: usize,
        reply: Reply,
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

enum Outcome {
    Written(u64),
    Conflict(CellRecord, u64),
    Read(Option<(CellRecord, u64)>),
}

struct Node {
    machine: Machine,
    member: Member,
    succession: Succession,
    coordinator: Option<(Coordinator, Renewal)>,
    claim: Option<(CellRecord, Moment)>,
    next_beat: u64,
    next_renewal: u64,
    next_read: u64,
    paused: bool,
    /// Clock rate in parts per million of true time.
    rate: u64,
}

struct Run {
    timing: Timing,
    omission: Omission,
    nodes: Vec<Node>,
    store: Option<(CellRecord, u64)>,
    queue: BTreeMap<(u64, u64), Delivery>,
    serial: u64,
    step: u64,
    faults: Vec<Fault>,
    delays: Vec<u64>,
    owned_steps: u64,
}

impl Run {
    fn new(omission: Omission, faults: Vec<Fault>, delays: Vec<u64>, rates: &[u64]) -> Self {
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
        }
    }

    fn local(&self, index: usize) -> Moment {
        let true_ns = (self.step + 100_000) * STEP_MS * 1_000_000;
        let extra = true_ns / 1_000_000 * self.nodes[index].rate;
        Moment::from_nanos(true_ns + extra)
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
            _ => false,
        })
    }

    fn send(&mut self, delivery: Delivery) {
        self.serial += 1;
        let delay = self.delays[self.serial as usize % self.delays.len()];
        self.queue
            .insert((self.step + delay, self.serial), delivery);
    }

    fn run(&mut self) -> Result<(), String> {
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
            fresh.succession = Succession::new(self.timing, self.local(index));
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

    fn on_heartbeat(&mut self, to: usize, from: usize, sent: Moment, request: &Request) {
        let now = self.local(to);
        let Some((coordinator, renewal)) = &mut self.nodes[to].coordinator else {
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

    fn on_answer(&mut self, to: usize, sent: Moment, reported: usize, reply: Reply) {
        let now = self.local(to);
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
                node.succession.on_contact(now);
                node.succession.on_version(accepted.cell_version, now);
            }
            Reply::Refused(Some(other)) => {
                node.member.adopt(other);
            }
            Reply::Refused(None) => {}
        }
    }

    fn on_store_write(
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
            self.store = Some((record, expected + 1));
            Outcome::Written(expected + 1)
        } else {
            let (found, version) = self.store.clone().expect("a conflict has a record");
            Outcome::Conflict(found, version)
        };
        self.answer_store(from, incarnation, outcome);
    }

    fn answer_store(&mut self, to: usize, incarnation: Incarnation, outcome: Outcome) {
        let lost = self.active(|k| matches!(k, FaultKind::AnswersLost));
        if !lost {
            self.send(Delivery::StoreAnswer {
                to,
                incarnation,
                outcome,
            });
        }
    }

    fn read_store(&mut self, index: usize) {
        let cut = self.active(|k| matches!(k, FaultKind::CutStore(i) if i == index));
        let down = self.active(|k| matches!(k, FaultKind::StoreDown));
        if cut || down {
            return;
        }
        let incarnation = self.nodes[index].machine.incarnation;
        let outcome = Outcome::Read(self.store.clone());
        self.answer_store(index, incarnation, outcome);
    }

    fn on_store_answer(&mut self, to: usize, outcome: Outcome) {
        match outcome {
            Outcome::Written(version) => self.on_written(to, version),
            Outcome::Conflict(record, version) | Outcome::Read(Some((record, version))) => {
                self.on_record(to, &record, version);
            }
            Outcome::Read(None) => self.try_take_over(to),
        }
    }

    fn on_written(&mut self, to: usize, version: u64) {
        let now = self.local(to);
        let node = &mut self.nodes[to];
        if let Some((record, sent)) = node.claim.take() {
            let me = record.coordinator_ref();
            let renewal = Renewal::new(self.timing, record, version, sent);
            let coordinator = Coordinator::new(self.timing, me.clone(), now, now);
            node.coordinator = Some((coordinator, renewal));
            node.member.adopt(me);
            return;
        }
        if let Some((_, renewal)) = &mut node.coordinator {
            renewal.on_confirmed(version);
        }
    }

    fn on_record(&mut self, to: usize, record: &CellRecord, version: u64) {
        let now = self.local(to);
        let omission = self.omission;
        let timing = self.timing;
        let node = &mut self.nodes[to];
        if let Some((claimed, sent)) = node.claim.take()
            && claimed.write_id == record.write_id
        {
            node.claim = Some((claimed, sent));
            self.on_written(to, version);
            return;
        }
        if let Some((_, renewal)) = &mut node.coordinator {
            if renewal.on_read_back(record, version) == Claim::Lost {
                node.coordinator = None;
            } else if omission == Omission::ReadConfirms {
                let record = renewal.record().clone();
                *renewal = Renewal::new(timing, record, version, now);
            }
        }
        node.member.adopt(record.coordinator_ref());
        node.succession.on_record(record, version, now);
        self.try_take_over(to);
    }

    fn try_take_over(&mut self, index: usize) {
        let now = self.local(index);
        let node = &self.nodes[index];
        if node.coordinator.is_some() || node.claim.is_some() {
            return;
        }
        let mut step = node.succession.step(now, true);
        if self.omission == Omission::SuccessionWait && step == Step::Wait {
            let suspicious = node.succession.step(now, false) == Step::Read;
            if let Some((_, version)) = self.store.as_ref().filter(|_| suspicious) {
                step = Step::TakeOver(*version);
            }
        }
        let Step::TakeOver(expected) = step else {
            return;
        };
        let record = CellRecord {
            cell: CellName::new("nord"),
            term: Term(node.member.term().0 + 1),
            coordinator: node.machine.name.clone(),
            incarnation: node.machine.incarnation,
            address: node.machine.peer_address,
            write_id: self.serial * 16 + index as u64,
            resigned: false,
        };
        self.nodes[index].claim = Some((record.clone(), now));
        self.write_store(index, expected, record);
    }

    fn write_store(&mut self, index: usize, expected: u64, record: CellRecord) {
        let cut = self.active(|k| matches!(k, FaultKind::CutStore(i) if i == index));
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

    fn act(&mut self, index: usize) {
        let now = self.local(index);
        self.nodes[index].member.check_lapse(now);
        if let Some((coordinator, renewal)) = &mut self.nodes[index].coordinator {
            coordinator.tick(now, renewal.authority_until());
        }
        self.renew(index, now);
        self.beat(index, now);
        self.watch(index, now);
    }

    fn renew(&mut self, index: usize, now: Moment) {
        let node = &mut self.nodes[index];
        let Some((_, renewal)) = &mut node.coordinator else {
            return;
        };
        if self.step < node.next_renewal {
            return;
        }
        node.next_renewal = self.step + self.timing.renewal.as_millis() as u64 / STEP_MS;
        let expected = renewal.version();
        let record = renewal.start(now, self.serial * 16 + index as u64);
        self.write_store(index, expected, record);
        if self.step.is_multiple_of(5) {
            self.read_store(index);
        }
    }

    fn beat(&mut self, index: usize, now: Moment) {
        let node = &mut self.nodes[index];
        if self.step < node.next_beat {
            return;
        }
        node.next_beat = self.step + self.timing.heartbeat.as_millis() as u64 / STEP_MS;
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
            held: node.member.report(),
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

    fn watch(&mut self, index: usize, now: Moment) {
        let node = &mut self.nodes[index];
        let due = self.step >= node.next_read;
        let suspicious = node.succession.step(now, false) == Step::Read;
        if node.coordinator.is_some() || !due || !suspicious {
            return;
        }
        node.next_read = self.step + 10;
        if node
            .claim
            .as_ref()
            .is_some_and(|(_, sent)| now.since(*sent) > Duration::from_secs(1))
        {
            node.claim = None;
        }
        self.read_store(index);
    }

    fn check(&mut self) -> Result<(), String> {
        let mut owners: BTreeMap<ShardId, usize> = BTreeMap::new();
        for index in 0..MACHINES {
            let now = self.local(index);
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

fn index_of(name: &MachineName) -> Option<usize> {
    name.as_str().strip_prefix('m')?.parse().ok()
}

fn node(index: usize, rate: u64, timing: Timing) -> Node {
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
    let mut succession = Succession::new(timing, Moment::default());
    succession.set_rank(index as u32);
    Node {
        machine,
        member: Member::new(),
        succession,
        coordinator: None,
        claim: None,
        next_beat: 0,
        next_renewal: 0,
        next_read: 0,
        paused: false,
        rate,
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let kind = prop_oneof![
        (0..MACHINES).prop_map(FaultKind::Pause),
        (0..MACHINES).prop_map(FaultKind::CutFrom),
        (0..MACHINES).prop_map(FaultKind::CutTo),
        (0..MACHINES).prop_map(FaultKind::CutStore),
        (0..MACHINES).prop_map(FaultKind::Restart),
        Just(FaultKind::StoreDown),
        Just(FaultKind::AnswersLost),
    ];
    (100..STEPS, 1u64..300, kind).prop_map(|(at_step, length, kind)| Fault {
        at_step,
        length,
        kind,
    })
}

fn history() -> impl Strategy<Value = (Vec<Fault>, Vec<u64>, Vec<u64>)> {
    (
        proptest::collection::vec(fault(), 0..14),
        proptest::collection::vec(prop_oneof![8 => 0u64..3, 1 => 3u64..60], 16..64),
        proptest::collection::vec(0u64..900, MACHINES),
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_shard_has_two_owners((faults, delays, rates) in history()) {
        let mut run = Run::new(Omission::Nothing, faults, delays, &rates);
        prop_assert_eq!(run.run(), Ok(()));
    }
}

#[test]
fn a_quiet_cell_owns_its_shards() {
    let mut run = Run::new(Omission::Nothing, Vec::new(), vec![1], &[0, 300, 600, 900]);
    run.run().expect("one owner");
    assert!(
        run.owned_steps > STEPS * 9 / 10,
        "owned in {} steps",
        run.owned_steps
    );
}

/// Counts the histories in which leaving a rule out gives two owners.
fn violations(omission: Omission, histories: u32) -> u32 {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::deterministic();
    let mut found = 0;
    for _ in 0..histories {
        let (faults, delays, rates) = history()
            .new_tree(&mut runner)
            .expect("a history")
            .current();
        found += u32::from(Run::new(omission, faults, delays, &rates).run().is_err());
    }
    found
}

#[test]
fn leaving_out_a_rule_is_noticed() {
    assert_eq!(violations(Omission::Nothing, 60), 0);
    for omission in [
        Omission::SuccessionWait,
        Omission::LeaseFromArrival,
        Omission::ReadConfirms,
        Omission::LeaseCheck,
    ] {
        let found = violations(omission, 60);
        println!("omission={omission:?} histories=60 violations={found}");
        assert!(found > 0, "{omission:?} was not noticed");
    }
}
