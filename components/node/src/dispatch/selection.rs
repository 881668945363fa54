//! Selects the back end that a request is sent to next, and the time within which it should respond.

use std::rc::Rc;
use std::time::Duration;

use balance::choice::{Candidate, Distance, choose};
use rand::Rng;
use shards::revision::Revision;
use smallvec::SmallVec;
use timer::{BootClock, Clock};
use world::name::MachineName;

use super::{Destination, RequestDispatch};
use crate::back_end_proxy::LocalBackEnd;
use crate::cold_limit;
use crate::frame::{LoadReport, NodeStatus};

/// Time that a request and its response travel between the caller and this process.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(20);
/// Share of the remaining time within which the response to a caller's retry should be ready.
const RETRY_TARGET_RATIO: f64 = 0.5;
/// Share of the remaining time within which the response to a call should be ready.
const CALL_TARGET_RATIO: f64 = 0.9;
/// Share of the time to the latency target that a request may take at a back end while others may
/// have room.
const FIRST_PASS_TARGET_RATIO: f64 = 0.75;
/// Share of the time to the target for which frames may queue on the links to a back end.
const MAX_LINK_DELAY_RATIO: f64 = 0.5;

impl RequestDispatch<'_> {
    /// Logs once per request why no back end can be tried.
    pub(super) fn log_no_destination(&mut self) {
        if std::mem::replace(&mut self.no_destination_logged, true) {
            return;
        }
        let assignment = self.keyed_assignment().flatten();
        let range = assignment
            .as_ref()
            .zip(self.template.key)
            .and_then(|(a, key)| a.value.range(key));
        let owner = range.map(|r| r.machine.clone());
        let connected = owner
            .as_ref()
            .and_then(|m| self.node.peer(m))
            .map(|p| p.is_connected());
        log::info!(
            event = "no-place",
            id = self.id_text(),
            service = self.service.as_str(),
            key:? = self.template.key,
            owner = owner.as_ref().map_or("-", |m| m.as_str()),
            fence:? = range.map(|r| r.fence),
            connected:? = connected,
            revision:% = assignment.as_ref().map_or(Revision::NONE, |a| a.revision),
            refused = self.rejections.len();
            ""
        );
    }

    /// Selects the back end to try next; `None` if there is none.
    ///
    /// The first pass leaves out machines that have rejected the request, the final pass does not.
    pub(super) fn select_destination(
        &self,
        final_pass: bool,
    ) -> Option<(MachineName, Destination)> {
        if let Some(assignment) = self.keyed_assignment() {
            let assignment = assignment?;
            let key = self.template.key?;
            let machine = assignment.value.range(key)?.machine.clone();
            return self.keyed_destination(machine, final_pass);
        }
        if let Some(fingerprint) = self.node.suspects.on_trial(&self.template) {
            return self.trial_destination(&fingerprint, final_pass);
        }
        let usable = self.candidates(final_pass);
        let candidates: SmallVec<[Candidate; 16]> = usable.iter().map(|p| p.2).collect();
        let mut rng = rand::rng();
        let index = choose(&candidates, || rng.random())?;
        let (machine, destination, _) = usable.into_iter().nth(index)?;
        Some((machine, destination))
    }

    /// Returns `None` for a service that is not divided by key, `Some(None)` for one whose
    /// assignment is not known.
    #[allow(clippy::option_option)]
    pub(super) fn keyed_assignment(
        &self,
    ) -> Option<Option<Rc<shards::manager::Versioned<shards::assignment::Assignment>>>> {
        let keyed = self
            .node
            .active_config()
            .is_some_and(|c| c.catalog.is_keyed(&self.service));
        keyed.then(|| self.node.assignment(&self.service))
    }

    fn keyed_destination(
        &self,
        machine: MachineName,
        final_pass: bool,
    ) -> Option<(MachineName, Destination)> {
        if !final_pass && self.rejections.iter().any(|(m, _)| *m == machine) {
            return None;
        }
        let homes = self.homes();
        if machine == self.node.settings.machine {
            let may_use = self.node.may_use_zone(&self.node.settings.zone, true);
            if !may_use || !homes.allow(&self.node.settings.region) {
                return None;
            }
            self.node.proxy.ready_for(&self.service)?;
            return Some((machine, Destination::Local));
        }
        let peer = self.node.peer(&machine)?;
        let takes = |s: &NodeStatus| {
            let may_use = self.node.may_use_zone(&s.zone, true);
            may_use && self.takes_requests(s) && homes.allow(&s.region)
        };
        let usable = peer.is_connected() && peer.with_status(takes)?;
        usable.then_some((machine, Destination::Peer(peer)))
    }

    /// Returns whether a machine has a back end that takes requests.
    fn takes_requests(&self, status: &NodeStatus) -> bool {
        let back_end = status.back_end.as_ref();
        back_end.is_some_and(|b| !self.node.leaving.contains(&b.incarnation))
    }

    /// Returns whether a machine has a back end of the request's service that takes requests without a
    /// key.
    pub(super) fn offers_service(&self, status: &NodeStatus) -> bool {
        let offers = status.service == self.service && !status.leaving;
        offers && self.takes_requests(status) && self.node.may_use_zone(&status.zone, false)
    }

    /// Returns the back end on this machine if it takes requests without a key.
    pub(super) fn local_back_end(&self) -> Option<LocalBackEnd> {
        let may_use = self.node.may_use_zone(&self.node.settings.zone, false);
        let back_end = self.node.proxy.ready_for(&self.service);
        back_end.filter(|_| may_use)
    }

    /// Returns whether a machine may be tried in this pass.
    pub(super) fn is_untried(&self, machine: &MachineName, final_pass: bool) -> bool {
        let is_rejected = self.rejections.iter().any(|(m, _)| m == machine);
        !self.attempted.contains(machine) && (final_pass || !is_rejected)
    }

    /// Returns the back ends of the service to which the request can be sent.
    fn candidates(&self, final_pass: bool) -> Vec<(MachineName, Destination, Candidate)> {
        let now = BootClock.now();
        let mut candidates = Vec::new();
        let usable = |m: &MachineName| self.is_untried(m, final_pass);
        let own = &self.node.settings.machine;
        let homes = self.homes();
        let reserved = self.reserved_regions();
        if self.local_back_end().is_some()
            && homes.allow(&self.node.settings.region)
            && usable(own)
            && (final_pass || self.search.allows(Distance::Local))
        {
            let slowness = self.node.proxy.slowness(now);
            let candidate = Candidate {
                distance: Distance::Local,
                queueing_delay: Duration::ZERO,
                load: self.node.proxy.load().slowed(slowness).into(),
                report_age: Duration::ZERO,
                in_flight: 0,
                failure_rate: self.node.local_failures.get(),
                cold: cold_limit::is_cold(self.node, now),
                reserved: reserved.includes(&self.node.settings.region),
            };
            candidates.push((own.clone(), Destination::Local, candidate));
        }
        for peer in self.node.peers() {
            if !peer.is_connected() || !usable(&peer.machine) {
                continue;
            }
            let candidate = peer.with_status(|status| {
                let back_end = status.back_end.as_ref()?;
                if !self.offers_service(status) || !homes.allow(&status.region) {
                    return None;
                }
                let idle = LoadReport {
                    running: 0,
                    waiting: 0,
                    slots: back_end.slots,
                    service_us: 0,
                };
                let (load, report_age) = match peer.load() {
                    Some((load, at)) => (load, now.since(at)),
                    // Older than any report that has weight in the choice.
                    None => (idle, Duration::from_secs(60)),
                };
                let (distance, queueing_delay) = self.link_to(status);
                if !final_pass && !self.search.allows(distance) {
                    return None;
                }
                if self.is_link_congested(final_pass, distance, queueing_delay) {
                    return None;
                }
                Some(Candidate {
                    distance,
                    queueing_delay,
                    load: load.into(),
                    report_age,
                    in_flight: u32::try_from(peer.in_flight()).unwrap_or(u32::MAX),
                    failure_rate: peer.failure_rate().get(),
                    cold: back_end.cold,
                    reserved: reserved.includes(&status.region),
                })
            });
            if let Some(candidate) = candidate.flatten() {
                candidates.push((peer.machine.clone(), Destination::Peer(peer), candidate));
            }
        }
        candidates
    }

    /// Returns whether frames queue too long on the links for the response to be ready in time.
    pub(super) fn is_link_congested(
        &self,
        final_pass: bool,
        distance: Distance,
        delay: Duration,
    ) -> bool {
        let target = self.target(final_pass, distance, Duration::ZERO);
        delay > target.mul_f64(MAX_LINK_DELAY_RATIO)
    }

    /// Returns the time within which a machine at `distance` should have the response ready, if
    /// frames queue on the links for `delay`.
    ///
    /// A longer queue would not raise the throughput, only make every response miss its target.
    pub(super) fn target(&self, final_pass: bool, distance: Distance, delay: Duration) -> Duration {
        if self.is_call {
            return self
                .remaining()
                .mul_f64(CALL_TARGET_RATIO)
                .saturating_sub(delay);
        }
        if self.is_retry {
            return self
                .remaining()
                .mul_f64(RETRY_TARGET_RATIO)
                .saturating_sub(delay);
        }
        let spent = self
            .route
            .timeout
            .min(self.timeout)
            .saturating_sub(self.remaining());
        let remaining = self
            .route
            .latency_target
            .saturating_sub(spent + CALLER_ROUND_TRIP + distance.round_trip() + delay);
        let ratio = if final_pass {
            1.0
        } else {
            FIRST_PASS_TARGET_RATIO
        };
        remaining.mul_f64(ratio)
    }

    /// Returns the distance to a destination and the queueing delay of frames on the links to it.
    pub(super) fn distance_and_delay(&self, destination: &Destination) -> (Distance, Duration) {
        let Destination::Peer(peer) = destination else {
            return (Distance::Local, Duration::ZERO);
        };
        let link = peer.with_status(|s| self.link_to(s));
        link.unwrap_or((Distance::Remote, Duration::ZERO))
    }

    fn link_to(&self, status: &NodeStatus) -> (Distance, Duration) {
        let distance = self.node.distance(status);
        (distance, self.node.link_delay(&status.region))
    }
}
