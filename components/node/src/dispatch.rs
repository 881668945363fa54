//! What happens to one request of a caller.

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
use crate::draws::EvenDraws;
use crate::frame::{
    ForwardedRequest, ForwardedResponse, Frame, LoadReport, LossCause, NodeStatus, RejectReason,
    RequestOutcome, pack_fields, unpack_fields,
};
use crate::link::Peer;
use crate::node::{ActiveConfig, Node};

/// Wait of a caller that states none.
const USUAL_PATIENCE: Duration = Duration::from_secs(30);
/// Wait that callers are told while nothing can be served.
const OUTAGE_RETRY: Duration = Duration::from_millis(500);
/// Time until a stopped process is expected back.
const RESTART_RETRY: Duration = Duration::from_millis(1_000);
/// Part of its remaining time after which a refused caller comes back at the earliest, so that it
/// meets another state of the queue.
const RETRY_PART: f64 = 0.2;
/// Pause before a request without a usable back end is looked at again.
const REROUTE_PAUSE: Duration = Duration::from_millis(25);
/// Pause before a machine that does not hold a key is asked again though it still owns it.
const SAME_OWNER_PAUSE: Duration = Duration::from_millis(200);
/// Part of a caller's patience for which a request waits for a usable back end.
const REROUTE_PART: f64 = 0.25;
/// The same while its key changes hands.
const HANDOVER_PART: f64 = 0.5;
/// Time that a request and its answer spend between the caller and this process.
const CALLER_TRAVEL: Duration = Duration::from_millis(20);
/// Part of the remaining time that a caller who was refused before may wait for a slot.
const RETURNED_PART: f64 = 0.5;
/// Rank of requests that others wait for: they are refused only if they cannot end in time at all.
const MOST_URGENT: u8 = 0;
/// Part of the remaining time for which such a request may wait for a slot and run.
const URGENT_PART: f64 = 0.9;
/// Time in which a changed assignment reaches every machine that is connected.
const NEWS_TIME: Duration = Duration::from_millis(200);
/// Time for a lost connection to come back before the request counts as lost.
const RELINK_TIME: Duration = Duration::from_millis(900);
/// The same for a request that can be sent elsewhere.
const RELINK_TIME_IDEMPOTENT: Duration = Duration::from_millis(120);
/// Part of the latency target that may pass at a back end while others may have room.
const FIRST_TARGET_PART: f64 = 0.75;
/// Part of the time to the target for which frames may queue on the way to a back end.
const DELAY_PART: f64 = 0.5;
/// A back end that a request can go to.
#[derive(Clone)]
enum Place {
    Here,
    There(Rc<Peer>),
}

/// One request on its way.
struct Journey<'a> {
    node: &'a Rc<Node>,
    route: &'a Route,
    service: ServiceName,
    template: ForwardedRequest,
    deadline: BootInstant,
    /// How long the caller waits in all.
    patience: Duration,
    /// Back ends that may have run the request.
    tried: SmallVec<[MachineName; 2]>,
    /// Back ends that refused it, and the wait that they told.
    refused: SmallVec<[(MachineName, u32); 4]>,
    /// Whether a back end may have run it.
    doubt: bool,
    /// Whether the caller seems to have been refused before.
    returned: bool,
    /// The last answer of a back end that was not good enough to be final.
    spare: Option<Box<ForwardedResponse>>,
    machine: Option<MachineName>,
    /// Whether it has been said that there is no back end to try.
    stranded: bool,
    /// When a machine first said that it does not hold the key.
    bounced: Option<BootInstant>,
    /// Whether the assignment has been asked for.
    asked: bool,
}

/// The end of a request, with a word for logs.
struct End {
    response: Response,
    outcome: &'static str,
}

/// Counts a request as open while it lives.
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

