//! Dispatches a caller's request to a back end and returns its final response.
//!
//! A request that may have run goes to another back end only if its route is idempotent. Every
//! request gets its final response by its deadline.
//!
//! A request with a shard key goes to the machine that owns the key according to the assignment.
//! The owner runs it only while its back end holds the key, that is, while its grant is in force.

use std::rc::Rc;
use std::time::Duration;

use balance::choice::{Candidate, Distance, choose};
use bytes::Bytes;
use catalog::Route;
use http1::request::Request;
use http1::response::Response;
use platform::message::{self, RequestMetadata};
use rand::Rng;
use smallvec::SmallVec;
use timer::{BootClock, Clock};
use world::instant::BootInstant;
use world::name::{MachineName, ServiceName};
use xxhash_rust::xxh3;

use crate::back_end_proxy;
use crate::frame::{
    ForwardedRequest, ForwardedResponse, Frame, LoadReport, LossCause, NodeStatus, RejectReason,
    RequestOutcome, pack_headers, unpack_headers,
};
use crate::link::Peer;
use crate::low_discrepancy::LowDiscrepancySequence;
use crate::node::{ActiveConfig, Node};
use crate::suspects;

/// Timeout of a request without a `Deadline-Ms` header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// `Retry-After` of responses while no request can be served.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` of responses while the process stops: the time until it is expected to run again.
const RESTART_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Share of a rejected caller's remaining time that `Retry-After` covers at least; earlier, the
/// queue would be in the same state.
const MIN_RETRY_AFTER_RATIO: f64 = 0.2;
/// Interval between two checks for a usable back end, a reconnect or a changed assignment.
const REROUTE_INTERVAL: Duration = Duration::from_millis(25);
/// Longest wait for a changed assignment before a request goes again to the same owner of its key.
const SAME_OWNER_BACKOFF: Duration = Duration::from_millis(200);
/// Share of the remaining time for which a request waits for a usable back end.
const REROUTE_TIMEOUT_RATIO: f64 = 0.25;
/// Share of the route's timeout for which a request waits while its key is handed over.
const HANDOVER_TIMEOUT_RATIO: f64 = 0.5;
/// Time that a request and its response travel between the caller and this process.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(20);
/// Share of the remaining time within which the response to a caller's retry should be ready.
const RETRY_TARGET_RATIO: f64 = 0.5;
/// Priority of requests on which other requests wait; they are rejected only if they cannot meet
/// their deadline.
const TOP_PRIORITY: u8 = 0;
/// Share of the remaining time within which the response to such a request should be ready.
const TOP_PRIORITY_TARGET_RATIO: f64 = 0.9;
/// Time in which a changed assignment reaches every connected machine.
const ASSIGNMENT_PROPAGATION_TIME: Duration = Duration::from_millis(200);
/// Time for a lost connection to reopen before a request sent over it counts as lost.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(900);
/// The same for an idempotent request, which can go to another back end instead.
const RECONNECT_TIMEOUT_IDEMPOTENT: Duration = Duration::from_millis(120);
/// Share of the time to the latency target that a request may take at a back end while others may
/// have room.
const FIRST_PASS_TARGET_RATIO: f64 = 0.75;
/// Share of the time to the target for which frames may queue on the links to a back end.
const MAX_LINK_DELAY_RATIO: f64 = 0.5;

/// The back end that a request is sent to.
#[derive(Clone)]
enum Destination {
    Local,
    Peer(Rc<Peer>),
}

