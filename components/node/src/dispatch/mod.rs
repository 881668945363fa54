//! Dispatches a caller's request to a back end and returns its final response.
//!
//! A request that may have run goes to another back end only if its route is idempotent. Every
//! request gets its final response by its deadline.
//!
//! A request with a shard key goes to the machine that owns the key according to the assignment.
//! The owner runs it only while its back end holds the key, that is, while its grant is in force.

mod arrival;
mod completion;
mod homes;
mod outcome;
mod selection;
mod sending;
mod trial;

use std::rc::Rc;
use std::time::Duration;

use admission::rank::Rank;
use balance::search::{Search, SearchLimit};
use catalog::Route;
use http1::request::Request;
use http1::response::Response;
use platform::message::{self, RequestMetadata};
use shards::incarnation::BackEndIncarnation;
use smallvec::SmallVec;
use timer::{BootClock, Clock};
use world::instant::BootInstant;
use world::name::{MachineName, ServiceName};
use xxhash_rust::xxh3;

use self::arrival::{Arrival, Attempts};
use crate::denial::{self, Denial};
use crate::frame::{ForwardedRequest, ForwardedResponse, RequestOutcome, pack_headers};
use crate::low_discrepancy::LowDiscrepancySequence;
use crate::node::Node;
use crate::peer::Peer;
use crate::{call_rank, leaving, suspects};

/// Timeout of a request without a `Deadline-Ms` header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// `Retry-After` of responses while no request can be served.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` of responses while the process stops: the time until it is expected to run again.
const RESTART_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Interval between two checks for a usable back end, a reconnect or a changed assignment.
const REROUTE_INTERVAL: Duration = Duration::from_millis(25);
/// Share of the remaining time for which a request waits for a usable back end.
const REROUTE_TIMEOUT_RATIO: f64 = 0.25;

/// The back end that a request is sent to.
#[derive(Clone)]
enum Destination {
    Local,
    Peer(Rc<Peer>),
}

impl Destination {
    /// Returns the back end of a peer as its status names it; `None` for the local one, of which the
    /// proxy knows.
    fn back_end(&self) -> Option<BackEndIncarnation> {
        let Self::Peer(peer) = self else { return None };
        let back_end = peer.with_status(|s| s.back_end.as_ref().map(|b| b.incarnation.clone()));
        back_end.flatten()
    }
}

/// A route as one version of the configuration has it.
struct ConfiguredRoute<'a> {
    route: &'a Route,
    version: u64,
}

/// State of the dispatch of one request.
struct RequestDispatch<'a> {
    node: &'a Rc<Node>,
    route: &'a Route,
    /// Version of the configuration that has the route.
    version: u64,
    service: ServiceName,
    /// The request to forward; each send sets its own id and times in a copy.
    template: ForwardedRequest,
    /// Whether a request that the local back end runs waits for it; it is rejected only if it cannot
    /// meet its deadline.
    is_call: bool,
    deadline: BootInstant,
    /// Until when it waits for a usable back end, or for the end of a copy of it.
    reroute_until: BootInstant,
    /// The caller's timeout when the request arrived.
    timeout: Duration,
    /// Machines to which the request was sent and is not sent again, as they may have run it or
    /// their back end rejected it.
    attempted: SmallVec<[MachineName; 2]>,
    /// Machines that rejected it, with their suggested time before a retry in milliseconds.
    rejections: SmallVec<[(MachineName, u32); 4]>,
    /// How many back ends without room it may still be offered to in the first pass.
    search: Search,
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
pub(crate) struct Completion {
    pub(crate) response: Response,
    pub(crate) outcome: &'static str,
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
    let incoming = message::decode_metadata(&request);
    let arrival = Arrival {
        node: &node,
        id: incoming.id.clone(),
        received,
    };
    if node.is_closing() {
        let version = node.configuration_version();
        return arrival.refuse("stopping", RESTART_RETRY_AFTER, version);
    }
    let timeout = incoming.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let patience = timeout.mul_f64(REROUTE_TIMEOUT_RATIO);
    let found = denial::find_route(&node, &incoming.host, request.path(), patience).await;
    let Some((config, route)) = found else {
        return arrival.refuse("no-configuration", OUTAGE_RETRY_AFTER, 0);
    };
    let version = config.catalog.version;
    let Some(route) = route else {
        let completion = denial::respond(&node, &arrival.id, Denial::NoRoute, version);
        return arrival.finish(completion, version, &Attempts::default());
    };
    if request.body_discarded {
        // No route matched while its body arrived.
        return arrival.refuse("stale-configuration", OUTAGE_RETRY_AFTER, version);
    }
    let Some(service) = route.pick_service(samples.next()).cloned() else {
        // The request is proper, so that it is served once the operator gives its route a service.
        return arrival.refuse("no-target", OUTAGE_RETRY_AFTER, version);
    };
    if incoming.parent.is_none() {
        // The calls of back ends do not raise the number of retries allowed.
        node.with_retry_budget(&service, |b| b.on_request(received));
    }
    let deadline = received + timeout.min(route.timeout);
    // A request that the back end runs waits for this one.
    let parent = incoming.parent.as_ref();
    let parent = parent.and_then(|id| node.proxy.running_request(id));
    let rank = call_rank::assign(&config.catalog, &route, parent.as_deref());
    let is_call = parent.is_some();
    drop(parent);
    let template = request_template(&node, &service, &route, request, incoming, rank);
    let configured = ConfiguredRoute {
        route: &route,
        version,
    };
    let mut dispatch =
        RequestDispatch::new(&node, configured, template, is_call, deadline, timeout);
    let completion = dispatch.run_to_end().await;
    let attempts = Attempts {
        last_machine: dispatch.machine.as_ref(),
        tried: dispatch.attempted.len(),
    };
    arrival.finish(completion, version, &attempts)
}

