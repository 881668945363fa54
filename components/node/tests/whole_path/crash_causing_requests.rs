//! Requests that crash every back end that begins to run them, sent again and again at several
//! machines.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rstest::rstest;

use crate::SETTLE_TIMEOUT;
use crate::deployment::{Deployment, Execution};

/// Number of machines; every third one serves `orders`, so that its back ends are four.
pub(crate) const MACHINES: usize = 10;
/// Machines of one service; a back end sees the service of the machine as the caller.
pub(crate) const SENDERS: [usize; 6] = [1, 2, 4, 5, 7, 8];
/// Machines of two services.
const MIXED_SENDERS: [usize; 6] = [0, 1, 2, 3, 5, 6];
/// Time from the crash of a back end to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Time between two attempts of the callers.
pub(crate) const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the third crash in which the machines learn of it (`stabilityWindowMs`).
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Time after that for which the executions are counted.
const COUNTED_TIME: Duration = Duration::from_secs(6);
/// Executions that the platform's rules allow in that time.
pub(crate) const MAX_EXECUTIONS: usize = 3;
/// Longest time until the third crash.
const THIRD_CRASH_LIMIT: Duration = Duration::from_secs(60);
/// Prefix of the ids of the crash-causing requests.
pub(crate) const CRASH_PREFIX: &str = "crash-";

/// A request that crashes back ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashingRequest {
    method: &'static str,
    path: &'static str,
    key: Option<u16>,
    /// Machines whose callers send it.
    pub(crate) senders: [usize; 6],
}

pub(crate) const IDEMPOTENT: CrashingRequest = CrashingRequest {
    method: "GET",
    path: "/added/crash/",
    key: None,
    senders: SENDERS,
};
const ORDER: CrashingRequest = CrashingRequest {
    method: "POST",
    path: "/orders/crash/",
    key: None,
    senders: SENDERS,
};
const KEYED: CrashingRequest = CrashingRequest {
    method: "GET",
    path: "/list/crash/",
    key: Some(30_000),
    senders: SENDERS,
};
const OF_TWO_CALLERS: CrashingRequest = CrashingRequest {
    senders: MIXED_SENDERS,
    ..IDEMPOTENT
};

/// Idempotent requests that run for long, so that they are in flight when back ends crash.
const OTHERS: [&str; 4] = [
    "/added/slow/?1",
    "/added/slow/?2",
    "/added/slow/?3",
    "/added/slow/?4",
];

/// Restarts the back ends that have been down for a time.
#[derive(Default)]
pub(crate) struct Restarts(Vec<(usize, Instant)>);

impl Restarts {
    pub(crate) fn poll(&mut self, deployment: &mut Deployment, delay: Duration) {
        let now = Instant::now();
        for machine in deployment.crashed_back_ends() {
            if !self.0.iter().any(|(m, _)| *m == machine) {
                self.0.push((machine, now + delay));
            }
        }
        let due: Vec<usize> = self
            .0
            .extract_if(.., |(_, at)| *at <= now)
            .map(|(m, _)| m)
            .collect();
        for machine in due {
            deployment.restart_back_end(machine);
        }
    }
}

pub(crate) fn start(net: u8) -> Deployment {
    Deployment::start_with_added_path(net, MACHINES)
}

/// Attempts at a crash-causing request, at machines drawn by a seed.
pub(crate) struct Attempts {
    pub(crate) request: CrashingRequest,
    rng: StdRng,
    restarts: Restarts,
}

impl Attempts {
    pub(crate) fn new(request: CrashingRequest, seed: u64) -> Self {
        Self {
            request,
            rng: StdRng::seed_from_u64(seed),
            restarts: Restarts::default(),
        }
    }

    /// Sends the request once, then waits for [`SEND_INTERVAL`].
    pub(crate) fn send(&mut self, deployment: &mut Deployment) {
        let CrashingRequest {
            method,
            path,
            key,
            senders,
        } = self.request;
        let machine = *senders.choose(&mut self.rng).expect("not empty");
        deployment.request_with_prefix(CRASH_PREFIX, machine, method, path, key);
        self.restarts.poll(deployment, RESTART_DELAY);
        std::thread::sleep(SEND_INTERVAL);
    }

