//! Requests that may run in several regions leave room for those that may run in one.
//!
//! Load: requests bound to the home region need 65 % of its capacity; calls of other services, which
//! may run anywhere, another 25 % of the capacity of both regions.

use std::time::Duration;

use balance::choice::{self, Candidate, Distance, Load};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Back ends in each of the two regions; the first half is the home.
const PER_REGION: usize = 4;
/// Slots of a back end.
const SLOTS: u32 = 8;
const SERVICE_MS: u64 = 50;
/// Requests that may wait at a back end; further ones are rejected.
const MAX_WAITING: u32 = 4;
/// Age of the load that is reported.
const REPORT_MS: u64 = 100;
const RUN_MS: u64 = 60_000;
/// Requests per millisecond that a region can run.
const CAPACITY: f64 = (PER_REGION as u64 * SLOTS as u64) as f64 / SERVICE_MS as f64;
const BOUND_RATE: f64 = 0.65 * CAPACITY;
const CALL_RATE: f64 = 0.25 * 2.0 * CAPACITY;
/// Share of the calls that begin in the home region, all in the worst case.
const CALLS_AT_HOME: f64 = 1.0;

#[derive(Clone, Default)]
struct BackEnd {
    /// When the requests end that run.
    ends: Vec<u64>,
    waiting: u32,
}

impl BackEnd {
    fn advance(&mut self, now: u64) {
        self.ends.retain(|end| *end > now);
        while self.waiting > 0 && self.ends.len() < SLOTS as usize {
            self.waiting -= 1;
            self.ends.push(now + SERVICE_MS);
        }
    }

    /// Returns whether it takes a request.
    fn offer(&mut self, now: u64) -> bool {
        if self.ends.len() < SLOTS as usize {
            self.ends.push(now + SERVICE_MS);
        } else if self.waiting < MAX_WAITING {
            self.waiting += 1;
        } else {
            return false;
        }
        true
    }

    fn load(&self) -> Load {
        Load {
            running: u32::try_from(self.ends.len()).expect("few requests"),
            waiting: self.waiting,
            slots: SLOTS,
            service_time: Duration::from_millis(SERVICE_MS),
        }
    }
}

/// Returns the share of the bound requests that the home rejects.
fn rejected_share(seed: u64, reserve: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut back_ends = vec![BackEnd::default(); 2 * PER_REGION];
    let mut reported: Vec<Load> = back_ends.iter().map(BackEnd::load).collect();
    let (mut bound, mut rejected) = (0_u32, 0_u32);
    for now in 0..RUN_MS {
        for back_end in &mut back_ends {
            back_end.advance(now);
        }
        if now.is_multiple_of(REPORT_MS) {
            reported = back_ends.iter().map(BackEnd::load).collect();
        }
        let age = Duration::from_millis(now % REPORT_MS);
        for (rate, is_bound) in [(BOUND_RATE, true), (CALL_RATE, false)] {
            let count = rate.floor() as u32 + u32::from(rng.random_bool(rate.fract()));
            for _ in 0..count {
                let at_home = is_bound || rng.random_bool(CALLS_AT_HOME);
                let candidates: Vec<Candidate> = reported
                    .iter()
                    .enumerate()
                    .filter(|(i, _)| !is_bound || *i < PER_REGION)
                    .map(|(i, load)| Candidate {
                        distance: match (i < PER_REGION) == at_home {
                            true => Distance::Region,
                            false => Distance::Remote,
                        },
                        queueing_delay: Duration::ZERO,
                        load: *load,
                        report_age: age,
                        in_flight: 0,
                        failure_rate: 0.0,
                        cold: false,
                        reserved: reserve && !is_bound && i < PER_REGION,
                    })
                    .collect();
                let chosen = choice::choose(&candidates, || rng.random()).expect("candidates");
                let taken = back_ends[chosen].offer(now);
                reported[chosen].running += 1;
                if is_bound {
                    bound += 1;
                    rejected += u32::from(!taken);
                }
            }
        }
    }
    f64::from(rejected) / f64::from(bound)
}

// Guards against bound requests that are rejected because others, which another region has room for,
// fill up the home.
#[test]
fn bound_requests_find_room_in_their_home() {
    for seed in 0..5 {
        let kept = rejected_share(seed, true);
        let without = rejected_share(seed, false);
        println!("seed {seed}: {kept:.4} rejected, {without:.4} without reserved regions");
        assert!(kept < 0.01, "seed {seed}: {kept}");
        assert!(without > 0.05, "seed {seed}: {without}");
    }
}
