//! Conversions between handed-over orders and their wire messages.

use std::time::Duration;

use orders::handover::{Handover, HandoverFence, HandoverOrder, HandoverState};
use orders::table::RecordedResponse;
use orders::ticket::{Nonce, TicketScope};
use ownership::table::Holding;
use world::key::{Fence, KeyHash};

use crate::convert::{self, WireError};
use crate::wire;

/// Converts the orders of a released tenure. Durations are sent in whole milliseconds, at most
/// `u32::MAX`.
#[must_use]
pub fn to_wire(released: &Holding, handover: Handover) -> wire::HandedOrders {
    let fences = handover.fences.iter().map(|handed| wire::HandedFence {
        fence: handed.fence.0,
        remaining_ms: millis(handed.remaining),
    });
    wire::HandedOrders {
        released: convert::holdings_to_wire(std::slice::from_ref(released)).pop(),
        fences: fences.collect(),
        orders: handover.orders.into_iter().map(order_to_wire).collect(),
    }
}

fn order_to_wire(order: HandoverOrder) -> wire::HandedOrder {
    let (progress, answer) = match order.state {
        HandoverState::Issued => (wire::Progress::Issued, None),
        HandoverState::ResponseNotKept => (wire::Progress::Dropped, None),
        HandoverState::Unknown => (wire::Progress::Unknown, None),
        HandoverState::Answered(response) => (
            wire::Progress::Answered,
            Some(wire::RecordedAnswer {
                status: u32::from(response.status),
                content_type: response.content_type,
                body: response.body,
            }),
        ),
    };
    wire::HandedOrder {
        nonce: order.nonce.0.to_be_bytes().to_vec().into(),
        customer_hash: order.scope.customer,
        service_hash: order.scope.service,
        key_hash: order.scope.key.0,
        remaining_ms: millis(order.remaining),
        progress: progress.into(),
        answer,
    }
}

/// Parses the orders of a released tenure.
///
/// # Errors
/// Returns an error that names the first invalid field.
pub fn from_wire(message: wire::HandedOrders) -> Result<(Holding, Handover), WireError> {
    let field = "released";
    let set = message.released.ok_or(WireError::Missing { field })?;
    let mut released = convert::holdings_from_wire(&[set])?;
    let released = released.pop().ok_or(WireError::Missing { field })?;
    let fences = message.fences.iter().map(|handed| HandoverFence {
        fence: Fence(handed.fence),
        remaining: duration(handed.remaining_ms),
    });
    let orders: Result<_, WireError> = message.orders.into_iter().map(order_from_wire).collect();
    let handover = Handover {
        fences: fences.collect(),
        orders: orders?,
    };
    Ok((released, handover))
}

fn order_from_wire(order: wire::HandedOrder) -> Result<HandoverOrder, WireError> {
    let out_of_range = |field| WireError::Range { field };
    let nonce = <[u8; 16]>::try_from(order.nonce.as_ref()).map_err(|_| out_of_range("nonce"))?;
    let state = match order.progress() {
        wire::Progress::Issued => HandoverState::Issued,
        wire::Progress::Dropped => HandoverState::ResponseNotKept,
        wire::Progress::Unknown => HandoverState::Unknown,
        wire::Progress::Answered => {
            let response = order.answer.ok_or(WireError::Missing { field: "answer" })?;
            HandoverState::Answered(RecordedResponse {
                status: u16::try_from(response.status).map_err(|_| out_of_range("status"))?,
                content_type: response.content_type,
                body: response.body,
            })
        }
        wire::Progress::Unspecified => return Err(out_of_range("progress")),
    };
    Ok(HandoverOrder {
        nonce: Nonce(u128::from_be_bytes(nonce)),
        scope: TicketScope {
            customer: order.customer_hash,
            service: order.service_hash,
            key: KeyHash(order.key_hash),
        },
        state,
        remaining: duration(order.remaining_ms),
    })
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn duration(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}
