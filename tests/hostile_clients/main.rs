//! Clients that misbehave, at each port of the real process.
//!
//! Each case checks that the process survives, that its peak memory and open descriptors stay within
//! its limits, and that it answers an ordinary request while the misbehaving clients are still
//! connected.

mod bodies;
mod calm;
mod connections;
mod crowd;
mod heads;
mod peers;
mod process;
mod responses;
