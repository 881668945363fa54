//! Evacuated zones: what a change of the set means for keys, back end and peers.

use std::collections::BTreeSet;

use timer::{BootClock, Clock};
use world::excerpt::excerpt;
use world::name::{MachineName, ZoneName};

use super::Node;
use crate::evacuations::Evacuations;
use crate::frame::{Frame, RejectReason};

/// Share of the bound on evacuations for which requests for keys are still sent to the zone.
const KEYED_RATIO: f64 = 0.5;

impl Node {
    /// Returns whether a machine in the zone may get a request, for a key or not.
    #[must_use]
    pub fn may_use_zone(&self, zone: &ZoneName, keyed: bool) -> bool {
        let Some(since) = self.evacuations.borrow().since(zone) else {
            return true;
        };
        let bound = self.bounds.get().evacuation.unwrap_or_default();
        let limit = bound.mul_f64(KEYED_RATIO);
        keyed && BootClock.now().since(since) < limit
    }

    /// Checks whether the back end on this machine may get a request, for a key or not.
    ///
    /// # Errors
    /// Returns the reason of the rejection.
    pub fn check_evacuation(&self, keyed: bool) -> Result<(), RejectReason> {
        if self.may_use_zone(&self.settings.zone, keyed) {
            Ok(())
        } else {
            Err(RejectReason::NoBackEnd)
        }
    }

    /// Returns the machines of evacuated zones.
    #[must_use]
    pub fn evacuated_machines(&self) -> BTreeSet<MachineName> {
        let evacuations = self.evacuations.borrow();
        if evacuations.zones().next().is_none() {
            return BTreeSet::new();
        }
        let is_evacuated = |zone: &ZoneName| evacuations.since(zone).is_some();
        let peers = self.peers().into_iter();
        let mut machines: BTreeSet<MachineName> = peers
            .filter(|p| p.with_status(|s| is_evacuated(&s.zone)) == Some(true))
            .map(|p| p.machine.clone())
            .collect();
        if is_evacuated(&self.settings.zone) {
            machines.insert(self.settings.machine.clone());
        }
        machines
    }

    /// Returns the number of evacuated zones.
    #[must_use]
    pub fn evacuated_count(&self) -> usize {
        self.evacuations.borrow().zones().count()
    }

    /// Ends the evacuations that have lapsed.
    pub fn evict_lapsed_evacuations(&self) {
        let now = BootClock.now();
        self.update_evacuations("lapsed", |e| e.evict_lapsed(now));
    }

    /// Changes the set of evacuated zones; if it differs then, keys and peers learn of it. `source` is
    /// logged.
    pub fn update_evacuations(&self, source: &str, change: impl FnOnce(&mut Evacuations)) {
        let before: BTreeSet<ZoneName> = self.evacuations.borrow().zones().cloned().collect();
        let stored_before = self.evacuations.borrow().stored_zones();
        change(&mut self.evacuations.borrow_mut());
        let after: BTreeSet<ZoneName> = self.evacuations.borrow().zones().cloned().collect();
        for zone in after.difference(&before) {
            log::warn!(event = "evacuation", zone = excerpt(zone.as_str()), state = "begun", source; "");
        }
        for zone in before.difference(&after) {
            log::warn!(event = "evacuation", zone = excerpt(zone.as_str()), state = "ended", source; "");
        }
        let own = &self.settings.zone;
        if before.contains(own) && !after.contains(own) {
            self.assume_cold_after_evacuation();
        }
        if before != after {
            self.keys_changed.notify_one();
        }
        if stored_before != self.evacuations.borrow().stored_zones() {
            for peer in self.peers() {
                peer.send_evacuations(&self.evacuations_frame());
            }
        }
    }

    /// Returns the frame that tells a peer the set.
    pub(crate) fn evacuations_frame(&self) -> Frame {
        let evacuations = self.evacuations.borrow();
        Frame::Evacuations {
            revision: evacuations.revision(),
            zones: evacuations.stored_zones(),
        }
    }

    /// The back end may have been stopped and started during the evacuation.
    fn assume_cold_after_evacuation(&self) {
        let config = self.active_config();
        let service = self.service();
        let service = config
            .as_ref()
            .and_then(|c| c.catalog.services.get(&service));
        if let Some(service) = service {
            self.proxy.assume_cold(BootClock.now() + service.cold_start);
        }
    }
}
