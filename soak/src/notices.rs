//! Back ends that name a limit or say that they leave in their responses, and the check that the
//! machines whose callers were told keep to it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::callers::SharedState;
use crate::disturbances::Disturbances;

/// Time from the first response with a limit until it must be kept.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Length of the windows in which requests are counted against a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor by which a limit may be exceeded.
const ALLOWED_RATIO: f64 = 1.5;
/// Requests that are allowed on top of that.
const ALLOWED_EXTRA: f64 = 5.0;
/// Time after its callers were told in which a machine learns of a limit.
const TOLD_DELAY: Duration = Duration::from_millis(500);
/// Time after a machine's callers were told from which it sends nothing to a back end that leaves.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Most notices in one soak.
const MAX_NOTICES: u64 = 4;
/// Range of the limits in requests per second.
const RATES: std::ops::Range<f64> = 0.5..8.0;
/// Range of the time for which a limit is named or a back end leaves, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 4_000..14_000;
/// Mixed into the seed of a soak for the draws of this module, so that they differ from the others.
const SEED_MIX: u64 = 0x5eed_11a7;

/// What a back end says in its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// It takes so many requests per second.
    Limit(f64),
    /// It leaves; it exits afterwards.
    Leaving,
}

impl Notice {
    fn is_limit(&self) -> bool {
        matches!(self, Self::Limit(_))
    }
}

/// A notice with its time and machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledNotice {
    /// Machine of the back end.
    pub machine: usize,
    /// What it says.
    pub notice: Notice,
    /// Start, as time since the faults begin.
    pub start: Duration,
    /// Time until it ends.
    pub duration: Duration,
}

impl ScheduledNotice {
    /// Lets the back end say it for its time, unless it exits before.
    pub fn run(&self, shared: &Arc<SharedState>) {
        std::thread::sleep(self.start);
        if !shared.faulty.load(Ordering::SeqCst) {
            return;
        }
        let Some(born) = shared.fleet().begin_notice(self.machine, self.notice) else {
            return;
        };
        std::thread::sleep(self.duration);
        shared.fleet().end_notice(self.machine, born, self.notice);
    }
}

/// Draws the notices of a soak of the given duration.
#[must_use]
pub fn generate(seed: u64, machines: usize, total: Duration) -> Vec<ScheduledNotice> {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MIX);
    let count = rng.random_range(1..=MAX_NOTICES);
    let notices = (0..count).map(|_| {
        let start = total.mul_f64(rng.random_range(0.0..0.6));
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        ScheduledNotice {
            machine: rng.random_range(0..machines),
            notice: if rng.random_bool(0.3) {
                Notice::Leaving
            } else {
                Notice::Limit(rng.random_range(RATES))
            },
            start,
            duration: duration.min(total - start),
        }
    });
    notices.collect()
}

/// A request that has reached a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Machine at which its caller sent it.
    pub machine: usize,
    /// When the caller sent it.
    pub sent: Instant,
    /// When it reached the back end.
    pub at: Instant,
}

/// The time for which a back end says something, and what reached it.
#[derive(Clone, Debug)]
pub struct Period {
    /// Id of the back end.
    pub back_end: String,
    /// What it says.
    pub notice: Notice,
    /// When it began.
    pub from: Instant,
    /// When it ended, `None` until then.
    pub until: Option<Instant>,
    /// When the callers of each machine were first told.
    pub told: BTreeMap<usize, Instant>,
    /// Requests that reached it: all for a limit, those that began to run for a back end that leaves.
    pub arrivals: Vec<Arrival>,
}

impl Period {
    /// Returns a violation if machines that were told did not keep to it; `disturbances` are faults of
    /// machines and their connections, `halts` those of processes alone.
    #[must_use]
    pub fn violation(&self, disturbances: &Disturbances, halts: &Disturbances) -> Option<String> {
        match self.notice {
            Notice::Limit(rate) => self.excess(rate, disturbances),
            Notice::Leaving => self.late_arrival(halts),
        }
    }

    /// Returns when the callers of the machine were told, if it has learned that by `arrival`.
    fn told_before(&self, arrival: &Arrival, after: Duration) -> Option<Instant> {
        let told = *self.told.get(&arrival.machine)?;
        (arrival.sent >= told + after).then_some(told)
    }

