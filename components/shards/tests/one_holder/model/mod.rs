//! Simulates machines, their back ends and the store, with faults, in simulated time.

mod back_end;
mod checks;
mod history;
mod machine;
mod processes;
mod requests;
mod restores;
pub(crate) mod rules;
mod store;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shards::key_report::GrantReply;
use world::instant::BootInstant;

use back_end::BackEnd;
use checks::Samples;
pub(crate) use history::History;
use history::{Event, StoreFaults};
use machine::Machine;
use processes::PendingClaim;
use requests::InFlight;
use rules::Rule;
use store::Store;

/// Length of a simulation step in milliseconds.
const STEP_MS: f64 = 50.0;

struct PendingReply {
    machine: usize,
    born: u64,
    sequence: u64,
    sent: f64,
    arrives_at: f64,
    reply: Option<GrantReply>,
}

/// State of the simulation; times are true milliseconds from its start.
pub(crate) struct Simulation {
    rng: StdRng,
    now: f64,
    end: f64,
    events: Vec<(f64, Event)>,
    store_faults: Vec<(f64, f64, StoreFaults)>,
    store: Store,
    machines: Vec<Machine>,
    connected: Vec<Vec<(bool, f64)>>,
    in_flight: Vec<InFlight>,
    pending_replies: Vec<PendingReply>,
    pending_claims: Vec<PendingClaim>,
    samples: Samples,
    disabled_rule: Option<Rule>,
    next_process: u64,
    /// Number of the first machines whose zone is evacuated, and since when.
    evacuation: Option<(usize, f64)>,
}

impl Simulation {
    /// Creates a simulation of `history`, with one rule disabled if one is given.
    pub(crate) fn new(history: History, disabled_rule: Option<Rule>) -> Self {
        let mut rng = StdRng::seed_from_u64(history.seed);
        let machines: Vec<Machine> = (0..history.machines)
            .map(|i| Machine::new(i, &mut rng))
            .collect();
        let n = machines.len();
        Self {
            rng,
            now: 0.0,
            end: history.end,
            events: history.events,
            store_faults: history.store_faults,
            store: Store::new(history.restores),
            machines,
            connected: vec![vec![(false, 0.0); n]; n],
            in_flight: Vec::new(),
            pending_replies: Vec::new(),
            pending_claims: Vec::new(),
            samples: Samples::new(),
            disabled_rule,
            next_process: 0,
            evacuation: None,
        }
    }

    /// Runs to the end, or to the first violation, which is returned.
    pub(crate) fn run(&mut self) -> Option<String> {
        while self.now < self.end {
            self.now += STEP_MS;
            self.apply_due_events();
            self.update_links();
            self.store.advance(self.now);
            self.execute_requests();
            self.return_outcomes();
            self.deliver_claims();
            if let Some(violation) = self.deliver_replies() {
                return Some(violation);
            }
            for i in 0..self.machines.len() {
                self.step_back_end(i);
                self.step_process(i);
            }
            if let Some(violation) = self.find_shared_keys() {
                return Some(violation);
            }
            self.record_holdings();
        }
        None
    }

    fn clock(&self, i: usize) -> BootInstant {
        let nanos = (1e12 + self.now * self.machines[i].clock_rate * 1e6) as u64;
        BootInstant::from_nanos(nanos)
    }

    fn current_faults(&self) -> StoreFaults {
        let active = self.store_faults.iter().rev();
        active
            .filter(|(from, to, _)| (*from..*to).contains(&self.now))
            .map(|(_, _, w)| *w)
            .next()
            .unwrap_or(StoreFaults::NONE)
    }

