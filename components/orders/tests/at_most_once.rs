//! Guards against orders that run twice, and against "not run" reported for an order that ran, for
//! any sequence of repeated requests, lost or late responses and moves of the shard.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use bytes::Bytes;
use orders::table::{Bounds, ExecutionOutcome, OrderTable, RecordedResponse, StartDecision};
use orders::ticket::{Nonce, Ticket, TicketScope};
use proptest::prelude::*;
use world::error_kind::{ErrorKind, Executed};
use world::instant::BootInstant;
use world::key::{Fence, KeyHash, Shard};

/// One step of a history. A number is the index of a ticket, run or tenure, modulo their count.
#[derive(Clone, Debug)]
enum Step {
    /// A caller requests a ticket.
    Issue,
    /// A caller sends an order with a ticket, to the current owner.
    Send(usize),
    /// The back end executes a run; its response is still in flight.
    Execute(usize),
    /// The response of an executed run reaches its daemon, with any delay.
    Answer(usize),
    /// The daemon gets proof that a run was not executed.
    Reject(usize),
    /// The daemon stops waiting for a run whose outcome is unknown.
    GiveUp(usize),
    /// The shard moves to another owner without a handover of its orders.
    Move,
    /// The shard is released as planned, and the new owner continues its orders.
    HandOver,
    /// An owner of the present or the past continues its table under a later fence, whether or not
    /// others have owned the shard since.
    Renew(usize),
    /// Milliseconds pass.
    Wait(u64),
}

/// A request that an owner has sent to its back end.
struct Run {
    ticket: usize,
    tenure: usize,
    executed: bool,
    /// The back end has responded or rejected the run.
    ended: bool,
}

struct Model {
    now: BootInstant,
    tables: Vec<OrderTable>,
    tickets: Vec<Ticket>,
    runs: Vec<Run>,
    /// Number of executions by ticket.
    executions: HashMap<usize, u32>,
    /// Tickets reported to their caller as "not run" and not sent again since.
    reported_not_run: HashSet<usize>,
}

fn bounds() -> Bounds {
    Bounds {
        tickets: 16,
        lifetime: Duration::from_secs(5),
        ..Bounds::default()
    }
}

fn scope() -> TicketScope {
    TicketScope::new("vendor-1", "credits", KeyHash(7))
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            now: BootInstant::from_millis(1_000),
            tables: Vec::new(),
            tickets: Vec::new(),
            runs: Vec::new(),
            executions: HashMap::new(),
            reported_not_run: HashSet::new(),
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
        let handover = self.tables[owner].take_handover(self.now);
        let fence = Fence(self.tables.len() as u64 + 1);
        let table = OrderTable::from_handover(fence, bounds(), self.now, handover);
        self.tables.push(table);
    }

    /// Makes the table of an earlier tenure the current one. An empty table takes its place, so
    /// that the indices of tenures stay valid.
    fn renew(&mut self, tenure: usize) {
        let fence = Fence(self.tables.len() as u64 + 1);
        let mut table = std::mem::replace(
            &mut self.tables[tenure],
            OrderTable::new(Fence(0), bounds()),
        );
        table.advance_fence(self.now, fence);
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
            Step::Execute(run) => self.with_run(*run, Self::execute),
            Step::Answer(run) => self.with_run(*run, Self::answer),
            Step::Reject(run) => self.with_run(*run, Self::reject),
            Step::GiveUp(run) => self.with_run(*run, Self::give_up),
            Step::Move => self.move_shard(),
            Step::HandOver => self.hand_over(),
            Step::Renew(tenure) => self.renew(tenure % self.tables.len()),
            Step::Wait(millis) => self.now = self.now + Duration::from_millis(*millis),
            Step::Send(_) => {}
        }
    }

    fn with_run(&mut self, run: usize, action: fn(&mut Self, usize)) {
        if !self.runs.is_empty() {
            action(self, run % self.runs.len());
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
        self.reported_not_run.remove(&ticket);
        let decision = self.tables[owner].try_start(self.now, &self.tickets[ticket], &scope());
        let kind = match decision {
            StartDecision::Run => {
                let run = Run {
                    ticket,
                    tenure: owner,
                    executed: false,
                    ended: false,
                };
                return self.runs.push(run);
            }
            StartDecision::Replay(_) | StartDecision::ResponseNotKept => {
                assert_eq!(
                    self.executions.get(&ticket),
                    Some(&1),
                    "response without exactly one execution"
                );
                return;
            }
            StartDecision::InProgress => ErrorKind::OrderInProgress,
            StartDecision::Unknown => ErrorKind::OutcomeLost,
            StartDecision::Stale => ErrorKind::TicketStale,
            StartDecision::Expired => ErrorKind::TicketExpired,
            StartDecision::Mismatch => ErrorKind::TicketMismatch,
        };
        if kind.response().ran == Executed::No {
            self.reported_not_run.insert(ticket);
        }
    }

    fn execute(&mut self, run: usize) {
        let run = &mut self.runs[run];
        if !run.executed && !run.ended {
            run.executed = true;
            *self.executions.entry(run.ticket).or_default() += 1;
        }
    }

    fn end(&mut self, run: usize, outcome: ExecutionOutcome) {
        let run = &mut self.runs[run];
        run.ended = true;
        self.tables[run.tenure].finish(&self.tickets[run.ticket], outcome);
    }

    fn answer(&mut self, run: usize) {
        if self.runs[run].executed && !self.runs[run].ended {
            let body = Bytes::from_static(b"done");
            let content_type = "text/plain".to_owned();
            self.end(
                run,
                ExecutionOutcome::Answered(RecordedResponse {
                    status: 200,
                    content_type,
                    body,
                }),
            );
        }
    }

    /// Proof of "not run" exists only for a run that was not executed, and rules out that it is
    /// executed later.
    fn reject(&mut self, run: usize) {
        if !self.runs[run].executed && !self.runs[run].ended {
            self.end(run, ExecutionOutcome::NotRun);
            self.reported_not_run.insert(self.runs[run].ticket);
        }
    }

    /// The run may still be executed later, so it is not marked as ended.
    fn give_up(&mut self, run: usize) {
        let run = &self.runs[run];
        if !run.ended {
            self.tables[run.tenure].finish(&self.tickets[run.ticket], ExecutionOutcome::Unknown);
        }
    }

    fn check(&self) {
        for (ticket, count) in &self.executions {
            assert!(*count <= 1, "ticket {ticket} was executed {count} times");
            assert!(
                !self.reported_not_run.contains(ticket),
                "ticket {ticket} was executed, but reported as not run"
            );
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Issue),
        6 => any::<usize>().prop_map(Step::Send),
        4 => any::<usize>().prop_map(Step::Execute),
        3 => any::<usize>().prop_map(Step::Answer),
        2 => any::<usize>().prop_map(Step::Reject),
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
