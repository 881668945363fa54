//! The control thread, which manages the lease, term, grants, back end and lists of one daemon.
//!
//! All decisions are made by the state machines of `ownership`, which do no I/O; this module feeds
//! them events and carries out their decisions. Only the control thread changes this state.

mod acting;
mod coordination;
mod event;
mod handover;
mod lists;
mod membership;
mod shutdown;
mod status;
mod witnessing;

use std::sync::Arc;
use std::time::Duration;

use ownership::candidacy::Candidacy;
use ownership::closing::Closing;
use ownership::coordinator::Coordinator;
use ownership::member::Member;
use ownership::record::CellRecord;
use ownership::renewal::Renewal;
use ownership::succession::Succession;
use ownership::table::Holding;
use ownership::witness::Witness;
use peers::auth::PeerToken;
use peers::wire::ListsDocument;
use store::client::Store;
use store::count::CallCounts;
use timer::{BootClock, Clock, TimerService};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use world::instant::BootInstant;
use world::key::Term;

use crate::gate::Gate;
use crate::metrics::Reporter;
use crate::pool::PeerPool;
use crate::shared::Shared;

pub use handover::GrantedShard;

pub use event::{Event, RecordRead, RecordWritten, WriteKind};

/// Time between two checks of leases, drains and timeouts.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Time between two reports of metrics.
const METRICS_PERIOD: Duration = Duration::from_secs(1);

/// Capacity of the queue of events for the control thread.
pub const EVENT_QUEUE: usize = 256;

/// Returns the counts of store calls so far.
pub type CallCountFn = Box<dyn Fn() -> CallCounts + Send>;

/// State of the term that this daemon holds as coordinator.
struct CoordinatorRole {
    started: BootInstant,
    coordinator: Coordinator,
    renewal: Renewal,
    /// Closing of the earlier terms, which must be done before this one grants.
    closing: Closing,
    next_close: BootInstant,
    /// Watch on the lists for as long as the term is held.
    _lists_watch: ListsWatch,
    /// Newest known lists, relayed to members.
    lists: Option<ListsDocument>,
    next_renewal: BootInstant,
    /// Version of the routes at the last announcement.
    announced_version: u64,
    next_announcement: BootInstant,
}

/// Task that watches the lists until it is dropped.
struct ListsWatch(JoinHandle<()>);

impl Drop for ListsWatch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A term that this daemon held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PastTerm {
    term: Term,
    /// True when a witness may have acted on a pledge of it.
    pledged: bool,
}

/// A take-over whose outcome is not known yet.
struct PendingClaim {
    record: CellRecord,
    sent: BootInstant,
    /// Instant from which the store can't have confirmed the previous term.
    unconfirmed_since: BootInstant,
}

/// State of the control thread.
pub struct Control<S> {
    shared: Arc<Shared>,
    store: S,
    store_calls: CallCountFn,
    events: mpsc::Sender<Event>,
    pool: Arc<PeerPool>,
    reporter: Reporter,
    member: Member,
    succession: Succession,
    role: Option<CoordinatorRole>,
    claim: Option<PendingClaim>,
    witness: Witness,
    candidacy: Option<Candidacy>,
    next_endorse: BootInstant,
    /// Last term that this daemon held and lost.
    last_term: Option<PastTerm>,
    /// Gates of withdrawn shards that still have requests in flight.
    draining: Vec<Arc<Gate>>,
    /// Granted shards whose gates open once the orders of the previous tenure have arrived.
    pending_grants: Vec<Holding>,
    /// True from when the coordinator asks for this daemon's lists until they are sent.
    lists_requested: bool,
    next_heartbeat: BootInstant,
    /// Sending time of the heartbeat in flight.
    heartbeat_sent: Option<BootInstant>,
    next_read: BootInstant,
    reading: bool,
    writing: bool,
    published_session: u64,
    last_announcement: BootInstant,
    shutdown: Option<shutdown::Shutdown>,
}

