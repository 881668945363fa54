//! Requests whose connection to a back end broke, until it is known whether the back end exited.
//!
//! A broken connection alone does not show that the back end has exited: it may have reset just
//! this one. That it no longer listens, or that another incarnation reports, does.

use std::collections::VecDeque;
use std::time::Duration;

use world::instant::BootInstant;

use crate::fingerprint::Fingerprint;

/// Most requests that are kept; the oldest are dropped first.
const MAX_INTERRUPTED: usize = 256;
/// Time for which a request is kept; longer than a back end takes to come back after a crash.
const RETENTION: Duration = Duration::from_secs(20);

/// Numbers of the last crashes attributed to a request; 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownCrashes {
    /// Of this caller.
    pub own: u32,
    /// Of any caller.
    pub any_caller: u32,
}

/// A request whose connection to the back end broke while it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedRequest {
    /// What it is.
    pub fingerprint: Fingerprint,
    /// Crashes attributed to it that were known when it was sent.
    pub known: KnownCrashes,
    /// When it was sent.
    pub sent: BootInstant,
    /// When its connection broke.
    pub at: BootInstant,
}

/// Interrupted requests of the back ends on one machine; `I` identifies an incarnation.
#[derive(Clone, Debug)]
pub struct InterruptedRequests<I> {
    /// Ordered by the instant of the interruption.
    requests: VecDeque<(I, InterruptedRequest)>,
    /// The incarnation whose requests were taken last, and when the first of them was interrupted.
    last_exit: Option<(I, BootInstant)>,
}

impl<I> Default for InterruptedRequests<I> {
    fn default() -> Self {
        Self {
            requests: VecDeque::new(),
            last_exit: None,
        }
    }
}

impl<I: Clone + PartialEq> InterruptedRequests<I> {
    /// Returns the incarnation that ran a request which was sent to `sent_to` at `sent` and is
    /// interrupted now, while `current` is the one that sends heartbeats.
    ///
    /// A request that was sent after its back end had exited ran at the successor, which has the same
    /// address and may have the same id.
    #[must_use]
    pub fn runner<'a>(&self, sent_to: &'a I, current: &'a I, sent: BootInstant) -> &'a I {
        let exit = self.last_exit.as_ref().filter(|(i, _)| i == sent_to);
        if exit.is_some_and(|(_, at)| sent > *at) {
            current
        } else {
            sent_to
        }
    }

    /// Records a request that was interrupted while an incarnation ran it.
    pub fn insert(&mut self, incarnation: I, request: InterruptedRequest) {
        let is_kept = |r: &InterruptedRequest| request.at.since(r.at) <= RETENTION;
        self.requests.retain(|(_, r)| is_kept(r));
        if self.requests.len() == MAX_INTERRUPTED {
            self.requests.pop_front();
        }
        self.requests.push_back((incarnation, request));
    }

    /// Records that the back end has responded to a request sent at `sent`: it outlived what was
    /// interrupted before.
    pub fn on_response(&mut self, sent: BootInstant) {
        while self.requests.front().is_some_and(|(_, r)| r.at < sent) {
            self.requests.pop_front();
        }
    }

    /// Removes the interrupted requests of an incarnation that has exited, and returns those that it
    /// may have been running then: what was sent after the first interruption came too late, to a
    /// proxy that still accepts connections.
    pub fn take(&mut self, incarnation: &I) -> Vec<InterruptedRequest> {
        let is_taken = |(i, _): &(I, InterruptedRequest)| i == incarnation;
        let (taken, kept): (VecDeque<_>, _) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(is_taken);
        self.requests = kept;
        let exit = taken.front().map(|(_, r)| r.at);
        if let Some(at) = exit
            && self
                .last_exit
                .as_ref()
                .is_none_or(|(i, _)| i != incarnation)
        {
            self.last_exit = Some((incarnation.clone(), at));
        }
        let requests = taken.into_iter().map(|(_, r)| r);
        requests.filter(|r| Some(r.sent) <= exit).collect()
    }
}
