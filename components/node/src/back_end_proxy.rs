//! Queues requests for the back end on this machine and sends them to it.
//!
//! Every request to the back end passes here; at most as many run at once as it has slots. The back
//! end holds a shard key while its grant for the key is in force; a request with a shard key runs
//! only then.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use admission::queue::{Admission, Dequeued, Job, Queue};
use bytes::{Bytes, BytesMut};
use http1::response::Response;
use platform::message::{self, BackEndRequest, ResponseCheck};
use shards::incarnation::BackEndIncarnation;
use timer::{BootClock, Clock};
use tokio::sync::oneshot;
use world::instant::BootInstant;
use world::name::ServiceName;
use world::rate::RequestRate;

use crate::back_end::{ConnectionPool, ExchangeError};
use crate::crash_watch::{self, CrashWatch};
use crate::frame::{
    ForwardedRequest, ForwardedResponse, LoadReport, LossCause, RejectReason, RequestOutcome,
    pack_headers, unpack_headers,
};
use crate::named_limit::{self, NamedLimit};
use crate::node::Node;
use crate::{leaving, suspects};

/// Time after the deadline in which the back end's own timeout response is still accepted.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Suggested time before a retry when there is no estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Share of the remaining time for which a request waits until the back end holds its key.
const HANDOVER_TIMEOUT_RATIO: f64 = 0.4;
/// Interval between two checks whether the back end holds a key.
const KEY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Lowest limit in requests per second that is reported as capacity.
const MIN_REPORTED_RATE: f64 = 0.1;
/// Time without a heartbeat or response after which a back end with in-flight requests is taken to
/// be down.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_600);

/// The back end on this machine.
#[derive(Clone, Debug)]
pub struct LocalBackEnd {
    /// Service that it offers.
    pub service: ServiceName,
    /// The run of the back end that sent the last heartbeat.
    pub incarnation: BackEndIncarnation,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Instant until which it is slow after its start.
    pub cold_until: BootInstant,
    /// Instant of its last heartbeat or response.
    pub last_contact: BootInstant,
    /// Whether it takes requests.
    pub state: Availability,
}

/// Whether a back end takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes requests.
    Ready,
    /// It shuts down and takes no new requests.
    Leaving,
    /// It cannot be reached.
    Down,
}

/// Queue of requests for the back end on this machine, and its connections.
pub struct BackEndProxy {
    queue: RefCell<Queue>,
    waiters: RefCell<HashMap<u64, oneshot::Sender<Dequeued>>>,
    next_id: Cell<u64>,
    /// Requests that the back end runs, by `Request-Id`.
    running: RefCell<HashMap<Bytes, Rc<ForwardedRequest>>>,
    /// Connections to the back end.
    pub connections: ConnectionPool,
    /// Exits of the back end, and what they interrupted.
    pub crash_watch: CrashWatch,
    /// Limit in requests a second that the back end names.
    pub named_limit: NamedLimit,
    /// The back end, once it has sent a heartbeat.
    pub back_end: RefCell<Option<LocalBackEnd>>,
    utilization: Cell<f64>,
    arrivals: Cell<u32>,
    sampled_at: Cell<BootInstant>,
}

/// Time over which the offered load is averaged.
const UTILIZATION_WINDOW: Duration = Duration::from_millis(1_200);

impl BackEndProxy {
    /// Creates the proxy of a back end that has sent no heartbeat yet.
    #[must_use]
    pub fn new(connections: ConnectionPool) -> Self {
        Self {
            queue: RefCell::new(Queue::new(0)),
            waiters: RefCell::default(),
            next_id: Cell::new(0),
            running: RefCell::default(),
            connections,
            crash_watch: CrashWatch::default(),
            named_limit: NamedLimit::default(),
            back_end: RefCell::new(None),
            utilization: Cell::new(0.0),
            arrivals: Cell::new(0),
            sampled_at: Cell::new(BootClock.now()),
        }
    }

