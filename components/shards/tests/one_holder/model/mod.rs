//! Simulates machines, their back ends and the store, with faults, in simulated time.

mod back_end;
mod history;
pub(crate) mod rules;
mod store;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shards::assignment::Assignment;
use shards::key_report::GrantReply;
use shards::lease::Lease;
use shards::manager::{PeerState, ShardManager, StoreOp, StoreOutcome, Timing, Versioned};
use shards::revision::StoreEra;
use world::instant::BootInstant;
use world::name::MachineName;

use back_end::BackEnd;
pub(crate) use history::History;
use history::{Event, StoreFaults};
use rules::Rule;
use store::Store;

/// Length of a simulation step in milliseconds.
const STEP_MS: f64 = 50.0;
/// Distance between two keys whose fencing tokens are checked.
const SAMPLE_STEP: usize = 61;

/// An operation on a stored object that a machine has requested.
#[derive(Clone, Debug)]
enum Request {
    Lease(StoreOp<Lease>),
    Assignment(StoreOp<Assignment>),
    Fence(MachineName, StoreOp<Lease>),
}

/// A request in flight, or one given up by its caller that may still execute.
#[derive(Clone, Debug)]
struct InFlight {
    machine: usize,
    process: u64,
    request: Request,
    sent: BootInstant,
    /// When the store executes it; `None` if never or already done.
    executes_at: Option<f64>,
    /// When the caller gets the response or, without one, gives up.
    returns_at: f64,
    has_response: bool,
    outcome: Option<Result<StoreOutcome<Lease>, StoreOutcome<Assignment>>>,
}

struct Process {
    number: u64,
    manager: ShardManager,
    paused_until: f64,
    lease_pending: bool,
    assignment_pending: bool,
    fence_pending: bool,
    retry_at: f64,
}

struct Machine {
    name: MachineName,
    clock_rate: f64,
    process: Option<Process>,
    process_starts_at: Option<f64>,
    back_end: Option<BackEnd>,
    back_end_starts_at: Option<f64>,
    boots: u64,
    partitioned_until: f64,
    no_store_until: f64,
    no_peers_until: f64,
}

impl Machine {
    fn reaches_store(&self, now: f64) -> bool {
        now >= self.partitioned_until && now >= self.no_store_until
    }

    fn reaches_peers(&self, now: f64) -> bool {
        now >= self.partitioned_until && now >= self.no_peers_until
    }
}

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
    /// Last grant of each sampled key: machine, start time of its back end, fencing token.
    last_grants: Vec<Option<(usize, u64, u64)>>,
    disabled_rule: Option<Rule>,
    next_process: u64,
}

