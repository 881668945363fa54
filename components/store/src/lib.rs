//! Client of the platform's object API: versions, conditional updates and watches.

pub mod client;
pub mod count;
pub mod http_client;
