//! Tells a peer that no longer responds from one whose link is busy.
//!
//! Over a dead link no byte arrives, and the kernel takes no more bytes once its send buffer is full.
//! Over a busy link one of the two goes on: bytes arrive, if only a part of a frame, or a write that
//! had to wait for room in the send buffer completes, for which the peer's machine has acknowledged
//! bytes. A write that completes at once says nothing, as the buffer takes it also over a dead link.

use std::time::Duration;

use world::instant::BootInstant;

/// Time without a received byte after which a peer with in-flight requests is pinged.
const PING_IDLE: Duration = Duration::from_millis(350);
/// Time without a sign of life after a ping before the connection is closed.
const PONG_TIMEOUT: Duration = Duration::from_millis(500);

/// What is known of a connection at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Signs {
    /// When bytes last arrived, or the connection was opened.
    pub last_received: BootInstant,
    /// When a write last completed that had to wait; `None` if none has.
    pub last_drained: Option<BootInstant>,
    /// Whether the peer owes a response.
    pub awaits_response: bool,
    /// Queueing delay of the links to the peer's region.
    pub link_delay: Duration,
}

/// What is to be done about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Keep,
    /// A ping is sent.
    Ping,
    /// The peer does not respond; the connection is closed.
    Dead,
}

/// Checks one connection, again and again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Liveness {
    ping_sent_at: Option<BootInstant>,
}

impl Liveness {
    /// Decides by the signs of life at `now`.
    pub fn check(&mut self, now: BootInstant, signs: Signs) -> Verdict {
        let is_answered = |at| signs.last_received >= at;
        if self.ping_sent_at.is_some_and(is_answered) || !signs.awaits_response {
            self.ping_sent_at = None;
        }
        match self.ping_sent_at {
            Some(at) => {
                let last_sign = signs.last_drained.map_or(at, |drained| drained.max(at));
                if now.since(last_sign) > PONG_TIMEOUT + signs.link_delay {
                    Verdict::Dead
                } else {
                    Verdict::Keep
                }
            }
            None if signs.awaits_response && now.since(signs.last_received) > PING_IDLE => {
                self.ping_sent_at = Some(now);
                Verdict::Ping
            }
            None => Verdict::Keep,
        }
    }
}