/// Builds the request to forward, with its id and times still 0.
fn request_template(
    node: &Node,
    service: &ServiceName,
    route: &Route,
    request: Request,
    incoming: RequestMetadata,
    rank: Rank,
) -> ForwardedRequest {
    let mut headers = request.headers;
    message::strip_headers(&mut headers);
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
        priority: rank.encode(),
        class,
        key: incoming.key,
        caller: node.service(),
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl<'a> RequestDispatch<'a> {
    fn new(
        node: &'a Rc<Node>,
        ConfiguredRoute { route, version }: ConfiguredRoute<'a>,
        template: ForwardedRequest,
        is_call: bool,
        deadline: BootInstant,
        timeout: Duration,
    ) -> Self {
        let now = BootClock.now();
        let search_limit = if is_call {
            SearchLimit::NESTED
        } else {
            SearchLimit::CALLER
        };
        Self {
            node,
            route,
            service: template.service.clone(),
            version,
            template,
            is_call,
            search: Search::new(search_limit),
            is_retry: node.retry_detector.is_retry(route, timeout),
            deadline,
            reroute_until: now + deadline.since(now).mul_f64(REROUTE_TIMEOUT_RATIO),
            timeout,
            attempted: SmallVec::new(),
            rejections: SmallVec::new(),
            maybe_executed: false,
            fallback_response: None,
            machine: None,
            no_destination_logged: false,
            not_holder_since: None,
            assignments_requested: false,
        }
    }

    /// Returns the final response, at the deadline or when the process aborts its requests at the latest.
    async fn run_to_end(&mut self) -> Completion {
        let node = self.node;
        let remaining = self.remaining();
        let ended = tokio::select! {
            completion = self.run() => Some(completion),
            () = tokio::time::sleep(remaining) => None,
            () = node.abort_requests.notified() => None,
        };
        ended.unwrap_or_else(|| self.time_out())
    }

    fn remaining(&self) -> Duration {
        self.deadline.since(BootClock.now())
    }

    /// Tries back ends one after another and returns the final response.
    ///
    /// The first pass asks as many as the search limit allows for a response well before the latency
    /// target; if all reject the request, the final pass tries once more with the whole target and
    /// gives up on a rejection.
    async fn run(&mut self) -> Completion {
        let mut final_pass = false;
        loop {
            if let Err(remaining) = suspects::check(self.node, &self.template) {
                return self.quarantined(remaining);
            }
            if let Some(remaining) = self.node.suspects.reports_due_in(&self.template) {
                tokio::time::sleep(remaining).await;
                continue;
            }
            let Some((machine, destination)) = self.select_destination(final_pass) else {
                if let Some(cause) = self.missing_home() {
                    return self.no_home(cause);
                }
                if !self.rejections.is_empty() && !final_pass {
                    final_pass = true;
                    continue;
                }
                self.log_no_destination();
                if self.rejections.is_empty() && BootClock.now() < self.reroute_until {
                    tokio::time::sleep(REROUTE_INTERVAL).await;
                    continue;
                }
                return self.give_up();
            };
            self.machine = Some(machine.clone());
            let back_end = destination.back_end();
            let outcome = self.send(&destination, final_pass).await;
            if let (Some(back_end), RequestOutcome::Response(response)) = (&back_end, &outcome) {
                let headers = response.headers.iter().map(|(name, value)| (name, value));
                leaving::on_response(self.node, back_end, headers);
            }
            if let Some(completion) = self
                .on_outcome(&machine, &destination, outcome, final_pass)
                .await
            {
                return completion;
            }
        }
    }
}
