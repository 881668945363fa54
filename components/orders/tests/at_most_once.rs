//! Whatever the order of repeats, losses, moves and late answers, an order runs at most once
//! and nobody is told "not run" of one that ran.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use bytes::Bytes;
use orders::table::{Admission, Bounds, End, OrderTable, Recorded};
use orders::ticket::{Nonce, Scope, Ticket};
use proptest::prelude::*;
use world::error_kind::{ErrorKind, Ran};
use world::instant::BootInstant;
use world::key::{Fence, KeyHash, Shard};

/// One step of a history. Tickets and runs are named by their position, modulo their number.
#[derive(Clone, Debug)]
enum Step {
    /// A caller takes a ticket.
    Issue,
    /// A caller sends an order with a ticket, to the current owner.
    Send(usize),
    /// A request at the back end takes effect; its answer is still on the way.
    TakeEffect(usize),
    /// The answer of a run that took effect reaches its daemon, however late.
    Answer(usize),
    /// The daemon gets proof that a run did not take effect.
    Refuse(usize),
    /// The daemon gives a run up without knowing.
    GiveUp(usize),
    /// The shard moves to another owner, which knows nothing of the tickets.
    Move,
    /// The shard moves as planned, and the new owner goes on with its orders.
    HandOver,
    /// The owner goes on under a later fence, whether or not others have owned since.
    Renew(usize),
    /// Time passes.
    Wait(u64),
}

/// A request that an owner has handed to its back end.
struct Run {
    ticket: usize,
    tenure: usize,
    effective: bool,
    ended: bool,
}

struct Model {
    now: BootInstant,
    tables: Vec<OrderTable>,
    tickets: Vec<Ticket>,
    runs: Vec<Run>,
    effects: HashMap<usize, u32>,
    /// Tickets whose callers were told "not run" and have not sent them again since.
    told_not_run: HashSet<usize>,
}

fn bounds() -> Bounds {
    Bounds {
        tickets: 16,
        lifetime: Duration::from_secs(5),
        ..Bounds::default()
    }
}

