//! How many times slower than usual the local back end says that its machine is.

use http1::response::Response;
use platform::message;
use shards::incarnation::BackEndIncarnation;
use timer::{BootClock, Clock};

use crate::node::Node;

/// Records how slow the incarnation `incarnation` of the local back end says in a response that its machine
/// is; a report of an earlier incarnation is ignored.
pub fn on_response(node: &Node, incarnation: &BackEndIncarnation, response: &Response) {
    let Some(factor) = message::back_end_load(response).and_then(|l| l.slowness) else {
        return;
    };
    if node.proxy.incarnation().as_ref() == Some(incarnation) {
        node.proxy.on_slowness(factor, BootClock.now());
    }
}