impl<S: Store> Control<S> {
    /// Returns the state of a daemon that has just started.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        store: S,
        store_calls: CallCountFn,
        reporter: Reporter,
    ) -> Self {
        let now = BootClock.now();
        let timing = shared.settings.timing;
        let token = PeerToken::from_secret(&shared.settings.secret);
        let mut succession = Succession::new(timing, now - timing.suspicion);
        succession.set_rank(0);
        Self {
            events: shared.events.clone(),
            pool: Arc::new(PeerPool::new(token, shared.link_filter.clone())),
            shared,
            store,
            store_calls,
            reporter,
            member: Member::new(),
            succession,
            role: None,
            claim: None,
            witness: Witness::default(),
            candidacy: None,
            next_endorse: now,
            last_term: None,
            draining: Vec::new(),
            pending_grants: Vec::new(),
            lists_requested: false,
            next_heartbeat: now,
            heartbeat_sent: None,
            next_read: now,
            reading: false,
            writing: false,
            published_session: 1,
            last_announcement: now,
            shutdown: None,
        }
    }

    /// Runs until `stop` is resolved or dropped.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<Event>, mut stop: oneshot::Receiver<()>) {
        let timers = TimerService::new(BootClock);
        let mut ticks = timers.subscribe(TICK_PERIOD);
        let mut metrics = timers.subscribe(METRICS_PERIOD);
        loop {
            tokio::select! {
                biased;
                _ = &mut stop => return,
                Some(tick) = ticks.recv() => self.on_tick(tick.instant),
                Some(event) = inbox.recv() => self.on_event(event),
                Some(_) = metrics.recv() => self.reporter.report(),
            }
        }
    }

    fn on_tick(&mut self, now: BootInstant) {
        self.expire_lease(now);
        self.release_drained(now);
        self.shared.handovers.expire(now);
        self.expire_back_end(now);
        self.coordinate(now);
        self.send_due_heartbeat(now);
        self.watch_coordinator(now);
        self.seek_endorsements(now);
        self.advance_shutdown(now);
    }

    fn on_event(&mut self, event: Event) {
        let now = BootClock.now();
        match event {
            Event::Heartbeat {
                request,
                lists,
                reply,
            } => {
                self.relay_if_newer(lists);
                let _ = reply.send(self.on_heartbeat(now, &request));
            }
            Event::Adopt {
                cell,
                coordinator,
                reply,
            } => {
                self.on_adopt(now, &cell, coordinator);
                let _ = reply.send(self.member.term());
            }
            Event::Confirm {
                cell,
                request,
                reply,
            } => {
                let _ = reply.send(self.on_confirm_request(&cell, &request));
            }
            Event::Endorse {
                cell,
                request,
                reply,
            } => {
                let _ = reply.send(self.on_endorse_request(now, &cell, &request));
            }
            Event::Endorsed { name, term } => self.on_endorsed(now, &name, term),
            Event::Close { cell, term, reply } => {
                let _ = reply.send(self.on_close_request(&cell, term));
            }
            Event::Confirmed {
                witness,
                sent,
                number,
            } => self.on_confirmed(&witness, sent, number),
            Event::Closed {
                name,
                term,
                unpledged,
            } => self.on_closed(now, &name, term, unpledged),
            Event::HeartbeatDone {
                sent,
                released_count,
                result,
            } => {
                self.on_heartbeat_done(sent, now, released_count, result);
            }
            Event::RecordRead(read) => self.on_record_read(now, read),
            Event::RecordWritten(written) => self.on_record_written(now, written),
            Event::ListsRead(document) => self.relay_if_newer(Some(document)),
            Event::ListsAccepted(document) => self.on_lists_accepted(now, document),
            Event::Announced { back_end, address } => self.on_announced(now, back_end, address),
            Event::OrdersTaken(shards) => self.on_orders_taken(now, shards),
            Event::BackEndRefused => self.drop_back_end("refused"),
            Event::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            Event::Stop(reply) => self.start_shutdown(now, reply),
        }
    }
}
