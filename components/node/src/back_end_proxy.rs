//! The way to the back end on this machine: every request to it passes here.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
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

use crate::back_end::{Connections, ExchangeError};
use crate::frame::{
    ForwardedRequest, ForwardedResponse, LoadReport, LossCause, RejectReason, RequestOutcome,
    pack_fields, unpack_fields,
};
use crate::node::Node;

/// Time beyond the deadline for the back end's own answer that the time is over.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Wait that callers are told when nothing better is known.
const USUAL_RETRY: Duration = Duration::from_millis(300);
/// Part of a caller's patience for which a request waits for its key.
const HANDOVER_PART: f64 = 0.4;
/// Pause between two looks at whether a key is held.
const KEY_PAUSE: Duration = Duration::from_millis(20);
/// Time without a heartbeat after which a back end with unanswered requests gets no more.
pub(crate) const SILENCE: Duration = Duration::from_millis(2_600);

/// The back end on this machine.
#[derive(Clone, Debug)]
pub struct LocalBackEnd {
    /// Service that it offers.
    pub service: ServiceName,
    /// Its boot.
    pub incarnation: BackEndIncarnation,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Until when it is slow after its start.
    pub cold_until: BootInstant,
    /// Last heartbeat or answer.
    pub heard: BootInstant,
    /// Whether it takes requests.
    pub state: Availability,
}

/// Whether a back end takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes requests.
    Ready,
    /// It is about to leave.
    Leaving,
    /// It cannot be reached.
    Down,
}

/// Queue and connections of the back end on this machine.
pub struct BackEndProxy {
    queue: RefCell<Queue>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Dequeued>>>,
    next_id: Cell<u64>,
    /// Ids of the requests that the back end runs now.
    running: RefCell<HashSet<Bytes>>,
    /// Connections to the back end.
    pub connections: Connections,
    /// The back end, once it has sent a heartbeat.
    pub back_end: RefCell<Option<LocalBackEnd>>,
    busy: Cell<f64>,
    arrived: Cell<u32>,
    sampled: Cell<BootInstant>,
}

/// Time over which the offered load is averaged.
const BUSY_WINDOW: Duration = Duration::from_millis(1_200);

impl BackEndProxy {
    /// Makes the proxy of a back end that has not been heard of.
    #[must_use]
    pub fn new(connections: Connections) -> Self {
        Self {
            queue: RefCell::new(Queue::new(0)),
            waiting: RefCell::default(),
            next_id: Cell::new(0),
            running: RefCell::default(),
            connections,
            back_end: RefCell::new(None),
            busy: Cell::new(0.0),
            arrived: Cell::new(0),
            sampled: Cell::new(BootClock.now()),
        }
    }

    /// Load of the back end.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let queue = self.queue.borrow();
        let service = queue.estimate().mean().unwrap_or_default().as_micros();
        LoadReport {
            running: count(queue.running()),
            waiting: count(queue.waiting()),
            slots: count(queue.slots()),
            service_us: u32::try_from(service).unwrap_or(u32::MAX),
        }
    }

    /// Offered load as a share of the capacity: requests that arrive, whether they run or not,
    /// times the slots that each takes.
    #[must_use]
    pub fn busy(&self) -> f64 {
        self.busy.get()
    }

    /// Takes a sample of the offered load since the last one.
    pub fn sample_busy(&self, now: BootInstant) {
        let span = now.since(self.sampled.replace(now)).as_secs_f64();
        let arrived = f64::from(self.arrived.replace(0));
        if span <= 0.0 {
            return;
        }
        let queue = self.queue.borrow();
        let time = queue.estimate().mean_or_default().as_secs_f64();
        let offered = arrived / span * time / queue.slots().max(1) as f64;
        let gain = (span / BUSY_WINDOW.as_secs_f64()).min(1.0);
        self.busy
            .set(self.busy.get() + gain * (offered - self.busy.get()));
    }

    /// Whether the back end runs the request with this id now.
    #[must_use]
    pub fn runs(&self, id: &Bytes) -> bool {
        self.running.borrow().contains(id)
    }

    /// Whether any request runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let queue = self.queue.borrow();
        queue.running() == 0 && queue.waiting() == 0
    }

    /// Takes over what the back end says of itself.
    pub fn set_back_end(&self, back_end: LocalBackEnd) {
        let mut queue = self.queue.borrow_mut();
        let same = self
            .back_end
            .borrow()
            .as_ref()
            .is_some_and(|b| b.incarnation == back_end.incarnation);
        if !same {
            queue.reset_estimate();
        }
        queue.set_slots(back_end.slots as usize);
        *self.back_end.borrow_mut() = Some(back_end);
    }

    /// Changes whether the back end takes requests; those that wait are refused if it does not.
    pub fn set_condition(&self, condition: Availability) {
        if let Some(b) = self.back_end.borrow_mut().as_mut() {
            b.state = condition;
        }
        if condition != Availability::Ready {
            for id in self.queue.borrow_mut().clear() {
                self.notify(id, Dequeued::Expired(id));
            }
        }
    }

    /// The back end, if it takes requests for `service`.
    #[must_use]
    pub fn ready_for(&self, service: &ServiceName) -> Option<LocalBackEnd> {
        self.back_end
            .borrow()
            .as_ref()
            .filter(|b| b.state == Availability::Ready && b.service == *service)
            .cloned()
    }

    fn notify(&self, id: u64, dequeued: Dequeued) -> bool {
        let waiter = self.waiting.borrow_mut().remove(&id);
        waiter.is_some_and(|w| w.send(dequeued).is_ok())
    }

    /// Lets requests leave the queue that start now or can no longer end in time.
    pub fn pump(&self) {
        loop {
            let next = self.queue.borrow_mut().dequeue(BootClock.now());
            match next {
                None => return,
                Some(Dequeued::Started(id)) => {
                    if !self.notify(id, Dequeued::Started(id)) {
                        self.queue.borrow_mut().on_finished(0, None);
                    }
                }
                Some(Dequeued::Expired(id)) => {
                    self.notify(id, Dequeued::Expired(id));
                }
            }
        }
    }

    fn retry_ms(&self, wait: Duration) -> u32 {
        let wait = if wait.is_zero() { USUAL_RETRY } else { wait };
        u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// A request's place in the queue; gives it back when dropped.
struct WaitGuard<'a> {
    proxy: &'a BackEndProxy,
    id: u64,
    receiver: oneshot::Receiver<Dequeued>,
    done: bool,
}

