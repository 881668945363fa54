//! A burst at a small service, of calls of priority 2 beside requests of priority 0: the important
//! requests are served, and the others get a part of their share.

use std::time::Duration;

use admission::queue::{Admission, Dequeued, Job, Queue};
use admission::rank::Rank;
use rstest::rstest;
use world::instant::BootInstant;

/// Requests that the back end runs at once.
const SLOTS: usize = 4;
/// Service time of a request in milliseconds.
const SERVICE_MS: u64 = 50;
/// Requests per second that the back end runs.
const CAPACITY: f64 = SLOTS as f64 * 1_000.0 / SERVICE_MS as f64;
/// Length of the burst in milliseconds.
const BURST_MS: u64 = 20_000;
/// Time to the target of a request.
const TARGET: Duration = Duration::from_millis(300);
/// Time to the deadline of a request.
const DEADLINE: Duration = Duration::from_millis(600);

/// Requests of one kind and what became of them.
struct Load {
    rank: Rank,
    /// Offered requests per second, as a multiple of the capacity.
    offered: f64,
    due: f64,
    arrived: u64,
    on_time: u64,
}

impl Load {
    fn new(rank: Rank, offered: f64) -> Self {
        Self {
            rank,
            offered,
            due: 0.0,
            arrived: 0,
            on_time: 0,
        }
    }

    fn served_share(&self) -> f64 {
        self.on_time as f64 / self.arrived as f64
    }
}

/// Offers `loads` to one back end for the time of the burst. Arrivals are spread by a xorshift
/// generator.
fn run(loads: &mut [Load], fair: bool, seed: u64) {
    let mut queue = Queue::new(SLOTS);
    queue.set_fair_share(fair);
    let mut random = seed;
    let mut running: Vec<(u64, u64)> = Vec::new();
    // By id: the load, and when the request should finish.
    let mut jobs: Vec<(usize, u64)> = Vec::new();
    for ms in 0..BURST_MS {
        let now = BootInstant::from_millis(ms);
        let ended: Vec<u64> = running.extract_if(.., |r| r.0 <= ms).map(|r| r.1).collect();
        for id in ended {
            queue.on_finished(1, Some(Duration::from_millis(SERVICE_MS)));
            let (load, target) = jobs[id as usize];
            loads[load].on_time += u64::from(ms <= target);
        }
        for (index, load) in loads.iter_mut().enumerate() {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            load.due += load.offered * CAPACITY / 1_000.0 * (random % 1_000) as f64 / 500.0;
            while load.due >= 1.0 {
                load.due -= 1.0;
                load.arrived += 1;
                let id = jobs.len() as u64;
                jobs.push((index, ms + TARGET.as_millis() as u64));
                let job = Job {
                    id,
                    priority: load.rank.order(),
                    class: 1,
                    missed_target: false,
                    target: now + TARGET,
                    deadline: now + DEADLINE,
                };
                if queue.admit(now, job) == Admission::Admitted {
                    running.push((ms + SERVICE_MS, id));
                }
            }
        }
        while let Some(dequeued) = queue.dequeue(now) {
            if let Dequeued::Started(id) = dequeued {
                running.push((ms + SERVICE_MS, id));
            }
        }
    }
}

/// Shares of the requests of priority 0 and of the calls of priority 2 that finish by their target, and
/// of the latter's fair share of the capacity.
fn served(important: f64, calls: f64, fair: bool, seed: u64) -> (f64, f64, f64) {
    let mut loads = [
        Load::new(Rank::request(0), important),
        Load::new(Rank::request(2).of_call(), calls),
    ];
    run(&mut loads, fair, seed);
    let fair_share = 1.0 / (important + calls);
    let shares = loads.map(|l| l.served_share());
    println!(
        "priority 0 offers {important} and priority 2 {calls} of the capacity, fair={fair}: served \
         {:.3} and {:.3}, fair share {fair_share:.3}",
        shares[0], shares[1]
    );
    (shares[0], shares[1], shares[1] / fair_share)
}

// Guards against a burst of 2.6 times the capacity in which important requests are rejected for
// others, or the others get nothing.
#[rstest]
fn in_a_burst_important_requests_are_served_and_others_get_a_quarter_of_their_share(
    #[values(1, 3, 5, 7, 9)] seed: u64,
    #[values((0.5, 2.1), (0.8, 1.8))] offered: (f64, f64),
) {
    let (important, _, of_share) = served(offered.0, offered.1, true, seed);
    assert!(important > 0.95, "{important}");
    assert!(of_share >= 0.25, "{of_share}");
}

// Guards against a priority that starves while more important requests alone exceed the capacity.
#[rstest]
fn no_priority_starves_beside_more_important_requests_that_fill_the_back_end(
    #[values(1, 3, 5, 7, 9)] seed: u64,
    #[values((1.3, 1.3), (1.8, 0.8), (2.4, 0.2))] offered: (f64, f64),
) {
    let (_, starved, _) = served(offered.0, offered.1, false, seed);
    assert!(starved < 0.05, "the load starves without shares: {starved}");
    let (important, _, of_share) = served(offered.0, offered.1, true, seed);
    assert!(of_share >= 0.25, "{of_share}");
    assert!(important > 0.75 / (offered.0 + offered.1), "{important}");
}
