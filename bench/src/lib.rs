//! Stand-ins of the platform, the back ends and the callers, and the checker of what they record.

pub mod caller;
pub mod checker;
pub mod deployment;
pub mod prober;
pub mod quantile;
pub mod replay;
pub mod resource_usage;
pub mod stand_in;
pub mod trace;
