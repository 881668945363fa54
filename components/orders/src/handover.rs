//! Order states that a tenure passes to the next one when its shard is released as planned. A
//! tenure is one period of ownership of a shard, identified by its fence (fencing token).

use std::time::Duration;

use world::key::Fence;

use crate::table::RecordedResponse;
use crate::ticket::{Nonce, TicketScope};

/// Orders of a tenure that has ended, for the tenure that follows it. At most one may take them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// The ended tenure and earlier ones of which `orders` holds every valid ticket.
    pub fences: Vec<HandoverFence>,
    /// Orders by expiry of their ticket, first to expire first.
    pub orders: Vec<HandoverOrder>,
}

/// Fence of a tenure whose tickets the next tenure accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverFence {
    /// Fence of the tenure.
    pub fence: Fence,
    /// Time until the last of its tickets has expired.
    pub remaining: Duration,
}

/// A ticket and the state of its order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverOrder {
    /// Identifier of the order.
    pub nonce: Nonce,
    /// What the ticket may be used for.
    pub scope: TicketScope,
    /// State of the order when the tenure ended.
    pub state: HandoverState,
    /// Time until the ticket expires.
    pub remaining: Duration,
}

/// State of an order when its tenure ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoverState {
    /// The order was never started, or there is proof that it did not run.
    Issued,
    /// The order ran and gave this response.
    Answered(RecordedResponse),
    /// The order ran; its response exceeded the bounds and was not kept.
    ResponseNotKept,
    /// The order was started; whether it ran is unknown.
    Unknown,
}