    /// Sends the request until it is blocked at every machine, at most for [`THIRD_CRASH_LIMIT`];
    /// then waits until all back ends are up. Calls `between` before each attempt.
    fn send_until_blocked(
        &mut self,
        deployment: &mut Deployment,
        mut between: impl FnMut(&mut Deployment),
    ) {
        let give_up = Instant::now() + THIRD_CRASH_LIMIT;
        while !(0..MACHINES).all(|m| is_blocked(deployment, m)) {
            assert!(Instant::now() < give_up, "the request is not blocked");
            between(deployment);
            self.send(deployment);
        }
        while !deployment.crashed_back_ends().is_empty() {
            self.restarts.poll(deployment, RESTART_DELAY);
            std::thread::sleep(SEND_INTERVAL);
        }
    }
}

pub(crate) fn is_blocked(deployment: &Deployment, machine: usize) -> bool {
    let metrics = deployment.metrics(machine);
    metrics.contains("plantaingauge_quarantined_requests 1\n")
}

fn third_crash(executions: &[Execution]) -> Option<Instant> {
    executions.get(2).map(|e| e.at)
}

/// Calls `send` until the executions after the third crash have been counted for long enough, and
/// returns all; gives up after [`THIRD_CRASH_LIMIT`] without a third crash.
pub(crate) fn executions_while(
    deployment: &mut Deployment,
    mut send: impl FnMut(&mut Deployment),
) -> Vec<Execution> {
    let give_up = Instant::now() + THIRD_CRASH_LIMIT;
    loop {
        send(deployment);
        let executions = deployment.executions(CRASH_PREFIX);
        let is_over = match third_crash(&executions) {
            Some(at) => at.elapsed() > LEARNING_TIME + COUNTED_TIME,
            None => Instant::now() > give_up,
        };
        if is_over {
            return executions;
        }
    }
}

/// Panics if more executions than allowed began later than [`LEARNING_TIME`] after the third crash.
pub(crate) fn assert_stopped(executions: &[Execution]) {
    let third = third_crash(executions).expect("the request crashes three back ends");
    let late = executions
        .iter()
        .filter(|e| e.at.duration_since(third) > LEARNING_TIME);
    let late_count = late.count();
    assert!(
        late_count <= MAX_EXECUTIONS,
        "{late_count} executions later than {LEARNING_TIME:?} after the third crash, {} in all",
        executions.len()
    );
}

// Guards against crash-causing requests that are not recognised and crash back ends for ever.
#[rstest]
#[case::idempotent(30, 1, IDEMPOTENT)]
#[case::order(31, 2, ORDER)]
#[case::keyed(32, 3, KEYED)]
#[case::of_two_callers(41, 10, OF_TWO_CALLERS)]
fn a_request_that_has_crashed_three_back_ends_is_stopped_at_every_machine(
    #[case] net: u8,
    #[case] seed: u64,
    #[case] request: CrashingRequest,
) {
    let mut deployment = start(net);
    let mut attempts = Attempts::new(request, seed);
    let executions = executions_while(&mut deployment, |d| attempts.send(d));
    assert_stopped(&executions);
}

// Guards against refusing requests that only ran beside the crash-causing one.
#[test]
fn requests_that_run_beside_a_crash_causing_one_are_served_afterwards() {
    let mut deployment = start(33);
    let mut attempts = Attempts::new(IDEMPOTENT, 4);
    let mut machines = StdRng::seed_from_u64(5);
    let mut in_flight = Vec::new();
    attempts.send_until_blocked(&mut deployment, |deployment| {
        for path in OTHERS {
            let machine = *SENDERS.choose(&mut machines).expect("not empty");
            in_flight.push(deployment.request_in_background(machine, "GET", path));
        }
        std::thread::sleep(SEND_INTERVAL);
    });
    for reply in in_flight {
        let _ = reply.join().expect("no panic");
    }
    for machine in SENDERS {
        assert!(
            is_blocked(&deployment, machine),
            "only one request is blocked"
        );
        for path in OTHERS {
            deployment.await_status(machine, path, 200, SETTLE_TIMEOUT);
        }
    }
}

