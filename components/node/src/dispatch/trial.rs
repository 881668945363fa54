//! Dispatch of a request on trial: its copies run one at a time, all at the same machine.

use std::time::Duration;

use quarantine::fingerprint::Fingerprint;
use quarantine::trial;
use smallvec::SmallVec;
use timer::{BootClock, Clock};
use world::name::MachineName;

use super::{Completion, Destination, RequestDispatch};

/// Pause before a request is sent again to a back end that ran a copy of it.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl RequestDispatch<'_> {
    /// Selects the machine at which a request on trial runs, by its fingerprint alone: load and
    /// distance differ between the machines that choose.
    pub(super) fn trial_destination(
        &self,
        fingerprint: &Fingerprint,
        final_pass: bool,
    ) -> Option<(MachineName, Destination)> {
        let own = &self.node.settings.machine;
        let homes = self.homes();
        let is_local = self.local_back_end().is_some() && homes.allow(&self.node.settings.region);
        let local = is_local.then(|| (own.clone(), Destination::Local));
        let remote = self.node.peers().into_iter().filter_map(|peer| {
            let offers = peer.with_status(|s| self.offers_service(s) && homes.allow(&s.region));
            let is_usable = peer.is_connected() && offers == Some(true);
            is_usable.then(|| (peer.machine.clone(), Destination::Peer(peer)))
        });
        let usable: SmallVec<[(MachineName, Destination); 16]> = local
            .into_iter()
            .chain(remote)
            .filter(|(machine, _)| self.is_untried(machine, final_pass))
            .collect();
        let chosen = trial::choose(fingerprint, usable.iter().map(|(m, _)| m))?.clone();
        usable.into_iter().find(|(machine, _)| *machine == chosen)
    }

    /// Returns whether copies of the request must run one at a time.
    pub(super) fn is_on_trial(&self) -> bool {
        self.node.suspects.on_trial(&self.template).is_some()
    }

    /// Waits after a back end has refused the request because it runs a copy; gives up when the
    /// request has waited for its share of the time.
    pub(super) async fn await_copy(&mut self) -> Option<Completion> {
        if BootClock.now() >= self.reroute_until {
            return Some(self.give_up());
        }
        tokio::time::sleep(COPY_POLL_INTERVAL).await;
        None
    }
}
