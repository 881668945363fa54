//! Small stand-ins of the systems that plantaingauge serves.

pub mod back_end;
pub mod platform;
pub mod record;
pub mod server;
