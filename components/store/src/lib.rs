//! Client of the platform's object store: versioned reads, conditional updates and watches.

pub mod client;
pub mod count;
pub mod http_client;
