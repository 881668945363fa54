//! Queues requests in front of one back end and rejects those that would wait too long.
//!
//! At most as many requests run at once as the back end has slots.

use std::time::Duration;

use world::instant::BootInstant;
use world::rate::RequestRate;

use crate::cold_limit::{ColdBound, ColdLimit};
use crate::estimate::ServiceTimeEstimate;
use crate::fair_share::FairShare;
use crate::rank::Rank;
use crate::rate_limit::RateLimit;
use crate::slowness::Slowness;

/// Share of a request's slack (time to its target less its expected service time) for which it may
/// wait; the rest covers requests that take longer than expected.
const SLACK_WAIT_RATIO: f64 = 0.6;
/// Share of the time to its target for which a request may wait even if it will miss the target.
const MIN_WAIT_RATIO: f64 = 0.15;

/// A request that is to be run by the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Identifies the request within the queue.
    pub id: u64,
    /// Place in the order of ranks, see [`Rank::order`](crate::rank::Rank::order); 0 runs first.
    pub priority: u8,
    /// Class of the request; requests of one class have similar service times.
    pub class: u32,
    /// Whether it has missed its latency target already; such requests wait behind the others of
    /// their priority.
    pub missed_target: bool,
    /// Instant by which it should finish to meet its latency target.
    pub target: BootInstant,
    /// Instant at which its caller times out.
    pub deadline: BootInstant,
}

/// Decision on a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It takes a slot and starts now.
    Admitted,
    /// It waits; [`Queue::dequeue`] returns it later unless it is cancelled.
    Queued,
    /// It does not run; a slot is expected to be free after this time.
    Rejected(Duration),
}

/// A request that has left the queue, by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// It takes a slot and starts now.
    Started(u64),
    /// It can no longer finish before its deadline and does not run.
    Expired(u64),
}

#[derive(Clone, Copy, Debug)]
struct QueuedJob {
    job: Job,
    queued_at: BootInstant,
}

/// Requests that run and wait at one back end.
///
/// At most `slots` requests run at once; fewer slots do not stop requests that run already.
#[derive(Clone, Debug)]
pub struct Queue {
    slots: usize,
    running: usize,
    waiting: Vec<QueuedJob>,
    estimate: ServiceTimeEstimate,
    /// Limit on the requests that start in a second, besides the slots.
    rate_limit: Option<RateLimit>,
    /// Limit on the requests that start in a second while the back end is cold, besides the other two.
    cold_limit: ColdLimit,
    /// What each priority is owed; `None` if they are served strictly in their order.
    fair_share: Option<FairShare>,
    /// How many times slower than usual the back end says that its machine is.
    slowness: Slowness,
}

