//! Queues requests for the back end on this machine and sends them to it.
//!
//! Every request to the back end passes here; at most as many run at once as it has slots. The back
//! end holds a shard key while its grant for the key is in force; a request with a shard key runs
//! only then.

mod guards;
pub mod submission;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use admission::queue::{Dequeued, Queue};
use bytes::Bytes;
use shards::incarnation::BackEndIncarnation;
use timer::{BootClock, Clock};
use tokio::sync::oneshot;
use world::instant::BootInstant;
use world::name::ServiceName;
use world::rate::RequestRate;

use crate::back_end::ConnectionPool;
use crate::crash_watch::CrashWatch;
use crate::frame::{ForwardedRequest, LoadReport};
use crate::named_limit::NamedLimit;

/// Suggested time before a retry when there is no estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Lowest limit in requests per second that is reported as capacity.
const MIN_REPORTED_RATE: f64 = 0.1;
/// Time without a heartbeat or response after which a back end is taken to be down if it has in-flight
/// requests, and probed if it holds keys.
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

    /// Returns the slots and the service time that describe the capacity of the back end, under the
    /// limit that it names.
    fn capacity(&self, slots: usize, service_time: Duration) -> (usize, Duration) {
        match self.named_limit.named() {
            Some(rate) => limited_capacity(slots, service_time, rate),
            None => (slots, service_time),
        }
    }

    /// Returns the load of the back end.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let queue = self.queue.borrow();
        let service_time = queue.estimate().mean().unwrap_or_default();
        let (slots, service_time) = self.capacity(queue.slots(), service_time);
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
        let (slots, service_time) = self.capacity(queue.slots(), service_time);
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

    /// Counts the back end as cold until an instant, whatever its heartbeats say.
    pub fn assume_cold(&self, _until: BootInstant) {}

    /// Returns the incarnation of the back end that sent the last heartbeat.
    #[must_use]
    pub fn incarnation(&self) -> Option<BackEndIncarnation> {
        let back_end = self.back_end.borrow();
        back_end.as_ref().map(|b| b.incarnation.clone())
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
