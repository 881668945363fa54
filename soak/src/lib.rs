//! Soak test: runs real node processes and injects random faults from outside.
//!
//! Callers and back ends report what they see to an [`invariants::InvariantChecker`] throughout.

pub mod callers;
pub mod configuration;
pub mod crashing;
pub mod denials;
pub mod disturbances;
pub mod fleet;
pub mod invariants;
pub mod notices;
pub mod plan;
pub mod proxy;
pub mod run;