    fn excess(&self, rate: f64, disturbances: &Disturbances) -> Option<String> {
        let allowed = ALLOWED_RATIO * rate * LIMIT_WINDOW.as_secs_f64() + ALLOWED_EXTRA;
        let counts = |a: &&Arrival| {
            let told = self.told_before(a, TOLD_DELAY);
            let undisturbed = told.is_some_and(|t| disturbances.is_free(a.machine, t, a.at));
            undisturbed && a.at >= self.from + STABILITY_WINDOW
        };
        let counted: Vec<Instant> = self.arrivals.iter().filter(counts).map(|a| a.at).collect();
        let in_window = |from: &Instant| {
            let within = counted
                .iter()
                .filter(|at| **at >= *from && **at < *from + LIMIT_WINDOW);
            within.count()
        };
        let most = counted.iter().map(in_window).max()?;
        (most as f64 > allowed).then(|| {
            format!(
                "{} named a limit of {rate} a second and got {most} requests in {LIMIT_WINDOW:?}",
                self.back_end
            )
        })
    }

    fn late_arrival(&self, halts: &Disturbances) -> Option<String> {
        let is_late = |a: &&Arrival| {
            let told = self.told_before(a, DRAIN_TIME);
            told.is_some_and(|t| halts.is_free(a.machine, t, a.at))
        };
        let late = self.arrivals.iter().find(is_late)?;
        Some(format!(
            "{} said that it leaves and got a request from m-{}, which was told",
            self.back_end, late.machine
        ))
    }
}

/// Notices of back ends so far.
#[derive(Debug, Default)]
pub struct Notices {
    periods: Vec<Period>,
    /// Machine and time of each request sent, by its id.
    sent: HashMap<String, (usize, Instant)>,
}

impl Notices {
    /// Records that a caller sends a request at a machine.
    pub fn on_send(&mut self, request: &str, machine: usize, at: Instant) {
        self.sent.insert(request.to_owned(), (machine, at));
    }

    /// Records that a back end begins to say something; a limit replaces the one before.
    pub fn begin(&mut self, back_end: &str, notice: Notice, from: Instant) {
        for period in self.open(back_end) {
            let are_limits = [period.notice, notice].iter().all(Notice::is_limit);
            period.until = are_limits.then_some(from);
        }
        self.periods.push(Period {
            back_end: back_end.to_owned(),
            notice,
            from,
            until: None,
            told: BTreeMap::new(),
            arrivals: Vec::new(),
        });
    }

    /// Records that a back end has exited or says nothing any more.
    pub fn end(&mut self, back_end: &str, at: Instant) {
        for period in self.open(back_end) {
            period.until = Some(at);
        }
    }

    /// Records that a response told callers of a machine what a back end says.
    pub fn on_told(&mut self, machine: usize, back_end: &str, is_limit: bool, at: Instant) {
        for period in self.open(back_end) {
            if period.notice.is_limit() == is_limit {
                period.told.entry(machine).or_insert(at);
            }
        }
    }

    /// Records that a request has reached a back end, or, with `ran`, begins to run there.
    pub fn on_arrival(&mut self, back_end: &str, request: &str, ran: bool, at: Instant) {
        let Some((machine, sent)) = self.sent.get(request).copied() else {
            return;
        };
        let arrival = Arrival { machine, sent, at };
        for period in self.open(back_end) {
            if period.notice.is_limit() != ran {
                period.arrivals.push(arrival);
            }
        }
    }

    /// Returns the violations, with `disturbances` and `halts` as in [`Period::violation`].
    #[must_use]
    pub fn violations(&self, disturbances: &Disturbances, halts: &Disturbances) -> Vec<String> {
        let periods = self.periods.iter();
        let violations = periods.filter_map(|p| p.violation(disturbances, halts));
        violations.collect()
    }

    fn open(&mut self, back_end: &str) -> impl Iterator<Item = &mut Period> {
        let periods = self.periods.iter_mut();
        periods.filter(move |p| p.until.is_none() && p.back_end == back_end)
    }
}