impl WaitGuard<'_> {
    async fn wait(mut self) -> Dequeued {
        let dequeued = (&mut self.receiver).await;
        self.done = true;
        dequeued.unwrap_or(Dequeued::Expired(self.id))
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        self.proxy.waiting.borrow_mut().remove(&self.id);
        let waited = self.proxy.queue.borrow_mut().cancel(self.id);
        let started = matches!(self.receiver.try_recv(), Ok(Dequeued::Started(_)));
        if !waited && started {
            self.proxy.queue.borrow_mut().on_finished(0, None);
            self.proxy.pump();
        }
    }
}

/// A request's slot; gives it back when dropped.
struct SlotGuard {
    node: Rc<Node>,
    class: u32,
    request: Bytes,
    started: BootInstant,
    ended: bool,
}

impl SlotGuard {
    /// Records that the back end has run the request.
    fn complete(&mut self) {
        self.ended = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let took = self.ended.then(|| BootClock.now().since(self.started));
        let proxy = &self.node.proxy;
        proxy.running.borrow_mut().remove(&self.request);
        proxy.queue.borrow_mut().on_finished(self.class, took);
        proxy.pump();
    }
}

fn not_run(reason: RejectReason, retry_ms: u32) -> RequestOutcome {
    RequestOutcome::NotRun { reason, retry_ms }
}

/// Runs a request at the back end on this machine, once there is room.
///
/// Dropping the future withdraws a request that has not started, and ends one that may be repeated.
pub async fn submit(node: &Rc<Node>, request: Rc<ForwardedRequest>) -> RequestOutcome {
    let now = BootClock.now();
    let proxy = &node.proxy;
    let usual = proxy.retry_ms(Duration::ZERO);
    if node.is_closing() || proxy.ready_for(&request.service).is_none() {
        return not_run(RejectReason::NoBackEnd, usual);
    }
    if request.patience_ms == 0 {
        return not_run(RejectReason::Expired, usual);
    }
    if let Some(key) = node.shard_key(&request) {
        if !await_key(node, key, now + patience(&request).mul_f64(HANDOVER_PART)).await {
            return not_run(RejectReason::NotHolder, usual);
        }
        node.shard_manager.borrow_mut().count_request(key);
    }
    proxy.arrived.set(proxy.arrived.get() + 1);
    let id = proxy.next_id.get();
    proxy.next_id.set(id + 1);
    let deadline = now + patience(&request);
    let job = Job {
        id,
        priority: request.priority,
        class: request.class,
        missed_target: request.late,
        target: now + Duration::from_millis(u64::from(request.target_ms)),
        deadline,
    };
    let admission = proxy.queue.borrow_mut().admit(now, job);
    match admission {
        Admission::Admitted => {}
        Admission::Rejected(wait) => {
            log_decision(proxy, &request, "refuse", wait);
            return not_run(RejectReason::Full, proxy.retry_ms(wait));
        }
        Admission::Queued => {
            let (sender, receiver) = oneshot::channel();
            proxy.waiting.borrow_mut().insert(id, sender);
            let guard = WaitGuard {
                proxy,
                id,
                receiver,
                done: false,
            };
            if let Dequeued::Expired(_) = guard.wait().await {
                return not_run(RejectReason::Expired, usual);
            }
        }
    }
    log_decision(proxy, &request, "run", BootClock.now().since(now));
    proxy
        .running
        .borrow_mut()
        .insert(request.request_id.clone());
    let slot = SlotGuard {
        request: request.request_id.clone(),
        node: Rc::clone(node),
        class: request.class,
        started: BootClock.now(),
        ended: false,
    };
    if request.idempotent {
        return run(Rc::clone(node), request, deadline, slot).await;
    }
    // A request that must not run twice goes on even if nobody waits for it any more.
    let (sender, receiver) = oneshot::channel();
    let task = run(Rc::clone(node), request, deadline, slot);
    tokio::task::spawn_local(async move {
        let _ = sender.send(task.await);
    });
    receiver
        .await
        .unwrap_or(RequestOutcome::Lost(LossCause::Cut))
}