    /// Returns the load of the back end.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let queue = self.queue.borrow();
        let service_time = queue.estimate().mean().unwrap_or_default();
        let (slots, service_time) = match self.named_limit.named() {
            Some(rate) => limited_capacity(queue.slots(), service_time, rate),
            None => (queue.slots(), service_time),
        };
        LoadReport {
            running: saturating_u32(queue.running()),
            waiting: saturating_u32(queue.waiting()),
            slots: saturating_u32(slots),
            service_us: u32::try_from(service_time.as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the offered load as a share of the capacity, as a moving average.
    ///
    /// Rejected requests count too, so it can exceed 1.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        self.utilization.get()
    }

    /// Updates the utilization from the requests that arrived since the last call.
    pub fn sample_utilization(&self, now: BootInstant) {
        let elapsed = now.since(self.sampled_at.replace(now)).as_secs_f64();
        let arrivals = f64::from(self.arrivals.replace(0));
        if elapsed <= 0.0 {
            return;
        }
        let queue = self.queue.borrow();
        let service_time = queue.estimate().mean_or_default();
        let (slots, service_time) = match self.named_limit.named() {
            Some(rate) => limited_capacity(queue.slots(), service_time, rate),
            None => (queue.slots(), service_time),
        };
        let offered = arrivals / elapsed * service_time.as_secs_f64() / slots.max(1) as f64;
        let gain = (elapsed / UTILIZATION_WINDOW.as_secs_f64()).min(1.0);
        self.utilization
            .set(self.utilization.get() + gain * (offered - self.utilization.get()));
    }

    /// Returns whether the back end runs the request with this `Request-Id`.
    #[must_use]
    pub fn is_running(&self, id: &Bytes) -> bool {
        self.running.borrow().contains_key(id)
    }

    /// Returns the requests that the back end runs.
    #[must_use]
    pub fn running(&self) -> Vec<Rc<ForwardedRequest>> {
        self.running.borrow().values().cloned().collect()
    }

    /// Returns whether no request runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let queue = self.queue.borrow();
        queue.running() == 0 && queue.waiting() == 0
    }

    /// Records the state from a heartbeat; a new incarnation resets the estimate of service times.
    pub fn set_back_end(&self, back_end: LocalBackEnd) {
        let mut queue = self.queue.borrow_mut();
        let same_incarnation = self
            .back_end
            .borrow()
            .as_ref()
            .is_some_and(|b| b.incarnation == back_end.incarnation);
        if !same_incarnation {
            queue.reset_estimate();
        }
        queue.set_slots(back_end.slots as usize);
        drop(queue);
        self.named_limit.on_heartbeat(&back_end.incarnation);
        self.apply_limit();
        *self.back_end.borrow_mut() = Some(back_end);
    }

    /// Lets as many requests start in a second as the back end's limit allows.
    pub fn apply_limit(&self) {
        let rate = self.named_limit.rate();
        self.queue.borrow_mut().set_rate(rate, BootClock.now());
    }

    /// Sets whether the back end takes requests; if not, queued requests are rejected as expired.
    pub fn set_availability(&self, availability: Availability) {
        if let Some(b) = self.back_end.borrow_mut().as_mut() {
            b.state = availability;
        }
        if availability != Availability::Ready {
            for id in self.queue.borrow_mut().clear() {
                self.notify_waiter(id, Dequeued::Expired(id));
            }
        }
    }

    /// Returns the back end if it takes requests for `service`.
    #[must_use]
    pub fn ready_for(&self, service: &ServiceName) -> Option<LocalBackEnd> {
        self.back_end
            .borrow()
            .as_ref()
            .filter(|b| b.state == Availability::Ready && b.service == *service)
            .cloned()
    }

    /// Wakes a queued request; returns whether it was still waiting.
    fn notify_waiter(&self, id: u64, dequeued: Dequeued) -> bool {
        let waiter = self.waiters.borrow_mut().remove(&id);
        waiter.is_some_and(|w| w.send(dequeued).is_ok())
    }

