//! Stand-ins of what surrounds a process on the platform: the object store, back ends and callers.
//!
//! They speak the platform's protocol over blocking sockets, a thread a connection.

pub mod back_end;
pub mod call;
pub mod http;
pub mod layout;
pub mod store;