fn patience(request: &ForwardedRequest) -> Duration {
    Duration::from_millis(u64::from(request.patience_ms))
}

/// Waits until the back end holds a key that this machine owns; false if it does not get it.
async fn await_key(node: &Node, key: u16, until: BootInstant) -> bool {
    loop {
        let now = BootClock.now();
        if node.shard_manager.borrow().serves(now, key) {
            return true;
        }
        if !node.shard_manager.borrow().owns(key) || now >= until {
            return false;
        }
        tokio::time::sleep(KEY_PAUSE).await;
    }
}

/// Logs a decision on a request with what it was based on.
fn log_decision(proxy: &BackEndProxy, request: &ForwardedRequest, event: &str, wait: Duration) {
    let queue = proxy.queue.borrow();
    log::info!(
        event = event,
        id = std::str::from_utf8(&request.request_id).unwrap_or("?"),
        priority = request.priority,
        late = request.late,
        wait_ms = wait.as_millis() as u64,
        target_ms = request.target_ms,
        patience_ms = request.patience_ms,
        running = queue.running(),
        waiting = queue.waiting(),
        slots = queue.slots(),
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
    let usual = node.proxy.retry_ms(Duration::ZERO);
    let Some(back_end) = node.proxy.ready_for(&request.service) else {
        return not_run(RejectReason::NoBackEnd, usual);
    };
    if let Some(key) = node.shard_key(&request)
        && !node.shard_manager.borrow().serves(BootClock.now(), key)
    {
        return not_run(RejectReason::NotHolder, usual);
    }
    let patience = deadline.since(BootClock.now());
    let head = encode_head(&request, &back_end, patience);
    let connections = &node.proxy.connections;
    let exchange = connections.exchange(
        &head,
        &request.body,
        &request.request_id,
        !request.idempotent,
    );
    match tokio::time::timeout(patience + DEADLINE_SLACK, exchange).await {
        Err(_) => RequestOutcome::Lost(LossCause::TimedOut),
        Ok(Ok((response, verdict))) => {
            node.on_back_end_heard();
            let outcome = judged(response, verdict, node.shard_key(&request).is_some(), usual);
            if matches!(outcome, RequestOutcome::Response(_)) {
                slot.complete();
            }
            outcome
        }
        Ok(Err(fault)) => {
            log::warn!(
                event = "exchange-failed",
                id = std::str::from_utf8(&request.request_id).unwrap_or("?"),
                back_end = back_end.incarnation.id.as_str(),
                fault:? = fault,
                ran_ms = BootClock.now().since(slot.started).as_millis() as u64;
                ""
            );
            node.on_exchange_fault(fault);
            match fault {
                ExchangeError::NobodyListens | ExchangeError::Unreachable => {
                    not_run(RejectReason::Unreachable, usual)
                }
                ExchangeError::Cut => RequestOutcome::Lost(LossCause::Cut),
                ExchangeError::Spoilt => RequestOutcome::Lost(LossCause::Spoilt),
            }
        }
    }
}

fn encode_head(request: &ForwardedRequest, back_end: &LocalBackEnd, left: Duration) -> BytesMut {
    let headers = unpack_fields(request.headers.clone());
    let mut head = BytesMut::with_capacity(512);
    message::encode_head(
        &mut head,
        &BackEndRequest {
            method: &request.method,
            target: &request.target,
            headers: &headers,
            body: &request.body,
            remaining: left,
            back_end: &back_end.incarnation.id,
            caller: request.caller.as_str(),
        },
    );
    head
}

fn judged(response: Response, verdict: ResponseCheck, keyed: bool, usual: u32) -> RequestOutcome {
    match verdict {
        ResponseCheck::Valid => {
            let mut headers = response.headers;
            headers.remove_hop_by_hop();
            RequestOutcome::Response(Box::new(ForwardedResponse {
                status: response.status,
                headers: pack_fields(&headers),
                body: response.body,
            }))
        }
        ResponseCheck::NotExecuted => not_run(RejectReason::BackEndRefused, usual),
        ResponseCheck::WrongBackEnd if keyed => not_run(RejectReason::NotHolder, usual),
        ResponseCheck::WrongBackEnd => not_run(RejectReason::NoBackEnd, usual),
        ResponseCheck::OtherRequest | ResponseCheck::Corrupt => {
            RequestOutcome::Lost(LossCause::Spoilt)
        }
    }
}