impl Simulation {
    /// Creates a simulation of `history`, with one rule disabled if one is given.
    pub(crate) fn new(history: History, disabled_rule: Option<Rule>) -> Self {
        let mut rng = StdRng::seed_from_u64(history.seed);
        let machines: Vec<Machine> = (0..history.machines)
            .map(|i| Machine {
                name: MachineName::new(&format!("m{i}")),
                clock_rate: rng.random_range(0.9975..1.0025),
                process: None,
                process_starts_at: Some(rng.random_range(0.0..300.0)),
                back_end: None,
                back_end_starts_at: Some(rng.random_range(0.0..300.0)),
                boots: 0,
                partitioned_until: 0.0,
                no_store_until: 0.0,
                no_peers_until: 0.0,
            })
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
            last_grants: vec![None; 65_536 / SAMPLE_STEP + 1],
            disabled_rule,
            next_process: 0,
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
        }
        None
    }

    /// Returns the number of keys that back ends hold.
    pub(crate) fn held_keys(&self) -> u32 {
        let back_ends = self.machines.iter().filter_map(|m| m.back_end.as_ref());
        back_ends
            .flat_map(|b| b.holdings.iter())
            .map(|r| r.span.len())
            .sum()
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
            m.process = Some(Process {
                number: self.next_process,
                manager: ShardManager::new(m.name.clone(), Timing::default(), at),
                paused_until: 0.0,
                lease_pending: false,
                assignment_pending: false,
                fence_pending: false,
                retry_at: 0.0,
            });
        }
        if m.back_end_starts_at.is_some_and(|t| now >= t) {
            m.back_end_starts_at = None;
            m.boots += 1;
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

    fn record_grant(
        &mut self,
        machine: usize,
        born: u64,
        span: shards::span::Span,
        fence: u64,
    ) -> Option<String> {
        let first = usize::from(span.from).div_ceil(SAMPLE_STEP);
        for sample in first..=usize::from(span.to) / SAMPLE_STEP {
            let before = self.last_grants[sample];
            if let Some((holder, holder_born, old)) = before {
                let same = holder == machine && holder_born == born;
                if !same && fence <= old {
                    return Some(format!(
                        "at {} key {} went from m{holder} to m{machine} with fence {fence} after {old}",
                        self.now,
                        sample * SAMPLE_STEP
                    ));
                }
            }
            self.last_grants[sample] = Some((machine, born, fence));
        }
        None
    }

    fn find_shared_keys(&self) -> Option<String> {
        let mut all: Vec<(usize, usize, u16, u16)> = Vec::new();
        for (i, m) in self.machines.iter().enumerate() {
            for r in m.back_end.iter().flat_map(|b| &b.holdings) {
                all.push((i, i, r.span.from, r.span.to));
            }
        }
        all.sort_by_key(|r| r.2);
        for (k, a) in all.iter().enumerate() {
            for b in all[k + 1..].iter().take_while(|b| b.2 <= a.3) {
                if a.0 != b.0 {
                    return Some(format!(
                        "at {} keys {}..={} are held by m{} and m{}",
                        self.now,
                        b.2,
                        a.3.min(b.3),
                        a.0,
                        b.0
                    ));
                }
            }
        }
        None
    }

    fn step_process(&mut self, i: usize) {
        if !self.is_process_running(i) {
            return;
        }
        let at = self.clock(i);
        let peers = self.peer_states(i);
        let assignments = self.peer_assignments(i);
        let now = self.now;
        let Some(p) = self.machines[i].process.as_mut() else {
            return;
        };
        for (name, peer) in peers {
            p.manager.set_peer(name, peer);
        }
        for assignment in assignments {
            p.manager.on_assignment(assignment);
        }
        p.manager.on_tick(at);
        if now < p.retry_at {
            return;
        }
        let lease = p.manager.lease_op(at).filter(|_| !p.lease_pending);
        let assignment = p
            .manager
            .assignment_op(at)
            .filter(|_| !p.assignment_pending);
        let fence = p.manager.fence_op(at).filter(|_| !p.fence_pending);
        p.lease_pending |= lease.is_some();
        p.assignment_pending |= assignment.is_some();
        p.fence_pending |= fence.is_some();
        if let Some(op) = lease {
            let op = self.apply_epoch_rule(op);
            self.send(i, Request::Lease(op));
        }
        if let Some(op) = assignment {
            self.send(i, Request::Assignment(op));
        }
        if let Some((machine, op)) = fence {
            self.send(i, Request::Fence(machine, op));
        }
    }

    fn apply_epoch_rule(&self, op: StoreOp<Lease>) -> StoreOp<Lease> {
        if self.disabled_rule != Some(Rule::WriteBeforeGranting) {
            return op;
        }
        match op {
            StoreOp::Replace(mut stored) => {
                stored.value.epoch = 1;
                StoreOp::Replace(stored)
            }
            other => other,
        }
    }

    fn peer_states(&self, i: usize) -> Vec<(MachineName, PeerState)> {
        let now = self.clock(i);
        let mut peers = Vec::new();
        for (j, m) in self.machines.iter().enumerate() {
            let Some(other) = m.process.as_ref().filter(|_| j != i) else {
                if j != i {
                    peers.extend(self.disconnected_peer(i, j));
                }
                continue;
            };
            let (connected, since) = self.connected[i][j];
            if !connected {
                peers.extend(self.disconnected_peer(i, j));
                continue;
            }
            let since = Duration::from_secs_f64((self.now - since).max(0.0) / 1e3);
            peers.push((
                m.name.clone(),
                PeerState {
                    connected: true,
                    link_changed_at: now - since,
                    incarnation: other.manager.available_incarnation().cloned(),
                    lease: other.manager.lease().cloned(),
                    lease_received_at: now,
                    utilization: 0.3,
                },
            ));
        }
        peers
    }

    fn disconnected_peer(&self, i: usize, j: usize) -> Option<(MachineName, PeerState)> {
        let now = self.clock(i);
        let (_, since) = self.connected[i][j];
        let since = Duration::from_secs_f64((self.now - since).max(0.0) / 1e3);
        Some((
            self.machines[j].name.clone(),
            PeerState {
                connected: false,
                link_changed_at: now - since,
                incarnation: None,
                lease: None,
                lease_received_at: now,
                utilization: 0.0,
            },
        ))
    }

    fn peer_assignments(&self, i: usize) -> Vec<Versioned<Assignment>> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(j, _)| self.connected[i][*j].0)
            .filter_map(|(_, m)| m.process.as_ref()?.manager.assignment().cloned())
            .collect()
    }

    fn send(&mut self, i: usize, request: Request) {
        let sent = self.clock(i);
        let faults = self.current_faults();
        let unreachable = self.store.is_away(self.now) || !self.machines[i].reaches_store(self.now);
        let latency = self.rng.random_range(4.0..faults.latency_ms);
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let timeout = self.now + 1_000.0;
        let (executes_at, returns_at, has_response) = if unreachable || draw < faults.dropped {
            (None, timeout, false)
        } else if draw < faults.dropped + faults.response_lost {
            (Some(self.now + latency), timeout, false)
        } else if draw < faults.dropped + faults.response_lost + faults.delayed {
            let delay = self.rng.random_range(1_000.0..6_000.0);
            (Some(self.now + delay), timeout, false)
        } else {
            (Some(self.now + latency / 2.0), self.now + latency, true)
        };
        let Some(process) = self.machines[i].process.as_ref().map(|p| p.number) else {
            return;
        };
        self.in_flight.push(InFlight {
            machine: i,
            process,
            request,
            sent,
            executes_at,
            returns_at,
            has_response,
            outcome: None,
        });
    }

    fn execute_requests(&mut self) {
        let now = self.now;
        if self.store.is_away(now) {
            self.interrupt_requests();
            return;
        }
        let mut order: Vec<usize> = (0..self.in_flight.len())
            .filter(|k| self.in_flight[*k].executes_at.is_some_and(|t| t <= now))
            .collect();
        order.sort_by(|a, b| {
            let key = |k: &usize| self.in_flight[*k].executes_at.unwrap_or(0.0);
            key(a).total_cmp(&key(b))
        });
        for k in order {
            let entry = &mut self.in_flight[k];
            entry.executes_at = None;
            let outcome = match &entry.request {
                Request::Lease(op) => Ok(self.store.lease(&self.machines[entry.machine].name, op)),
                Request::Assignment(op) => Err(self.store.assignment(op)),
                Request::Fence(_, StoreOp::Replace(written))
                    if self.disabled_rule == Some(Rule::FenceBeforeReassigning) =>
                {
                    Ok(StoreOutcome::Done(written.clone()))
                }
                Request::Fence(machine, op) => Ok(self.store.lease(machine, op)),
            };
            entry.outcome = Some(outcome);
        }
    }

    /// Drops the requests that the store would execute now, or delays them until it is back.
    fn interrupt_requests(&mut self) {
        let now = self.now;
        let due = |r: &&mut InFlight| r.executes_at.is_some_and(|at| at <= now);
        for request in self.in_flight.iter_mut().filter(due) {
            request.has_response = false;
            request.executes_at = match self.rng.random_bool(0.5) {
                true => Some(now + self.rng.random_range(0.0..3_000.0)),
                false => None,
            };
        }
    }

    fn return_outcomes(&mut self) {
        let now = self.now;
        let mut remaining = Vec::new();
        for entry in std::mem::take(&mut self.in_flight) {
            let paused = !self.is_process_running(entry.machine);
            let due = entry.returns_at <= now && !paused;
            if due {
                self.return_outcome(&entry);
            }
            // A request without a response may still execute later.
            if !due || entry.executes_at.is_some() {
                let returns_at = if due { f64::INFINITY } else { entry.returns_at };
                remaining.push(InFlight {
                    returns_at,
                    ..entry
                });
            }
        }
        self.in_flight.append(&mut remaining);
    }

    fn return_outcome(&mut self, entry: &InFlight) {
        let now = self.now;
        let at = self.clock(entry.machine);
        let disabled_rule = self.disabled_rule;
        let Some(p) = self.machines[entry.machine]
            .process
            .as_mut()
            .filter(|p| p.number == entry.process)
        else {
            return;
        };
        if !entry.has_response {
            p.retry_at = now + 300.0;
        }
        let known = entry
            .has_response
            .then_some(entry.outcome.as_ref())
            .flatten();
        match &entry.request {
            Request::Lease(op) => {
                p.lease_pending = false;
                let outcome = match known {
                    Some(Ok(outcome)) => outcome.clone(),
                    _ => StoreOutcome::Unknown,
                };
                let sent = match disabled_rule {
                    Some(Rule::GrantWithinLease) => at + Duration::from_secs(9),
                    _ => entry.sent,
                };
                let next = p
                    .manager
                    .on_lease_outcome(sent, StoreEra::FIRST, op, outcome);
                p.lease_pending = next.is_some();
                if let Some(next) = next {
                    let next = self.apply_epoch_rule(next);
                    self.send(entry.machine, Request::Lease(next));
                }
            }
            Request::Assignment(op) => {
                p.assignment_pending = false;
                let outcome = match known {
                    Some(Err(outcome)) => outcome.clone(),
                    _ => StoreOutcome::Unknown,
                };
                p.manager
                    .on_assignment_outcome(StoreEra::FIRST, op, outcome);
            }
            Request::Fence(machine, op) => {
                p.fence_pending = false;
                let outcome = match known {
                    Some(Ok(outcome)) => outcome.clone(),
                    _ => StoreOutcome::Unknown,
                };
                let at = match disabled_rule {
                    Some(Rule::WaitAfterFence) => at - Duration::from_secs(9),
                    _ => at,
                };
                p.manager
                    .on_fence_outcome(at, StoreEra::FIRST, machine, op, outcome);
            }
        }
    }
}