/// State of the dispatch of one request.
struct RequestDispatch<'a> {
    node: &'a Rc<Node>,
    route: &'a Route,
    service: ServiceName,
    /// The request to forward; each send sets its own id and times in a copy.
    template: ForwardedRequest,
    deadline: BootInstant,
    /// The caller's timeout when the request arrived.
    timeout: Duration,
    /// Machines to which the request was sent and is not sent again, as they may have run it or
    /// their back end rejected it.
    attempted: SmallVec<[MachineName; 2]>,
    /// Machines that rejected it, with their suggested time before a retry in milliseconds.
    rejections: SmallVec<[(MachineName, u32); 4]>,
    /// Whether a back end may have run it.
    maybe_executed: bool,
    /// Whether it appears to be a caller's retry, as its timeout is well below the longest on the
    /// route.
    is_retry: bool,
    /// The last response with a server error, returned when no retry succeeds.
    fallback_response: Option<Box<ForwardedResponse>>,
    /// Machine to which it was sent last.
    machine: Option<MachineName>,
    /// Whether `no-place` has been logged for it.
    no_destination_logged: bool,
    /// When a peer first rejected it because it does not hold the key.
    not_holder_since: Option<BootInstant>,
    /// Whether assignments have been requested from a peer.
    assignments_requested: bool,
}

/// Final response of a request, and the outcome for logs and metrics.
struct Completion {
    response: Response,
    outcome: &'static str,
}

/// Counts a request as open until it is dropped.
struct OpenRequest(Rc<Node>);

