//! The queue in front of one back end.

use std::time::Duration;

use world::instant::BootInstant;

use crate::estimate::Estimate;

/// Part of the time that is left after its expected run for which a request may wait; the rest
/// covers runs that take longer than expected.
const WAIT_PART: f64 = 0.6;
/// Part of the time to its target for which a request may wait even if it will be late.
const LEAST_WAIT_PART: f64 = 0.15;

/// A request that asks to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Number that names the request here.
    pub id: u64,
    /// Rank; 0 runs first.
    pub priority: u8,
    /// Kind of request; requests of one class take about equally long.
    pub class: u32,
    /// Whether it has missed its latency target already; such requests wait behind the others.
    pub late: bool,
    /// Instant at which it should have ended.
    pub target: BootInstant,
    /// Instant at which its caller stops waiting.
    pub deadline: BootInstant,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It starts now.
    Start,
    /// It waits; [`Queue::next`] returns it later.
    Wait,
    /// It does not run; room is expected after this time.
    Refuse(Duration),
}

/// A request that leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It starts now.
    Start(u64),
    /// It cannot end in time any more and does not run.
    Expire(u64),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    job: Job,
    since: BootInstant,
}

/// Requests that run and wait at one back end.
///
/// At most `slots` run at once.
#[derive(Clone, Debug)]
pub struct Queue {
    slots: usize,
    running: usize,
    waiting: Vec<Waiting>,
    estimate: Estimate,
}

impl Queue {
    /// Makes a queue for a back end that runs `slots` requests at once.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            running: 0,
            waiting: Vec::new(),
            estimate: Estimate::default(),
        }
    }

    /// Changes the number of requests that run at once.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Number of requests that may run at once.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Number of requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// How long requests take.
    #[must_use]
    pub fn estimate(&self) -> &Estimate {
        &self.estimate
    }

    /// Forgets how long requests took at an earlier back end.
    pub fn reset_estimate(&mut self) {
        self.estimate.reset();
    }

    /// Expected wait of a request of this rank that arrives now.
    #[must_use]
    pub fn expected_wait(&self, priority: u8, late: bool) -> Duration {
        let ahead = self
            .waiting
            .iter()
            .filter(|w| (w.job.priority, w.job.late) <= (priority, late))
            .count();
        let backlog = (self.running + ahead + 1).saturating_sub(self.slots);
        let turns = backlog as f64 / self.slots.max(1) as f64;
        self.estimate.overall().mul_f64(turns)
    }

    /// Decides on a request that arrives.
    pub fn arrive(&mut self, now: BootInstant, job: Job) -> Admission {
        if self.running < self.slots && self.waiting.is_empty() {
            self.running += 1;
            return Admission::Start;
        }
        let wait = self.expected_wait(job.priority, job.late);
        let ends = now + wait + self.estimate.of(job.class);
        let room = job.target.since(now);
        let longest = room
            .saturating_sub(self.estimate.of(job.class))
            .mul_f64(WAIT_PART)
            .max(room.mul_f64(LEAST_WAIT_PART));
        let crowded = job.late && self.late_waiting() >= self.slots.div_ceil(2);
        if wait > longest || ends > job.deadline || crowded {
            return Admission::Refuse(wait);
        }
        self.waiting.push(Waiting { job, since: now });
        Admission::Wait
    }

    fn late_waiting(&self) -> usize {
        self.waiting.iter().filter(|w| w.job.late).count()
    }

    /// Records that a request has ended; with `took`, how long it ran.
    pub fn finish(&mut self, class: u32, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.estimate.record(class, took);
        }
    }

    /// Removes a request that waits; returns whether it was there.
    pub fn withdraw(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.job.id != id);
        before != self.waiting.len()
    }

    /// The next request that leaves the queue, if any does now.
    pub fn next(&mut self, now: BootInstant) -> Option<Departure> {
        if let Some(index) = self.waiting.iter().position(|w| self.is_hopeless(now, w)) {
            let gone = self.waiting.remove(index);
            return Some(Departure::Expire(gone.job.id));
        }
        if self.running >= self.slots {
            return None;
        }
        let index = (0..self.waiting.len()).min_by_key(|i| {
            let w = &self.waiting[*i];
            (w.job.priority, w.job.late, w.since)
        })?;
        let chosen = self.waiting.remove(index);
        self.running += 1;
        Some(Departure::Start(chosen.job.id))
    }

    /// Whether the request would not end in time even if it started now.
    fn is_hopeless(&self, now: BootInstant, waiting: &Waiting) -> bool {
        let expected = self.estimate.of(waiting.job.class) / 2;
        now + expected > waiting.job.deadline
    }

    /// Removes every request that waits and returns their numbers.
    pub fn clear(&mut self) -> Vec<u64> {
        self.waiting.drain(..).map(|w| w.job.id).collect()
    }
}
