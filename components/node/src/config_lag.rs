//! How long this process has lacked versions of the configuration that peers have.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::Notify;
use world::instant::BootInstant;

/// Most versions that are remembered; of more, the first ones are kept.
const MAX_VERSIONS: usize = 64;

/// The versions that peers have announced and that are not in force here.
#[derive(Debug, Default)]
pub struct ConfigLag {
    /// When each was first heard of; all are later than the one in force.
    heard: RefCell<BTreeMap<u64, BootInstant>>,
    /// Notified when a further one is heard of.
    heard_more: Notify,
}

impl ConfigLag {
    /// Records at `now` that a peer has `version`; `in_force` is the version here.
    pub fn on_peer_version(&self, version: u64, in_force: u64, now: BootInstant) {
        let mut heard = self.heard.borrow_mut();
        if version > in_force && heard.len() < MAX_VERSIONS {
            heard.entry(version).or_insert(now);
            self.heard_more.notify_one();
        }
    }

    /// Waits until a peer has a version that is missing here.
    pub async fn heard_more(&self) {
        self.heard_more.notified().await;
    }

    /// Records at `now` that `version` is in force; returns how long a version up to it had been missing,
    /// zero if no peer had any of them before.
    pub fn on_in_force(&self, version: u64, now: BootInstant) -> Duration {
        let mut heard = self.heard.borrow_mut();
        let later = heard.split_off(&(version + 1));
        let reached = std::mem::replace(&mut *heard, later);
        longest_since(&reached, now)
    }

    /// Returns how long a version has been missing, zero if none is.
    #[must_use]
    pub fn missing_for(&self, now: BootInstant) -> Duration {
        longest_since(&self.heard.borrow(), now)
    }
}

fn longest_since(heard: &BTreeMap<u64, BootInstant>, now: BootInstant) -> Duration {
    let first = heard.values().min();
    first.map_or(Duration::ZERO, |at| now.since(*at))
}
