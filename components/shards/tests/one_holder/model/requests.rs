//! Requests to the store: their faults, execution and outcomes.

use std::time::Duration;

use rand::Rng;
use shards::assignment::Assignment;
use shards::lease::Lease;
use shards::manager::{StoreOp, StoreOutcome};
use shards::revision::StoreEra;
use world::instant::BootInstant;
use world::name::MachineName;

use super::Simulation;
use super::rules::Rule;

/// Longest delay of a request that the store has interrupted and that still gets a response.
const LONGEST_ANSWERED_MS: f64 = 800.0;

/// A request of a machine to the store.
#[derive(Clone, Debug)]
pub(super) enum Request {
    /// A read whose only purpose is to learn the era.
    Contact,
    Lease(StoreOp<Lease>),
    Assignment(StoreOp<Assignment>),
    Fence(MachineName, StoreOp<Lease>),
}

#[derive(Clone, Debug)]
enum Outcome {
    Contact,
    Lease(StoreOutcome<Lease>),
    Assignment(StoreOutcome<Assignment>),
}

/// What the store responds.
#[derive(Clone, Debug)]
struct Response {
    /// The store's era when it executed the request.
    era: StoreEra,
    outcome: Outcome,
}

impl Response {
    /// Returns what counts of a response to a request of another era.
    fn of_other_era(self) -> Option<Self> {
        let outcome = match &self.outcome {
            Outcome::Lease(outcome) if is_refusal(outcome) => Outcome::Lease(StoreOutcome::Refused),
            Outcome::Assignment(outcome) if is_refusal(outcome) => {
                Outcome::Assignment(StoreOutcome::Refused)
            }
            _ => return None,
        };
        Some(Self { outcome, ..self })
    }

    fn lease(&self) -> Option<StoreOutcome<Lease>> {
        match &self.outcome {
            Outcome::Lease(outcome) => Some(outcome.clone()),
            _ => None,
        }
    }

    fn assignment(&self) -> Option<StoreOutcome<Assignment>> {
        match &self.outcome {
            Outcome::Assignment(outcome) => Some(outcome.clone()),
            _ => None,
        }
    }
}

/// Whether the store has refused the request, so that it has no effect in any era.
fn is_refusal<T>(outcome: &StoreOutcome<T>) -> bool {
    matches!(outcome, StoreOutcome::Conflict(_) | StoreOutcome::Absent)
}

/// A request in flight, or one given up by its caller that may still execute.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    machine: usize,
    process: u64,
    /// Era that the process knew when it sent the request.
    era: Option<StoreEra>,
    request: Request,
    sent: BootInstant,
    /// When the store executes it; `None` if never or already done.
    executes_at: Option<f64>,
    /// When the caller gets the response or, without one, gives up.
    returns_at: f64,
    has_response: bool,
    response: Option<Response>,
}

impl Simulation {
    pub(super) fn send(&mut self, i: usize, request: Request) {
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
        let Some(process) = &self.machines[i].process else {
            return;
        };
        self.in_flight.push(InFlight {
            machine: i,
            process: process.number,
            era: process.era,
            request,
            sent,
            executes_at,
            returns_at,
            has_response,
            response: None,
        });
    }

