//! A soak: the real processes under random faults, which are injected from outside.
//!
//! What callers and back ends see is checked all the while; see [`ledger::Ledger`].

pub mod callers;
pub mod fleet;
pub mod ledger;
pub mod plan;
pub mod proxy;
pub mod run;
