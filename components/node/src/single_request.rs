//! Keeps requests for the same content to one at a time.

use std::cell::RefCell;
use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

/// Time after which a request without a response no longer counts as in flight.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether a request for some content is in flight, to whichever peer.
#[derive(Debug, Default)]
pub struct SingleRequest {
    sent: RefCell<Option<(MachineName, BootInstant)>>,
}

impl SingleRequest {
    /// Returns whether a request may be sent to `peer` at `now`, as none is in flight to a peer that
    /// `is_connected`; it then counts as sent.
    pub fn begin(
        &self,
        peer: &MachineName,
        now: BootInstant,
        is_connected: impl Fn(&MachineName) -> bool,
    ) -> bool {
        let mut sent = self.sent.borrow_mut();
        let in_flight = sent
            .as_ref()
            .is_some_and(|(peer, at)| now.since(*at) < RESPONSE_TIMEOUT && is_connected(peer));
        if !in_flight {
            *sent = Some((peer.clone(), now));
        }
        !in_flight
    }

    /// Records a response.
    pub fn end(&self) {
        *self.sent.borrow_mut() = None;
    }
}
