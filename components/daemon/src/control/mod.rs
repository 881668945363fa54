//! The control thread: lease, term, grants, back end and lists of one daemon.
//!
//! All decisions are made by the pure machines of `ownership`; this module feeds them events
//! and carries out what they say.

mod acting;
mod coordination;
mod event;
mod handover;
mod listing;
mod membership;
mod report;
mod stopping;
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

pub use handover::Opening;

pub use event::{Event, RecordRead, RecordWritten, WriteKind};

/// Time between two looks at leases, drains and timeouts.
const TICK: Duration = Duration::from_millis(20);

/// Time between two reports of metrics.
const METRICS_PERIOD: Duration = Duration::from_secs(1);

/// Events that wait for the control thread.
pub const EVENT_QUEUE: usize = 256;

/// Source of the counts of store calls.
pub type CallCountFn = Box<dyn Fn() -> CallCounts + Send>;

/// The term that this daemon holds.
struct Role {
    started: BootInstant,
    coordinator: Coordinator,
    renewal: Renewal,
    /// Ends the earlier terms before this one grants.
    closing: Closing,
    next_close: BootInstant,
    /// Watches the lists for as long as the term is held.
    _lists_watch: ListsWatch,
    /// The lists as relayed to members.
    lists: Option<ListsDocument>,
    next_renewal: BootInstant,
    /// Version of the routes that members were last told to fetch.
    told_version: u64,
    next_telling: BootInstant,
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
struct HeldTerm {
    term: Term,
    /// True when a witness may have acted on a pledge of it.
    pledged: bool,
}

/// A take-over whose outcome is not known yet.
struct PendingClaim {
    record: CellRecord,
    sent: BootInstant,
    /// Since when the store can't have confirmed the previous term.
    store_ended: BootInstant,
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
    role: Option<Role>,
    claim: Option<PendingClaim>,
    witness: Witness,
    candidacy: Option<Candidacy>,
    next_stand: BootInstant,
    /// The last term that this daemon held.
    last_held: Option<HeldTerm>,
    closing: Vec<Arc<Gate>>,
    /// Granted shards whose gates wait for the orders of the tenure before.
    opening: Vec<Holding>,
    /// True when the coordinator has asked for this daemon's lists.
    lists_wanted: bool,
    next_beat: BootInstant,
    /// Sending time of the heartbeat on its way.
    beat_sent: Option<BootInstant>,
    next_read: BootInstant,
    reading: bool,
    writing: bool,
    published_session: u64,
    announced: BootInstant,
    stopping: Option<stopping::Stopping>,
}

impl<S: Store> Control<S> {
    /// Makes the state of a daemon that has just started.
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
            next_stand: now,
            last_held: None,
            closing: Vec::new(),
            opening: Vec::new(),
            lists_wanted: false,
            next_beat: now,
            beat_sent: None,
            next_read: now,
            reading: false,
            writing: false,
            published_session: 1,
            announced: now,
            stopping: None,
        }
    }

    /// Runs until `end` is resolved or dropped.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<Event>, mut end: oneshot::Receiver<()>) {
        let timers = TimerService::new(BootClock);
        let mut ticks = timers.subscribe(TICK);
        let mut metrics = timers.subscribe(METRICS_PERIOD);
        loop {
            tokio::select! {
                biased;
                _ = &mut end => return,
                Some(tick) = ticks.recv() => self.on_tick(tick.instant),
                Some(event) = inbox.recv() => self.on_event(event),
                Some(_) = metrics.recv() => self.reporter.report(),
            }
        }
    }

    fn on_tick(&mut self, now: BootInstant) {
        self.check_lapse(now);
        self.release_drained(now);
        self.shared.handovers.expire(now);
        self.check_back_end(now);
        self.coordinate(now);
        self.beat(now);
        self.watch_coordinator(now);
        self.stand(now);
        self.progress_stop(now);
    }

    fn on_event(&mut self, event: Event) {
        let now = BootClock.now();
        match event {
            Event::Heartbeat {
                request,
                lists,
                reply,
            } => {
                self.relay_lists(lists);
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
                let _ = reply.send(self.confirms(&cell, &request));
            }
            Event::Endorse {
                cell,
                request,
                reply,
            } => {
                let _ = reply.send(self.endorses(now, &cell, &request));
            }
            Event::Endorsed { name, term } => self.on_endorsed(now, &name, term),
            Event::Close { cell, term, reply } => {
                let _ = reply.send(self.close_term(&cell, term));
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
                reported,
                result,
            } => {
                self.on_heartbeat_done(sent, now, reported, result);
            }
            Event::RecordRead(read) => self.on_record_read(now, read),
            Event::RecordWritten(written) => self.on_record_written(now, written),
            Event::ListsRead(document) => self.relay_lists(Some(document)),
            Event::ListsAccepted(document) => self.on_lists_accepted(now, document),
            Event::Announced { back_end, address } => self.on_announced(now, back_end, address),
            Event::OrdersTaken(openings) => self.on_orders_taken(now, openings),
            Event::BackEndRefused => self.drop_back_end("refused"),
            Event::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            Event::Stop(reply) => self.start_stop(now, reply),
        }
    }
}
