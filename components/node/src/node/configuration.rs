//! The configuration in force, and its exchange with peers.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;
use catalog::Catalog;
use catalog::freshness::{Freshness, StaleReason};
use platform::configuration;
use serde_json::Value;
use shards::revision::Revision;
use timer::{BootClock, Clock};
use world::instant::BootInstant;

use super::Node;
use crate::frame::{Features, Frame, NodeStatus};
use crate::frame_stream::FrameSender;
use crate::peer::Peer;
use crate::{cold_limit, config_readers, homes, packed};

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The decoded document.
    pub catalog: Rc<Catalog>,
    /// The document as stored, to send to peers.
    pub document: Rc<Value>,
    /// Latest revision at which it is known to be stored; [`Revision::NONE`] if it came without one.
    pub revision: Revision,
    /// The document, compressed for peers once one asks for it.
    packed: Rc<OnceCell<Bytes>>,
    /// When it was put in force.
    pub since: BootInstant,
}

impl ActiveConfig {
    /// Returns the document, compressed for peers.
    pub(crate) fn packed(&self) -> Bytes {
        let packed = self
            .packed
            .get_or_init(|| packed::pack(self.document.to_string().as_bytes()));
        packed.clone()
    }
}

impl Node {
    /// Returns the configuration in force, `None` until the first one arrives.
    #[must_use]
    pub fn active_config(&self) -> Option<ActiveConfig> {
        self.active_config.borrow().clone()
    }

