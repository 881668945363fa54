//! Stand-ins for what surrounds a node on the platform: the object store, back ends and callers.
//!
//! They speak the platform's protocol over blocking sockets, with one thread per connection.

pub mod back_end;
pub mod caller;
pub mod forwarder;
pub mod http;
pub mod key_holders;
pub mod layout;
pub mod store;
