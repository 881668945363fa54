//! Requests to a back end that starts cold again and again, sent by a process that restarts at random
//! moments and receives heartbeats late, reordered or not at all.

use std::time::Duration;

use admission::cold_limit::ColdBound;
use admission::cold_state::{ColdReport, ColdState};
use admission::queue::{Admission, Dequeued, Job, Queue};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use world::instant::BootInstant;
use world::rate::RequestRate;

const SEEDS: u64 = 1_000;
/// Length of a run in milliseconds.
const RUN_MS: u64 = 20_000;
const COLD_RATE: f64 = 12.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 8.0;
/// Requests to a cold back end that are allowed in any second.
const MOST_IN_A_SECOND: usize = 26;
const SECOND_MS: u64 = 1_000;
const SLOTS: usize = 8;
const SERVICE_MS: u64 = 20;
const TARGET: Duration = Duration::from_millis(400);
/// Probability that a request arrives in a millisecond.
const ARRIVAL_CHANCE: f64 = 0.3;
/// Shortest and longest pause of the back end between two heartbeats.
const HEARTBEAT_MS: std::ops::Range<u64> = 60..870;
/// Pause before the back end repeats a heartbeat that nobody has received.
const HEARTBEAT_RETRY_MS: u64 = 10;
/// Longest time that a heartbeat is on its way if it is not late.
const USUAL_HEARTBEAT_DELAY_MS: u64 = 10;
const LATE_HEARTBEATS: f64 = 0.2;
/// Longest time that a late heartbeat is on its way.
const MAX_HEARTBEAT_DELAY_MS: u64 = 900;
const HEARTBEAT_LOSS: f64 = 0.2;
/// Longest time for which a back end is cold after its start.
const MAX_COLD_MS: u64 = 8_000;
/// Shortest and longest life of a process; short ones are more frequent.
const PROCESS_LIFE_MS: (f64, f64) = (30.0, 3_000.0);
/// Longest time between the end of a process and the start of the next.
const MAX_PROCESS_PAUSE_MS: u64 = 20;
/// Shortest and longest life of a back end.
const BACK_END_LIFE_MS: std::ops::Range<u64> = 1_500..15_000;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_millis(1_000_000 + ms)
}

/// What the process knows when it starts to send requests.
#[derive(Clone, Copy, PartialEq)]
enum Start {
    /// The bucket is empty, as in the product.
    Empty,
    /// The bucket has been filled for a second.
    Full,
}

struct Process {
    started_at: u64,
    ends_at: u64,
    queue: Queue,
    state: ColdState,
    /// Incarnation that sent the last heartbeat.
    known: Option<u64>,
    /// Ends of the requests that run.
    running: Vec<u64>,
}

impl Process {
    fn new(now: u64, life: u64, start: Start) -> Self {
        let rate = RequestRate::per_second(COLD_RATE).expect("a rate");
        let bound = ColdBound::new(rate, COLD_OVERAGE, COLD_SLACK);
        let mut queue = Queue::new(SLOTS);
        let filled_since = match start {
            Start::Empty => now,
            Start::Full => now.saturating_sub(SECOND_MS),
        };
        queue.set_cold_bound(Some(bound), at(filled_since));
        Self {
            started_at: now,
            ends_at: now + life,
            queue,
            state: ColdState::default(),
            known: None,
            running: Vec::new(),
        }
    }

    fn on_heartbeat(&mut self, report: ColdReport, now: u64) {
        self.state.on_heartbeat(report, at(now));
        self.known = self.known.max(Some(report.born));
        self.queue.set_cold_until(self.state.cold_until(), at(now));
    }

    /// Ends requests that have run; returns how many start instead.
    fn start_queued(&mut self, now: u64) -> usize {
        let ended = self.running.extract_if(.., |end| *end <= now).count();
        for _ in 0..ended {
            let service_time = Duration::from_millis(SERVICE_MS);
            self.queue.on_finished(1, Some(service_time));
        }
        let mut started = 0;
        while let Some(dequeued) = self.queue.dequeue(at(now)) {
            if let Dequeued::Started(_) = dequeued {
                self.running.push(now + SERVICE_MS);
                started += 1;
            }
        }
        started
    }

    /// Handles a request that arrives; returns how many start.
    fn on_request(&mut self, id: u64, now: u64) -> usize {
        let job = Job {
            id,
            priority: 1,
            class: 1,
            missed_target: false,
            target: at(now) + TARGET,
            deadline: at(now) + 3 * TARGET,
        };
        let is_admitted = self.queue.admit(at(now), job) == Admission::Admitted;
        if is_admitted {
            self.running.push(now + SERVICE_MS);
        }
        usize::from(is_admitted)
    }
}

struct BackEnd {
    born: u64,
    cold_until: u64,
    ends_at: u64,
    sequence: u64,
    next_heartbeat: u64,
}

impl BackEnd {
    fn start(now: u64, rng: &mut StdRng) -> Self {
        Self {
            born: now + 1,
            cold_until: now + rng.random_range(0..MAX_COLD_MS),
            ends_at: now + rng.random_range(BACK_END_LIFE_MS),
            sequence: 0,
            next_heartbeat: now + rng.random_range(HEARTBEAT_MS),
        }
    }

