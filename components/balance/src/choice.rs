//! Selects one of the back ends of a service by expected cost: network, service time, queueing and
//! failures.

use std::time::Duration;

/// Network distance to a machine.
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
    /// Returns the expected network round-trip time.
    #[must_use]
    pub fn round_trip(self) -> Duration {
        match self {
            Distance::Local => Duration::ZERO,
            Distance::Zone => Duration::from_micros(400),
            Distance::Region => Duration::from_millis(1),
            Distance::Remote => Duration::from_millis(40),
        }
    }

    /// Returns the cost of the traffic over the link, expressed as time.
    fn transfer_cost(self) -> Duration {
        match self {
            Distance::Local => Duration::ZERO,
            Distance::Zone => Duration::from_millis(2),
            Distance::Region => Duration::from_millis(20),
            Distance::Remote => Duration::from_millis(250),
        }
    }
}

/// Load of a back end as reported by its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that may run there at once.
    pub slots: u32,
    /// Mean service time of requests there; zero if none has finished yet.
    pub service_time: Duration,
}

/// A back end that could run the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Network distance to its machine.
    pub distance: Distance,
    /// Queueing delay of frames on the links there and back.
    pub queueing_delay: Duration,
    /// Load as last reported.
    pub load: Load,
    /// Time since that report.
    pub report_age: Duration,
    /// Requests that this machine has sent there and that have no response yet.
    pub in_flight: u32,
    /// Share of the recent requests that failed there, 0 to 1.
    pub failure_rate: f64,
    /// Whether it has started recently and is still slow.
    pub cold: bool,
    /// Whether its room is wanted by requests that may run in fewer regions than this one.
    pub reserved: bool,
}

/// Age at which a load report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Added to the weight of each report in the mean, so that old reports count where there are no new
/// ones; a new report weighs 1.
const MIN_REPORT_WEIGHT: f64 = 1e-3;
/// Age of a report after which a back end without in-flight requests is tried again as if it were
/// as fast as the fastest one.
const STALE_AGE: Duration = Duration::from_secs(3);
/// Largest random addition to a cost, as a share of the mean service time.
const JITTER_RATIO: f64 = 0.1;
/// Cost of a failed request, in seconds.
const FAILURE_COST_SECS: f64 = 1.5;
/// Share of the slots in use above which a reserved back end becomes more expensive.
const RESERVED_FROM: f64 = 0.5;
/// Additional cost of a reserved back end whose slots are all in use, in seconds. More than twice the
/// cost of another region, so that this is cheaper from three quarters of the slots on.
const RESERVED_COST_SECS: f64 = 0.6;
/// Factor by which a cold back end is slower.
const COLD_FACTOR: f64 = 2.0;

impl Candidate {
    /// Returns the weight of the load report by its age: 1 when new, halved every
    /// [`REPORT_HALF_LIFE`].
    fn report_weight(&self) -> f64 {
        0.5f64.powf(self.report_age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64())
    }

    /// Returns the expected cost of sending the request there, in seconds.
    ///
    /// `mean` is the mean service time over the candidates, `fastest` the shortest one reported
    /// lately. A back end without a measured service time, or with a stale report, is assumed to
    /// take at most `fastest`.
    #[must_use]
    pub fn cost(&self, mean: Duration, fastest: Duration) -> f64 {
        let report_weight = self.report_weight();
        let mean = mean.as_secs_f64();
        let mut service = mean + (self.load.service_time.as_secs_f64() - mean) * report_weight;
        let unmeasured = self.load.service_time.is_zero();
        let stale = self.report_age > STALE_AGE && self.in_flight == 0;
        if unmeasured || stale {
            service = service.min(fastest.as_secs_f64());
        }
        if self.cold {
            service *= COLD_FACTOR;
        }
        let reported = f64::from(self.load.running + self.load.waiting) * report_weight;
        let outstanding = reported.max(f64::from(self.in_flight));
        let slots = f64::from(self.load.slots.max(1));
        let wait = service * ((outstanding + 1.0 - slots) / slots).max(0.0);
        // Back ends slow down when they are nearly full.
        let congestion = service * 0.3 * (outstanding / slots).min(1.5).powi(3);
        let network =
            self.distance.round_trip() + self.queueing_delay + self.distance.transfer_cost();
        let reserved = if self.reserved {
            let excess = (outstanding / slots - RESERVED_FROM).max(0.0);
            excess / (1.0 - RESERVED_FROM) * RESERVED_COST_SECS
        } else {
            0.0
        };
        let failures = self.failure_rate * FAILURE_COST_SECS;
        network.as_secs_f64() + service + wait + congestion + reserved + failures
    }
}

/// Returns the index of the candidate with the lowest cost; `None` if there are no candidates.
///
/// `random` returns numbers that are uniform in 0..1. They add jitter to the costs, so that
/// machines with the same old reports do not all choose the same back end.
#[must_use]
pub fn choose(candidates: &[Candidate], mut random: impl FnMut() -> f64) -> Option<usize> {
    let mean = mean_service_time(candidates)?;
    let recent = candidates
        .iter()
        .filter(|c| c.report_age <= STALE_AGE && !c.load.service_time.is_zero());
    let fastest = recent.map(|c| c.load.service_time).min().unwrap_or(mean);
    let costs: Vec<f64> = candidates
        .iter()
        .map(|c| c.cost(mean, fastest) + random() * JITTER_RATIO * mean.as_secs_f64())
        .collect();
    (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]))
}

/// Returns the mean service time over the candidates that reported one, weighted by the age of the
/// reports; zero if none did, `None` without candidates.
fn mean_service_time(candidates: &[Candidate]) -> Option<Duration> {
    candidates.first()?;
    let measured = candidates.iter().filter(|c| !c.load.service_time.is_zero());
    let weights = measured
        .clone()
        .map(|c| c.report_weight() + MIN_REPORT_WEIGHT);
    let total: f64 = weights.clone().sum();
    let times = measured.map(|c| c.load.service_time.as_secs_f64());
    let sum: f64 = weights.zip(times).map(|(w, t)| w * t).sum();
    let mean = if total > 0.0 { sum / total } else { 0.0 };
    Some(Duration::from_secs_f64(mean))
}