impl Queue {
    /// Creates a queue for a back end that runs `slots` requests at once.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            running: 0,
            waiting: Vec::new(),
            estimate: ServiceTimeEstimate::default(),
            rate_limit: None,
            cold_limit: ColdLimit::default(),
            fair_share: None,
            slowness: Slowness::default(),
        }
    }

    /// Changes the number of requests that run at once.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Changes how many requests may start in a second; `None` for any number.
    pub fn set_rate(&mut self, rate: Option<RequestRate>, now: BootInstant) {
        match (&mut self.rate_limit, rate) {
            (Some(limit), Some(rate)) => limit.set_rate(rate, now),
            (limit, rate) => *limit = rate.map(|r| RateLimit::new(r, now)),
        }
    }

    /// Changes how many requests may start in a second while the back end is cold; `None` for any number.
    pub fn set_cold_bound(&mut self, bound: Option<ColdBound>, now: BootInstant) {
        self.cold_limit.set_bound(bound, now);
    }

    /// Changes until when the back end is cold.
    pub fn set_cold_until(&mut self, until: BootInstant, now: BootInstant) {
        self.cold_limit.set_cold_until(until, now);
    }

    /// Limit on the requests that start in a second if the back end is cold now and has one.
    #[must_use]
    pub fn cold_bound(&self, now: BootInstant) -> Option<ColdBound> {
        self.cold_limit.bound(now)
    }

    /// Sets whether each priority gets a part of its share of the back end even if others always have
    /// requests that go before.
    pub fn set_fair_share(&mut self, enabled: bool) {
        if enabled != self.fair_share.is_some() {
            self.fair_share = enabled.then(FairShare::default);
        }
    }

    /// Number of requests that may start in a second, `None` for any number.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.rate_limit.as_ref().map(RateLimit::rate)
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

    /// Service times measured at the back end.
    #[must_use]
    pub fn estimate(&self) -> &ServiceTimeEstimate {
        &self.estimate
    }

    /// Discards the service times measured at an earlier back end process.
    pub fn reset_estimate(&mut self) {
        self.estimate.reset();
        self.slowness = Slowness::default();
    }

    /// Records that the back end says that its machine is `factor` times slower than usual.
    pub fn on_slowness(&mut self, factor: f64, now: BootInstant) {
        self.slowness.on_report(factor, now);
    }

    /// Returns how many times slower than usual the back end is now.
    #[must_use]
    pub fn slowness(&self, now: BootInstant) -> f64 {
        self.slowness.factor(now)
    }

    /// Service time that a request of `class` is expected to take if it starts now.
    fn expected_service(&self, now: BootInstant, class: u32) -> Duration {
        self.estimate
            .for_class(class)
            .mul_f64(self.slowness.factor(now))
    }

    /// Expected wait of a request that arrives now, behind the requests that would run before it.
    #[must_use]
    pub fn expected_wait(&self, now: BootInstant, priority: u8, missed_target: bool) -> Duration {
        let ahead = self.ahead_of(priority, missed_target);
        let backlog = (self.running + ahead + 1).saturating_sub(self.slots);
        let rounds = backlog as f64 / self.slots.max(1) as f64;
        let slowness = self.slowness.factor(now);
        self.estimate.mean_or_default().mul_f64(rounds * slowness)
    }

    /// Expected wait of a request that arrives now until it may start by the limits on requests per
    /// second; zero without one.
    #[must_use]
    pub fn rate_wait(&self, now: BootInstant, priority: u8, missed_target: bool) -> Duration {
        self.token_wait(now, self.ahead_of(priority, missed_target))
    }

    /// The part of [`rate_wait`](Self::rate_wait) for which the cold back end is the reason.
    #[must_use]
    pub fn cold_wait(&self, now: BootInstant, priority: u8, missed_target: bool) -> Duration {
        let ahead = self.ahead_of(priority, missed_target);
        self.cold_limit.wait(now, ahead)
    }

    /// Time until the limits on requests per second let the next waiting request start; `None` if none
    /// waits or all slots are taken.
    #[must_use]
    pub fn next_start(&self, now: BootInstant) -> Option<Duration> {
        let can_start = self.running < self.slots && !self.waiting.is_empty();
        can_start.then(|| self.token_wait(now, 0))
    }

    fn token_wait(&self, now: BootInstant, ahead: usize) -> Duration {
        let limit = self.rate_limit.as_ref();
        let wait = limit.map_or(Duration::ZERO, |l| l.wait(now, ahead));
        wait.max(self.cold_limit.wait(now, ahead))
    }

    fn ahead_of(&self, priority: u8, missed_target: bool) -> usize {
        let rank = (priority, missed_target);
        let goes_before = |w: &&QueuedJob| (w.job.priority, w.job.missed_target) <= rank;
        let ahead = self.waiting.iter().filter(goes_before).count();
        let Some(fair_share) = &self.fair_share else {
            return ahead;
        };
        let group = group_of(priority);
        let in_group = |w: &&QueuedJob| group_of(w.job.priority) == group && goes_before(w);
        let ahead_in_group = self.waiting.iter().filter(in_group).count();
        fair_share.starts_before(group, ahead, ahead_in_group)
    }

    /// Takes a slot for a request.
    fn start(&mut self, job: &Job) {
        self.running += 1;
        if let Some(fair_share) = &mut self.fair_share {
            fair_share.on_start(group_of(job.priority));
        }
    }

    /// Whether the request's priority is owed a start.
    fn is_due(&self, job: &Job) -> bool {
        let fair_share = self.fair_share.as_ref();
        fair_share.is_some_and(|f| f.is_due(group_of(job.priority)))
    }

    /// Takes the tokens of a request that starts; returns false if one of the limits has none left.
    fn take_token(&mut self, now: BootInstant) -> bool {
        self.cold_limit.has_token(now)
            && self.rate_limit.as_mut().is_none_or(|l| l.take(now))
            && self.cold_limit.take(now)
    }

    /// Decides whether a request that arrives starts, waits or is rejected.
    pub fn admit(&mut self, now: BootInstant, job: Job) -> Admission {
        if let Some(fair_share) = &mut self.fair_share {
            fair_share.on_arrival(group_of(job.priority));
        }
        if self.running < self.slots && self.waiting.is_empty() && self.take_token(now) {
            self.start(&job);
            return Admission::Admitted;
        }
        let wait = self
            .expected_wait(now, job.priority, job.missed_target)
            .max(self.rate_wait(now, job.priority, job.missed_target));
        let service = self.expected_service(now, job.class);
        let finishes_at = now + wait + service;
        let until_target = job.target.since(now);
        let max_wait = until_target
            .saturating_sub(service)
            .mul_f64(SLACK_WAIT_RATIO)
            .max(until_target.mul_f64(MIN_WAIT_RATIO));
        let too_many_missed =
            job.missed_target && self.missed_target_count() >= self.slots.div_ceil(2);
        if wait > max_wait || finishes_at > job.deadline || too_many_missed {
            return Admission::Rejected(wait);
        }
        self.waiting.push(QueuedJob {
            job,
            queued_at: now,
        });
        Admission::Queued
    }

    fn missed_target_count(&self) -> usize {
        self.waiting.iter().filter(|w| w.job.missed_target).count()
    }

    /// Releases the slot of a request and records its service time at the usual speed, if it completed.
    pub fn on_finished(&mut self, class: u32, service_time: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(service_time) = service_time {
            self.estimate.record(class, service_time);
        }
    }

    /// Removes a waiting request; returns whether it was in the queue.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.job.id != id);
        before != self.waiting.len()
    }

    /// Removes the next request that can start or has expired; `None` if no request can leave the
    /// queue now.
    pub fn dequeue(&mut self, now: BootInstant) -> Option<Dequeued> {
        if let Some(index) = self
            .waiting
            .iter()
            .position(|w| self.misses_deadline(now, w))
        {
            let expired = self.waiting.remove(index);
            return Some(Dequeued::Expired(expired.job.id));
        }
        if self.running >= self.slots {
            return None;
        }
        let index = (0..self.waiting.len()).min_by_key(|i| {
            let w = &self.waiting[*i];
            let rank = (w.job.priority, w.job.missed_target, w.queued_at);
            (!self.is_due(&w.job), rank)
        })?;
        if !self.take_token(now) {
            return None;
        }
        let chosen = self.waiting.remove(index);
        self.start(&chosen.job);
        Some(Dequeued::Started(chosen.job.id))
    }

    /// Whether the request would miss its deadline even if it started now and took half the
    /// expected service time.
    fn misses_deadline(&self, now: BootInstant, queued: &QueuedJob) -> bool {
        let expected = self.expected_service(now, queued.job.class) / 2;
        now + expected > queued.job.deadline
    }

    /// Removes all waiting requests and returns their ids.
    pub fn clear(&mut self) -> Vec<u64> {
        self.waiting.drain(..).map(|w| w.job.id).collect()
    }
}

/// Priority whose requests share what they are owed; calls belong to that of their rank.
fn group_of(order: u8) -> u8 {
    Rank::from_order(order).priority()
}
