//! Machines, their back ends and the store in simulated time.

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
use world::instant::BootInstant;
use world::name::MachineName;

use back_end::BackEnd;
pub(crate) use history::History;
use history::{Event, Weather};
use rules::Rule;
use store::Store;

/// Milliseconds of one step.
const STEP_MS: f64 = 50.0;
/// Keys that are looked at: every 61st.
const SAMPLE_STEP: usize = 61;

/// A call on its way.
#[derive(Clone, Debug)]
enum Work {
    Lease(StoreOp<Lease>),
    View(StoreOp<Assignment>),
    Fence(MachineName, StoreOp<Lease>),
}

#[derive(Clone, Debug)]
struct Flight {
    machine: usize,
    process: u64,
    work: Work,
    sent: BootInstant,
    /// When the store carries it out, if it does.
    executes: Option<f64>,
    /// When the answer is there; without one the caller gives up then.
    answers: f64,
    answered: bool,
    outcome: Option<Result<StoreOutcome<Lease>, StoreOutcome<Assignment>>>,
}

struct Process {
    number: u64,
    manager: ShardManager,
    asleep_until: f64,
    lease_busy: bool,
    view_busy: bool,
    fence_busy: bool,
    pause_until: f64,
}

struct Machine {
    name: MachineName,
    rate: f64,
    process: Option<Process>,
    process_returns: Option<f64>,
    back_end: Option<BackEnd>,
    back_end_returns: Option<f64>,
    boots: u64,
    cut_until: f64,
}

struct Answer {
    machine: usize,
    born: u64,
    sequence: u64,
    sent: f64,
    arrives: f64,
    reply: Option<GrantReply>,
}

/// Everything.
pub(crate) struct World {
    rng: StdRng,
    now: f64,
    end: f64,
    events: Vec<(f64, Event)>,
    weather: Vec<(f64, f64, Weather)>,
    store: Store,
    machines: Vec<Machine>,
    connected: Vec<Vec<(bool, f64)>>,
    flights: Vec<Flight>,
    answers: Vec<Answer>,
    /// For each sampled key the back end that took it last, and its fence.
    fences: Vec<Option<(usize, u64, u64)>>,
    left_out: Option<Rule>,
    next_process: u64,
}

impl World {
    /// Makes a world in which `history` happens, with one rule left out if one is given.
    pub(crate) fn new(history: History, left_out: Option<Rule>) -> Self {
        let mut rng = StdRng::seed_from_u64(history.seed);
        let machines: Vec<Machine> = (0..history.machines)
            .map(|i| Machine {
                name: MachineName::new(&format!("m{i}")),
                rate: rng.random_range(0.9975..1.0025),
                process: None,
                process_returns: Some(rng.random_range(0.0..300.0)),
                back_end: None,
                back_end_returns: Some(rng.random_range(0.0..300.0)),
                boots: 0,
                cut_until: 0.0,
            })
            .collect();
        let n = machines.len();
        Self {
            rng,
            now: 0.0,
            end: history.end,
            events: history.events,
            weather: history.weather,
            store: Store::default(),
            machines,
            connected: vec![vec![(false, 0.0); n]; n],
            flights: Vec::new(),
            answers: Vec::new(),
            fences: vec![None; 65_536 / SAMPLE_STEP + 1],
            left_out,
            next_process: 0,
        }
    }

    /// Runs to the end; returns the first fault.
    pub(crate) fn run(&mut self) -> Option<String> {
        while self.now < self.end {
            self.now += STEP_MS;
            self.happen();
            self.update_links();
            self.carry_out();
            self.return_answers();
            if let Some(fault) = self.deliver_replies() {
                return Some(fault);
            }
            for i in 0..self.machines.len() {
                self.step_back_end(i);
                self.step_process(i);
            }
            if let Some(fault) = self.find_two_holders() {
                return Some(fault);
            }
        }
        None
    }

    /// Number of keys that some back end holds.
    pub(crate) fn held_keys(&self) -> u32 {
        let rows = self.machines.iter().filter_map(|m| m.back_end.as_ref());
        rows.flat_map(|b| b.rows.iter()).map(|r| r.span.len()).sum()
    }

    fn clock(&self, i: usize) -> BootInstant {
        let nanos = (1e12 + self.now * self.machines[i].rate * 1e6) as u64;
        BootInstant::from_nanos(nanos)
    }

    fn weather(&self) -> Weather {
        let active = self.weather.iter().rev();
        active
            .filter(|(from, to, _)| (*from..*to).contains(&self.now))
            .map(|(_, _, w)| *w)
            .next()
            .unwrap_or(Weather::CALM)
    }

