//! Planned stops: shards are released before the daemon ends.

use std::time::Duration;

use store::client::Store;
use tokio::sync::oneshot;
use world::instant::BootInstant;

use crate::control::Control;

/// Time for the other daemons to learn that this one takes no new work.
const NOTICE: Duration = Duration::from_secs(1);

/// Further time for the next owners to take the orders of released shards.
const HANDOVER_WAIT: Duration = Duration::from_secs(1);

/// Time for the store to take in a resignation.
const RESIGNATION: Duration = Duration::from_millis(400);

/// A stop on its way.
pub(super) struct Stopping {
    started: BootInstant,
    /// Set once the daemon holds nothing; the stop ends then or when the store has answered.
    finish_by: Option<BootInstant>,
    reply: Option<oneshot::Sender<()>>,
}

impl<S: Store> Control<S> {
    pub(super) fn start_stop(&mut self, now: BootInstant, reply: oneshot::Sender<()>) {
        log::info!(event = "stopping", held = self.member.held_count(); "");
        self.stopping = Some(Stopping {
            started: now,
            finish_by: None,
            reply: Some(reply),
        });
        self.update_machine(now, |machine| machine.leaving = true);
    }

    pub(super) fn progress_stop(&mut self, now: BootInstant) {
        let Some(stopping) = &self.stopping else {
            return;
        };
        let elapsed = now.since(stopping.started);
        let finish_by = stopping.finish_by;
        let released = self.member.is_idle() || self.has_lapsed();
        let notice = if self.shared.handovers.is_empty() {
            NOTICE
        } else {
            NOTICE + HANDOVER_WAIT
        };
        let late = elapsed >= self.shared.settings.stop_timeout;
        match finish_by {
            None if (released && elapsed >= notice) || late => {
                if late {
                    log::warn!(event = "stop_timed_out", held = self.member.held_count(); "");
                }
                let wait = if self.role.is_some() {
                    RESIGNATION
                } else {
                    Duration::ZERO
                };
                self.resign(now);
                self.set_finish(now + wait);
            }
            Some(instant) if now >= instant || !self.writing => self.finish_stop(),
            _ => {}
        }
    }

    /// Tells whether the lease has lapsed and nothing is in flight under it.
    fn has_lapsed(&self) -> bool {
        let lapsed = self.member.lease_until() == BootInstant::default();
        let gates = self.shared.gates.load();
        lapsed
            && gates
                .iter()
                .chain(&self.closing)
                .all(|gate| gate.in_flight() == 0)
    }

    fn set_finish(&mut self, instant: BootInstant) {
        if let Some(stopping) = &mut self.stopping {
            stopping.finish_by = Some(instant);
        }
    }

    fn finish_stop(&mut self) {
        let reply = self.stopping.as_mut().and_then(|s| s.reply.take());
        if let Some(reply) = reply {
            log::info!(event = "released"; "");
            let _ = reply.send(());
        }
    }
}
