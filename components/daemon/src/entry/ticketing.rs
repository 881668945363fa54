//! Tickets for orders that came without one.

use std::sync::Arc;

use ownership::table::{self};
use peers::wire::{TicketReply, TicketRequest};
use world::error_kind::ErrorKind;
use world::key::KeyHash;

use crate::entry::{OWNER_WAIT, Prepared, Refusal, await_news, remaining};
use crate::owner;
use crate::shared::Shared;

/// Refuses an order that has no ticket, with a ticket where one can be had.
pub(super) async fn ticket_refusal(shared: &Arc<Shared>, prepared: &Prepared) -> Refusal {
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
        let waits = matches!(kind, ErrorKind::NoOwner | ErrorKind::NotOwner);
        let late = remaining(prepared).is_zero() || prepared.started.elapsed() >= OWNER_WAIT;
        if !waits || late {
            return kind.into();
        }
        shared.counters.owner_waits.add();
        await_news(shared, remaining(prepared)).await;
    }
}

async fn request_ticket(
    shared: &Arc<Shared>,
    prepared: &Prepared,
) -> Result<TicketReply, ErrorKind> {
    let head = &prepared.head;
    let request = TicketRequest {
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
        return Ok(owner::issue_ticket(shared, &request));
    }
    let address = owner.traffic_address;
    let call = async {
        let mut client = shared.pool.traffic(address).await.ok()?;
        client
            .issue_ticket(request)
            .await
            .ok()
            .map(tonic::Response::into_inner)
    };
    match tokio::time::timeout_at(prepared.deadline, call).await {
        Ok(Some(reply)) => Ok(reply),
        Ok(None) => {
            shared.pool.forget(address);
            Err(ErrorKind::NoOwner)
        }
        Err(_) => Err(ErrorKind::DeadlineExceeded),
    }
}
