//! Assigns the keys of a service to machines and grants them to the machines' back ends.
//!
//! Machines agree through two kinds of stored objects, one [`assignment::Assignment`] per service
//! and one [`lease::Lease`] per machine, both changed by conditional writes only.
//! [`manager::ShardManager`] decides for one machine which keys it grants to its local back end and
//! which stored objects it changes.

pub mod assignment;
pub mod incarnation;
pub mod key_report;
pub mod lease;
pub mod manager;
pub mod packed;
pub mod placement;
pub mod release;
pub mod revision;
pub mod span;
