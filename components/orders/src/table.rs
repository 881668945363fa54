//! The orders that one tenure of a shard remembers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use world::instant::BootInstant;
use world::key::Fence;

use crate::handover::{HandedFence, HandedOrder, Handover, Progress};
use crate::ticket::{Nonce, Scope, Ticket};

/// Bounds of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Tickets that one table remembers.
    pub tickets: usize,
    /// Bytes of recorded answers that one table keeps.
    pub answer_bytes: usize,
    /// Largest single answer that is kept, in bytes.
    pub one_answer: usize,
    /// Time from a ticket's issue to its expiry.
    pub lifetime: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            tickets: 4096,
            answer_bytes: 1 << 20,
            one_answer: 16 << 10,
            lifetime: Duration::from_secs(60),
        }
    }
}

/// A back end's answer as recorded for repetitions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// What to do with an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run it now; report the end with [`OrderTable::finish`].
    Run,
    /// It ran: give this answer.
    Replay(Recorded),
    /// It ran and its answer was too large to keep.
    RanBefore,
    /// It is running.
    InProgress,
    /// It was started and its end is not known.
    Unknown,
    /// The ticket belongs to another tenure: nothing is run.
    Stale,
    /// The ticket has expired, or was never issued by this table: nothing is run.
    Expired,
    /// The ticket was issued for something else: nothing is run.
    Mismatch,
}

/// How a started order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The back end answered.
    Answered(Recorded),
    /// There is proof that the back end did not run it; it may be started again.
    NotRun,
    /// Nothing is known.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Issued,
    Running,
    Answered(Recorded),
    Dropped,
    Unknown,
}

