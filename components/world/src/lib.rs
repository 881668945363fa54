//! Shared domain types: machines in zones and regions, the links between them, customers, back ends
//! and their contracts, shards and fences, and the table of error responses.

pub mod contract;
pub mod error_kind;
pub mod excerpt;
pub mod instant;
pub mod key;
pub mod log_limit;
pub mod machine;
pub mod name;
pub mod rate;