    fn apply_due_events(&mut self) {
        let due: Vec<Event> = {
            let now = self.now;
            let (due, rest) = self.events.drain(..).partition(|(at, _)| *at <= now);
            self.events = rest;
            let due: Vec<(f64, Event)> = due;
            due.into_iter().map(|(_, e)| e).collect()
        };
        for event in due {
            self.apply(event);
        }
        for i in 0..self.machines.len() {
            self.restart(i);
        }
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::PauseProcess(i, span) => {
                if let Some(p) = &mut self.machines[i].process {
                    p.paused_until = now + span;
                }
            }
            Event::KillProcess(i, span) => {
                self.machines[i].process = None;
                self.machines[i].process_starts_at = Some(now + span);
            }
            Event::CrashBackEnd(i, span) => {
                self.machines[i].back_end = None;
                self.machines[i].back_end_starts_at = span.map(|s| now + s);
            }
            Event::PowerOff(i, span) => {
                self.machines[i].process = None;
                self.machines[i].back_end = None;
                self.machines[i].process_starts_at = span.map(|s| now + s);
                self.machines[i].back_end_starts_at = span.map(|s| now + s + 200.0);
            }
            Event::KillAllProcesses(span) => {
                for m in &mut self.machines {
                    // Restarts that are due already stay as they are.
                    if m.process.take().is_some() {
                        m.process_starts_at = Some(now + self.rng.random_range(0.3..1.0) * span);
                    }
                }
            }
            Event::Partition(i, span) => self.machines[i].partitioned_until = now + span,
            Event::PartitionFromStore(i, span) => self.machines[i].no_store_until = now + span,
            Event::PartitionFromPeers(i, span) => self.machines[i].no_peers_until = now + span,
            Event::Evacuate(machines) => self.evacuation = Some((machines, now)),
            Event::Drain(i) => {
                if let Some(b) = &mut self.machines[i].back_end {
                    b.draining = true;
                }
            }
            Event::SetLoad(i, busy) => {
                let at = self.clock(i);
                if let Some(p) = &mut self.machines[i].process {
                    for key in (0..2_000).step_by(7) {
                        p.manager.count_request(key);
                    }
                    p.manager.rebalance(at, busy);
                }
            }
        }
    }

    fn restart(&mut self, i: usize) {
        let now = self.now;
        let at = self.clock(i);
        let m = &mut self.machines[i];
        if m.process_starts_at.is_some_and(|t| now >= t) {
            m.process_starts_at = None;
            self.next_process += 1;
            m.start_process(self.next_process, now, at);
        }
        if m.back_end_starts_at.is_some_and(|t| now >= t) {
            m.back_end_starts_at = None;
            let born = 1_000 + now as u64;
            m.back_end = Some(BackEnd::new(&format!("b{i}"), born, now, &mut self.rng));
        }
    }

    fn is_process_running(&self, i: usize) -> bool {
        let process = self.machines[i].process.as_ref();
        process.is_some_and(|p| self.now >= p.paused_until)
    }

    /// Connects machines that both run and are not partitioned.
    fn update_links(&mut self) {
        let n = self.machines.len();
        for a in 0..n {
            for b in 0..n {
                let up = a != b
                    && self.is_process_running(a)
                    && self.is_process_running(b)
                    && self.machines[a].reaches_peers(self.now)
                    && self.machines[b].reaches_peers(self.now);
                if self.connected[a][b].0 != up {
                    self.connected[a][b] = (up, self.now);
                }
            }
        }
    }

    fn step_back_end(&mut self, i: usize) {
        let now = self.now;
        let disabled_rule = self.disabled_rule;
        let running = self.is_process_running(i);
        let at = self.clock(i);
        let m = &mut self.machines[i];
        let Some(b) = &mut m.back_end else {
            if let Some(p) = m.process.as_mut().filter(|_| running) {
                // A refused connection proves that the back end has exited.
                if p.manager.available_incarnation().is_some() {
                    p.manager.on_back_end_exit(at);
                }
            }
            return;
        };
        b.advance(now);
        if now < b.next_heartbeat {
            return;
        }
        let mut report = b.heartbeat(now);
        if disabled_rule == Some(Rule::ReleaseBeforeTransfer) {
            report.held_keys.clear();
            report.released_keys = vec![shards::key_report::ReleasedKeys {
                span: shards::span::ALL,
                handover: String::new(),
            }];
        }
        if disabled_rule == Some(Rule::NewFencePerIncarnation) {
            report.sequence += report.incarnation.born;
            report.incarnation.born = 1;
        }
        let sequence = report.sequence;
        let born = b.incarnation.born;
        let Some(p) = m.process.as_mut().filter(|_| running) else {
            return;
        };
        let reply = p.manager.on_report(at, &report);
        let delay = if self.rng.random_bool(0.1) {
            self.rng.random_range(0.0..900.0)
        } else {
            1.0
        };
        let own_sequence = match disabled_rule {
            Some(Rule::NewFencePerIncarnation) => sequence - born,
            _ => sequence,
        };
        self.pending_replies.push(PendingReply {
            machine: i,
            born,
            sequence: own_sequence,
            sent: now,
            arrives_at: now + delay,
            reply,
        });
    }

    fn deliver_replies(&mut self) -> Option<String> {
        let now = self.now;
        let (due, rest): (Vec<PendingReply>, Vec<PendingReply>) =
            std::mem::take(&mut self.pending_replies)
                .into_iter()
                .partition(|a| a.arrives_at <= now);
        self.pending_replies = rest;
        for pending in due {
            let Some(b) = self.machines[pending.machine].back_end.as_mut() else {
                continue;
            };
            if b.incarnation.born != pending.born {
                continue;
            }
            let reply = pending.reply.as_ref();
            let granted = b.on_reply(now, pending.sent, pending.sequence, reply, &mut self.rng);
            for (span, fence) in granted {
                if let Some(violation) =
                    self.record_grant(pending.machine, pending.born, span, fence)
                {
                    return Some(violation);
                }
            }
        }
        None
    }
}
