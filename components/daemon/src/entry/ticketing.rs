//! Requests tickets for orders that came without one.

use std::sync::Arc;

use ownership::table::{self};
use peers::wire::{TicketReply, TicketRequest};
use world::error_kind::ErrorKind;
use world::key::KeyHash;

use crate::entry::{OWNER_WAIT, PreparedRequest, Refusal, await_route_change, remaining};
use crate::owner;
use crate::shared::Shared;

/// Returns the refusal of an order without a ticket, with a new ticket if one can be issued
/// within the deadline.
pub(super) async fn ticket_refusal(shared: &Arc<Shared>, prepared: &PreparedRequest) -> Refusal {
    loop {
        let reply = request_ticket(shared, prepared).await;
        let kind = match reply {
            Ok(reply) if reply.error.is_empty() => {
                let mut refusal = Refusal::from(ErrorKind::TicketRequired);
                refusal.ticket = Some(reply.ticket);
                return refusal;
            }
            Ok(reply) => ErrorKind::from_code(&reply.error).unwrap_or(ErrorKind::Internal),
            Err(kind) => kind,
        };
        let awaits_owner = matches!(kind, ErrorKind::NoOwner | ErrorKind::NotOwner);
        let expired = remaining(prepared).is_zero() || prepared.started.elapsed() >= OWNER_WAIT;
        if !awaits_owner || expired {
            return kind.into();
        }
        shared.counters.owner_waits.add();
        await_route_change(shared, remaining(prepared)).await;
    }
}

async fn request_ticket(
    shared: &Arc<Shared>,
    prepared: &PreparedRequest,
) -> Result<TicketReply, ErrorKind> {
    let head = &prepared.head;
    let ticket_request = TicketRequest {
        service: head.service.clone(),
        customer: head.customer.clone(),
        key_hash: head.key_hash,
    };
    let routes = shared.routes.load_full();
    let shard = table::shard_of(&head.service, KeyHash(head.key_hash));
    let owner = routes
        .owner(&head.service, shard)
        .ok_or(ErrorKind::NoOwner)?;
    if owner.name == shared.settings.name {
        return Ok(owner::issue_ticket(shared, &ticket_request));
    }
    let address = owner.traffic_address;
    let exchange = async {
        let mut client = shared.pool.traffic(address).await.ok()?;
        client
            .issue_ticket(ticket_request)
            .await
            .ok()
            .map(tonic::Response::into_inner)
    };
    match tokio::time::timeout_at(prepared.deadline, exchange).await {
        Ok(Some(reply)) => Ok(reply),
        Ok(None) => {
            shared.pool.evict(address);
            Err(ErrorKind::NoOwner)
        }
        Err(_) => Err(ErrorKind::DeadlineExceeded),
    }
}
