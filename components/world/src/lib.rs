//! The objects that plantaingauge routes between: machines in zones and regions,
//! the links that join them, customers, back ends and their contracts.

pub mod contract;
pub mod error_kind;
pub mod instant;
pub mod key;
pub mod machine;
pub mod name;
