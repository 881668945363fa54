//! The choice among the back ends of a service.

use std::time::Duration;

/// How far a machine is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same machine.
    Local,
    /// The same availability zone.
    Zone,
    /// Another availability zone of the same region.
    Region,
    /// Another region.
    Remote,
}

impl Distance {
    /// Time for a request and its answer to travel.
    #[must_use]
    pub fn round_trip(self) -> Duration {
        match self {
            Distance::Local => Duration::ZERO,
            Distance::Zone => Duration::from_micros(400),
            Distance::Region => Duration::from_millis(1),
            Distance::Remote => Duration::from_millis(40),
        }
    }

    /// Time that the volume sent over the link is worth.
    fn volume_price(self) -> Duration {
        match self {
            Distance::Local => Duration::ZERO,
            Distance::Zone => Duration::from_millis(2),
            Distance::Region => Duration::from_millis(20),
            Distance::Remote => Duration::from_millis(250),
        }
    }
}

/// Load of a back end as its machine reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that may run there at once.
    pub slots: u32,
    /// Mean time that a request takes there; zero if none has ended yet.
    pub service_time: Duration,
}

/// A back end that could run the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// How far its machine is away.
    pub distance: Distance,
    /// Time that frames queue on the way there and back.
    pub delay: Duration,
    /// Load as last reported.
    pub load: Load,
    /// Time since that report.
    pub age: Duration,
    /// Requests that this machine has sent there since and that have not been answered.
    pub unanswered: u32,
    /// Part of the recent requests that failed there, 0 to 1.
    pub failures: f64,
    /// Whether it has just started and is slow.
    pub cold: bool,
}

/// Age at which half of a report has lost its meaning.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Weight of a report that has lost its meaning, beside 1 for a new one.
const LEAST_WEIGHT: f64 = 1e-3;
/// Age of a report after which a back end is tried again as if it were fast.
const EXPLORE_AGE: Duration = Duration::from_secs(3);
/// Part of the usual time of a request by which costs are blurred at most.
const BLUR: f64 = 0.1;
/// Cost of a request that fails.
const FAILURE_COST: f64 = 1.5;
/// How much slower a cold back end is.
const COLD_FACTOR: f64 = 2.0;

impl Candidate {
    /// What the report still means, 1 when it is new.
    fn fade(&self) -> f64 {
        0.5f64.powf(self.age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Expected cost in seconds of sending the request there; `usual` is the mean time of a request
    /// in the service and `fastest` the least one, which a back end that has not reported lately is
    /// given credit for.
    #[must_use]
    pub fn cost(&self, usual: Duration, fastest: Duration) -> f64 {
        let fade = self.fade();
        let usual = usual.as_secs_f64();
        let mut service = usual + (self.load.service_time.as_secs_f64() - usual) * fade;
        let unknown = self.load.service_time.is_zero();
        let outdated = self.age > EXPLORE_AGE && self.unanswered == 0;
        if unknown || outdated {
            service = service.min(fastest.as_secs_f64());
        }
        if self.cold {
            service *= COLD_FACTOR;
        }
        let reported = f64::from(self.load.running + self.load.waiting) * fade;
        let busy = reported.max(f64::from(self.unanswered));
        let slots = f64::from(self.load.slots.max(1));
        let wait = service * ((busy + 1.0 - slots) / slots).max(0.0);
        // Back ends slow down when they are nearly full.
        let crowding = service * 0.3 * (busy / slots).min(1.5).powi(3);
        let travel = self.distance.round_trip() + self.delay + self.distance.volume_price();
        travel.as_secs_f64() + service + wait + crowding + self.failures * FAILURE_COST
    }
}

/// Index of the cheapest candidate.
///
/// `draw` gives numbers that are uniform in 0..1; they blur the costs, so that machines with the same
/// old reports do not all choose the same back end.
#[must_use]
pub fn choose(candidates: &[Candidate], mut draw: impl FnMut() -> f64) -> Option<usize> {
    let usual = usual_time(candidates)?;
    let recent = candidates
        .iter()
        .filter(|c| c.age <= EXPLORE_AGE && !c.load.service_time.is_zero());
    let fastest = recent.map(|c| c.load.service_time).min().unwrap_or(usual);
    let costs: Vec<f64> = candidates
        .iter()
        .map(|c| c.cost(usual, fastest) + draw() * BLUR * usual.as_secs_f64())
        .collect();
    (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]))
}

/// Mean time of a request in the service; new reports weigh most.
fn usual_time(candidates: &[Candidate]) -> Option<Duration> {
    candidates.first()?;
    let known = candidates.iter().filter(|c| !c.load.service_time.is_zero());
    let weights = known.clone().map(|c| c.fade() + LEAST_WEIGHT);
    let total: f64 = weights.clone().sum();
    let times = known.map(|c| c.load.service_time.as_secs_f64());
    let sum: f64 = weights.zip(times).map(|(w, t)| w * t).sum();
    let mean = if total > 0.0 { sum / total } else { 0.0 };
    Some(Duration::from_secs_f64(mean))
}
