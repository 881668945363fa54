//! Blocks calls to chosen peers, so that fault experiments can cut links.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;

/// Addresses of peers that no call is sent to, shared by all clones. Empty outside experiments.
#[derive(Clone, Debug, Default)]
pub struct LinkFilter(Arc<ArcSwap<HashSet<SocketAddr>>>);

impl LinkFilter {
    /// Blocks exactly these addresses; all others are allowed again.
    pub fn set_blocked(&self, addresses: HashSet<SocketAddr>) {
        self.0.store(Arc::new(addresses));
    }

    /// Returns whether calls to `address` may be sent.
    #[must_use]
    pub fn allows(&self, address: SocketAddr) -> bool {
        !self.0.load().contains(&address)
    }
}
