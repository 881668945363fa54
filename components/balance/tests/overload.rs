//! A service of many back ends in two regions gets more requests than it can run, so that nearly every
//! back end rejects. Simulated with the real queues and choice, without a network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use admission::queue::{Admission, Dequeued, Job, Queue};
use balance::choice::{Candidate, Distance, Load, choose};
use balance::search::{Search, SearchLimit};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use world::instant::BootInstant;

const BACK_ENDS: usize = 30;
const ENTRIES: usize = 60;
const SLOTS: usize = 11;
const SERVICE_MS: u64 = 250;
const TARGET_MS: u64 = 800;
const RUN_MS: u64 = 8_000;
const FIRST_PASS_TARGET_RATIO: f64 = 0.75;
const NO_LIMIT: SearchLimit = SearchLimit {
    total: u32::MAX,
    remote: u32::MAX,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at its entry.
    Arrival(usize),
    /// A request, on its final pass or not, reaches a back end.
    Offer(usize, usize, bool),
    /// The rejection by a back end reaches the entry, with its report of running and waiting ones.
    Rejection(usize, usize, bool, (u32, u32)),
    /// A back end has run a request that began there.
    Finished(usize, usize),
}

struct Request {
    entry: usize,
    arrived_ms: u64,
    search: Search,
    rejected: Vec<usize>,
}

#[derive(Debug, Default)]
struct Totals {
    requests: usize,
    in_target: usize,
    offers: usize,
    remote_offers: usize,
    /// Sum of the times until a request was rejected for good.
    rejected_ms: u64,
    rejected: usize,
}

struct Simulation {
    rng: StdRng,
    limit: SearchLimit,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    next_event: usize,
    queues: Vec<Queue>,
    requests: Vec<Request>,
    /// Last report of each back end at each entry, and when it was received.
    reports: Vec<Vec<(Load, u64)>>,
    totals: Totals,
}

fn instant(ms: u64) -> BootInstant {
    BootInstant::from_millis(1_000_000 + ms)
}

fn distance(entry: usize, back_end: usize) -> Distance {
    if entry % 2 == back_end % 2 {
        Distance::Region
    } else {
        Distance::Remote
    }
}

fn one_way_ms(entry: usize, back_end: usize) -> u64 {
    u64::try_from(distance(entry, back_end).round_trip().as_millis()).unwrap_or(0) / 2
}

impl Simulation {
    fn new(limit: SearchLimit, seed: u64) -> Self {
        let idle = Load {
            running: 0,
            waiting: 0,
            slots: SLOTS as u32,
            service_time: Duration::ZERO,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            limit,
            now_ms: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            queues: vec![Queue::new(SLOTS); BACK_ENDS],
            requests: Vec::new(),
            reports: vec![vec![(idle, 0); BACK_ENDS]; ENTRIES],
            totals: Totals::default(),
        }
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.next_event += 1;
        let at = self.now_ms + after_ms;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    /// Runs requests at `overload` times the capacity of the service.
    fn run(mut self, overload: f64) -> Totals {
        let capacity = (BACK_ENDS * SLOTS) as f64 / SERVICE_MS as f64;
        let count = (RUN_MS as f64 * capacity * overload) as usize;
        for id in 0..count {
            let entry = self.rng.random_range(0..ENTRIES);
            let arrived_ms = self.rng.random_range(0..RUN_MS);
            self.requests.push(Request {
                entry,
                arrived_ms,
                search: Search::new(self.limit),
                rejected: Vec::new(),
            });
            self.schedule(arrived_ms, Event::Arrival(id));
        }
        self.totals.requests = count;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now_ms = at;
            match event {
                Event::Arrival(id) => self.dispatch(id, false),
                Event::Offer(id, back_end, last) => self.offer(id, back_end, last),
                Event::Rejection(id, back_end, last, report) => {
                    self.on_rejection(id, back_end, last, report);
                }
                Event::Finished(id, back_end) => self.on_finished(id, back_end),
            }
        }
        self.totals
    }

