//! Back ends of which a response has said that they leave.

use std::cell::RefCell;
use std::collections::VecDeque;

use bytes::Bytes;
use platform::message;
use shards::incarnation::BackEndIncarnation;

use crate::node::Node;

/// Most back ends that are remembered; the oldest are forgotten first.
const MAX_LEAVING: usize = 256;

/// Incarnations that have said that they leave, as far as this process has seen their responses.
///
/// The process beside a back end takes it out for all. It may restart and forget; the processes whose
/// callers have received such a response do not.
#[derive(Default)]
pub struct LeavingBackEnds(RefCell<VecDeque<BackEndIncarnation>>);

impl LeavingBackEnds {
    /// Returns whether an incarnation has said that it leaves.
    #[must_use]
    pub fn contains(&self, incarnation: &BackEndIncarnation) -> bool {
        self.0.borrow().contains(incarnation)
    }

    fn insert(&self, incarnation: BackEndIncarnation) {
        let mut incarnations = self.0.borrow_mut();
        if incarnations.len() == MAX_LEAVING {
            incarnations.pop_front();
        }
        incarnations.push_back(incarnation);
    }
}

/// Remembers a back end if the header of its response says that it leaves; returns whether that is
/// new.
pub fn on_response<'a>(
    node: &Node,
    incarnation: &BackEndIncarnation,
    headers: impl IntoIterator<Item = (&'a Bytes, &'a Bytes)>,
) -> bool {
    if !message::is_leaving(headers) || node.leaving.contains(incarnation) {
        return false;
    }
    node.leaving.insert(incarnation.clone());
    log::info!(event = "back-end-leaving", id = incarnation.id.as_str(), born = incarnation.born; "");
    true
}