#[test]
fn a_blocked_request_is_refused_at_once_as_not_run() {
    let mut deployment = start(34);
    Attempts::new(ORDER, 6).send_until_blocked(&mut deployment, |_| ());
    let before = deployment.executions(CRASH_PREFIX).len();
    for machine in SENDERS {
        let started = Instant::now();
        let reply =
            deployment.request_with_prefix(CRASH_PREFIX, machine, ORDER.method, ORDER.path, None);
        assert_eq!(reply.status, 503, "{reply:?}");
        let retry_after = reply
            .text("Retry-After")
            .and_then(|t| t.parse::<f64>().ok());
        assert!(retry_after.is_some_and(|s| s > 1.0), "{reply:?}");
        assert!(
            started.elapsed() < Duration::from_secs(1),
            "refused at once"
        );
    }
    assert_eq!(deployment.executions(CRASH_PREFIX).len(), before);
    let other_caller = deployment.request(0, ORDER.method, "/orders/new", None);
    assert_eq!(other_caller.status, 200, "other orders are served");
}

// Guards against a process that has just started and runs what all others have blocked.
#[test]
fn a_restarted_process_learns_from_its_peers_what_is_blocked() {
    let mut deployment = start(35);
    Attempts::new(IDEMPOTENT, 7).send_until_blocked(&mut deployment, |_| ());
    deployment.kill_process(1);
    deployment.start_process(1);
    deployment.await_status(1, "/added/", 200, SETTLE_TIMEOUT);
    await_blocked(&deployment, 1);
}

// Guards against a block that only the memories of the processes hold.
#[test]
fn a_block_outlives_a_restart_of_all_processes() {
    let mut deployment = start(36);
    Attempts::new(IDEMPOTENT, 8).send_until_blocked(&mut deployment, |_| ());
    for machine in 0..MACHINES {
        deployment.kill_process(machine);
    }
    for machine in 0..MACHINES {
        deployment.start_process(machine);
    }
    deployment.await_serving(SETTLE_TIMEOUT);
    for machine in 0..MACHINES {
        await_blocked(&deployment, machine);
    }
}

// Guards against a record of a blocked request that is written over and over.
#[test]
fn the_record_of_a_block_is_not_written_while_it_does_not_change() {
    let mut deployment = start(120);
    Attempts::new(IDEMPOTENT, 13).send_until_blocked(&mut deployment, |_| ());
    std::thread::sleep(LEARNING_TIME);
    let writes = || deployment.store.writes_of("plantaingauge-quarantine");
    let before = writes();
    std::thread::sleep(LEARNING_TIME);
    let in_between = writes() - before;
    assert_eq!(in_between, 0, "{in_between} writes in {LEARNING_TIME:?}");
}

// Guards against machines that learn of each other's crashes only through the store.
#[test]
fn a_crash_causing_request_is_blocked_everywhere_while_the_store_is_unavailable() {
    let mut deployment = start(37);
    deployment.store.set_unavailable(true);
    Attempts::new(IDEMPOTENT, 9).send_until_blocked(&mut deployment, |_| ());
    deployment.store.set_unavailable(false);
    deployment.await_serving(SETTLE_TIMEOUT);
}

// Guards against machines that learn of each other's crashes only over their links.
#[test]
fn a_block_reaches_machines_that_are_cut_off_from_all_others() {
    let mut deployment = Deployment::start_isolated(44, 4);
    for machine in [0, 3] {
        deployment.await_status(machine, "/added/", 200, SETTLE_TIMEOUT);
    }
    let mut attempts = Attempts::new(IDEMPOTENT, 11);
    attempts.request.senders = [0; 6];
    let give_up = Instant::now() + THIRD_CRASH_LIMIT;
    while !is_blocked(&deployment, 0) {
        assert!(Instant::now() < give_up, "the request is not blocked");
        attempts.send(&mut deployment);
    }
    await_blocked(&deployment, 3);
}

pub(crate) fn await_blocked(deployment: &Deployment, machine: usize) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while !is_blocked(deployment, machine) {
        assert!(
            Instant::now() < deadline,
            "machine {machine} does not learn of the block"
        );
        std::thread::sleep(SEND_INTERVAL);
    }
}
