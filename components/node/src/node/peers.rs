//! Peers: their connections, frames and distances.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use balance::choice::Distance;
use rand::seq::IteratorRandom;
use shards::lease::Lease;
use shards::manager::{KeyClaim, Versioned};
use shards::revision::{Revision, StoreEra};
use timer::{BootClock, Clock};
use world::instant::BootInstant;
use world::name::{MachineName, RegionName, ServiceName};

use super::Node;
use super::keys::assignment_frame;
use crate::departures::Departure;
use crate::frame::{Features, Frame, NodeStatus, StatusUpdate};
use crate::frame_stream::FrameSender;
use crate::link::keep_connected;
use crate::peer::Peer;
use crate::single_request::SingleRequest;
use crate::suspects::{self, CrashReport, Source};

impl Node {
    /// Returns all known peers, connected or not.
    #[must_use]
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// Returns the peer on a machine, if it is known.
    #[must_use]
    pub fn peer(&self, machine: &MachineName) -> Option<Rc<Peer>> {
        self.peers.borrow().get(machine).cloned()
    }

    /// Returns a random connected peer whose status matches `predicate`.
    #[must_use]
    pub fn random_peer(&self, predicate: impl Fn(&NodeStatus) -> bool) -> Option<Rc<Peer>> {
        let peers = self.peers.borrow();
        let candidates = peers
            .values()
            .filter(|p| p.is_connected() && p.with_status(&predicate) == Some(true));
        candidates.choose(&mut rand::rng()).cloned()
    }

    /// Returns a connected peer whose status matches `predicate`, one of the nearest ones, and its
    /// distance.
    #[must_use]
    pub fn nearest_peer(
        &self,
        predicate: impl Fn(&NodeStatus) -> bool,
    ) -> Option<(Rc<Peer>, Distance)> {
        [Distance::Zone, Distance::Region, Distance::Remote]
            .into_iter()
            .find_map(|distance| {
                let peer = self.random_peer(|s| self.distance(s) == distance && predicate(s))?;
                Some((peer, distance))
            })
    }

    /// Sends a frame to every connected peer.
    pub fn broadcast(&self, frame: &Frame) {
        for peer in self.peers.borrow().values() {
            peer.send(frame);
        }
    }

    /// Sends this machine's claim to its keys in an era of the store to the connected peers of its
    /// service.
    pub fn broadcast_claim(&self, era: StoreEra, claim: &KeyClaim) {
        let service = self.service();
        let frame = Frame::KeyClaim {
            machine: self.settings.machine.clone(),
            service: service.clone(),
            era,
            claim: Box::new(claim.clone()),
        };
        for peer in self.peers.borrow().values() {
            let receives = |s: &NodeStatus| s.service == service && s.features.store_eras;
            if peer.with_status(receives) == Some(true) {
                peer.send(&frame);
            }
        }
    }

    /// Sends reports of crashes to every connected peer that decodes them.
    pub fn broadcast_crashes(&self, reports: &[CrashReport]) {
        for peer in self.peers.borrow().values() {
            peer.send_crashes(reports);
        }
    }

    /// Adds the peer on a machine and keeps a connection to it open; updates the address of a known
    /// peer. Does nothing for this machine itself.
    pub fn add_peer(self: &Rc<Self>, machine: &MachineName, address: std::net::SocketAddr) {
        if *machine == self.settings.machine {
            return;
        }
        if let Some(peer) = self.peer(machine) {
            peer.set_listed_address(address);
            return;
        }
        log::info!(event = "peer-found", machine = machine.as_str(), address:% = address; "");
        let peer = Rc::new(Peer::new(machine.clone(), address));
        self.peers
            .borrow_mut()
            .insert(machine.clone(), Rc::clone(&peer));
        self.update_budgets();
        tokio::task::spawn_local(keep_connected(Rc::clone(self), peer));
    }

    /// Handles a connection to a peer that was opened or lost.
    pub fn on_link_change(&self) {
        self.keys_changed.notify_one();
    }

