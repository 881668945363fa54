//! Who owns which shard: terms, leases, fences and the assignment of shards.
//!
//! Everything here is pure: instants come in, decisions go out. The daemon feeds the
//! machines, and the property tests drive the same code with a clock of their own.

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