/// Handles a request and returns its final answer.
pub async fn handle(
    node: Rc<Node>,
    draws: Rc<EvenDraws>,
    request: Request,
    received: BootInstant,
) -> Response {
    let _open = OpenRequest::new(&node);
    let incoming = message::decode_metadata(&request);
    let id = incoming.id.clone();
    if node.is_closing() {
        node.metrics.on_request("stopping", Duration::ZERO);
        return message::error_response(503, &id, Some(RESTART_RETRY));
    }
    let Some(active_config) = node.active_config() else {
        node.metrics.on_request("no-configuration", Duration::ZERO);
        return message::error_response(503, &id, Some(OUTAGE_RETRY));
    };
    let catalog = Rc::clone(&active_config.catalog);
    let Some(route) = catalog.route(&incoming.host, request.path()) else {
        node.metrics.on_request("no-route", Duration::ZERO);
        log_end(
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
    let Some(service) = route.pick_service(draws.next()).cloned() else {
        return message::error_response(404, &id, None);
    };
    let patience = incoming.timeout.unwrap_or(USUAL_PATIENCE);
    let deadline = received + patience.min(route.timeout);
    node.with_budget(&service, |b| b.on_request(received));
    let mut journey = Journey {
        node: &node,
        route,
        template: template(&node, &service, route, request, incoming),
        returned: node.patience.has_returned(route, patience),
        service,
        deadline,
        patience,
        tried: SmallVec::new(),
        refused: SmallVec::new(),
        doubt: false,
        spare: None,
        machine: None,
        stranded: false,
        bounced: None,
        asked: false,
    };
    let left = deadline.since(BootClock.now());
    let ended = tokio::select! {
        end = journey.run() => Some(end),
        () = tokio::time::sleep(left) => None,
        () = node.last_call.notified() => None,
    };
    let end = ended.unwrap_or_else(|| journey.time_out());
    node.metrics
        .on_request(end.outcome, BootClock.now().since(received));
    log_end(
        &node,
        &id,
        journey.machine.as_ref(),
        end.response.status,
        end.outcome,
        received,
        &active_config,
        journey.tried.len(),
    );
    end.response
}

#[allow(clippy::too_many_arguments)]
fn log_end(
    node: &Node,
    id: &Bytes,
    machine: Option<&MachineName>,
    status: u16,
    outcome: &str,
    received: BootInstant,
    active_config: &ActiveConfig,
    tried: usize,
) {
    let ms = BootClock.now().since(received).as_millis() as u64;
    log::info!(
        event = "request",
        id = std::str::from_utf8(id).unwrap_or("?"),
        machine = machine.map_or("-", |m| m.as_str()),
        status,
        outcome,
        ms,
        tried,
        version = active_config.catalog.version,
        stopping = node.is_stopping();
        ""
    );
}

fn template(
    node: &Node,
    service: &ServiceName,
    route: &Route,
    request: Request,
    incoming: RequestMetadata,
) -> ForwardedRequest {
    let mut headers = request.headers;
    message::strip_headers(&mut headers);
    // The back end waits for the calls of a request that it runs, so they go before new work.
    let nested = incoming
        .parent
        .as_ref()
        .is_some_and(|id| node.proxy.runs(id));
    let class = xxh3::xxh3_64(route.name.as_bytes()) as u32;
    ForwardedRequest {
        id: 0,
        service: service.clone(),
        method: request.method,
        target: request.target,
        headers: pack_fields(&headers),
        body: request.body,
        request_id: incoming.id,
        sent_ms: 0,
        patience_ms: 0,
        late: false,
        target_ms: 0,
        idempotent: route.idempotent,
        priority: if nested { MOST_URGENT } else { route.priority },
        class,
        key: incoming.key,
        caller: node.service(),
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl Journey<'_> {
    fn left(&self) -> Duration {
        self.deadline.since(BootClock.now())
    }

    async fn run(&mut self) -> End {
        let patience = self.left();
        let reroute_until = BootClock.now() + patience.mul_f64(REROUTE_PART);
        let mut patient = false;
        loop {
            let Some((machine, place)) = self.pick(patient) else {
                if !self.refused.is_empty() && !patient {
                    patient = true;
                    continue;
                }
                self.log_no_place();
                if self.refused.is_empty() && BootClock.now() < reroute_until {
                    tokio::time::sleep(REROUTE_PAUSE).await;
                    continue;
                }
                return self.give_up();
            };
            self.machine = Some(machine.clone());
            let outcome = self.send(&place, patient).await;
            if let Some(end) = self.judge(&machine, &place, outcome, patient).await {
                return end;
            }
        }
    }

    /// Says once why there is no back end to try.
    fn log_no_place(&mut self) {
        if std::mem::replace(&mut self.stranded, true) {
            return;
        }
        let view = self.keyed_view().flatten();
        let range = view
            .as_ref()
            .zip(self.template.key)
            .and_then(|(v, key)| v.value.range(key));
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
            revision = view.as_ref().map_or(0, |v| v.revision),
            refused = self.refused.len();
            ""
        );
    }

    /// The back end to try next, if there is one.
    fn pick(&self, patient: bool) -> Option<(MachineName, Place)> {
        if let Some(view) = self.keyed_view() {
            let view = view?;
            let key = self.template.key?;
            let machine = view.value.range(key)?.machine.clone();
            return self.keyed_place(machine, patient);
        }
        let places = self.places(patient);
        let candidates: SmallVec<[Candidate; 16]> = places.iter().map(|p| p.2).collect();
        let mut rng = rand::rng();
        let index = choose(&candidates, || rng.random())?;
        let (machine, place, _) = places.into_iter().nth(index)?;
        Some((machine, place))
    }

    /// For a keyed service the assignment, if it is known.
    #[allow(clippy::option_option)]
    fn keyed_view(
        &self,
    ) -> Option<Option<Rc<shards::manager::Versioned<shards::assignment::Assignment>>>> {
        let keyed = self
            .node
            .active_config()
            .is_some_and(|c| c.catalog.is_keyed(&self.service));
        keyed.then(|| self.node.view(&self.service))
    }

    fn keyed_place(&self, machine: MachineName, patient: bool) -> Option<(MachineName, Place)> {
        if !patient && self.refused.iter().any(|(m, _)| *m == machine) {
            return None;
        }
        if machine == self.node.settings.machine {
            self.node.proxy.ready_for(&self.service)?;
            return Some((machine, Place::Here));
        }
        let peer = self.node.peer(&machine)?;
        let usable = peer.is_connected() && peer.with_member(|m| m.back_end.is_some())?;
        usable.then_some((machine, Place::There(peer)))
    }

    /// Back ends of the service that have not run the request.
    fn places(&self, patient: bool) -> Vec<(MachineName, Place, Candidate)> {
        let now = BootClock.now();
        let mut places = Vec::new();
        let usable = |m: &MachineName| {
            !self.tried.contains(m) && (patient || !self.refused.iter().any(|(r, _)| r == m))
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
                failure_rate: self.node.own_failures.get(),
                cold: b.cold_until > now,
            };
            places.push((own.clone(), Place::Here, candidate));
        }
        for peer in self.node.peers() {
            if !peer.is_connected() || !usable(&peer.machine) {
                continue;
            }
            let candidate = peer.with_member(|m| {
                let back_end = m.back_end.as_ref()?;
                if m.service != self.service || m.leaving {
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
                    None => (idle, Duration::from_secs(60)),
                };
                let (distance, queueing_delay) = self.way_to(m);
                if self.is_delayed(patient, distance, queueing_delay) {
                    return None;
                }
                Some(Candidate {
                    distance,
                    queueing_delay,
                    load: load.into(),
                    report_age,
                    in_flight: u32::try_from(peer.unanswered()).unwrap_or(u32::MAX),
                    failure_rate: peer.failures().get(),
                    cold: back_end.cold,
                })
            });
            if let Some(candidate) = candidate.flatten() {
                places.push((peer.machine.clone(), Place::There(peer), candidate));
            }
        }
        places
    }

    /// Whether the way there is too full for an answer in time.
    fn is_delayed(&self, patient: bool, distance: Distance, delay: Duration) -> bool {
        let target = self.target(patient, distance, Duration::ZERO);
        delay > target.mul_f64(DELAY_PART)
    }

    /// Time within which the answer should be ready at a machine that far away, if frames queue on
    /// the way for `delay`.
    ///
    /// A longer queue would not serve more requests, only all of them late.
    fn target(&self, patient: bool, distance: Distance, delay: Duration) -> Duration {
        if self.template.priority == MOST_URGENT {
            return self.left().mul_f64(URGENT_PART).saturating_sub(delay);
        }
        if self.returned {
            return self.left().mul_f64(RETURNED_PART).saturating_sub(delay);
        }
        let spent = self
            .route
            .timeout
            .min(self.patience)
            .saturating_sub(self.left());
        let left = self
            .route
            .latency_target
            .saturating_sub(spent + CALLER_TRAVEL + distance.round_trip() + delay);
        let part = if patient { 1.0 } else { FIRST_TARGET_PART };
        left.mul_f64(part)
    }

    /// How far a place is away, and how long frames queue on the way.
    fn way(&self, place: &Place) -> (Distance, Duration) {
        let Place::There(peer) = place else {
            return (Distance::Local, Duration::ZERO);
        };
        let known = peer.with_member(|m| self.way_to(m));
        known.unwrap_or((Distance::Remote, Duration::ZERO))
    }

    fn way_to(&self, member: &NodeStatus) -> (Distance, Duration) {
        let distance = self.node.distance(member);
        (distance, self.node.link_delay(&member.region))
    }

    async fn send(&self, place: &Place, patient: bool) -> RequestOutcome {
        let (distance, delay) = self.way(place);
        if self.is_delayed(patient, distance, delay) {
            let reason = RejectReason::Delayed;
            let retry_ms = millis(delay);
            return RequestOutcome::NotRun { reason, retry_ms };
        }
        let mut request = self.template.clone();
        request.patience_ms = millis(self.left());
        request.late = self.returned;
        request.target_ms = millis(self.target(patient, distance, delay));
        match place {
            Place::Here => back_end_proxy::submit(self.node, Rc::new(request)).await,
            Place::There(peer) => {
                request.id = peer.next_id();
                self.send_there(peer, request).await
            }
        }
    }

    /// Sends to another machine; after a lost connection it asks again under the same number.
    async fn send_there(&self, peer: &Rc<Peer>, mut request: ForwardedRequest) -> RequestOutcome {
        let incarnation = peer.incarnation();
        let id = request.id;
        loop {
            request.patience_ms = millis(self.left());
            request.sent_ms = BootClock.now().as_millis();
            let frame = Frame::Request(Box::new(request.clone()));
            let outcome = peer.request(id, &frame).await;
            if !matches!(outcome, RequestOutcome::Lost(LossCause::LinkLost)) {
                return outcome;
            }
            if !self.relinked(peer, incarnation).await {
                return outcome;
            }
        }
    }

    /// Waits until the connection to the same process is open again.
    async fn relinked(&self, peer: &Rc<Peer>, incarnation: u64) -> bool {
        let limit = if self.route.idempotent {
            RELINK_TIME_IDEMPOTENT
        } else {
            RELINK_TIME
        };
        let until = BootClock.now() + limit;
        while BootClock.now() < until {
            if peer.is_connected() {
                return peer.incarnation() == incarnation;
            }
            tokio::time::sleep(REROUTE_PAUSE).await;
        }
        false
    }

    /// Decides what follows from an outcome; nothing if another back end is to be tried.
    async fn judge(
        &mut self,
        machine: &MachineName,
        place: &Place,
        outcome: RequestOutcome,
        patient: bool,
    ) -> Option<End> {
        match outcome {
            RequestOutcome::Response(response) => {
                let failed = response.status >= 500;
                self.count_result(place, failed);
                self.tried.push(machine.clone());
                self.doubt = true;
                if failed && self.may_retry() {
                    self.spare = Some(response);
                    return None;
                }
                self.node.metrics.on_sent("answered");
                Some(self.deliver(*response))
            }
            RequestOutcome::NotRun { reason, retry_ms } => {
                self.node.metrics.on_sent("not-run");
                self.on_not_run(machine, place, reason, retry_ms, patient)
                    .await
            }
            RequestOutcome::Lost(loss) => {
                self.node.metrics.on_sent("lost");
                self.count_result(place, true);
                self.doubt = true;
                self.tried.push(machine.clone());
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
        place: &Place,
        reason: RejectReason,
        retry_ms: u32,
        patient: bool,
    ) -> Option<End> {
        log::info!(event = "not-run", id = self.id_text(), machine = machine.as_str(), reason:? = reason, retry_ms; "");
        match reason {
            RejectReason::Full | RejectReason::Delayed => {
                self.on_refusal(machine, retry_ms, patient)
            }
            RejectReason::NoBackEnd | RejectReason::Unreachable if self.keyed_view().is_none() => {
                self.on_refusal(machine, retry_ms, patient)
            }
            RejectReason::Expired => self.on_refusal(machine, retry_ms, true),
            RejectReason::BackEndRefused => {
                self.count_result(place, true);
                self.refused.push((machine.clone(), retry_ms));
                self.tried.push(machine.clone());
                if self.may_retry() {
                    None
                } else {
                    Some(self.give_up())
                }
            }
            RejectReason::NotHolder | RejectReason::NoBackEnd | RejectReason::Unreachable => {
                if let (RejectReason::NotHolder, Place::There(peer)) = (reason, place) {
                    self.ask_assignments(peer);
                }
                self.await_assignment().await;
                self.check_patience()
            }
        }
    }

    /// Takes in that a back end does not take the request; gives up if that is final.
    fn on_refusal(&mut self, machine: &MachineName, retry_ms: u32, last: bool) -> Option<End> {
        self.refused.push((machine.clone(), retry_ms));
        last.then(|| self.give_up())
    }

    /// Waits until the assignment changes, or for as long as it is worth asking the same machine
    /// again without a change.
    async fn await_assignment(&self) {
        let revision = || self.node.view(&self.service).map(|v| v.revision);
        let known = revision();
        let until = BootClock.now() + SAME_OWNER_PAUSE;
        while BootClock.now() < until && revision() == known {
            tokio::time::sleep(REROUTE_PAUSE).await;
        }
    }

    /// Asks once for the assignment if news of it should have come by now.
    fn ask_assignments(&mut self, peer: &Peer) {
        let since = *self.bounced.get_or_insert_with(|| BootClock.now());
        if !self.asked && BootClock.now().since(since) > NEWS_TIME {
            self.asked = true;
            peer.send(&self.node.assignment_question());
        }
    }

    /// Gives up on a keyed request whose key has had no holder for too long.
    fn check_patience(&mut self) -> Option<End> {
        let total = self.route.timeout.as_secs_f64();
        let spent = total - self.left().as_secs_f64();
        (spent > total * HANDOVER_PART).then(|| self.give_up())
    }

    fn count_result(&self, place: &Place, failed: bool) {
        match place {
            Place::Here => self.node.own_failures.record(failed),
            Place::There(peer) => peer.failures().record(failed),
        }
    }

    /// Whether the request may go to one more back end; takes the retry out of the budget.
    fn may_retry(&mut self) -> bool {
        let distinct = self.tried.len() < usize::from(self.route.max_attempts);
        let allowed = self.route.idempotent || !self.doubt;
        if !distinct || !allowed || self.left() < Duration::from_millis(20) {
            return false;
        }
        if self.keyed_view().is_some() {
            return false;
        }
        let now = BootClock.now();
        let granted = self.node.with_budget(&self.service, |b| b.take(now));
        if granted {
            self.node.metrics.on_retry();
        }
        granted
    }

    fn deliver(&self, response: ForwardedResponse) -> End {
        End {
            response: Response {
                status: response.status,
                headers: unpack_fields(response.headers),
                body: response.body,
            },
            outcome: "answered",
        }
    }

    /// The final answer of a request that no back end can serve.
    fn give_up(&mut self) -> End {
        if let Some(response) = self.spare.take() {
            return self.deliver(*response);
        }
        let id = &self.template.request_id;
        if self.doubt {
            return End {
                response: message::error_response(502, id, None),
                outcome: "lost",
            };
        }
        let soonest = self.refused.iter().map(|(_, ms)| *ms).min();
        let told = soonest.map_or(OUTAGE_RETRY, |ms| Duration::from_millis(u64::from(ms)));
        let wait = told.max(self.left().mul_f64(RETRY_PART));
        let spread = rand::rng().random_range(0.7..1.4);
        End {
            response: message::error_response(503, id, Some(wait.mul_f64(spread))),
            outcome: if soonest.is_some() {
                "no-room"
            } else {
                "no-back-end"
            },
        }
    }

    fn time_out(&mut self) -> End {
        if let Some(response) = self.spare.take() {
            return self.deliver(*response);
        }
        End {
            response: message::error_response(504, &self.template.request_id, None),
            outcome: "timed-out",
        }
    }
}