    /// Returns the version of the configuration in force, 0 until the first one arrives.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        let config = self.active_config.borrow();
        config.as_ref().map_or(0, |c| c.catalog.version)
    }

    /// Records that the store's response to a request sent at `sent` has shown the configuration in
    /// force to be the newest.
    pub fn on_configuration_confirmed(&self, sent: BootInstant) {
        self.update_freshness(|f| f.on_confirmed(sent));
    }

    pub(super) fn update_freshness(&self, change: impl FnOnce(&mut Freshness)) {
        let mut freshness = self.config_freshness.get();
        change(&mut freshness);
        self.config_freshness.set(freshness);
    }

    /// Returns when the request was sent whose response last showed the configuration in force to be
    /// the newest.
    #[must_use]
    pub fn config_confirmed_at(&self) -> Option<BootInstant> {
        self.config_freshness.get().confirmed_at()
    }

    /// Returns the highest version of a configuration that is in force or is known not to be decodable.
    #[must_use]
    pub fn last_seen_version(&self) -> u64 {
        let unreadable = self.config_freshness.get().unreadable();
        self.configuration_version().max(unreadable.unwrap_or(0))
    }

    /// Returns why the configuration in force may be stale, if it may.
    ///
    /// A confirmation counts for half of the time within which a change must be in force, so that no
    /// version that must be in force is missed.
    #[must_use]
    pub fn config_staleness(&self) -> Option<StaleReason> {
        if self.active_config.borrow().is_none() {
            return Some(StaleReason::NoConfiguration);
        }
        let version = self.configuration_version();
        if self
            .random_peer(|s| s.has_later_configuration(version))
            .is_some()
        {
            return Some(StaleReason::LaterAtPeer);
        }
        let max_age = self.bounds.get().config_apply / 2;
        let freshness = self.config_freshness.get();
        freshness.staleness(version, BootClock.now(), max_age)
    }

    /// Puts a configuration of an unknown revision in force as [`Node::on_stored_configuration`] does.
    pub fn on_configuration(&self, document: Value, source: &str) -> bool {
        self.on_stored_configuration(document, Revision::NONE, source)
    }

    /// Puts a configuration that is stored at `revision` in force if it is valid and of a higher version
    /// than the current one; returns whether it did. `source` is logged.
    pub fn on_stored_configuration(
        &self,
        document: Value,
        revision: Revision,
        source: &str,
    ) -> bool {
        let catalog = match configuration::decode(&document) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(event = "configuration-refused", source, error:% = error; "");
                self.metrics.on_configuration("refused");
                let next = self.configuration_version() + 1;
                let version = configuration::version(&document).unwrap_or(next);
                self.update_freshness(|f| f.on_unreadable(version));
                return false;
            }
        };
        let version = catalog.version;
        if let Some(current) = self.active_config()
            && current.catalog.version >= version
        {
            self.metrics.on_configuration("outdated");
            if current.catalog.version == version {
                self.on_configuration_revision(revision);
            }
            if *current.document != document {
                log::info!(event = "configuration-outdated", version, in_force = current.catalog.version, source; "");
            }
            return false;
        }
        self.metrics.on_configuration("in-force");
        let now = BootClock.now();
        let missing_ms = self.config_lag.on_in_force(version, now).as_millis() as u64;
        log::info!(event = "configuration-in-force", version, source, missing_ms; "");
        homes::log_unknown(&self.settings, &catalog);
        *self.active_config.borrow_mut() = Some(ActiveConfig {
            catalog: Rc::new(catalog),
            document: Rc::new(document),
            revision,
            packed: Rc::default(),
            since: now,
        });
        cold_limit::apply(self);
        self.keys_changed.notify_one();
        self.announce();
        true
    }

    /// Records a revision at which the configuration in force is stored.
    fn on_configuration_revision(&self, revision: Revision) {
        if let Some(config) = self.active_config.borrow_mut().as_mut() {
            config.revision = config.revision.max(revision);
        }
    }

    /// Returns the latest revision at which the configuration in force is known to be stored.
    #[must_use]
    pub fn configuration_revision(&self) -> Revision {
        let config = self.active_config.borrow();
        config.as_ref().map_or(Revision::NONE, |c| c.revision)
    }

    /// Returns whether this process reads the configuration from the store.
    #[must_use]
    pub fn is_config_reader(&self) -> bool {
        let now = BootClock.now();
        let candidates = self.reader_candidates();
        config_readers::is_reader(candidates.iter().map(|p| now.since(p.last_received())))
    }

    /// Pings the peers that read the configuration in the place of this process, if they are silent.
    pub(crate) fn ping_config_readers(&self) {
        let now = BootClock.now();
        let candidates = self.reader_candidates();
        let silences = candidates.iter().map(|p| now.since(p.last_received()));
        for index in config_readers::to_ping(silences) {
            candidates[index].send(&Frame::Ping { probe: 0 });
        }
    }

    /// Returns the peers that read the configuration before this process does, the first ones first.
    fn reader_candidates(&self) -> Vec<Rc<Peer>> {
        let zone = &self.settings.zone;
        let could_read = |s: &NodeStatus| s.zone == *zone && s.store_reachable && !s.leaving;
        let peers = self.peers.borrow();
        let before = peers.range(..&self.settings.machine).map(|(_, peer)| peer);
        before
            .filter(|p| p.is_connected() && p.with_status(could_read) == Some(true))
            .cloned()
            .collect()
    }

    /// Requests the configuration of a peer, unless such a request is in flight; returns whether it is sent.
    pub(crate) fn request_configuration(&self, peer: &Peer) -> bool {
        if !self.begin_request(&self.config_request, peer) {
            return false;
        }
        self.metrics.on_configuration_request();
        let version = peer.with_status(|s| s.catalog_version);
        let missing_ms = self.config_lag.missing_for(BootClock.now()).as_millis() as u64;
        log::info!(event = "configuration-requested", machine = peer.machine.as_str(), version, missing_ms; "");
        peer.send(&Frame::CatalogRequest)
    }

    /// Sends the configuration in force to a process with these features.
    pub(crate) fn send_configuration(&self, features: Features, sender: &FrameSender) {
        let Some(config) = self.active_config() else {
            return;
        };
        let version = config.catalog.version;
        let (frame, bytes) = if features.packed_catalogs {
            let document = config.packed();
            let bytes = document.len();
            let revision = config.revision;
            let frame = Frame::PackedCatalog {
                version,
                revision,
                document,
            };
            (frame, bytes)
        } else {
            let document = config.document.to_string().into_bytes();
            let bytes = document.len();
            (Frame::Catalog { version, document }, bytes)
        };
        self.metrics.on_configuration_bytes("sent", bytes);
        sender.send(&frame);
    }

    pub(super) fn on_packed_configuration(&self, version: u64, revision: Revision, packed: &[u8]) {
        self.metrics
            .on_configuration_bytes("received", packed.len());
        self.on_store_era(revision.era());
        match packed::unpack(packed) {
            Ok(document) => self.on_peer_configuration(version, revision, &document),
            Err(error) => {
                self.config_request.end();
                log::warn!(event = "configuration-refused", version, error:% = error; "");
            }
        }
    }

    pub(super) fn on_peer_configuration(&self, version: u64, revision: Revision, document: &[u8]) {
        self.config_request.end();
        match serde_json::from_slice(document) {
            Ok(document) => {
                self.on_stored_configuration(document, revision, "peer");
            }
            Err(error) => {
                log::warn!(event = "configuration-refused", version, error:% = error; "");
            }
        }
    }

    /// Learns which version of the configuration a peer has.
    pub(super) fn on_peer_version(&self, peer: &Peer) {
        let version = peer.with_status(|s| s.has_configuration().then_some(s.catalog_version));
        if let Some(version) = version.flatten() {
            let in_force = self.configuration_version();
            self.config_lag
                .on_peer_version(version, in_force, BootClock.now());
        }
    }
}