impl From<State> for Progress {
    fn from(state: State) -> Self {
        match state {
            State::Issued => Self::Issued,
            State::Running | State::Unknown => Self::Unknown,
            State::Answered(answer) => Self::Answered(answer),
            State::Dropped => Self::Dropped,
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    scope: Scope,
    state: State,
}

/// Orders of one tenure. Invariant: an entry leaves only after its ticket has expired, so a
/// nonce that is absent can never have been run by this tenure and still be accepted.
#[derive(Debug)]
pub struct OrderTable {
    fence: Fence,
    bounds: Bounds,
    entries: HashMap<Nonce, Entry>,
    /// Nonces by expiry. Invariant: the same nonces as in `entries`.
    expiry: VecDeque<(BootInstant, Nonce)>,
    answer_bytes: usize,
    /// Earlier tenures of which every ticket that is still valid is in `entries`.
    adopted: Vec<AdoptedFence>,
}

#[derive(Clone, Copy, Debug)]
struct AdoptedFence {
    fence: Fence,
    expires: BootInstant,
}

impl OrderTable {
    /// An empty table for the tenure under `fence`.
    #[must_use]
    pub fn new(fence: Fence, bounds: Bounds) -> Self {
        Self {
            fence,
            bounds,
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            answer_bytes: 0,
            adopted: Vec::new(),
        }
    }

    /// The table of a tenure that goes on with the orders of the one before. A hand-over with
    /// more tickets than the bounds allow is left out whole, so that its tickets are stale.
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
        let adopted = handover.fences.iter().map(|handed| AdoptedFence {
            fence: handed.fence,
            expires: now + handed.remaining.min(bounds.lifetime),
        });
        table.adopted = adopted.collect();
        let mut expiry: Vec<(BootInstant, Nonce)> = Vec::with_capacity(handover.orders.len());
        for order in handover.orders {
            expiry.push((now + order.remaining.min(bounds.lifetime), order.nonce));
            let state = table.state_of(order.progress);
            let scope = order.scope;
            table.entries.insert(order.nonce, Entry { scope, state });
        }
        expiry.sort_unstable();
        table.expiry = expiry.into();
        table
    }

    /// Goes on under a later fence of the same owner. Tickets of the earlier fences stay good.
    pub fn renew(&mut self, now: BootInstant, fence: Fence) {
        self.adopted.retain(|a| now < a.expires);
        self.adopted.push(AdoptedFence {
            fence: self.fence,
            expires: now + self.bounds.lifetime,
        });
        self.fence = fence;
    }

    /// Ends the tenure and gives its orders away; afterwards the table knows none.
    pub fn hand_over(&mut self, now: BootInstant) -> Handover {
        self.expire(now);
        let mut fences = vec![HandedFence {
            fence: self.fence,
            remaining: self.bounds.lifetime,
        }];
        fences.extend(
            self.adopted
                .drain(..)
                .filter(|a| now < a.expires)
                .map(|a| HandedFence {
                    fence: a.fence,
                    remaining: a.expires.since(now),
                }),
        );
        let mut orders = Vec::with_capacity(self.entries.len());
        for (expires, nonce) in std::mem::take(&mut self.expiry) {
            let Some(entry) = self.entries.remove(&nonce) else {
                continue;
            };
            orders.push(HandedOrder {
                nonce,
                scope: entry.scope,
                progress: entry.state.into(),
                remaining: expires.since(now),
            });
        }
        self.answer_bytes = 0;
        Handover { fences, orders }
    }

    fn state_of(&mut self, progress: Progress) -> State {
        match progress {
            Progress::Issued => State::Issued,
            Progress::Answered(answer) => self.keep(answer),
            Progress::Dropped => State::Dropped,
            Progress::Unknown => State::Unknown,
        }
    }

    /// Keeps an answer when it fits the bounds.
    fn keep(&mut self, answer: Recorded) -> State {
        let size = answer.body.len();
        let room = self.bounds.answer_bytes - self.answer_bytes;
        if size > self.bounds.one_answer.min(room) {
            return State::Dropped;
        }
        self.answer_bytes += size;
        State::Answered(answer)
    }

    /// Tells whether this table knows every valid ticket of a tenure.
    fn knows(&self, now: BootInstant, fence: Fence) -> bool {
        let adopted = self.adopted.iter();
        let mut adopted = adopted.filter(|a| now < a.expires);
        fence == self.fence || adopted.any(|a| a.fence == fence)
    }

    /// Largest single answer that the table keeps, in bytes.
    #[must_use]
    pub fn one_answer_limit(&self) -> usize {
        self.bounds.one_answer
    }

    /// Number of remembered tickets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no ticket is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Remembers a new ticket. Returns false when the table is full.
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

    /// Decides on an order with a ticket whose signature was checked.
    pub fn admit(&mut self, now: BootInstant, ticket: &Ticket, scope: &Scope) -> Admission {
        if ticket.scope != *scope {
            return Admission::Mismatch;
        }
        if !self.knows(now, ticket.fence) {
            return Admission::Stale;
        }
        self.expire(now);
        let Some(entry) = self.entries.get_mut(&ticket.nonce) else {
            return Admission::Expired;
        };
        if entry.scope != *scope {
            return Admission::Mismatch;
        }
        match &entry.state {
            State::Issued => {
                entry.state = State::Running;
                Admission::Run
            }
            State::Running => Admission::InProgress,
            State::Answered(answer) => Admission::Replay(answer.clone()),
            State::Dropped => Admission::RanBefore,
            State::Unknown => Admission::Unknown,
        }
    }

    /// Notes how a started order ended.
    pub fn finish(&mut self, ticket: &Ticket, end: End) {
        let running = self
            .entries
            .get(&ticket.nonce)
            .is_some_and(|e| e.state == State::Running);
        if !running {
            return;
        }
        let state = match end {
            End::NotRun => State::Issued,
            End::Unknown => State::Unknown,
            End::Answered(answer) => self.keep(answer),
        };
        if let Some(entry) = self.entries.get_mut(&ticket.nonce) {
            entry.state = state;
        }
    }

    /// Forgets expired tickets. A running order stays until it has ended.
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
                && let State::Answered(answer) = entry.state
            {
                self.answer_bytes -= answer.body.len();
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
            scope: Scope::new("tangier-4", "credits", KeyHash(5)),
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

    fn answer(size: usize) -> Recorded {
        Recorded {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Bytes::from(vec![b'x'; size]),
        }
    }

    #[test]
    fn replays_the_recorded_answer() {
        let mut table = table(8);
        let ticket = ticket(1);
        let now = BootInstant::from_millis(10);
        assert!(table.issue(now, &ticket));
        assert_eq!(table.admit(now, &ticket, &ticket.scope), Admission::Run);
        assert_eq!(
            table.admit(now, &ticket, &ticket.scope),
            Admission::InProgress
        );
        table.finish(&ticket, End::Answered(answer(3)));
        assert_eq!(
            table.admit(now, &ticket, &ticket.scope),
            Admission::Replay(answer(3))
        );
    }

    #[test]
    fn runs_again_only_with_proof_that_it_did_not_run() {
        let mut table = table(8);
        let now = BootInstant::from_millis(10);
        let (proved, lost) = (ticket(1), ticket(2));
        for ticket in [&proved, &lost] {
            table.issue(now, ticket);
            table.admit(now, ticket, &ticket.scope);
        }
        table.finish(&proved, End::NotRun);
        table.finish(&lost, End::Unknown);
        assert_eq!(table.admit(now, &proved, &proved.scope), Admission::Run);
        assert_eq!(table.admit(now, &lost, &lost.scope), Admission::Unknown);
    }

    #[test]
    fn refuses_a_ticket_when_full() {
        let mut table = table(1);
        let now = BootInstant::from_millis(10);
        assert!(table.issue(now, &ticket(1)));
        assert!(!table.issue(now, &ticket(2)));
        let later = now + Bounds::default().lifetime;
        assert!(table.issue(later, &ticket(2)));
        assert_eq!(
            table.admit(later, &ticket(1), &ticket(1).scope),
            Admission::Expired
        );
    }

    #[test]
    fn says_that_a_large_answer_was_not_kept() {
        let mut table = table(8);
        let now = BootInstant::from_millis(10);
        let ticket = ticket(1);
        table.issue(now, &ticket);
        table.admit(now, &ticket, &ticket.scope);
        table.finish(
            &ticket,
            End::Answered(answer(Bounds::default().one_answer + 1)),
        );
        assert_eq!(
            table.admit(now, &ticket, &ticket.scope),
            Admission::RanBefore
        );
    }

    #[test]
    fn goes_on_with_the_orders_of_the_tenure_before() {
        let mut before = table(8);
        let now = BootInstant::from_millis(10);
        let (issued, answered, started) = (ticket(1), ticket(2), ticket(3));
        for ticket in [&issued, &answered, &started] {
            before.issue(now, ticket);
        }
        before.admit(now, &answered, &answered.scope);
        before.finish(&answered, End::Answered(answer(3)));
        before.admit(now, &started, &started.scope);
        let handover = before.hand_over(now);
        assert!(before.is_empty());
        assert_eq!(before.hand_over(now).orders, Vec::new());
        let bounds = Bounds::default();
        let mut after = OrderTable::from_handover(Fence(9), bounds, now, handover);
        let mut admit = |ticket: &Ticket| after.admit(now, ticket, &ticket.scope);
        assert_eq!(admit(&issued), Admission::Run);
        assert_eq!(admit(&issued), Admission::InProgress);
        assert_eq!(admit(&answered), Admission::Replay(answer(3)));
        assert_eq!(admit(&started), Admission::Unknown);
        assert_eq!(admit(&ticket(4)), Admission::Expired);
    }

    #[test]
    fn goes_on_under_a_later_fence() {
        let mut table = table(8);
        let now = BootInstant::from_millis(10);
        let (old, mut new) = (ticket(1), ticket(2));
        new.fence = Fence(9);
        table.issue(now, &old);
        assert_eq!(table.admit(now, &old, &old.scope), Admission::Run);
        table.renew(now, Fence(9));
        table.issue(now, &new);
        table.finish(&old, End::Answered(answer(3)));
        assert_eq!(
            table.admit(now, &old, &old.scope),
            Admission::Replay(answer(3))
        );
        assert_eq!(table.admit(now, &new, &new.scope), Admission::Run);
        let late = now + Bounds::default().lifetime;
        assert_eq!(table.admit(late, &old, &old.scope), Admission::Stale);
    }

    #[test]
    fn leaves_out_a_handover_with_too_many_tickets() {
        let mut before = table(8);
        let now = BootInstant::from_millis(10);
        for nonce in 0..3 {
            before.issue(now, &ticket(nonce));
        }
        let bounds = Bounds {
            tickets: 2,
            ..Bounds::default()
        };
        let handover = before.hand_over(now);
        let mut after = OrderTable::from_handover(Fence(9), bounds, now, handover);
        assert!(after.is_empty());
        let ticket = ticket(1);
        assert_eq!(after.admit(now, &ticket, &ticket.scope), Admission::Stale);
    }

    #[test]
    fn refuses_tickets_of_another_tenure_or_scope() {
        let mut table = table(8);
        let now = BootInstant::from_millis(10);
        let mut old = ticket(1);
        old.fence = Fence(6);
        assert_eq!(table.admit(now, &old, &old.scope), Admission::Stale);
        let other = Scope::new("agadir-1", "credits", KeyHash(5));
        assert_eq!(table.admit(now, &ticket(1), &other), Admission::Mismatch);
    }
}