    /// Starts queued requests for which slots are free and rejects those that have expired.
    pub fn start_queued(&self) {
        loop {
            let next = self.queue.borrow_mut().dequeue(BootClock.now());
            match next {
                None => return,
                Some(Dequeued::Started(id)) => {
                    if !self.notify_waiter(id, Dequeued::Started(id)) {
                        // Frees the slot; without a service time the class does not matter.
                        self.queue.borrow_mut().on_finished(0, None);
                    }
                }
                Some(Dequeued::Expired(id)) => {
                    self.notify_waiter(id, Dequeued::Expired(id));
                }
            }
        }
    }

    fn retry_ms(&self, wait: Duration) -> u32 {
        millis(if wait.is_zero() {
            DEFAULT_RETRY_AFTER
        } else {
            wait
        })
    }
}

/// Returns the slots and the service time of a back end without a limit that has the capacity of one
/// that takes `rate` requests a second.
fn limited_capacity(slots: usize, service_time: Duration, rate: RequestRate) -> (usize, Duration) {
    let rate = rate.as_per_second().max(MIN_REPORTED_RATE);
    let needed = (rate * service_time.as_secs_f64()).ceil().max(1.0);
    if needed >= slots as f64 {
        return (slots, service_time);
    }
    (needed as usize, Duration::from_secs_f64(needed / rate))
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn saturating_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// A queued request; dropping it before it starts takes it out of the queue.
struct WaitGuard<'a> {
    proxy: &'a BackEndProxy,
    id: u64,
    receiver: oneshot::Receiver<Dequeued>,
    received: bool,
}

impl WaitGuard<'_> {
    async fn wait(mut self) -> Dequeued {
        let dequeued = (&mut self.receiver).await;
        self.received = true;
        dequeued.unwrap_or(Dequeued::Expired(self.id))
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.received {
            return;
        }
        self.proxy.waiters.borrow_mut().remove(&self.id);
        let was_queued = self.proxy.queue.borrow_mut().cancel(self.id);
        let started = matches!(self.receiver.try_recv(), Ok(Dequeued::Started(_)));
        if !was_queued && started {
            self.proxy.queue.borrow_mut().on_finished(0, None);
            self.proxy.start_queued();
        }
    }
}

/// Slot of a running request; dropping it frees the slot.
struct SlotGuard {
    node: Rc<Node>,
    class: u32,
    request_id: Bytes,
    started: BootInstant,
    completed: bool,
}

impl SlotGuard {
    /// Records that the back end has run the request, so that its time counts in the estimate.
    fn complete(&mut self) {
        self.completed = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let service_time = self.completed.then(|| BootClock.now().since(self.started));
        let proxy = &self.node.proxy;
        proxy.running.borrow_mut().remove(&self.request_id);
        proxy
            .queue
            .borrow_mut()
            .on_finished(self.class, service_time);
        proxy.start_queued();
    }
}

fn not_run(reason: RejectReason, retry_ms: u32) -> RequestOutcome {
    RequestOutcome::NotRun { reason, retry_ms }
}