    /// Handles a frame from a peer that is not part of a request; replies go to `sender`.
    pub fn on_frame(self: &Rc<Self>, frame: Frame, sender: &FrameSender) {
        match frame {
            Frame::Hello(status) => self.on_hello(*status, sender),
            Frame::Catalog { version, document } => {
                self.metrics
                    .on_configuration_bytes("received", document.len());
                self.on_peer_configuration(version, Revision::NONE, &document);
            }
            Frame::PackedCatalog {
                version,
                revision,
                document,
            } => self.on_packed_configuration(version, revision, &document),
            Frame::CatalogRequest => self.send_configuration(Features::default(), sender),
            Frame::Assignment {
                service,
                revision,
                assignment,
            } => {
                self.assignments_request.end();
                self.on_store_era(revision.era());
                let value = *assignment;
                self.on_assignment(&service, Versioned { revision, value });
            }
            Frame::AssignmentChange {
                service,
                base,
                revision,
                change,
            } => {
                self.on_store_era(revision.era());
                self.on_assignment_change(&service, base, revision, *change);
            }
            Frame::AssignmentsRequest { known } => {
                for (service, stored) in self.assignments.borrow().iter() {
                    let up_to_date = |(s, revision): &(ServiceName, Revision)| {
                        s == service && *revision >= stored.revision
                    };
                    if !known.iter().any(up_to_date) {
                        sender.send(&assignment_frame(service, stored));
                    }
                }
            }
            Frame::CrashReports(reports) => {
                for report in &reports {
                    suspects::on_report(self, report, Source::Peer);
                }
            }
            Frame::CrashReportsWithExits(reports) => {
                for (mut report, exits) in reports {
                    report.count.exits = exits;
                    suspects::on_report(self, &report, Source::Peer);
                }
            }
            Frame::KeyClaim {
                machine,
                service,
                era,
                claim,
            } => {
                self.on_store_era(era);
                if service == self.service() {
                    let mut manager = self.shard_manager.borrow_mut();
                    manager.on_claim(machine, era, *claim);
                }
            }
            Frame::StoreEra(era) => self.on_store_era(era),
            Frame::Departures {
                machine,
                departures,
            } => self.on_departures(&machine, departures),
            Frame::Evacuations { revision, zones } => {
                self.on_store_era(revision.era());
                let now = BootClock.now();
                self.update_evacuations("peer", |e| e.on_peer_set(now, revision, &zones));
            }
            Frame::Ping { probe } => {
                sender.send(&Frame::Pong { probe });
            }
            Frame::Pong { .. } => {}
            Frame::Request(_)
            | Frame::StatusUpdate(_)
            | Frame::Response { .. }
            | Frame::Cancel { .. }
            | Frame::StoreRequest { .. }
            | Frame::StoreResponse { .. }
            | Frame::LargeRequest { .. }
            | Frame::LargeResponse { .. }
            | Frame::BodyPart { .. } => {
                log::warn!(event = "frame-unexpected"; "");
            }
        }
    }

    /// Requests assignments of a peer, unless such a request is in flight.
    pub(crate) fn request_assignments(&self, peer: &Peer) {
        if self.begin_request(&self.assignments_request, peer) {
            peer.send(&self.assignment_request());
        }
    }

    pub(super) fn begin_request(&self, request: &SingleRequest, peer: &Peer) -> bool {
        let is_connected = |machine: &MachineName| {
            let asked = self.peer(machine);
            asked.is_some_and(|p| p.is_connected())
        };
        request.begin(&peer.machine, BootClock.now(), is_connected)
    }

    /// Handles departures: those of a peer from its process, or from any peer those of which an earlier
    /// run of this process has told it.
    fn on_departures(&self, machine: &MachineName, departures: Vec<Departure>) {
        if *machine == self.settings.machine {
            self.on_departures_returned(departures);
        } else if let Some(peer) = self.peer(machine) {
            peer.on_departures(departures);
        }
    }

    fn on_hello(self: &Rc<Self>, status: NodeStatus, sender: &FrameSender) {
        self.on_peer_lease(status.lease);
        self.add_peer(&status.machine, status.address);
        let Some(peer) = self.peer(&status.machine) else {
            return;
        };
        if peer.update(status) {
            self.on_peer_version(&peer);
            self.keys_changed.notify_one();
        }
        let departures = peer.departures_to_return();
        if !departures.is_empty() {
            let machine = peer.machine.clone();
            sender.send(&Frame::Departures {
                machine,
                departures,
            });
        }
    }

    /// Handles a change of the status of the process `incarnation` on a machine.
    pub fn on_status_update(&self, machine: &MachineName, incarnation: u64, update: StatusUpdate) {
        self.on_peer_lease(update.lease);
        let peer = self.peer(machine);
        if let Some(peer) = peer.filter(|p| p.apply_update(incarnation, update)) {
            self.on_peer_version(&peer);
            self.keys_changed.notify_one();
        }
    }

    /// Learns of the era in which a peer's lease was written.
    fn on_peer_lease(&self, lease: Option<(Revision, Lease)>) {
        if let Some((revision, _)) = lease {
            self.on_store_era(revision.era());
        }
    }

    /// Returns the regions of the deployment without that of this machine.
    #[must_use]
    pub fn other_regions(&self) -> BTreeSet<RegionName> {
        let regions = self.settings.zones.values().cloned();
        regions.filter(|r| *r != self.settings.region).collect()
    }

    /// Starts a delay probe of a region and returns its number, `None` while an earlier probe is
    /// in flight.
    pub fn start_probe(&self, region: &RegionName, now: BootInstant) -> Option<u64> {
        let mut delays = self.link_delays.borrow_mut();
        delays.entry(region.clone()).or_default().start_probe(now)
    }

    /// Records the reply to a delay probe.
    pub fn on_pong(&self, peer: &Peer, probe: u64) {
        let mut delays = self.link_delays.borrow_mut();
        let delay = peer.with_status(|s| delays.get_mut(&s.region));
        if let Some(delay) = delay.flatten() {
            delay.on_probe_reply(probe, BootClock.now());
        }
    }

    /// Returns the round-trip queueing delay of frames to a region, 0 if it is unknown.
    #[must_use]
    pub fn link_delay(&self, region: &RegionName) -> Duration {
        let delays = self.link_delays.borrow();
        let delay = delays
            .get(region)
            .map(|d| d.queueing_delay(BootClock.now()));
        delay.unwrap_or_default()
    }

    /// Returns how far a machine is from this one.
    #[must_use]
    pub fn distance(&self, status: &NodeStatus) -> Distance {
        if status.zone == self.settings.zone {
            Distance::Zone
        } else if status.region == self.settings.region {
            Distance::Region
        } else {
            Distance::Remote
        }
    }
}
