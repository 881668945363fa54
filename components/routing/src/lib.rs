//! Where a request goes and whether it may be tried again.

pub mod observed;
pub mod pick;
pub mod retry;