/// Runs a request at the back end on this machine, once a slot is free.
///
/// Dropping the future cancels a queued request and aborts a running idempotent one; any other
/// running request goes on.
pub async fn submit(node: &Rc<Node>, request: Rc<ForwardedRequest>) -> RequestOutcome {
    let now = BootClock.now();
    let proxy = &node.proxy;
    let default_retry_ms = proxy.retry_ms(Duration::ZERO);
    if node.is_closing() || proxy.ready_for(&request.service).is_none() {
        return not_run(RejectReason::NoBackEnd, default_retry_ms);
    }
    if request.remaining_ms == 0 {
        return not_run(RejectReason::Expired, default_retry_ms);
    }
    if let Some(key) = node.shard_key(&request) {
        if !await_key(
            node,
            key,
            now + remaining_time(&request).mul_f64(HANDOVER_TIMEOUT_RATIO),
        )
        .await
        {
            return not_run(RejectReason::NotHolder, default_retry_ms);
        }
        node.shard_manager.borrow_mut().count_request(key);
    }
    proxy.arrivals.set(proxy.arrivals.get() + 1);
    let id = proxy.next_id.get();
    proxy.next_id.set(id + 1);
    let deadline = now + remaining_time(&request);
    let job = Job {
        id,
        priority: request.priority,
        class: request.class,
        missed_target: request.missed_target,
        target: now + Duration::from_millis(u64::from(request.target_ms)),
        deadline,
    };
    let admission = proxy.queue.borrow_mut().admit(now, job);
    match admission {
        Admission::Admitted => {}
        Admission::Rejected(wait) => {
            log_decision(proxy, &request, "refuse", wait);
            let queue = proxy.queue.borrow();
            let is_limited = queue.rate_wait(now, request.priority, request.missed_target) >= wait;
            let cause = if queue.rate().is_some() && is_limited {
                "limit"
            } else {
                "full"
            };
            node.metrics.on_rejection(cause);
            return not_run(RejectReason::Full, proxy.retry_ms(wait));
        }
        Admission::Queued => {
            let (sender, receiver) = oneshot::channel();
            proxy.waiters.borrow_mut().insert(id, sender);
            let guard = WaitGuard {
                proxy,
                id,
                receiver,
                received: false,
            };
            if let Dequeued::Expired(_) = guard.wait().await {
                return not_run(RejectReason::Expired, default_retry_ms);
            }
        }
    }
    log_decision(proxy, &request, "run", BootClock.now().since(now));
    proxy
        .running
        .borrow_mut()
        .insert(request.request_id.clone(), Rc::clone(&request));
    let slot = SlotGuard {
        request_id: request.request_id.clone(),
        node: Rc::clone(node),
        class: request.class,
        started: BootClock.now(),
        completed: false,
    };
    if request.idempotent {
        return run(Rc::clone(node), request, deadline, slot).await;
    }
    // A non-idempotent request runs to its end even if its caller has disconnected.
    let (sender, receiver) = oneshot::channel();
    let task = run(Rc::clone(node), request, deadline, slot);
    tokio::task::spawn_local(async move {
        let _ = sender.send(task.await);
    });
    receiver
        .await
        .unwrap_or(RequestOutcome::Lost(LossCause::Cut))
}

fn remaining_time(request: &ForwardedRequest) -> Duration {
    Duration::from_millis(u64::from(request.remaining_ms))
}

/// Waits until the back end holds a key; returns false if this machine does not own the key or the
/// back end does not hold it by `until`.
async fn await_key(node: &Node, key: u16, until: BootInstant) -> bool {
    loop {
        let now = BootClock.now();
        if node.shard_manager.borrow().serves(now, key) {
            return true;
        }
        if !node.shard_manager.borrow().owns(key) || now >= until {
            return false;
        }
        tokio::time::sleep(KEY_POLL_INTERVAL).await;
    }
}

/// Logs an admission decision with the state of the queue.
fn log_decision(proxy: &BackEndProxy, request: &ForwardedRequest, event: &str, wait: Duration) {
    let queue = proxy.queue.borrow();
    log::info!(
        event = event,
        id = std::str::from_utf8(&request.request_id).unwrap_or("?"),
        priority = request.priority,
        late = request.missed_target,
        wait_ms = wait.as_millis() as u64,
        target_ms = request.target_ms,
        patience_ms = request.remaining_ms,
        running = queue.running(),
        waiting = queue.waiting(),
        slots = queue.slots(),
        limit:? = queue.rate(),
        expected_ms = queue.estimate().for_class(request.class).as_millis() as u64;
        ""
    );
}

