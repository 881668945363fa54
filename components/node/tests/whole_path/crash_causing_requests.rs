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
const MACHINES: usize = 10;
/// Machines whose callers send the request: all of one service, as a back end sees the caller.
const SENDERS: [usize; 6] = [1, 2, 4, 5, 7, 8];
/// Time from the crash of a back end to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Time between two attempts of the callers.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the third crash in which the machines learn of it (`stabilityWindowMs`).
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Time after that for which the executions are counted.
const COUNTED_TIME: Duration = Duration::from_secs(6);
/// Executions that the platform's rules allow in that time.
const MAX_EXECUTIONS: usize = 3;
/// Longest time until the third crash.
const THIRD_CRASH_LIMIT: Duration = Duration::from_secs(60);
/// Prefix of the ids of the crash-causing requests.
const CRASH_PREFIX: &str = "crash-";

/// A request that crashes back ends.
#[derive(Clone, Copy, Debug)]
struct CrashingRequest {
    method: &'static str,
    path: &'static str,
    key: Option<u16>,
}

const IDEMPOTENT: CrashingRequest = CrashingRequest {
    method: "GET",
    path: "/added/crash/",
    key: None,
};
const ORDER: CrashingRequest = CrashingRequest {
    method: "POST",
    path: "/orders/crash/",
    key: None,
};
const KEYED: CrashingRequest = CrashingRequest {
    method: "GET",
    path: "/list/crash/",
    key: Some(30_000),
};

/// Restarts the back ends that have been down for [`RESTART_DELAY`].
#[derive(Default)]
struct Restarts(Vec<(usize, Instant)>);

impl Restarts {
    fn poll(&mut self, deployment: &mut Deployment) {
        let now = Instant::now();
        for machine in deployment.crashed_back_ends() {
            if !self.0.iter().any(|(m, _)| *m == machine) {
                self.0.push((machine, now + RESTART_DELAY));
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

fn start(net: u8) -> Deployment {
    let deployment = Deployment::start(net, MACHINES);
    deployment.store.write_config(2, &["/added/"]);
    deployment.await_serving(SETTLE_TIMEOUT);
    for machine in 0..MACHINES {
        deployment.await_status(machine, "/added/", 200, SETTLE_TIMEOUT);
    }
    deployment
}

/// Sends the request at machines drawn by the seed until `until` returns true for the executions
/// so far.
fn send_until(
    deployment: &mut Deployment,
    request: CrashingRequest,
    rng: &mut StdRng,
    until: impl Fn(&[Execution]) -> bool,
) -> Vec<Execution> {
    let mut restarts = Restarts::default();
    loop {
        let machine = *SENDERS.choose(rng).expect("not empty");
        deployment.request_with_prefix(
            CRASH_PREFIX,
            machine,
            request.method,
            request.path,
            request.key,
        );
        restarts.poll(deployment);
        std::thread::sleep(SEND_INTERVAL);
        let executions = deployment.executions(CRASH_PREFIX);
        if until(&executions) {
            return executions;
        }
    }
}

fn third_crash(executions: &[Execution]) -> Option<Instant> {
    executions.get(2).map(|e| e.at)
}

// Guards against crash-causing requests that are not recognised and crash back ends for ever.
#[rstest]
#[case::idempotent(30, 1, IDEMPOTENT)]
#[case::order(31, 2, ORDER)]
#[case::keyed(32, 3, KEYED)]
fn a_request_that_has_crashed_three_back_ends_is_stopped_at_every_machine(
    #[case] net: u8,
    #[case] seed: u64,
    #[case] request: CrashingRequest,
) {
    let mut deployment = start(net);
    let mut rng = StdRng::seed_from_u64(seed);
    let give_up = Instant::now() + THIRD_CRASH_LIMIT;
    let executions = send_until(
        &mut deployment,
        request,
        &mut rng,
        |executions| match third_crash(executions) {
            Some(at) => at.elapsed() > LEARNING_TIME + COUNTED_TIME,
            None => Instant::now() > give_up,
        },
    );
    let third = third_crash(&executions).expect("the request crashes three back ends");
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
