//! Issues tickets for orders.

use orders::ticket::{Nonce, Ticket, TicketScope};
use peers::wire::{TicketReply, TicketRequest};
use world::error_kind::ErrorKind;
use world::key::KeyHash;

use crate::owner::{Failure, enter_gate};
use crate::shared::Shared;

/// Issues a ticket for a key; the reply carries an error when this daemon does not own it.
#[must_use]
pub fn issue_ticket(shared: &Shared, request: &TicketRequest) -> TicketReply {
    match try_issue(shared, request) {
        Ok(ticket) => TicketReply {
            error: String::new(),
            valid_ms: u32::try_from(shared.settings.orders.lifetime.as_millis()).unwrap_or(0),
            ticket,
        },
        Err(failure) => TicketReply {
            error: failure.kind.to_string(),
            ..TicketReply::default()
        },
    }
}

fn try_issue(shared: &Shared, request: &TicketRequest) -> Result<String, Failure> {
    let guard = enter_gate(shared, &request.service, request.key_hash)?;
    let gate = guard.gate();
    let ticket = Ticket {
        shard: gate.holding().id.shard,
        fence: gate.fence(),
        scope: TicketScope::new(
            &request.customer,
            &request.service,
            KeyHash(request.key_hash),
        ),
        nonce: Nonce(rand::random()),
    };
    if !gate.orders().issue(shared.now(), &ticket) {
        return Err(ErrorKind::TicketTableFull.into());
    }
    shared.counters.tickets.add();
    Ok(shared.ticket_key.encode(&ticket))
}
