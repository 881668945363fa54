//! Graceful shutdown: the daemon releases its shards and resigns before it ends.

use std::time::Duration;

use store::client::Store;
use tokio::sync::oneshot;
use world::instant::BootInstant;

use crate::control::Control;

/// Time for the other daemons to learn that this one is leaving.
const LEAVING_NOTICE: Duration = Duration::from_secs(1);

/// Further time for the next owners to take the orders of released shards.
const HANDOVER_WAIT: Duration = Duration::from_secs(1);

/// Longest wait for the write of a resignation.
const RESIGNATION_WAIT: Duration = Duration::from_millis(400);

/// A shutdown in progress.
pub(super) struct Shutdown {
    started: BootInstant,
    /// Set once the shards are released or the stop timeout has passed. The shutdown ends at this
    /// instant, or earlier when no write is in flight.
    finish_by: Option<BootInstant>,
    reply: Option<oneshot::Sender<()>>,
}

impl<S: Store> Control<S> {
    /// Marks the machine as leaving, upon which the coordinator moves its shards away.
    pub(super) fn start_shutdown(&mut self, now: BootInstant, reply: oneshot::Sender<()>) {
        log::info!(event = "stopping", held = self.member.holding_count(); "");
        self.shutdown = Some(Shutdown {
            started: now,
            finish_by: None,
            reply: Some(reply),
        });
        self.update_machine(now, |machine| machine.leaving = true);
    }

    /// Resigns once the shards are released or the stop timeout has passed, then ends the shutdown.
    pub(super) fn advance_shutdown(&mut self, now: BootInstant) {
        let Some(shutdown) = &self.shutdown else {
            return;
        };
        let elapsed = now.since(shutdown.started);
        let finish_by = shutdown.finish_by;
        let released = self.member.is_idle() || self.has_lapsed();
        let notice = if self.shared.handovers.is_empty() {
            LEAVING_NOTICE
        } else {
            LEAVING_NOTICE + HANDOVER_WAIT
        };
        let timed_out = elapsed >= self.shared.settings.stop_timeout;
        match finish_by {
            None if (released && elapsed >= notice) || timed_out => {
                if timed_out {
                    log::warn!(event = "stop_timed_out", held = self.member.holding_count(); "");
                }
                let wait = if self.role.is_some() {
                    RESIGNATION_WAIT
                } else {
                    Duration::ZERO
                };
                self.resign(now);
                self.set_finish_by(now + wait);
            }
            Some(instant) if now >= instant || !self.writing => self.finish_shutdown(),
            _ => {}
        }
    }

    /// Returns whether the lease has lapsed and no request is in flight.
    fn has_lapsed(&self) -> bool {
        let lapsed = self.member.lease_until() == BootInstant::default();
        let gates = self.shared.gates.load();
        lapsed
            && gates
                .iter()
                .chain(&self.draining)
                .all(|gate| gate.in_flight() == 0)
    }

    fn set_finish_by(&mut self, instant: BootInstant) {
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.finish_by = Some(instant);
        }
    }

    fn finish_shutdown(&mut self) {
        let reply = self.shutdown.as_mut().and_then(|s| s.reply.take());
        if let Some(reply) = reply {
            log::info!(event = "released"; "");
            let _ = reply.send(());
        }
    }
}
