//! The status that each process announces to its peers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shards::incarnation::BackEndIncarnation;
use shards::lease::Lease;
use shards::revision::Revision;
use world::name::{MachineName, RegionName, ServiceName, ZoneName};

use super::Features;

/// Status of a process and its back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the machine.
    pub machine: MachineName,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Service of its back end.
    pub service: ServiceName,
    /// Address for connections of peers.
    pub address: SocketAddr,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Version of the status; rises with each change.
    pub version: u64,
    /// The back end, if it takes requests.
    pub back_end: Option<BackEndStatus>,
    /// Revision and content of the machine's lease.
    pub lease: Option<(Revision, Lease)>,
    /// Version of the configuration in force, 0 for none; without meaning if the process does not
    /// announce [`Features::configuration_versions`].
    pub catalog_version: u64,
    /// Whether the process reaches the store.
    pub store_reachable: bool,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// Offered load of the back end in eighths of its capacity; 0 for a service that is not divided
    /// by key.
    pub utilization_eighths: u32,
    /// What the process decodes; follows the encoded frame.
    #[serde(skip)]
    pub features: Features,
}

/// The part of a [`NodeStatus`] that changes often, a fifth of its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    /// Version of the status after the change.
    pub version: u64,
    /// See [`NodeStatus::lease`].
    pub lease: Option<(Revision, Lease)>,
    /// See [`NodeStatus::catalog_version`].
    pub catalog_version: u64,
    /// See [`NodeStatus::store_reachable`].
    pub store_reachable: bool,
    /// See [`NodeStatus::utilization_eighths`].
    pub utilization_eighths: u32,
    /// See [`BackEndStatus::cold`]; without meaning if there is no back end.
    pub cold: bool,
}

impl NodeStatus {
    /// Returns whether the process has a configuration of a later version than `version`.
    #[must_use]
    pub fn has_later_configuration(&self, version: u64) -> bool {
        self.features.configuration_versions && self.catalog_version > version
    }

    /// Returns whether the process has a configuration, of a version that can be compared.
    #[must_use]
    pub fn has_configuration(&self) -> bool {
        self.has_later_configuration(0)
    }

    /// Returns the change that leads from `previous` to this status; `None` if they also differ in
    /// what a [`StatusUpdate`] does not contain.
    #[must_use]
    pub fn update_since(&self, previous: &Self) -> Option<StatusUpdate> {
        let update = StatusUpdate {
            version: self.version,
            lease: self.lease,
            catalog_version: self.catalog_version,
            store_reachable: self.store_reachable,
            utilization_eighths: self.utilization_eighths,
            cold: self.back_end.as_ref().is_some_and(|b| b.cold),
        };
        (previous.with_update(update) == *self).then_some(update)
    }

    /// Returns the status after a change.
    #[must_use]
    pub fn with_update(&self, update: StatusUpdate) -> Self {
        let mut back_end = self.back_end.clone();
        if let Some(b) = &mut back_end {
            b.cold = update.cold;
        }
        Self {
            back_end,
            version: update.version,
            lease: update.lease,
            catalog_version: update.catalog_version,
            store_reachable: update.store_reachable,
            utilization_eighths: update.utilization_eighths,
            ..self.clone()
        }
    }

    /// Returns the status without the lease and utilization, which only machines of its service
    /// need.
    #[must_use]
    pub fn for_other_services(&self) -> Self {
        Self {
            lease: None,
            utilization_eighths: 0,
            ..self.clone()
        }
    }
}

/// A back end that takes requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackEndStatus {
    /// The run of the back end.
    pub incarnation: BackEndIncarnation,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it has just started and is slow.
    pub cold: bool,
}
