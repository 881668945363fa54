//! Requests that crash every back end that begins to run them, sent again and again at several
//! machines, and the check that the system stops them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use stand_ins::layout;

use crate::callers::{Caller, RequestKind, SharedState};
use crate::disturbances::Disturbances;

/// Crashes after which a request is to be stopped.
const MAX_CRASHES: usize = 3;
/// Time after the last of these crashes in which undisturbed machines learn of it.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Time in which executions at one back end are of one incarnation, as it takes longer to restart.
const SAME_RUN_TIME: Duration = Duration::from_millis(300);
/// Executions at undisturbed machines that are allowed after that.
const MAX_LATE_EXECUTIONS: usize = 3;
/// Most such requests in one soak.
const MAX_REQUESTS: u64 = 3;
/// Most copies of one such request that are sent at the same time.
const MAX_COPIES: u64 = 4;
/// Range of the time between two attempts of one such request in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 20..500;
/// Mixed into the seed of a soak for the draws of this module, so that they differ from the others.
const SEED_MIX: u64 = 0x5eed_c4a5;

/// What kind of request it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// An order, which must run at most once per attempt.
    Order,
    /// An idempotent request to the service of the orders.
    Idempotent,
    /// An idempotent request with this shard key.
    Keyed(u16),
}

/// A request that crashes back ends; all its attempts have the same path, caller and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashingRequest {
    /// Number that distinguishes it from others of the soak.
    pub number: u64,
    /// What kind of request it is.
    pub target: Target,
    /// Machine that determines the service of the callers.
    pub caller: usize,
    /// First attempt, as time since the faults begin.
    pub start: Duration,
    /// Seed of the times and machines of its attempts.
    pub seed: u64,
}

impl CrashingRequest {
    /// Returns the path and query.
    #[must_use]
    pub fn path(&self) -> String {
        let number = self.number;
        // Copies run at the same time only if they take a moment.
        let end = if self.copies() > 1 {
            "late-crash"
        } else {
            "crash"
        };
        match self.target {
            Target::Order => format!("/orders/{end}/?{number}"),
            Target::Idempotent => format!("/v/1/{end}/?{number}"),
            Target::Keyed(_) => format!("/list/{end}/?{number}"),
        }
    }

    /// Returns the prefix of the ids of its attempts.
    #[must_use]
    pub fn id_prefix(&self) -> String {
        format!("crash{}-", self.number)
    }

    /// Returns the machines at which it is sent: those of the caller's service.
    fn machines(&self, machines: usize) -> Vec<usize> {
        let service = layout::service(self.caller);
        let of_service = (0..machines).filter(|m| layout::service(*m) == service);
        of_service.collect()
    }

    /// Returns how many copies of it are sent at the same time.
    fn copies(&self) -> u64 {
        1 + self.seed % MAX_COPIES
    }

    /// Sends it until [`SharedState::faulty`] is cleared.
    pub fn send_repeatedly(&self, shared: &Arc<SharedState>) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let machines = self.machines(shared.fleet().len());
        std::thread::sleep(self.start);
        while shared.faulty.load(Ordering::SeqCst) {
            std::thread::scope(|scope| {
                for _ in 0..self.copies() {
                    let machine = *machines.choose(&mut rng).expect("at least the caller's");
                    let mut caller = Caller::new(Arc::clone(shared), machine);
                    scope.spawn(move || caller.request(RequestKind::Crashing(*self)));
                }
            });
            let pause = rng.random_range(INTERVAL_MS);
            std::thread::sleep(Duration::from_millis(pause));
        }
    }
}

/// Draws the crash-causing requests of a soak of the given duration.
#[must_use]
pub fn generate(seed: u64, machines: usize, total: Duration) -> Vec<CrashingRequest> {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MIX);
    let count = rng.random_range(1..=MAX_REQUESTS);
    let requests = (0..count).map(|number| {
        let targets = [
            Target::Order,
            Target::Idempotent,
            Target::Keyed(rng.random()),
        ];
        CrashingRequest {
            number,
            target: *targets.choose(&mut rng).expect("not empty"),
            caller: rng.random_range(0..machines),
            start: total.mul_f64(rng.random_range(0.0..0.4)),
            seed: rng.random(),
        }
    });
    requests.collect()
}

/// The start of an attempt at a back end, which crashes from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Machine of the back end.
    pub machine: usize,
    /// Id of the attempt.
    pub request: String,
    /// When the back end began to run it.
    pub at: Instant,
}

/// Returns the number of a crash-causing request from the id of one of its attempts.
#[must_use]
pub fn number_of(id: &str) -> Option<u64> {
    let (number, _) = id.strip_prefix("crash")?.split_once('-')?;
    number.parse().ok()
}

/// Returns when back ends crashed, from the executions in their order: copies that begin to run at
/// one back end at the same time crash it once.
fn crash_times(executions: &[&Crash]) -> impl Iterator<Item = Instant> {
    let mut last: BTreeMap<usize, Instant> = BTreeMap::new();
    executions.iter().filter_map(move |c| {
        let previous = last.insert(c.machine, c.at);
        let is_copy = previous.is_some_and(|at| c.at.duration_since(at) < SAME_RUN_TIME);
        (!is_copy).then_some(c.at)
    })
}

/// Returns a violation for each request that reached more than [`MAX_LATE_EXECUTIONS`] back ends
/// beside undisturbed machines later than [`LEARNING_TIME`] after its third crash.
#[must_use]
pub fn violations(crashes: &[Crash], disturbances: &Disturbances) -> Vec<String> {
    let mut by_request: BTreeMap<u64, Vec<&Crash>> = BTreeMap::new();
    for crash in crashes {
        if let Some(number) = number_of(&crash.request) {
            by_request.entry(number).or_default().push(crash);
        }
    }
    let describe = |(number, mut crashes): (u64, Vec<&Crash>)| {
        crashes.sort_by_key(|c| c.at);
        let third = crash_times(&crashes).nth(MAX_CRASHES - 1)?;
        let is_late = |c: &&&Crash| {
            let from = c.at.checked_sub(LEARNING_TIME);
            let undisturbed = from.is_some_and(|f| disturbances.is_free(c.machine, f, c.at));
            c.at.duration_since(third) > LEARNING_TIME && undisturbed
        };
        let late: Vec<&str> = crashes
            .iter()
            .filter(is_late)
            .map(|c| c.request.as_str())
            .collect();
        let total = crashes.len();
        (late.len() > MAX_LATE_EXECUTIONS).then(|| {
            format!(
                "crash-causing request {number} crashed {total} back ends, late ones by {late:?}"
            )
        })
    };
    by_request.into_iter().filter_map(describe).collect()
}
