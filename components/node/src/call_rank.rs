//! Ranks of the requests that reach the entry.

use admission::rank::Rank;
use catalog::{Catalog, Route};

use crate::frame::ForwardedRequest;

/// Returns the rank of a request of a route; `parent` is the running request that waits for it.
///
/// Where a route has the top priority 0, a call inherits the priority of its parent. Elsewhere calls
/// alone have priority 0.
#[must_use]
pub fn assign(catalog: &Catalog, route: &Route, parent: Option<&ForwardedRequest>) -> Rank {
    match parent {
        None => Rank::request(route.priority),
        Some(parent) if catalog.has_top_priority => parent.rank().of_call(),
        Some(_) => Rank::request(0),
    }
}