    fn dispatch(&mut self, id: usize, last: bool) {
        let request = &self.requests[id];
        let entry = request.entry;
        let allowed = |b: &usize| {
            last || (!request.rejected.contains(b) && request.search.allows(distance(entry, *b)))
        };
        let usable: Vec<usize> = (0..BACK_ENDS).filter(allowed).collect();
        let candidates: Vec<Candidate> = usable
            .iter()
            .map(|b| {
                let (load, at) = self.reports[entry][*b];
                Candidate {
                    distance: distance(entry, *b),
                    queueing_delay: Duration::ZERO,
                    load,
                    report_age: Duration::from_millis(self.now_ms - at),
                    in_flight: 0,
                    failure_rate: 0.0,
                    cold: false,
                    reserved: false,
                }
            })
            .collect();
        let rng = &mut self.rng;
        let Some(chosen) = choose(&candidates, || rng.random()) else {
            return self.dispatch(id, true);
        };
        let back_end = usable[chosen];
        self.totals.offers += 1;
        if distance(entry, back_end) == Distance::Remote {
            self.totals.remote_offers += 1;
        }
        self.schedule(
            one_way_ms(entry, back_end),
            Event::Offer(id, back_end, last),
        );
    }

    fn offer(&mut self, id: usize, back_end: usize, last: bool) {
        let request = &self.requests[id];
        let (entry, due_ms) = (request.entry, request.arrived_ms + TARGET_MS);
        let left = due_ms.saturating_sub(self.now_ms) as f64;
        let ratio = if last { 1.0 } else { FIRST_PASS_TARGET_RATIO };
        let job = Job {
            id: id as u64,
            priority: 1,
            class: 1,
            missed_target: false,
            target: instant(self.now_ms + (left * ratio) as u64),
            deadline: instant(due_ms + 2 * TARGET_MS),
        };
        match self.queues[back_end].admit(instant(self.now_ms), job) {
            Admission::Admitted => self.start(id, back_end),
            Admission::Queued => {}
            Admission::Rejected(_) => {
                let queue = &self.queues[back_end];
                let report = (queue.running() as u32, queue.waiting() as u32);
                let event = Event::Rejection(id, back_end, last, report);
                self.schedule(one_way_ms(entry, back_end), event);
            }
        }
    }

    fn start(&mut self, id: usize, back_end: usize) {
        let service_ms = self.rng.random_range(SERVICE_MS / 2..SERVICE_MS * 3 / 2);
        self.schedule(service_ms, Event::Finished(id, back_end));
    }

    fn on_rejection(&mut self, id: usize, back_end: usize, last: bool, report: (u32, u32)) {
        let load = Load {
            running: report.0,
            waiting: report.1,
            slots: SLOTS as u32,
            service_time: Duration::from_millis(SERVICE_MS),
        };
        let entry = self.requests[id].entry;
        self.reports[entry][back_end] = (load, self.now_ms);
        if last {
            self.totals.rejected += 1;
            self.totals.rejected_ms += self.now_ms - self.requests[id].arrived_ms;
            return;
        }
        let request = &mut self.requests[id];
        request.search.on_rejection(distance(entry, back_end));
        request.rejected.push(back_end);
        self.dispatch(id, false);
    }

    fn on_finished(&mut self, id: usize, back_end: usize) {
        let entry = self.requests[id].entry;
        let answered_ms = self.now_ms + one_way_ms(entry, back_end);
        if answered_ms <= self.requests[id].arrived_ms + TARGET_MS {
            self.totals.in_target += 1;
        }
        let service = Duration::from_millis(SERVICE_MS);
        self.queues[back_end].on_finished(1, Some(service));
        while let Some(next) = self.queues[back_end].dequeue(instant(self.now_ms)) {
            if let Dequeued::Started(id) = next {
                self.start(id as usize, back_end);
            }
        }
    }
}

/// Guards against traffic between regions that grows with the number of back ends: each rejected
/// request was offered to all of them.
#[rstest::rstest]
fn a_few_offers_serve_as_many_as_offers_to_all(#[values(1, 2, 3)] seed: u64) {
    let all = Simulation::new(NO_LIMIT, seed).run(1.5);
    let few = Simulation::new(SearchLimit::CALLER, seed).run(1.5);
    assert!(all.offers > 5 * all.requests, "without a limit: {all:?}");
    assert!(
        few.in_target as f64 >= 0.97 * all.in_target as f64,
        "{few:?}, all {all:?}"
    );
    assert!(few.remote_offers <= 2 * few.requests, "{few:?}");
    let mean = |t: &Totals| t.rejected_ms as f64 / t.rejected as f64;
    assert!(mean(&few) < mean(&all) / 2.0, "{few:?}, all {all:?}");
}

/// The limit does not keep requests from room that is left, in whichever region it is.
#[rstest::rstest]
fn below_capacity_nearly_all_are_served(#[values(1, 2, 3)] seed: u64) {
    let totals = Simulation::new(SearchLimit::CALLER, seed).run(0.85);
    assert!(
        totals.in_target as f64 >= 0.99 * totals.requests as f64,
        "{totals:?}"
    );
}
