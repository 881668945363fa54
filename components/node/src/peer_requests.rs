//! Requests of peers, remembered so that each runs at most once.
//!
//! A peer sends a request again with the same id after a lost connection. A copy on the lost
//! connection may arrive later than that, also after the request has ended or was cancelled; the id
//! is therefore remembered until no copy can be in time any more.

use std::collections::HashMap;
use std::time::Duration;

use balance::link_delay::OneWayDelay;
use tokio::task::AbortHandle;
use world::instant::BootInstant;

use crate::frame_stream::FrameSender;
use crate::outgoing::Outgoing;

/// Time for which a response is kept in case the peer reconnects and sends its request again;
/// longer than it waits for a reconnect.
const RESPONSE_RETENTION: Duration = Duration::from_millis(2_500);
/// Time without a request after which the clock of a peer's process is forgotten.
const CLOCK_RETENTION: Duration = Duration::from_secs(300);

/// Incarnation of the peer and its id of the request.
pub type PeerRequestId = (u64, u64);

struct PeerRequest {
    /// Connection over which it arrived last; `None` if only its cancellation has arrived.
    reply_to: Option<FrameSender>,
    /// When it ended or was cancelled; `None` while it runs.
    ended_at: Option<BootInstant>,
    /// Its encoded response, for [`RESPONSE_RETENTION`] after its end.
    response: Option<Outgoing>,
    task: Option<AbortHandle>,
    /// Instant from which a further copy would be too late to run.
    copies_until: BootInstant,
}

impl PeerRequest {
    /// Returns how long ago it ended; `None` while it runs.
    fn age(&self, now: BootInstant) -> Option<Duration> {
        self.ended_at.map(|at| now.since(at))
    }
}

/// The clock of a peer's process, by its requests over all its connections.
struct PeerClock {
    delay: OneWayDelay,
    used_at: BootInstant,
}

/// Requests of peers that are in flight here or have ended recently.
#[derive(Default)]
pub struct PeerRequests {
    requests: HashMap<PeerRequestId, PeerRequest>,
    /// Clocks by incarnation.
    clocks: HashMap<u64, PeerClock>,
}

impl PeerRequests {
    /// Returns the delay of a request that a peer sent at `sent_ms` on its clock and that arrives
    /// now, over whichever connection.
    pub fn observe_delay(&mut self, incarnation: u64, sent_ms: u64, now: BootInstant) -> Duration {
        let clock = self.clocks.entry(incarnation).or_insert(PeerClock {
            delay: OneWayDelay::default(),
            used_at: now,
        });
        clock.used_at = now;
        clock.delay.observe(sent_ms, now)
    }

    /// Records the arrival of a request, the copies of which may run until `copies_until`; returns
    /// whether it is the first copy, which is to be run.
    ///
    /// The response to any copy goes to `reply_to`.
    #[must_use]
    pub fn on_arrival(
        &mut self,
        id: PeerRequestId,
        reply_to: &FrameSender,
        copies_until: BootInstant,
    ) -> bool {
        if let Some(request) = self.requests.get_mut(&id) {
            request.reply_to = Some(reply_to.clone());
            if let Some(response) = &request.response {
                reply_to.send_outgoing(response);
            }
            return false;
        }
        let request = PeerRequest {
            reply_to: Some(reply_to.clone()),
            ended_at: None,
            response: None,
            task: None,
            copies_until,
        };
        self.requests.insert(id, request);
        true
    }

    /// Returns the connection over which a request arrived last.
    #[must_use]
    pub fn reply_to(&self, id: PeerRequestId) -> Option<&FrameSender> {
        self.requests.get(&id)?.reply_to.as_ref()
    }

    /// Records the task that runs a request.
    pub fn set_task(&mut self, id: PeerRequestId, task: AbortHandle) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.task = Some(task);
        }
    }

    /// Ends a request and sends its encoded response.
    pub fn on_response(&mut self, id: PeerRequestId, response: Outgoing, now: BootInstant) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(reply_to) = &request.reply_to {
            reply_to.send_outgoing(&response);
        }
        request.response = Some(response);
        request.ended_at = Some(now);
        request.task = None;
    }

    /// Cancels a request, also one that has not arrived yet: its task ends, no copy of it runs, and no
    /// more of its response is sent.
    pub fn cancel(&mut self, id: PeerRequestId, now: BootInstant) {
        let request = self.requests.entry(id).or_insert(PeerRequest {
            reply_to: None,
            ended_at: None,
            response: None,
            task: None,
            copies_until: now,
        });
        request.ended_at = Some(now);
        request.response = None;
        if let Some(reply_to) = &request.reply_to {
            reply_to.stop(id.1);
        }
        if let Some(task) = request.task.take() {
            task.abort();
        }
    }

    /// Drops responses that have been kept for their retention time, and what no copy can follow.
    pub fn evict_expired(&mut self, now: BootInstant) {
        self.requests.retain(|_, request| {
            let retained = request.age(now).is_none_or(|a| a < RESPONSE_RETENTION);
            if !retained {
                request.response = None;
            }
            retained || now < request.copies_until + RESPONSE_RETENTION
        });
        let is_used = |clock: &PeerClock| now.since(clock.used_at) < CLOCK_RETENTION;
        self.clocks.retain(|_, clock| is_used(clock));
    }

    /// Returns the number of requests that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let requests = self.requests.values();
        requests.filter(|r| r.ended_at.is_none()).count()
    }
}
