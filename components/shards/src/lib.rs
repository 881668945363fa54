//! Which back end holds which keys.
//!
//! All that several machines must agree on lies in two kinds of stored objects: one
//! [`assignment::Assignment`] a service and one [`lease::Lease`] a machine, both changed by
//! conditional writes only. [`manager::ShardManager`] decides for one machine what it grants to the
//! back end beside it and which changes it wants to write.

pub mod assignment;
pub mod incarnation;
pub mod key_report;
pub mod lease;
pub mod manager;
pub mod packed;
pub mod placement;
pub mod release;
pub mod span;
