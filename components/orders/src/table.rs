//! Records the state of each order of a shard, so that a repeated request gets the recorded
//! response instead of a second execution.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use world::instant::BootInstant;
use world::key::Fence;

use crate::handover::{Handover, HandoverFence, HandoverOrder, HandoverState};
use crate::ticket::{Nonce, Ticket, TicketScope};

/// Bounds of an [`OrderTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Number of tickets that one table holds; no ticket is issued beyond it.
    pub tickets: usize,
    /// Total bytes of the bodies of recorded responses in one table.
    pub response_bytes: usize,
    /// Largest body of one recorded response, in bytes.
    pub max_response_bytes: usize,
    /// Time from a ticket's issue to its expiry.
    pub lifetime: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            tickets: 4096,
            response_bytes: 1 << 20,
            max_response_bytes: 16 << 10,
            lifetime: Duration::from_secs(60),
        }
    }
}

/// A back end's response to an order, recorded for repeated requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Complete body.
    pub body: Bytes,
}

/// What the owner does with a request for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// Run the order now and report its outcome with [`OrderTable::finish`].
    Run,
    /// The order ran: return the recorded response.
    Replay(RecordedResponse),
    /// The order ran; its response exceeded the bounds and was not kept.
    ResponseNotKept,
    /// The order is running.
    InProgress,
    /// The order was started; whether it ran is unknown.
    Unknown,
    /// The ticket belongs to a tenure whose orders are not in this table: do not run.
    Stale,
    /// The ticket has expired or was never issued: do not run.
    Expired,
    /// The ticket was issued for another customer, service or key: do not run.
    Mismatch,
}

/// Outcome of a started order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The back end ran the order and gave this response.
    Answered(RecordedResponse),
    /// There is proof that the back end did not run the order; it may be started again.
    NotRun,
    /// The order may have run.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Issued,
    Running,
    Answered(RecordedResponse),
    ResponseNotKept,
    Unknown,
}