fn scope() -> Scope {
    Scope::new("vendor-1", "credits", KeyHash(7))
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            now: BootInstant::from_millis(1_000),
            tables: Vec::new(),
            tickets: Vec::new(),
            runs: Vec::new(),
            effects: HashMap::new(),
            told_not_run: HashSet::new(),
        };
        model.move_shard();
        model
    }

    fn move_shard(&mut self) {
        let fence = Fence(self.tables.len() as u64 + 1);
        self.tables.push(OrderTable::new(fence, bounds()));
    }

    fn hand_over(&mut self) {
        let owner = self.owner();
        let handover = self.tables[owner].hand_over(self.now);
        let fence = Fence(self.tables.len() as u64 + 1);
        let table = OrderTable::from_handover(fence, bounds(), self.now, handover);
        self.tables.push(table);
    }

    /// Makes the table of an earlier tenure the current one. A new table takes its place, so that
    /// runs keep their numbers.
    fn renew(&mut self, tenure: usize) {
        let fence = Fence(self.tables.len() as u64 + 1);
        let mut table = std::mem::replace(
            &mut self.tables[tenure],
            OrderTable::new(Fence(0), bounds()),
        );
        table.renew(self.now, fence);
        self.tables.push(table);
        let owner = self.owner();
        for run in self.runs.iter_mut().filter(|run| run.tenure == tenure) {
            run.tenure = owner;
        }
    }

    fn owner(&self) -> usize {
        self.tables.len() - 1
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Issue => self.issue(),
            Step::Send(ticket) if !self.tickets.is_empty() => {
                self.send(ticket % self.tickets.len())
            }
            Step::TakeEffect(run) => self.with_run(*run, Self::take_effect),
            Step::Answer(run) => self.with_run(*run, Self::answer),
            Step::Refuse(run) => self.with_run(*run, Self::refuse),
            Step::GiveUp(run) => self.with_run(*run, Self::give_up),
            Step::Move => self.move_shard(),
            Step::HandOver => self.hand_over(),
            Step::Renew(tenure) => self.renew(tenure % self.tables.len()),
            Step::Wait(millis) => self.now = self.now + Duration::from_millis(*millis),
            Step::Send(_) => {}
        }
    }

    fn with_run(&mut self, run: usize, act: fn(&mut Self, usize)) {
        if !self.runs.is_empty() {
            act(self, run % self.runs.len());
        }
    }

    fn issue(&mut self) {
        let owner = self.owner();
        let ticket = Ticket {
            shard: Shard(1),
            fence: Fence(owner as u64 + 1),
            scope: scope(),
            nonce: Nonce(self.tickets.len() as u128),
        };
        if self.tables[owner].issue(self.now, &ticket) {
            self.tickets.push(ticket);
        }
    }

    fn send(&mut self, ticket: usize) {
        let owner = self.owner();
        self.told_not_run.remove(&ticket);
        let admission = self.tables[owner].admit(self.now, &self.tickets[ticket], &scope());
        let kind = match admission {
            Admission::Run => {
                let run = Run {
                    ticket,
                    tenure: owner,
                    effective: false,
                    ended: false,
                };
                return self.runs.push(run);
            }
            Admission::Replay(_) | Admission::RanBefore => {
                assert_eq!(
                    self.effects.get(&ticket),
                    Some(&1),
                    "answered without an effect"
                );
                return;
            }
            Admission::InProgress => ErrorKind::OrderInProgress,
            Admission::Unknown => ErrorKind::OutcomeLost,
            Admission::Stale => ErrorKind::TicketStale,
            Admission::Expired => ErrorKind::TicketExpired,
            Admission::Mismatch => ErrorKind::TicketMismatch,
        };
        if kind.answer().ran == Ran::No {
            self.told_not_run.insert(ticket);
        }
    }

    fn take_effect(&mut self, run: usize) {
        let run = &mut self.runs[run];
        if !run.effective && !run.ended {
            run.effective = true;
            *self.effects.entry(run.ticket).or_default() += 1;
        }
    }

    fn end(&mut self, run: usize, end: End) {
        let run = &mut self.runs[run];
        run.ended = true;
        self.tables[run.tenure].finish(&self.tickets[run.ticket], end);
    }

    fn answer(&mut self, run: usize) {
        if self.runs[run].effective && !self.runs[run].ended {
            let body = Bytes::from_static(b"done");
            let content_type = "text/plain".to_owned();
            self.end(
                run,
                End::Answered(Recorded {
                    status: 200,
                    content_type,
                    body,
                }),
            );
        }
    }

    /// Proof of "not run" exists only for a run without effect, and rules a later effect out.
    fn refuse(&mut self, run: usize) {
        if !self.runs[run].effective && !self.runs[run].ended {
            self.end(run, End::NotRun);
            self.told_not_run.insert(self.runs[run].ticket);
        }
    }

    /// The run may still take effect later, so it is not marked as ended.
    fn give_up(&mut self, run: usize) {
        let run = &self.runs[run];
        if !run.ended {
            self.tables[run.tenure].finish(&self.tickets[run.ticket], End::Unknown);
        }
    }

    fn check(&self) {
        for (ticket, count) in &self.effects {
            assert!(*count <= 1, "ticket {ticket} took effect {count} times");
            assert!(
                !self.told_not_run.contains(ticket),
                "ticket {ticket} ran, told not run"
            );
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Issue),
        6 => any::<usize>().prop_map(Step::Send),
        4 => any::<usize>().prop_map(Step::TakeEffect),
        3 => any::<usize>().prop_map(Step::Answer),
        2 => any::<usize>().prop_map(Step::Refuse),
        2 => any::<usize>().prop_map(Step::GiveUp),
        1 => Just(Step::Move),
        2 => Just(Step::HandOver),
        2 => any::<usize>().prop_map(Step::Renew),
        2 => (0u64..4_000).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000, failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn an_order_runs_at_most_once(steps in proptest::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            model.check();
        }
    }
}
