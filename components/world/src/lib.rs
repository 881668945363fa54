//! The objects that plantaingauge routes between: machines in zones and regions,
//! the links that join them, customers, back ends and their contracts.

pub mod contract;
pub mod error_kind;
pub mod key;
pub mod machine;
pub mod moment;
pub mod name;
