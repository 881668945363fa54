//! Requests to a machine that is three times slower for 0.4 s at a time, a fifth of the time, and says so
//! in its responses.

use std::time::Duration;

use admission::queue::{Admission, Dequeued, Job, Queue};
use admission::slowness::REPORT_LIFETIME;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use world::instant::BootInstant;

const SLOTS: usize = 8;
const SERVICE_MS: u64 = 60;
const SLOWNESS: u64 = 3;
const SLOW_MS: u64 = 400;
const PERIOD_MS: u64 = 2_000;
const TARGET_MS: u64 = 250;
const RUN_MS: u64 = 200_000;
/// Probability that a request arrives in a millisecond, 90 % of the capacity at the usual speed.
const ARRIVAL_CHANCE: f64 = 0.9 * SLOTS as f64 / SERVICE_MS as f64;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_millis(1_000_000 + ms)
}

#[derive(Debug, Default)]
struct Outcome {
    admitted: u32,
    in_time: u32,
}

impl Outcome {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.admitted)
    }
}

/// A request that runs: its end, start and arrival in milliseconds.
type Running = (u64, u64, u64);

fn run(with_reports: bool) -> Outcome {
    let mut rng = StdRng::seed_from_u64(7);
    let mut queue = Queue::new(SLOTS);
    let mut running: Vec<Running> = Vec::new();
    let mut outcome = Outcome::default();
    for now in 0..RUN_MS {
        let is_slow = now % PERIOD_MS < SLOW_MS;
        let factor = if is_slow { SLOWNESS } else { 1 };
        for (_, started, arrived) in running.extract_if(.., |(end, _, _)| *end <= now) {
            if with_reports {
                queue.on_slowness(factor as f64, at(now));
            }
            let time = Duration::from_millis(now - started).div_f64(queue.slowness(at(now)));
            queue.on_finished(1, Some(time));
            outcome.in_time += u32::from(now - arrived <= TARGET_MS);
        }
        while let Some(dequeued) = queue.dequeue(at(now)) {
            if let Dequeued::Started(arrived) = dequeued {
                running.push((now + SERVICE_MS * factor, now, arrived));
            }
        }
        if !rng.random_bool(ARRIVAL_CHANCE) {
            continue;
        }
        let job = Job {
            id: now,
            priority: 1,
            class: 1,
            missed_target: false,
            target: at(now + TARGET_MS),
            deadline: at(now + 4 * TARGET_MS),
        };
        match queue.admit(at(now), job) {
            Admission::Admitted => running.push((now + SERVICE_MS * factor, now, now)),
            Admission::Queued => {}
            Admission::Rejected(_) => continue,
        }
        outcome.admitted += 1;
    }
    outcome
}

// Guards against: requests are admitted to a slow machine that will miss their target there.
#[test]
fn more_requests_meet_their_target_if_the_reports_count() {
    let (with, without) = (run(true), run(false));
    println!(
        "within target with reports: {:.3} ({with:?}), without: {:.3} ({without:?})",
        with.share(),
        without.share()
    );
    assert!(with.share() > without.share());
}

#[test]
fn a_report_counts_for_400_ms() {
    let mut queue = Queue::new(SLOTS);
    queue.on_slowness(3.0, at(0));
    assert!((queue.slowness(at(399)) - 3.0).abs() < f64::EPSILON);
    assert!((queue.slowness(at(0) + REPORT_LIFETIME) - 1.0).abs() < f64::EPSILON);
    queue.on_slowness(3.0, at(500));
    queue.reset_estimate();
    assert!((queue.slowness(at(500)) - 1.0).abs() < f64::EPSILON);
}

// Guards against: the time of a slow run counts as the usual service time of its class, or a wait is
// promised that a slow machine cannot keep.
#[test]
fn the_expected_wait_is_scaled() {
    let mut queue = Queue::new(1);
    let usual = queue.expected_wait(at(0), 1, false);
    let job = Job {
        id: 1,
        priority: 1,
        class: 1,
        missed_target: false,
        target: at(9_000),
        deadline: at(9_000),
    };
    assert_eq!(usual, Duration::ZERO);
    assert_eq!(queue.admit(at(0), job), Admission::Admitted);
    let usual = queue.expected_wait(at(0), 1, false);
    queue.on_slowness(3.0, at(0));
    assert_eq!(queue.expected_wait(at(0), 1, false), usual * 3);
}
