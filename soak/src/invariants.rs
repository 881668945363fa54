//! Checks what callers and back ends see against the invariants of the system.
//!
//! - An order runs at most once, and a request reported as not run never runs.
//! - A response comes from a back end that ran the request.
//! - A request that has crashed three back ends is stopped.
//! - A request that every configuration allows is not denied.
//! - A back end gets no more requests than it names, and none once it has said that it leaves.
//! - No two incarnations of back ends hold a key at once, and the fencing token of a key increases
//!   with each change of holder.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use stand_ins::back_end::{Grant, Observer};
use stand_ins::key_holders::KeyHolders;
use stand_ins::layout;

use crate::crashing::{self, Crash};
use crate::denials::{Denials, Judgement};
use crate::disturbances::Disturbances;
use crate::notices::{Notice, Notices};

/// Outcome of a request as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The back end with this id has run it.
    Ran(String),
    /// It has not run and will not run.
    NotRun,
    /// It may have run.
    Unknown,
}

#[derive(Default)]
struct State {
    violations: Vec<String>,
    /// Back ends that ran each request, by request id.
    runs: HashMap<String, Vec<String>>,
    /// Requests that must run at most once.
    orders: HashSet<String>,
    /// Requests reported as not run.
    refused: HashSet<String>,
    key_holders: KeyHolders,
    crashes: Vec<Crash>,
    disturbances: Disturbances,
    /// Times at which a process did not run.
    halts: Disturbances,
    notices: Notices,
    counts: Counts,
    denials: Denials,
}

/// Numbers of requests by reported outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Run, with a response from the back end.
    pub ran: u64,
    /// Reported as not run.
    pub refused: u64,
    /// Possibly run, or without a response.
    pub unknown: u64,
}

/// Records events of callers and back ends, and the violations that they show.
#[derive(Default)]
pub struct InvariantChecker(Mutex<State>);

impl InvariantChecker {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic under the lock")
    }

    /// Records a violation that was found elsewhere; once, if it is found again and again.
    pub fn add_violation(&self, violation: String) {
        let violations = &mut self.state().violations;
        if !violations.contains(&violation) {
            violations.push(violation);
        }
    }

    /// Records that these machines are under a fault at this moment, and that the processes of those
    /// in `halted` do not run.
    pub fn on_disturbed(
        &self,
        machines: impl IntoIterator<Item = usize>,
        halted: impl IntoIterator<Item = usize>,
    ) {
        let mut state = self.state();
        let now = Instant::now();
        for machine in machines {
            state.disturbances.record(machine, now);
        }
        for machine in halted {
            state.halts.record(machine, now);
        }
    }

    /// Returns whether a machine has been under no fault since `since`.
    #[must_use]
    pub fn was_undisturbed(&self, machine: usize, since: Instant) -> bool {
        let state = self.state();
        state.disturbances.is_free(machine, since, Instant::now())
    }

    /// Records that a caller sends a request at a machine.
    pub fn on_send(&self, request: &str, machine: usize) {
        let now = Instant::now();
        self.state().notices.on_send(request, machine, now);
    }

    /// Records that a back end begins to say something in its responses.
    pub fn on_notice_begin(&self, back_end: &str, notice: Notice) {
        let now = Instant::now();
        self.state().notices.begin(back_end, notice, now);
    }

    /// Records that a back end says nothing any more.
    pub fn on_notice_end(&self, back_end: &str) {
        self.state().notices.end(back_end, Instant::now());
    }

    /// Records that a response told a caller of a machine that a back end has a limit, or leaves.
    pub fn on_told(&self, machine: usize, back_end: &str, is_limit: bool) {
        let now = Instant::now();
        let mut state = self.state();
        state.notices.on_told(machine, back_end, is_limit, now);
    }

    /// Records that a request must run at most once.
    pub fn on_order(&self, request: &str) {
        self.state().orders.insert(request.to_owned());
    }

    /// Records the outcome that a caller was given.
    pub fn on_outcome(&self, request: &str, outcome: &ReportedOutcome) {
        let mut state = self.state();
        match outcome {
            ReportedOutcome::Ran(back_end) => {
                state.counts.ran += 1;
                let ran = state.runs.get(request);
                if !ran.is_some_and(|r| r.contains(back_end)) {
                    let violation =
                        format!("{request} was answered by {back_end}, which did not run it");
                    state.violations.push(violation);
                }
            }
            ReportedOutcome::NotRun => {
                state.counts.refused += 1;
                state.refused.insert(request.to_owned());
            }
            ReportedOutcome::Unknown => state.counts.unknown += 1,
        }
    }

    /// Records that a request was denied for good.
    pub fn on_denial(&self, request: &str, machine: usize, status: u16, judgement: Judgement) {
        let mut state = self.state();
        state.denials.record(status, judgement);
        if judgement == Judgement::Wrong {
            let violation = format!("{request} at m-{machine} was wrongly denied with {status}");
            state.violations.push(violation);
        }
    }

    /// Returns the numbers of denials up to now.
    #[must_use]
    pub fn denials(&self) -> Denials {
        self.state().denials.clone()
    }

    /// Returns the violations up to now and the numbers of requests.
    pub fn finish(&self) -> (Vec<String>, Counts) {
        let state = self.state();
        let mut violations = state.violations.clone();
        violations.extend_from_slice(state.key_holders.violations());
        for request in &state.refused {
            if let Some(ran) = state.runs.get(request) {
                violations.push(format!(
                    "{request} was reported as not run, but ran at {ran:?}"
                ));
            }
        }
        violations.extend(crashing::violations(&state.crashes, &state.disturbances));
        violations.extend(state.notices.violations(&state.disturbances, &state.halts));
        (violations, state.counts)
    }
}

impl Observer for InvariantChecker {
    fn on_arrival(&self, back_end: &str, request: &str) {
        let now = Instant::now();
        let mut state = self.state();
        state.notices.on_arrival(back_end, request, false, now);
    }

    fn on_execute(&self, back_end: &str, request: &str) {
        let now = Instant::now();
        let mut state = self.state();
        state.notices.on_arrival(back_end, request, true, now);
        if crashing::number_of(request).is_some() {
            let machine = layout::machine_of(back_end);
            state.crashes.push(Crash {
                machine,
                request: request.to_owned(),
                at: Instant::now(),
            });
        }
        let runs = state.runs.entry(request.to_owned()).or_default();
        runs.push(back_end.to_owned());
        let runs = runs.clone();
        if runs.len() > 1 && state.orders.contains(request) {
            state
                .violations
                .push(format!("order {request} ran at {runs:?}"));
        }
    }

    fn on_grants(&self, back_end: &str, born: u64, grants: &[Grant], expires_at: Instant) {
        let mut state = self.state();
        let holders = &mut state.key_holders;
        holders.on_grants(back_end, born, grants, expires_at);
    }

    fn on_exit(&self, back_end: &str, born: u64) {
        let mut state = self.state();
        state.key_holders.on_exit(back_end, born);
        state.notices.end(back_end, Instant::now());
    }
}
