//! Stand-ins of the systems that plantaingauge works with.

pub mod back_end;
pub mod platform;
pub mod record;
pub mod server;