    pub(super) fn execute_requests(&mut self) {
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
            self.in_flight[k].executes_at = None;
            let outcome = self.execute(k);
            self.in_flight[k].response = Some(Response {
                era: self.store.era(),
                outcome,
            });
        }
    }

    fn execute(&mut self, k: usize) -> Outcome {
        let InFlight {
            machine,
            era,
            request,
            ..
        } = &self.in_flight[k];
        let current = self.store.era();
        let kind = match self.disabled_rule {
            Some(Rule::KindsPerEra) => current,
            _ => era.unwrap_or(current),
        };
        match request {
            Request::Contact => Outcome::Contact,
            Request::Lease(op) => {
                Outcome::Lease(self.store.lease(kind, &self.machines[*machine].name, op))
            }
            Request::Assignment(op) => Outcome::Assignment(self.store.assignment(kind, op)),
            Request::Fence(_, StoreOp::Replace(written))
                if self.disabled_rule == Some(Rule::FenceBeforeReassigning) =>
            {
                Outcome::Lease(StoreOutcome::Done(written.clone()))
            }
            Request::Fence(machine, op) => Outcome::Lease(self.store.lease(kind, machine, op)),
        }
    }

    /// Drops the requests that the store would execute now, or delays them until it is back; some of
    /// these still get a response.
    fn interrupt_requests(&mut self) {
        let now = self.now;
        let due = |r: &&mut InFlight| r.executes_at.is_some_and(|at| at <= now);
        for request in self.in_flight.iter_mut().filter(due) {
            let delay = self.rng.random_range(0.0..3_000.0);
            let is_delayed = self.rng.random_bool(0.5);
            let is_in_time = delay < LONGEST_ANSWERED_MS && self.rng.random_bool(0.5);
            request.executes_at = is_delayed.then_some(now + delay);
            request.has_response &= is_delayed && is_in_time;
            if request.has_response {
                request.returns_at = now + delay;
            }
        }
    }

    pub(super) fn return_outcomes(&mut self) {
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
        let (i, now) = (entry.machine, self.now);
        let process = self.machines[i].process.as_mut();
        let Some(p) = process.filter(|p| p.number == entry.process) else {
            return;
        };
        if !entry.has_response && !matches!(entry.request, Request::Contact) {
            p.retry_at = now + 300.0;
        }
        let mut response = entry.response.clone().filter(|_| entry.has_response);
        let any_era = self.disabled_rule == Some(Rule::OutcomesOfTheirEra) && entry.era.is_some();
        if !any_era {
            if let Some(response) = &response {
                self.learn_era(i, response.era);
            }
            response = response.and_then(|r| match Some(r.era) == entry.era {
                true => Some(r),
                false => r.of_other_era(),
            });
        }
        self.pass_outcome(entry, response);
    }

    /// Passes the outcome to the manager; without a response it is unknown.
    fn pass_outcome(&mut self, entry: &InFlight, response: Option<Response>) {
        let at = self.clock(entry.machine);
        let disabled_rule = self.disabled_rule;
        let Some(p) = self.machines[entry.machine].process.as_mut() else {
            return;
        };
        let Some(era) = entry.era else { return };
        match &entry.request {
            Request::Contact => {}
            Request::Lease(op) => {
                p.lease_pending = false;
                let outcome = response.and_then(|r| r.lease());
                let outcome = outcome.unwrap_or(StoreOutcome::Unknown);
                let sent = match disabled_rule {
                    Some(Rule::GrantWithinLease) => at + Duration::from_secs(9),
                    _ => entry.sent,
                };
                let next = p.manager.on_lease_outcome(sent, era, op, outcome);
                p.lease_pending = next.is_some();
                if let Some(next) = next {
                    let next = self.apply_epoch_rule(next);
                    self.send(entry.machine, Request::Lease(next));
                }
            }
            Request::Assignment(op) => {
                p.assignment_pending = false;
                let outcome = response.and_then(|r| r.assignment());
                let without_outcome = match disabled_rule {
                    Some(Rule::GiveBackRefusedOnly) if p.era != Some(era) => StoreOutcome::Refused,
                    _ => StoreOutcome::Unknown,
                };
                let outcome = outcome.unwrap_or(without_outcome);
                p.manager.on_assignment_outcome(era, op, outcome);
            }
            Request::Fence(machine, op) => {
                p.fence_pending = false;
                let outcome = response.and_then(|r| r.lease());
                let outcome = outcome.unwrap_or(StoreOutcome::Unknown);
                let at = match disabled_rule {
                    Some(Rule::WaitAfterFence) => at - Duration::from_secs(9),
                    _ => at,
                };
                p.manager.on_fence_outcome(at, era, machine, op, outcome);
            }
        }
    }
}