impl OpenRequest {
    fn new(node: &Rc<Node>) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Handles a request that arrived at `received` and returns its final response.
///
/// The next number of `samples` picks the service if the route splits its traffic.
pub async fn handle(
    node: Rc<Node>,
    samples: Rc<LowDiscrepancySequence>,
    request: Request,
    received: BootInstant,
) -> Response {
    let _open = OpenRequest::new(&node);
    let incoming = message::decode_metadata(&request);
    let id = incoming.id.clone();
    if node.is_closing() {
        node.metrics.on_request("stopping", Duration::ZERO);
        return message::error_response(503, &id, Some(RESTART_RETRY_AFTER));
    }
    let Some(active_config) = node.active_config() else {
        node.metrics.on_request("no-configuration", Duration::ZERO);
        return message::error_response(503, &id, Some(OUTAGE_RETRY_AFTER));
    };
    let catalog = Rc::clone(&active_config.catalog);
    let Some(route) = catalog.route(&incoming.host, request.path()) else {
        node.metrics.on_request("no-route", Duration::ZERO);
        log_completion(
            &node,
            &id,
            None,
            404,
            "no-route",
            received,
            &active_config,
            0,
        );
        return message::error_response(404, &id, None);
    };
    let Some(service) = route.pick_service(samples.next()).cloned() else {
        return message::error_response(404, &id, None);
    };
    let timeout = incoming.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let deadline = received + timeout.min(route.timeout);
    node.with_retry_budget(&service, |b| b.on_request(received));
    let mut dispatch = RequestDispatch {
        node: &node,
        route,
        template: request_template(&node, &service, route, request, incoming),
        is_retry: node.retry_detector.is_retry(route, timeout),
        service,
        deadline,
        timeout,
        attempted: SmallVec::new(),
        rejections: SmallVec::new(),
        maybe_executed: false,
        fallback_response: None,
        machine: None,
        no_destination_logged: false,
        not_holder_since: None,
        assignments_requested: false,
    };
    let remaining = deadline.since(BootClock.now());
    let ended = tokio::select! {
        completion = dispatch.run() => Some(completion),
        () = tokio::time::sleep(remaining) => None,
        () = node.abort_requests.notified() => None,
    };
    let completion = ended.unwrap_or_else(|| dispatch.time_out());
    node.metrics
        .on_request(completion.outcome, BootClock.now().since(received));
    log_completion(
        &node,
        &id,
        dispatch.machine.as_ref(),
        completion.response.status,
        completion.outcome,
        received,
        &active_config,
        dispatch.attempted.len(),
    );
    completion.response
}

#[allow(clippy::too_many_arguments)]
fn log_completion(
    node: &Node,
    id: &Bytes,
    machine: Option<&MachineName>,
    status: u16,
    outcome: &str,
    received: BootInstant,
    active_config: &ActiveConfig,
    attempts: usize,
) {
    let ms = BootClock.now().since(received).as_millis() as u64;
    log::info!(
        event = "request",
        id = std::str::from_utf8(id).unwrap_or("?"),
        machine = machine.map_or("-", |m| m.as_str()),
        status,
        outcome,
        ms,
        tried = attempts,
        version = active_config.catalog.version,
        stopping = node.is_stopping();
        ""
    );
}

/// Builds the request to forward, with its id and times still 0.
fn request_template(
    node: &Node,
    service: &ServiceName,
    route: &Route,
    request: Request,
    incoming: RequestMetadata,
) -> ForwardedRequest {
    let mut headers = request.headers;
    message::strip_headers(&mut headers);
    // A request that the back end runs waits for this one, so it goes before new requests.
    let nested = incoming
        .parent
        .as_ref()
        .is_some_and(|id| node.proxy.is_running(id));
    let class = xxh3::xxh3_64(route.name.as_bytes()) as u32;
    ForwardedRequest {
        id: 0,
        service: service.clone(),
        method: request.method,
        target: request.target,
        headers: pack_headers(&headers),
        body: request.body,
        request_id: incoming.id,
        sent_ms: 0,
        remaining_ms: 0,
        missed_target: false,
        target_ms: 0,
        idempotent: route.idempotent,
        priority: if nested { TOP_PRIORITY } else { route.priority },
        class,
        key: incoming.key,
        caller: node.service(),
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl RequestDispatch<'_> {
    fn remaining(&self) -> Duration {
        self.deadline.since(BootClock.now())
    }

    /// Tries back ends one after another and returns the final response.
    ///
    /// The first pass asks each for a response well before the latency target; if all reject the
    /// request, the final pass tries once more with the whole target and gives up on a rejection.
    async fn run(&mut self) -> Completion {
        let timeout = self.remaining();
        let reroute_until = BootClock.now() + timeout.mul_f64(REROUTE_TIMEOUT_RATIO);
        let mut final_pass = false;
        loop {
            if let Err(remaining) = suspects::check(self.node, &self.template) {
                return self.quarantined(remaining);
            }
            let Some((machine, destination)) = self.select_destination(final_pass) else {
                if !self.rejections.is_empty() && !final_pass {
                    final_pass = true;
                    continue;
                }
                self.log_no_destination();
                if self.rejections.is_empty() && BootClock.now() < reroute_until {
                    tokio::time::sleep(REROUTE_INTERVAL).await;
                    continue;
                }
                return self.give_up();
            };
            self.machine = Some(machine.clone());
            let outcome = self.send(&destination, final_pass).await;
            if let Some(completion) = self
                .on_outcome(&machine, &destination, outcome, final_pass)
                .await
            {
                return completion;
            }
        }
    }

    /// Logs once per request why no back end can be tried.
    fn log_no_destination(&mut self) {
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
            revision = assignment.as_ref().map_or(0, |a| a.revision),
            refused = self.rejections.len();
            ""
        );
    }

    /// Selects the back end to try next; `None` if there is none.
    ///
    /// The first pass leaves out machines that have rejected the request, the final pass does not.
    fn select_destination(&self, final_pass: bool) -> Option<(MachineName, Destination)> {
        if let Some(assignment) = self.keyed_assignment() {
            let assignment = assignment?;
            let key = self.template.key?;
            let machine = assignment.value.range(key)?.machine.clone();
            return self.keyed_destination(machine, final_pass);
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
    fn keyed_assignment(
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
        if machine == self.node.settings.machine {
            self.node.proxy.ready_for(&self.service)?;
            return Some((machine, Destination::Local));
        }
        let peer = self.node.peer(&machine)?;
        let usable = peer.is_connected() && peer.with_status(|s| s.back_end.is_some())?;
        usable.then_some((machine, Destination::Peer(peer)))
    }

    /// Returns the back ends of the service to which the request can be sent.
    fn candidates(&self, final_pass: bool) -> Vec<(MachineName, Destination, Candidate)> {
        let now = BootClock.now();
        let mut candidates = Vec::new();
        let usable = |m: &MachineName| {
            !self.attempted.contains(m)
                && (final_pass || !self.rejections.iter().any(|(r, _)| r == m))
        };
        let own = &self.node.settings.machine;
        if let Some(b) = self.node.proxy.ready_for(&self.service)
            && usable(own)
        {
            let candidate = Candidate {
                distance: Distance::Local,
                queueing_delay: Duration::ZERO,
                load: self.node.proxy.load().into(),
                report_age: Duration::ZERO,
                in_flight: 0,
                failure_rate: self.node.local_failures.get(),
                cold: b.cold_until > now,
            };
            candidates.push((own.clone(), Destination::Local, candidate));
        }
        for peer in self.node.peers() {
            if !peer.is_connected() || !usable(&peer.machine) {
                continue;
            }
            let candidate = peer.with_status(|status| {
                let back_end = status.back_end.as_ref()?;
                if status.service != self.service || status.leaving {
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
                })
            });
            if let Some(candidate) = candidate.flatten() {
                candidates.push((peer.machine.clone(), Destination::Peer(peer), candidate));
            }
        }
        candidates
    }

    /// Returns whether frames queue too long on the links for the response to be ready in time.
    fn is_link_congested(&self, final_pass: bool, distance: Distance, delay: Duration) -> bool {
        let target = self.target(final_pass, distance, Duration::ZERO);
        delay > target.mul_f64(MAX_LINK_DELAY_RATIO)
    }

    /// Returns the time within which a machine at `distance` should have the response ready, if
    /// frames queue on the links for `delay`.
    ///
    /// A longer queue would not raise the throughput, only make every response miss its target.
    fn target(&self, final_pass: bool, distance: Distance, delay: Duration) -> Duration {
        if self.template.priority == TOP_PRIORITY {
            return self
                .remaining()
                .mul_f64(TOP_PRIORITY_TARGET_RATIO)
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
    fn distance_and_delay(&self, destination: &Destination) -> (Distance, Duration) {
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

    async fn send(&self, destination: &Destination, final_pass: bool) -> RequestOutcome {
        let (distance, delay) = self.distance_and_delay(destination);
        if self.is_link_congested(final_pass, distance, delay) {
            let reason = RejectReason::Delayed;
            let retry_ms = millis(delay);
            return RequestOutcome::NotRun { reason, retry_ms };
        }
        let mut request = self.template.clone();
        request.remaining_ms = millis(self.remaining());
        request.missed_target = self.is_retry;
        request.target_ms = millis(self.target(final_pass, distance, delay));
        match destination {
            Destination::Local => back_end_proxy::submit(self.node, Rc::new(request)).await,
            Destination::Peer(peer) => {
                request.id = peer.next_id();
                self.send_to_peer(peer, request).await
            }
        }
    }

    /// Sends a request to a peer, again with the same id after a lost connection, as the peer runs
    /// each id only once.
    async fn send_to_peer(&self, peer: &Rc<Peer>, mut request: ForwardedRequest) -> RequestOutcome {
        let incarnation = peer.incarnation();
        let id = request.id;
        loop {
            // Arrives before the request, in case the peer has not learned of a crash yet.
            peer.send_crashes(&self.node.suspects.reports_on(&request));
            request.remaining_ms = millis(self.remaining());
            request.sent_ms = BootClock.now().as_millis();
            let frame = Frame::Request(Box::new(request.clone()));
            let outcome = peer.request(id, &frame).await;
            if !matches!(outcome, RequestOutcome::Lost(LossCause::LinkLost)) {
                return outcome;
            }
            if !self.await_reconnect(peer, incarnation).await {
                return outcome;
            }
        }
    }

    /// Waits for the connection to reopen; returns whether it leads to the same incarnation in
    /// time.
    async fn await_reconnect(&self, peer: &Rc<Peer>, incarnation: u64) -> bool {
        let timeout = if self.route.idempotent {
            RECONNECT_TIMEOUT_IDEMPOTENT
        } else {
            RECONNECT_TIMEOUT
        };
        let until = BootClock.now() + timeout;
        while BootClock.now() < until {
            if peer.is_connected() {
                return peer.incarnation() == incarnation;
            }
            tokio::time::sleep(REROUTE_INTERVAL).await;
        }
        false
    }

    /// Handles the outcome of a send; returns `None` if another back end is to be tried.
    async fn on_outcome(
        &mut self,
        machine: &MachineName,
        destination: &Destination,
        outcome: RequestOutcome,
        final_pass: bool,
    ) -> Option<Completion> {
        match outcome {
            RequestOutcome::Response(response) => {
                let failed = response.status >= 500;
                self.record_result(destination, failed);
                self.attempted.push(machine.clone());
                self.maybe_executed = true;
                if failed && self.may_retry() {
                    self.fallback_response = Some(response);
                    return None;
                }
                self.node.metrics.on_send("answered");
                Some(self.complete_with(*response))
            }
            RequestOutcome::NotRun { reason, retry_ms } => {
                self.node.metrics.on_send("not-run");
                self.on_not_run(machine, destination, reason, retry_ms, final_pass)
                    .await
            }
            RequestOutcome::Lost(loss) => {
                self.node.metrics.on_send("lost");
                self.record_result(destination, true);
                self.maybe_executed = true;
                self.attempted.push(machine.clone());
                log::warn!(event = "send-lost", id = self.id_text(), machine = machine.as_str(), loss:? = loss; "");
                if self.may_retry() {
                    return None;
                }
                Some(self.give_up())
            }
        }
    }

    fn id_text(&self) -> &str {
        std::str::from_utf8(&self.template.request_id).unwrap_or("?")
    }

    async fn on_not_run(
        &mut self,
        machine: &MachineName,
        destination: &Destination,
        reason: RejectReason,
        retry_ms: u32,
        final_pass: bool,
    ) -> Option<Completion> {
        log::info!(event = "not-run", id = self.id_text(), machine = machine.as_str(), reason:? = reason, retry_ms; "");
        match reason {
            RejectReason::Blocked => {
                let remaining = Duration::from_millis(u64::from(retry_ms));
                Some(self.quarantined(remaining))
            }
            RejectReason::Full | RejectReason::Delayed | RejectReason::Isolated => {
                self.on_rejection(machine, retry_ms, final_pass)
            }
            RejectReason::NoBackEnd | RejectReason::Unreachable
                if self.keyed_assignment().is_none() =>
            {
                self.on_rejection(machine, retry_ms, final_pass)
            }
            RejectReason::Expired => self.on_rejection(machine, retry_ms, true),
            RejectReason::BackEndRefused => {
                self.record_result(destination, true);
                self.rejections.push((machine.clone(), retry_ms));
                self.attempted.push(machine.clone());
                if self.may_retry() {
                    None
                } else {
                    Some(self.give_up())
                }
            }
            RejectReason::TurnedAway => {
                let is_keyed = self.keyed_assignment().is_some();
                // A back end has received it, so that sending it again is a retry.
                let is_final = (final_pass && !is_keyed) || !self.take_retry();
                if is_final || !is_keyed {
                    return self.on_rejection(machine, retry_ms, is_final);
                }
                self.on_not_holder(destination).await
            }
            RejectReason::NotHolder => self.on_not_holder(destination).await,
            RejectReason::NoBackEnd | RejectReason::Unreachable => {
                self.await_assignment_change().await;
                self.check_handover_timeout()
            }
        }
    }

    /// Waits for the key to be assigned anew after its owner did not hold it.
    async fn on_not_holder(&mut self, destination: &Destination) -> Option<Completion> {
        if let Destination::Peer(peer) = destination {
            self.request_assignments(peer);
        }
        self.await_assignment_change().await;
        self.check_handover_timeout()
    }

    /// Records that a machine rejected the request; gives up if the rejection is final.
    fn on_rejection(
        &mut self,
        machine: &MachineName,
        retry_ms: u32,
        is_final: bool,
    ) -> Option<Completion> {
        self.rejections.push((machine.clone(), retry_ms));
        is_final.then(|| self.give_up())
    }

    /// Waits until the assignment changes, at most for [`SAME_OWNER_BACKOFF`].
    async fn await_assignment_change(&self) {
        let revision = || self.node.assignment(&self.service).map(|a| a.revision);
        let initial = revision();
        let until = BootClock.now() + SAME_OWNER_BACKOFF;
        while BootClock.now() < until && revision() == initial {
            tokio::time::sleep(REROUTE_INTERVAL).await;
        }
    }

    /// Requests the assignments from the peer, once per request and only when a change should have
    /// arrived by now.
    fn request_assignments(&mut self, peer: &Peer) {
        let since = *self.not_holder_since.get_or_insert_with(|| BootClock.now());
        if !self.assignments_requested && BootClock.now().since(since) > ASSIGNMENT_PROPAGATION_TIME
        {
            self.assignments_requested = true;
            peer.send(&self.node.assignment_request());
        }
    }

    /// Gives up on a keyed request once its share of the timeout for a handover has passed.
    fn check_handover_timeout(&mut self) -> Option<Completion> {
        let total = self.route.timeout.as_secs_f64();
        let spent = total - self.remaining().as_secs_f64();
        (spent > total * HANDOVER_TIMEOUT_RATIO).then(|| self.give_up())
    }

    fn record_result(&self, destination: &Destination, failed: bool) {
        match destination {
            Destination::Local => self.node.local_failures.record(failed),
            Destination::Peer(peer) => peer.failure_rate().record(failed),
        }
    }

    /// Returns whether the request may go to one more back end, and spends retry budget on it if
    /// so.
    fn may_retry(&mut self) -> bool {
        let below_limit = self.attempted.len() < usize::from(self.route.max_attempts);
        let allowed = self.route.idempotent || !self.maybe_executed;
        if !below_limit || !allowed || self.remaining() < Duration::from_millis(20) {
            return false;
        }
        self.keyed_assignment().is_none() && self.take_retry()
    }

    /// Spends retry budget on one more send to a back end; returns false if it is exhausted.
    fn take_retry(&self) -> bool {
        let now = BootClock.now();
        let granted = self.node.with_retry_budget(&self.service, |b| b.take(now));
        if granted {
            self.node.metrics.on_retry();
        }
        granted
    }

    fn complete_with(&self, response: ForwardedResponse) -> Completion {
        Completion {
            response: Response {
                status: response.status,
                headers: unpack_headers(response.headers),
                body: response.body,
            },
            outcome: "answered",
        }
    }

    /// Returns the final response when no other back end is tried: the last server error, 502 if
    /// the request may have run, otherwise 503.
    fn give_up(&mut self) -> Completion {
        if let Some(response) = self.fallback_response.take() {
            return self.complete_with(*response);
        }
        let id = &self.template.request_id;
        if self.maybe_executed {
            return Completion {
                response: message::error_response(502, id, None),
                outcome: "lost",
            };
        }
        let min_retry_ms = self.rejections.iter().map(|(_, ms)| *ms).min();
        let suggested = min_retry_ms.map_or(OUTAGE_RETRY_AFTER, |ms| {
            Duration::from_millis(u64::from(ms))
        });
        let retry_after = suggested.max(self.remaining().mul_f64(MIN_RETRY_AFTER_RATIO));
        let jitter = rand::rng().random_range(0.7..1.4);
        Completion {
            response: message::error_response(503, id, Some(retry_after.mul_f64(jitter))),
            outcome: if min_retry_ms.is_some() {
                "no-room"
            } else {
                "no-back-end"
            },
        }
    }

    /// Returns the final response when the request is blocked for `remaining`, as it has crashed too
    /// many back ends.
    fn quarantined(&mut self, remaining: Duration) -> Completion {
        if self.maybe_executed {
            return self.give_up();
        }
        Completion {
            response: message::error_response(503, &self.template.request_id, Some(remaining)),
            outcome: "quarantined",
        }
    }

    /// Returns the final response when the deadline has passed or the process aborts its requests.
    fn time_out(&mut self) -> Completion {
        if let Some(response) = self.fallback_response.take() {
            return self.complete_with(*response);
        }
        Completion {
            response: message::error_response(504, &self.template.request_id, None),
            outcome: "timed-out",
        }
    }
}
