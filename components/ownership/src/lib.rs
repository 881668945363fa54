//! Who owns which shard: terms, leases, fences and the assignment of shards.
//!
//! The state machines do no input or output and read no clock: the caller passes in events and
//! instants and acts on the results. The daemon runs them on its control thread, the property
//! tests with a simulated clock.

pub mod assignment;
pub mod candidacy;
pub mod closing;
pub mod coordinator;
pub mod heartbeat;
pub mod member;
pub mod pledge;
pub mod record;
pub mod renewal;
pub mod succession;
pub mod table;
pub mod timing;
pub mod witness;