async fn run(
    node: Rc<Node>,
    request: Rc<ForwardedRequest>,
    deadline: BootInstant,
    mut slot: SlotGuard,
) -> RequestOutcome {
    let default_retry_ms = node.proxy.retry_ms(Duration::ZERO);
    let Some(back_end) = node.proxy.ready_for(&request.service) else {
        return not_run(RejectReason::NoBackEnd, default_retry_ms);
    };
    if let Some(key) = node.shard_key(&request)
        && !node.shard_manager.borrow().serves(BootClock.now(), key)
    {
        return not_run(RejectReason::NotHolder, default_retry_ms);
    }
    let known_crashes = match suspects::admit(&node, &request) {
        Ok(crashes) => crashes,
        Err((reason, remaining)) => {
            return not_run(reason, remaining.map_or(default_retry_ms, millis));
        }
    };
    node.metrics.on_back_end_send();
    let remaining = deadline.since(BootClock.now());
    let head = encode_head(&request, &back_end, remaining);
    let connections = &node.proxy.connections;
    let exchange = connections.exchange(
        &head,
        &request.body,
        &request.request_id,
        !request.idempotent,
    );
    match tokio::time::timeout(remaining + DEADLINE_SLACK, exchange).await {
        Err(_) => RequestOutcome::Lost(LossCause::TimedOut),
        Ok(Ok((response, check))) => {
            node.on_back_end_response(slot.started);
            if matches!(check, ResponseCheck::Valid | ResponseCheck::NotExecuted) {
                let incarnation = &back_end.incarnation;
                named_limit::on_response(&node, incarnation, &response, slot.started);
                let headers = response.headers.iter().map(|h| (&h.name, &h.value));
                if leaving::on_response(&node, incarnation, headers) {
                    node.on_back_end_leaving(incarnation);
                }
            }
            let outcome = classify_response(response, check, default_retry_ms);
            if let RequestOutcome::Response(response) = &outcome {
                slot.complete();
                if response.status < 500 {
                    suspects::on_completion(&node, &request);
                }
            }
            outcome
        }
        Ok(Err(error)) => {
            let interrupted = crash_watch::interrupted_now(&request, known_crashes, slot.started);
            log::warn!(
                event = "exchange-failed",
                id = std::str::from_utf8(&request.request_id).unwrap_or("?"),
                digest:% = interrupted.fingerprint,
                back_end = back_end.incarnation.id.as_str(),
                fault:? = error,
                ran_ms = BootClock.now().since(slot.started).as_millis() as u64;
                ""
            );
            if error == ExchangeError::Cut {
                crash_watch::on_interrupted(&node, &back_end.incarnation, interrupted).await;
            } else {
                node.on_exchange_error(error);
            }
            match error {
                ExchangeError::NobodyListens | ExchangeError::Unreachable => {
                    not_run(RejectReason::Unreachable, default_retry_ms)
                }
                ExchangeError::Cut => RequestOutcome::Lost(LossCause::Cut),
                ExchangeError::Spoilt => RequestOutcome::Lost(LossCause::Spoilt),
            }
        }
    }
}

fn encode_head(request: &ForwardedRequest, back_end: &LocalBackEnd, timeout: Duration) -> BytesMut {
    let headers = unpack_headers(request.headers.clone());
    let mut head = BytesMut::with_capacity(512);
    message::encode_head(
        &mut head,
        &BackEndRequest {
            method: &request.method,
            target: &request.target,
            headers: &headers,
            body: &request.body,
            remaining: timeout,
            back_end: &back_end.incarnation.id,
            caller: request.caller.as_str(),
        },
    );
    head
}

fn classify_response(
    response: Response,
    check: ResponseCheck,
    default_retry_ms: u32,
) -> RequestOutcome {
    match check {
        ResponseCheck::Valid => {
            let mut headers = response.headers;
            headers.remove_hop_by_hop();
            RequestOutcome::Response(Box::new(ForwardedResponse {
                status: response.status,
                headers: pack_headers(&headers),
                body: response.body,
            }))
        }
        ResponseCheck::NotExecuted => not_run(RejectReason::BackEndRefused, default_retry_ms),
        ResponseCheck::WrongBackEnd => not_run(RejectReason::TurnedAway, default_retry_ms),
        ResponseCheck::OtherRequest | ResponseCheck::Corrupt => {
            RequestOutcome::Lost(LossCause::Spoilt)
        }
    }
}