    fn happen(&mut self) {
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
            Event::Sleep(i, span) => {
                if let Some(p) = &mut self.machines[i].process {
                    p.asleep_until = now + span;
                }
            }
            Event::KillProcess(i, span) => {
                self.machines[i].process = None;
                self.machines[i].process_returns = Some(now + span);
            }
            Event::CrashBackEnd(i, span) => {
                self.machines[i].back_end = None;
                self.machines[i].back_end_returns = span.map(|s| now + s);
            }
            Event::PowerOff(i, span) => {
                self.machines[i].process = None;
                self.machines[i].back_end = None;
                self.machines[i].process_returns = span.map(|s| now + s);
                self.machines[i].back_end_returns = span.map(|s| now + s + 200.0);
            }
            Event::Cut(i, span) => self.machines[i].cut_until = now + span,
            Event::Drain(i) => {
                if let Some(b) = &mut self.machines[i].back_end {
                    b.draining = true;
                }
            }
            Event::Busy(i, busy) => {
                let at = self.clock(i);
                if let Some(p) = &mut self.machines[i].process {
                    for key in (0..2_000).step_by(7) {
                        p.manager.count(key);
                    }
                    p.manager.relieve(at, busy);
                }
            }
        }
    }

    fn restart(&mut self, i: usize) {
        let now = self.now;
        let at = self.clock(i);
        let m = &mut self.machines[i];
        if m.process_returns.is_some_and(|t| now >= t) {
            m.process_returns = None;
            self.next_process += 1;
            m.process = Some(Process {
                number: self.next_process,
                manager: ShardManager::new(m.name.clone(), Timing::default(), at),
                asleep_until: 0.0,
                lease_busy: false,
                view_busy: false,
                fence_busy: false,
                pause_until: 0.0,
            });
        }
        if m.back_end_returns.is_some_and(|t| now >= t) {
            m.back_end_returns = None;
            m.boots += 1;
            let born = 1_000 + now as u64;
            m.back_end = Some(BackEnd::new(&format!("b{i}"), born, now, &mut self.rng));
        }
    }

    fn is_awake(&self, i: usize) -> bool {
        let process = self.machines[i].process.as_ref();
        process.is_some_and(|p| self.now >= p.asleep_until)
    }

    /// Connections notice a cut or a stopped process only after a while.
    fn update_links(&mut self) {
        let n = self.machines.len();
        for a in 0..n {
            for b in 0..n {
                let up = a != b
                    && self.is_awake(a)
                    && self.is_awake(b)
                    && self.now >= self.machines[a].cut_until
                    && self.now >= self.machines[b].cut_until;
                if self.connected[a][b].0 != up {
                    self.connected[a][b] = (up, self.now);
                }
            }
        }
    }

    fn step_back_end(&mut self, i: usize) {
        let now = self.now;
        let left_out = self.left_out;
        let awake = self.is_awake(i);
        let at = self.clock(i);
        let m = &mut self.machines[i];
        let Some(b) = &mut m.back_end else {
            if let Some(p) = m.process.as_mut().filter(|_| awake) {
                // A refused connection proves that the back end has ended.
                if p.manager.incarnation().is_some() {
                    p.manager.on_back_end_gone(at);
                }
            }
            return;
        };
        b.advance(now);
        if now < b.next_beat {
            return;
        }
        let mut report = b.beat(now);
        if left_out == Some(Rule::KeysReleasedFirst) {
            report.held.clear();
            report.freed = vec![shards::key_report::ReleasedKeys {
                span: shards::span::ALL,
                handover: String::new(),
            }];
        }
        if left_out == Some(Rule::FenceRisesWithLife) {
            report.sequence += report.incarnation.born;
            report.incarnation.born = 1;
        }
        let sequence = report.sequence;
        let born = b.incarnation.born;
        let Some(p) = m.process.as_mut().filter(|_| awake) else {
            return;
        };
        let reply = p.manager.on_check_in(at, &report);
        let delay = if self.rng.random_bool(0.1) {
            self.rng.random_range(0.0..900.0)
        } else {
            1.0
        };
        let own_sequence = match left_out {
            Some(Rule::FenceRisesWithLife) => sequence - born,
            _ => sequence,
        };
        self.answers.push(Answer {
            machine: i,
            born,
            sequence: own_sequence,
            sent: now,
            arrives: now + delay,
            reply,
        });
    }

    fn deliver_replies(&mut self) -> Option<String> {
        let now = self.now;
        let (due, rest): (Vec<Answer>, Vec<Answer>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|a| a.arrives <= now);
        self.answers = rest;
        for answer in due {
            let Some(b) = self.machines[answer.machine].back_end.as_mut() else {
                continue;
            };
            if b.incarnation.born != answer.born {
                continue;
            }
            let reply = answer.reply.as_ref();
            let taken = b.on_reply(now, answer.sent, answer.sequence, reply, &mut self.rng);
            for (span, fence) in taken {
                if let Some(fault) = self.note_taken(answer.machine, answer.born, span, fence) {
                    return Some(fault);
                }
            }
        }
        None
    }

    fn note_taken(
        &mut self,
        machine: usize,
        born: u64,
        span: shards::span::Span,
        fence: u64,
    ) -> Option<String> {
        let first = usize::from(span.from).div_ceil(SAMPLE_STEP);
        for sample in first..=usize::from(span.to) / SAMPLE_STEP {
            let before = self.fences[sample];
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
            self.fences[sample] = Some((machine, born, fence));
        }
        None
    }

    fn find_two_holders(&self) -> Option<String> {
        let mut all: Vec<(usize, usize, u16, u16)> = Vec::new();
        for (i, m) in self.machines.iter().enumerate() {
            for r in m.back_end.iter().flat_map(|b| &b.rows) {
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
        if !self.is_awake(i) {
            return;
        }
        let at = self.clock(i);
        let peers = self.peers_of(i);
        let views = self.views_heard(i);
        let now = self.now;
        let Some(p) = self.machines[i].process.as_mut() else {
            return;
        };
        for (name, peer) in peers {
            p.manager.set_peer(name, peer);
        }
        for view in views {
            p.manager.on_view(view);
        }
        p.manager.tidy(at);
        if now < p.pause_until {
            return;
        }
        let lease = p.manager.lease_call(at).filter(|_| !p.lease_busy);
        let view = p.manager.view_call(at).filter(|_| !p.view_busy);
        let fence = p.manager.fence_call(at).filter(|_| !p.fence_busy);
        p.lease_busy |= lease.is_some();
        p.view_busy |= view.is_some();
        p.fence_busy |= fence.is_some();
        if let Some(call) = lease {
            let call = self.without_new_epoch(call);
            self.send(i, Work::Lease(call));
        }
        if let Some(call) = view {
            self.send(i, Work::View(call));
        }
        if let Some((machine, call)) = fence {
            self.send(i, Work::Fence(machine, call));
        }
    }

    fn without_new_epoch(&self, call: StoreOp<Lease>) -> StoreOp<Lease> {
        if self.left_out != Some(Rule::WriteBeforeGranting) {
            return call;
        }
        match call {
            StoreOp::Replace(mut stored) => {
                stored.value.epoch = 1;
                StoreOp::Replace(stored)
            }
            other => other,
        }
    }

    fn peers_of(&self, i: usize) -> Vec<(MachineName, PeerState)> {
        let now = self.clock(i);
        let mut peers = Vec::new();
        for (j, m) in self.machines.iter().enumerate() {
            let Some(other) = m.process.as_ref().filter(|_| j != i) else {
                if j != i {
                    peers.extend(self.lost_peer(i, j));
                }
                continue;
            };
            let (connected, since) = self.connected[i][j];
            if !connected {
                peers.extend(self.lost_peer(i, j));
                continue;
            }
            let since = Duration::from_secs_f64((self.now - since).max(0.0) / 1e3);
            peers.push((
                m.name.clone(),
                PeerState {
                    connected: true,
                    since: now - since,
                    incarnation: other.manager.incarnation().cloned(),
                    lease: other.manager.lease().cloned(),
                    lease_seen: now,
                    busy: 0.3,
                },
            ));
        }
        peers
    }

    fn lost_peer(&self, i: usize, j: usize) -> Option<(MachineName, PeerState)> {
        let now = self.clock(i);
        let (_, since) = self.connected[i][j];
        let since = Duration::from_secs_f64((self.now - since).max(0.0) / 1e3);
        Some((
            self.machines[j].name.clone(),
            PeerState {
                connected: false,
                since: now - since,
                incarnation: None,
                lease: None,
                lease_seen: now,
                busy: 0.0,
            },
        ))
    }

    fn views_heard(&self, i: usize) -> Vec<Versioned<Assignment>> {
        let heard = self.machines.iter().enumerate();
        heard
            .filter(|(j, _)| self.connected[i][*j].0)
            .filter_map(|(_, m)| m.process.as_ref()?.manager.view().cloned())
            .collect()
    }

    fn send(&mut self, i: usize, work: Work) {
        let sent = self.clock(i);
        let weather = self.weather();
        let cut = self.now < self.machines[i].cut_until;
        let latency = self.rng.random_range(4.0..weather.latency_ms);
        let fate: f64 = self.rng.random_range(0.0..1.0);
        let timeout = self.now + 1_000.0;
        let (executes, answers, answered) = if cut || fate < weather.refused {
            (None, timeout, false)
        } else if fate < weather.refused + weather.lost {
            (Some(self.now + latency), timeout, false)
        } else if fate < weather.refused + weather.lost + weather.late {
            let late = self.rng.random_range(1_000.0..6_000.0);
            (Some(self.now + late), timeout, false)
        } else {
            (Some(self.now + latency / 2.0), self.now + latency, true)
        };
        let Some(process) = self.machines[i].process.as_ref().map(|p| p.number) else {
            return;
        };
        self.flights.push(Flight {
            machine: i,
            process,
            work,
            sent,
            executes,
            answers,
            answered,
            outcome: None,
        });
    }

    fn carry_out(&mut self) {
        let now = self.now;
        let mut order: Vec<usize> = (0..self.flights.len())
            .filter(|k| self.flights[*k].executes.is_some_and(|t| t <= now))
            .collect();
        order.sort_by(|a, b| {
            let key = |k: &usize| self.flights[*k].executes.unwrap_or(0.0);
            key(a).total_cmp(&key(b))
        });
        for k in order {
            let flight = &mut self.flights[k];
            flight.executes = None;
            let outcome = match &flight.work {
                Work::Lease(call) => {
                    Ok(self.store.lease(&self.machines[flight.machine].name, call))
                }
                Work::View(call) => Err(self.store.assignment(call)),
                Work::Fence(_, StoreOp::Replace(wanted))
                    if self.left_out == Some(Rule::FenceBeforeTaking) =>
                {
                    Ok(StoreOutcome::Done(wanted.clone()))
                }
                Work::Fence(machine, call) => Ok(self.store.lease(machine, call)),
            };
            flight.outcome = Some(outcome);
        }
    }

    fn return_answers(&mut self) {
        let now = self.now;
        let mut kept = Vec::new();
        for flight in std::mem::take(&mut self.flights) {
            let asleep = !self.is_awake(flight.machine);
            let due = flight.answers <= now && !asleep;
            if due {
                self.return_answer(&flight);
            }
            // A call without an answer may still be carried out later.
            if !due || flight.executes.is_some() {
                let answers = if due { f64::INFINITY } else { flight.answers };
                kept.push(Flight { answers, ..flight });
            }
        }
        self.flights.append(&mut kept);
    }

    fn return_answer(&mut self, flight: &Flight) {
        let now = self.now;
        let at = self.clock(flight.machine);
        let left_out = self.left_out;
        let Some(p) = self.machines[flight.machine]
            .process
            .as_mut()
            .filter(|p| p.number == flight.process)
        else {
            return;
        };
        if !flight.answered {
            p.pause_until = now + 300.0;
        }
        let known = flight.answered.then_some(flight.outcome.as_ref()).flatten();
        match &flight.work {
            Work::Lease(call) => {
                p.lease_busy = false;
                let outcome = match known {
                    Some(Ok(outcome)) => outcome.clone(),
                    _ => StoreOutcome::Unknown,
                };
                let sent = match left_out {
                    Some(Rule::GrantWithinLease) => at + Duration::from_secs(9),
                    _ => flight.sent,
                };
                let next = p.manager.on_lease(sent, call, outcome);
                p.lease_busy = next.is_some();
                if let Some(next) = next {
                    let next = self.without_new_epoch(next);
                    self.send(flight.machine, Work::Lease(next));
                }
            }
            Work::View(call) => {
                p.view_busy = false;
                let outcome = match known {
                    Some(Err(outcome)) => outcome.clone(),
                    _ => StoreOutcome::Unknown,
                };
                p.manager.on_view_outcome(call, outcome);
            }
            Work::Fence(machine, call) => {
                p.fence_busy = false;
                let outcome = match known {
                    Some(Ok(outcome)) => outcome.clone(),
                    _ => StoreOutcome::Unknown,
                };
                let at = match left_out {
                    Some(Rule::WaitAfterFence) => at - Duration::from_secs(9),
                    _ => at,
                };
                p.manager.on_fence(at, machine, call, outcome);
            }
        }
    }
}
