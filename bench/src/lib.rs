//! Stand-ins of the platform, the back ends and the callers, and what judges them.

pub mod caller;
pub mod checker;
pub mod cpu;
pub mod deployment;
pub mod prober;
pub mod quantile;
pub mod replay;
pub mod stand_in;
pub mod trace;
