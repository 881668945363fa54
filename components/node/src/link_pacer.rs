//! Paces the bodies that the process sends, so that they do not queue on the machine's own link.
//!
//! The links to all peers share that link. What is queued there is sent in no order that the process
//! knows, so that small frames would wait behind the bodies of other links.

use std::cell::Cell;
use std::time::Duration;

use timer::{BootClock, Clock};
use tokio::sync::{Mutex, MutexGuard};
use world::instant::BootInstant;

/// Time for which bytes may queue on the link before the next part of a body is sent.
const MAX_BACKLOG: Duration = Duration::from_millis(10);
/// Share of the link's rate that the bytes of frames may take; the rest covers the headers of packets.
const USABLE_RATIO: f64 = 0.95;

/// When the link has sent what was written to it, by its stated rate.
#[derive(Debug, Default)]
pub struct LinkPacer {
    /// Bytes per second; `None` if it is not stated, so that nothing is paced.
    rate: Option<f64>,
    free_at: Cell<BootInstant>,
    /// Bodies of different connections take turns, in the order in which they ask.
    turn: Mutex<()>,
}

/// Permission to send one part of a body; other connections wait while it is held.
pub struct Turn<'a> {
    _guard: Option<MutexGuard<'a, ()>>,
}

impl LinkPacer {
    /// Creates the pacer of a link that sends `rate` bytes per second.
    #[must_use]
    pub fn new(rate: Option<f64>) -> Self {
        Self {
            rate: rate.map(|r| r * USABLE_RATIO),
            ..Self::default()
        }
    }

    /// Counts bytes that are written now.
    pub fn on_write(&self, bytes: usize) {
        if let Some(rate) = self.rate {
            let start = self.free_at.get().max(BootClock.now());
            self.free_at
                .set(start + Duration::from_secs_f64(bytes as f64 / rate));
        }
    }

    /// Waits until the next part of a body may be sent; the turn ends when it is dropped.
    pub async fn turn(&self) -> Turn<'_> {
        if self.rate.is_none() {
            return Turn { _guard: None };
        }
        let guard = self.turn.lock().await;
        loop {
            let backlog = self.free_at.get().since(BootClock.now());
            if backlog <= MAX_BACKLOG {
                return Turn {
                    _guard: Some(guard),
                };
            }
            tokio::time::sleep(backlog - MAX_BACKLOG).await;
        }
    }
}