    fn next_report(&mut self, now: u64) -> ColdReport {
        self.sequence += 1;
        ColdReport {
            born: self.born,
            sequence: self.sequence,
            remaining: Some(Duration::from_millis(self.cold_until.saturating_sub(now))),
        }
    }
}

/// Numbers of a run.
#[derive(Default)]
struct Outcome {
    /// Most requests that a cold back end got in one second.
    most_in_a_second: usize,
    /// Requests that cold back ends got.
    sent_cold: usize,
    /// Requests that warm back ends got.
    sent_warm: usize,
}

/// Returns the most instants in any second.
fn most_in_a_second(instants: &[u64]) -> usize {
    let counts = instants.iter().enumerate().map(|(first, from)| {
        let within = instants[first..]
            .iter()
            .take_while(|at| **at < from + SECOND_MS);
        within.count()
    });
    counts.max().unwrap_or(0)
}

fn heartbeat_delay(rng: &mut StdRng) -> u64 {
    let is_late = rng.random_bool(LATE_HEARTBEATS);
    let most = if is_late {
        MAX_HEARTBEAT_DELAY_MS
    } else {
        USUAL_HEARTBEAT_DELAY_MS
    };
    rng.random_range(0..most)
}

fn process_life(rng: &mut StdRng) -> u64 {
    let (shortest, longest) = PROCESS_LIFE_MS;
    let part: f64 = rng.random();
    (shortest + (longest - shortest) * part.powi(5)) as u64
}

fn run(seed: u64, start: Start) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut back_end = BackEnd::start(0, &mut rng);
    let mut process = Process::new(0, process_life(&mut rng), start);
    let mut heartbeats: Vec<(u64, u64, ColdReport)> = Vec::new();
    let mut cold_sends = Vec::new();
    let mut outcome = Outcome::default();
    for now in 0..RUN_MS {
        if now >= back_end.ends_at {
            outcome.most_in_a_second = outcome.most_in_a_second.max(most_in_a_second(&cold_sends));
            cold_sends.clear();
            back_end = BackEnd::start(now, &mut rng);
        }
        if now >= process.ends_at {
            let pause = rng.random_range(0..MAX_PROCESS_PAUSE_MS);
            process = Process::new(now + pause, process_life(&mut rng), start);
            // The end of the process breaks the exchange, so that the back end tries again soon.
            let retry = process.started_at + HEARTBEAT_RETRY_MS;
            back_end.next_heartbeat = back_end.next_heartbeat.min(retry);
        }
        let is_up = now >= process.started_at;
        if now >= back_end.next_heartbeat {
            let usual = rng.random_range(HEARTBEAT_MS);
            let pause = if is_up { usual } else { HEARTBEAT_RETRY_MS };
            back_end.next_heartbeat = now + pause;
            let report = back_end.next_report(now);
            if is_up && !rng.random_bool(HEARTBEAT_LOSS) {
                let arrival = now + heartbeat_delay(&mut rng);
                heartbeats.push((arrival, process.started_at, report));
            }
        }
        if !is_up {
            continue;
        }
        // A process does not receive what was sent to an earlier one.
        let started_at = process.started_at;
        heartbeats.retain(|(_, receiver, _)| *receiver == started_at);
        for (_, _, report) in heartbeats.extract_if(.., |(arrival, _, _)| *arrival <= now) {
            process.on_heartbeat(report, now);
        }
        let mut sent = process.start_queued(now);
        if process.known.is_some() && rng.random_bool(ARRIVAL_CHANCE) {
            sent += process.on_request(now, now);
        }
        // A back end responds 421 to requests for another incarnation; these do not count.
        if process.known != Some(back_end.born) {
            continue;
        }
        if now < back_end.cold_until {
            outcome.sent_cold += sent;
            cold_sends.extend(std::iter::repeat_n(now, sent));
        } else {
            outcome.sent_warm += sent;
        }
    }
    outcome.most_in_a_second = outcome.most_in_a_second.max(most_in_a_second(&cold_sends));
    outcome
}

// Guards against: a cold back end gets more requests in a second than it bears, whatever restarts and
// heartbeats get lost.
#[test]
fn a_cold_back_end_gets_no_more_than_the_bound_in_any_second() {
    let outcomes: Vec<Outcome> = (0..SEEDS).map(|seed| run(seed, Start::Empty)).collect();
    let most = outcomes.iter().map(|o| o.most_in_a_second).max();
    let cold: usize = outcomes.iter().map(|o| o.sent_cold).sum();
    let warm: usize = outcomes.iter().map(|o| o.sent_warm).sum();
    println!("most in a second: {most:?}; to cold back ends: {cold}, to warm ones: {warm}");
    for (seed, outcome) in outcomes.iter().enumerate() {
        let most = outcome.most_in_a_second;
        assert!(most <= MOST_IN_A_SECOND, "seed {seed}: {most}");
    }
    assert!(cold > 0 && warm > 0, "{cold} and {warm}");
}

// Shows that the simulation finds the failure that the empty bucket prevents: a burst at each start of a
// process.
#[test]
fn with_a_full_bucket_at_each_start_a_cold_back_end_gets_more() {
    let exceeds = |seed: &u64| run(*seed, Start::Full).most_in_a_second > MOST_IN_A_SECOND;
    let seeds = (0..SEEDS).filter(exceeds).count();
    println!("seeds above the bound: {seeds}");
    assert!(seeds > 0);
}
