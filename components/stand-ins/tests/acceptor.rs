//! Addresses of servers that are closed.

use std::net::SocketAddr;
use std::sync::Arc;

use http1::response::Response;
use stand_ins::http;

/// Number of servers that take the address one after the other.
const SERVERS: usize = 300;

// Guards against tests that fail beside load, as the address of a back end is still in use when the next one
// starts there.
#[test]
fn the_address_of_a_closed_server_is_free_at_once() {
    let address = SocketAddr::from(([127, 79, 0, 1], 7_001));
    for _ in 0..SERVERS {
        let server = http::serve(address, Arc::new(|_| Some(Response::new(200)).into()));
        server.close();
    }
}