impl From<State> for HandoverState {
    fn from(state: State) -> Self {
        match state {
            State::Issued => Self::Issued,
            State::Running | State::Unknown => Self::Unknown,
            State::Answered(response) => Self::Answered(response),
            State::ResponseNotKept => Self::ResponseNotKept,
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    scope: TicketScope,
    state: State,
}

/// States of the orders of one tenure (one period of ownership of a shard, identified by its
/// fence).
///
/// Invariant: an entry is removed only after its ticket has expired, so that an order without an
/// entry is never run: either it was not issued or its ticket is no longer valid.
#[derive(Debug)]
pub struct OrderTable {
    fence: Fence,
    bounds: Bounds,
    entries: HashMap<Nonce, Entry>,
    /// Nonces by expiry of their ticket. Invariant: the same nonces as in `entries`.
    expiry: VecDeque<(BootInstant, Nonce)>,
    /// Sum of the body lengths of the recorded responses.
    response_bytes: usize,
    /// Earlier tenures of which every ticket that is still valid is in `entries`.
    earlier_fences: Vec<EarlierFence>,
}

#[derive(Clone, Copy, Debug)]
struct EarlierFence {
    fence: Fence,
    /// Instant after which none of its tickets is valid.
    expires: BootInstant,
}

impl OrderTable {
    /// Returns an empty table for the tenure with `fence`.
    #[must_use]
    pub fn new(fence: Fence, bounds: Bounds) -> Self {
        Self {
            fence,
            bounds,
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            response_bytes: 0,
            earlier_fences: Vec::new(),
        }
    }

    /// Returns the table of a tenure that continues the orders of the previous one. A handover with
    /// more tickets than the bounds allow is ignored as a whole, so that its tickets are stale.
    #[must_use]
    pub fn from_handover(
        fence: Fence,
        bounds: Bounds,
        now: BootInstant,
        handover: Handover,
    ) -> Self {
        let mut table = Self::new(fence, bounds);
        if handover.orders.len() > bounds.tickets {
            return table;
        }
        let earlier_fences = handover.fences.iter().map(|handed| EarlierFence {
            fence: handed.fence,
            expires: now + handed.remaining.min(bounds.lifetime),
        });
        table.earlier_fences = earlier_fences.collect();
        let mut expiry: Vec<(BootInstant, Nonce)> = Vec::with_capacity(handover.orders.len());
        for order in handover.orders {
            expiry.push((now + order.remaining.min(bounds.lifetime), order.nonce));
            let state = table.import_state(order.state);
            let scope = order.scope;
            table.entries.insert(order.nonce, Entry { scope, state });
        }
        expiry.sort_unstable();
        table.expiry = expiry.into();
        table
    }

    /// Continues the table under a later fence of the same owner. Tickets of earlier fences stay
    /// valid until they expire.
    pub fn advance_fence(&mut self, now: BootInstant, fence: Fence) {
        self.earlier_fences.retain(|earlier| now < earlier.expires);
        self.earlier_fences.push(EarlierFence {
            fence: self.fence,
            expires: now + self.bounds.lifetime,
        });
        self.fence = fence;
    }

    /// Moves all orders that have not expired out of the table, which is empty afterwards. A
    /// running order becomes [`HandoverState::Unknown`].
    pub fn take_handover(&mut self, now: BootInstant) -> Handover {
        self.expire(now);
        let mut fences = vec![HandoverFence {
            fence: self.fence,
            remaining: self.bounds.lifetime,
        }];
        fences.extend(
            self.earlier_fences
                .drain(..)
                .filter(|earlier| now < earlier.expires)
                .map(|a| HandoverFence {
                    fence: a.fence,
                    remaining: a.expires.since(now),
                }),
        );
        let mut orders = Vec::with_capacity(self.entries.len());
        for (expires, nonce) in std::mem::take(&mut self.expiry) {
            let Some(entry) = self.entries.remove(&nonce) else {
                continue;
            };
            orders.push(HandoverOrder {
                nonce,
                scope: entry.scope,
                state: entry.state.into(),
                remaining: expires.since(now),
            });
        }
        self.response_bytes = 0;
        Handover { fences, orders }
    }

    fn import_state(&mut self, state: HandoverState) -> State {
        match state {
            HandoverState::Issued => State::Issued,
            HandoverState::Answered(response) => self.record_response(response),
            HandoverState::ResponseNotKept => State::ResponseNotKept,
            HandoverState::Unknown => State::Unknown,
        }
    }

    /// Returns the state of an order that ran, with its response when that fits the bounds.
    fn record_response(&mut self, response: RecordedResponse) -> State {
        let size = response.body.len();
        let available = self.bounds.response_bytes - self.response_bytes;
        if size > self.bounds.max_response_bytes.min(available) {
            return State::ResponseNotKept;
        }
        self.response_bytes += size;
        State::Answered(response)
    }

    /// Returns whether every valid ticket of the tenure with `fence` is in `entries`.
    fn covers_fence(&self, now: BootInstant, fence: Fence) -> bool {
        let earlier_fences = self.earlier_fences.iter();
        let mut valid_fences = earlier_fences.filter(|earlier| now < earlier.expires);
        fence == self.fence || valid_fences.any(|earlier| earlier.fence == fence)
    }

    /// Largest body of one recorded response, in bytes.
    #[must_use]
    pub fn max_response_bytes(&self) -> usize {
        self.bounds.max_response_bytes
    }

    /// Number of tickets in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table holds no ticket.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a new ticket. Returns false, and adds nothing, when the table is full.
    pub fn issue(&mut self, now: BootInstant, ticket: &Ticket) -> bool {
        self.expire(now);
        if self.entries.len() >= self.bounds.tickets {
            return false;
        }
        let expires = now + self.bounds.lifetime;
        let entry = Entry {
            scope: ticket.scope,
            state: State::Issued,
        };
        self.entries.insert(ticket.nonce, entry);
        self.expiry.push_back((expires, ticket.nonce));
        true
    }

    /// Decides on a request for an order and marks it as running when it is to be run. The caller
    /// has verified the signature of the ticket.
    pub fn try_start(
        &mut self,
        now: BootInstant,
        ticket: &Ticket,
        scope: &TicketScope,
    ) -> StartDecision {
        if ticket.scope != *scope {
            return StartDecision::Mismatch;
        }
        if !self.covers_fence(now, ticket.fence) {
            return StartDecision::Stale;
        }
        self.expire(now);
        let Some(entry) = self.entries.get_mut(&ticket.nonce) else {
            return StartDecision::Expired;
        };
        if entry.scope != *scope {
            return StartDecision::Mismatch;
        }
        match &entry.state {
            State::Issued => {
                entry.state = State::Running;
                StartDecision::Run
            }
            State::Running => StartDecision::InProgress,
            State::Answered(response) => StartDecision::Replay(response.clone()),
            State::ResponseNotKept => StartDecision::ResponseNotKept,
            State::Unknown => StartDecision::Unknown,
        }
    }

    /// Records the outcome of a started order. Ignored unless the order is running.
    pub fn finish(&mut self, ticket: &Ticket, outcome: ExecutionOutcome) {
        let running = self
            .entries
            .get(&ticket.nonce)
            .is_some_and(|e| e.state == State::Running);
        if !running {
            return;
        }
        let state = match outcome {
            ExecutionOutcome::NotRun => State::Issued,
            ExecutionOutcome::Unknown => State::Unknown,
            ExecutionOutcome::Answered(response) => self.record_response(response),
        };
        if let Some(entry) = self.entries.get_mut(&ticket.nonce) {
            entry.state = state;
        }
    }

    /// Removes expired tickets. A running order is kept for another lifetime each time its ticket
    /// expires, until its outcome is recorded.
    fn expire(&mut self, now: BootInstant) {
        while let Some(&(expires, nonce)) = self.expiry.front() {
            if now < expires {
                return;
            }
            self.expiry.pop_front();
            let running = self
                .entries
                .get(&nonce)
                .is_some_and(|e| e.state == State::Running);
            if running {
                let later = now + self.bounds.lifetime;
                self.expiry.push_back((later, nonce));
                continue;
            }
            if let Some(entry) = self.entries.remove(&nonce)
                && let State::Answered(response) = entry.state
            {
                self.response_bytes -= response.body.len();
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use world::key::{KeyHash, Shard};

    use super::*;

    fn ticket(nonce: u128) -> Ticket {
        Ticket {
            shard: Shard(1),
            fence: Fence(7),
            scope: TicketScope::new("tangier-4", "credits", KeyHash(5)),
            nonce: Nonce(nonce),
        }
    }

    fn table(tickets: usize) -> OrderTable {
        OrderTable::new(
            Fence(7),
            Bounds {
                tickets,
                ..Bounds::default()
            },
        )
    }

    fn response(size: usize) -> RecordedResponse {
        RecordedResponse {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Bytes::from(vec![b'x'; size]),
        }
    }

    #[test]
    fn replays_the_recorded_response() {
        let mut table = table(8);
        let ticket = ticket(1);
        let now = BootInstant::from_millis(10);
        assert!(table.issue(now, &ticket));
        assert_eq!(
            table.try_start(now, &ticket, &ticket.scope),
            StartDecision::Run
        );
        assert_eq!(
            table.try_start(now, &ticket, &ticket.scope),
            StartDecision::InProgress
        );
        table.finish(&ticket, ExecutionOutcome::Answered(response(3)));
        assert_eq!(
            table.try_start(now, &ticket, &ticket.scope),
            StartDecision::Replay(response(3))
        );
    }

    #[test]
    fn runs_again_only_with_proof_that_it_did_not_run() {
        let mut table = table(8);
        let now = BootInstant::from_millis(10);
        let (proved, lost) = (ticket(1), ticket(2));
        for ticket in [&proved, &lost] {
            table.issue(now, ticket);
            table.try_start(now, ticket, &ticket.scope);
        }
        table.finish(&proved, ExecutionOutcome::NotRun);
        table.finish(&lost, ExecutionOutcome::Unknown);
        assert_eq!(
            table.try_start(now, &proved, &proved.scope),
            StartDecision::Run
        );
        assert_eq!(
            table.try_start(now, &lost, &lost.scope),
            StartDecision::Unknown
        );
    }

    #[test]
    fn rejects_a_ticket_when_full() {
        let mut table = table(1);
        let now = BootInstant::from_millis(10);
        assert!(table.issue(now, &ticket(1)));
        assert!(!table.issue(now, &ticket(2)));
        let later = now + Bounds::default().lifetime;
        assert!(table.issue(later, &ticket(2)));
        assert_eq!(
            table.try_start(later, &ticket(1), &ticket(1).scope),
            StartDecision::Expired
        );
    }

    #[test]
    fn does_not_keep_a_large_response() {
        let mut table = table(8);
        let now = BootInstant::from_millis(10);
        let ticket = ticket(1);
        table.issue(now, &ticket);
        table.try_start(now, &ticket, &ticket.scope);
        table.finish(
            &ticket,
            ExecutionOutcome::Answered(response(Bounds::default().max_response_bytes + 1)),
        );
        assert_eq!(
            table.try_start(now, &ticket, &ticket.scope),
            StartDecision::ResponseNotKept
        );
    }

    #[test]
    fn continues_the_orders_of_the_previous_tenure() {
        let mut before = table(8);
        let now = BootInstant::from_millis(10);
        let (issued, answered, started) = (ticket(1), ticket(2), ticket(3));
        for ticket in [&issued, &answered, &started] {
            before.issue(now, ticket);
        }
        before.try_start(now, &answered, &answered.scope);
        before.finish(&answered, ExecutionOutcome::Answered(response(3)));
        before.try_start(now, &started, &started.scope);
        let handover = before.take_handover(now);
        assert!(before.is_empty());
        assert_eq!(before.take_handover(now).orders, Vec::new());
        let bounds = Bounds::default();
        let mut after = OrderTable::from_handover(Fence(9), bounds, now, handover);
        let mut try_start = |ticket: &Ticket| after.try_start(now, ticket, &ticket.scope);
        assert_eq!(try_start(&issued), StartDecision::Run);
        assert_eq!(try_start(&issued), StartDecision::InProgress);
        assert_eq!(try_start(&answered), StartDecision::Replay(response(3)));
        assert_eq!(try_start(&started), StartDecision::Unknown);
        assert_eq!(try_start(&ticket(4)), StartDecision::Expired);
    }

    #[test]
    fn continues_under_a_later_fence() {
        let mut table = table(8);
        let now = BootInstant::from_millis(10);
        let (old, mut new) = (ticket(1), ticket(2));
        new.fence = Fence(9);
        table.issue(now, &old);
        assert_eq!(table.try_start(now, &old, &old.scope), StartDecision::Run);
        table.advance_fence(now, Fence(9));
        table.issue(now, &new);
        table.finish(&old, ExecutionOutcome::Answered(response(3)));
        assert_eq!(
            table.try_start(now, &old, &old.scope),
            StartDecision::Replay(response(3))
        );
        assert_eq!(table.try_start(now, &new, &new.scope), StartDecision::Run);
        let after_expiry = now + Bounds::default().lifetime;
        assert_eq!(
            table.try_start(after_expiry, &old, &old.scope),
            StartDecision::Stale
        );
    }

    #[test]
    fn ignores_a_handover_with_too_many_tickets() {
        let mut before = table(8);
        let now = BootInstant::from_millis(10);
        for nonce in 0..3 {
            before.issue(now, &ticket(nonce));
        }
        let bounds = Bounds {
            tickets: 2,
            ..Bounds::default()
        };
        let handover = before.take_handover(now);
        let mut after = OrderTable::from_handover(Fence(9), bounds, now, handover);
        assert!(after.is_empty());
        let ticket = ticket(1);
        assert_eq!(
            after.try_start(now, &ticket, &ticket.scope),
            StartDecision::Stale
        );
    }

    #[test]
    fn rejects_tickets_of_another_tenure_or_scope() {
        let mut table = table(8);
        let now = BootInstant::from_millis(10);
        let mut old = ticket(1);
        old.fence = Fence(6);
        assert_eq!(table.try_start(now, &old, &old.scope), StartDecision::Stale);
        let other = TicketScope::new("agadir-1", "credits", KeyHash(5));
        assert_eq!(
            table.try_start(now, &ticket(1), &other),
            StartDecision::Mismatch
        );
    }
}
