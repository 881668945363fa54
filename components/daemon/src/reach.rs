//! Which other daemons can be reached; experiments cut links here.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;

/// Addresses that no call is sent to. Empty outside experiments.
#[derive(Clone, Debug, Default)]
pub struct Reach(Arc<ArcSwap<HashSet<SocketAddr>>>);

impl Reach {
    /// Cuts the links to these addresses and mends all others.
    pub fn set_cut(&self, addresses: HashSet<SocketAddr>) {
        self.0.store(Arc::new(addresses));
    }

    /// Tells whether calls to an address are sent.
    #[must_use]
    pub fn allows(&self, address: SocketAddr) -> bool {
        !self.0.load().contains(&address)
    }
}
