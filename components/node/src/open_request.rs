//! Counts the requests of callers that a process must not leave behind when it stops.

use std::rc::Rc;

use crate::node::Node;

/// A caller's request, from when its first bytes have been read until its response has been written.
pub(crate) struct OpenRequest {
    node: Rc<Node>,
    /// Whether the connection closes after its response.
    pub(crate) close: bool,
}

impl OpenRequest {
    /// Counts a request as open until it is dropped.
    pub(crate) fn new(node: &Rc<Node>, close: bool) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        let node = Rc::clone(node);
        Self { node, close }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = &self.node.open_requests;
        open.set(open.get() - 1);
    }
}
