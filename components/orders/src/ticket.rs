//! Tickets: signed permissions to run one order during one tenure of a shard.
//!
//! Encoded form, base64url without padding: version (1 byte), shard (2), fence (8), customer hash
//! (8), service hash (8), key hash (8), nonce (16), truncated BLAKE3 keyed hash of the preceding
//! bytes (16). Numbers are big-endian.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use snafu::Snafu;
use world::key::{Fence, KeyHash, Shard};

/// Length of an encoded ticket in bytes, before base64.
pub const TICKET_BYTES: usize = BODY_BYTES + MAC_BYTES;

const FORMAT_VERSION: u8 = 1;
const BODY_BYTES: usize = 1 + 2 + 8 + 8 + 8 + 8 + 16;
const MAC_BYTES: usize = 16;
const KEY_CONTEXT: &str = "plantaingauge 2026 order ticket";

/// The customer, service and key that a ticket is valid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketScope {
    /// Hash of the customer's name.
    pub customer: u64,
    /// Hash of the service's name.
    pub service: u64,
    /// Hash of the request's key.
    pub key: KeyHash,
}

impl TicketScope {
    /// Returns the scope of a customer's requests for one key of a service.
    #[must_use]
    pub fn new(customer: &str, service: &str, key: KeyHash) -> Self {
        let hash = |text: &str| KeyHash::new(text.as_bytes()).0;
        Self {
            customer: hash(customer),
            service: hash(service),
            key,
        }
    }
}

/// Identifier of an order, unique among the tickets of a tenure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Nonce(pub u128);

/// Permission to run one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Shard of the key.
    pub shard: Shard,
    /// Fence (fencing token) of the tenure that issued the ticket.
    pub fence: Fence,
    /// Customer, service and key that the ticket is valid for.
    pub scope: TicketScope,
    /// Identifier of the order.
    pub nonce: Nonce,
}

/// Error of [`TicketKey::decode`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum TicketError {
    /// The text is not base64 or has the wrong length or version.
    #[snafu(display("the ticket cannot be read"))]
    Malformed,
    /// The ticket was not signed with this key.
    #[snafu(display("the ticket was not issued by this deployment"))]
    Forged,
}

/// Key that tickets are signed with. Its `Debug` form does not show the key.
#[derive(Clone)]
pub struct TicketKey([u8; 32]);

impl std::fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TicketKey")
    }
}

impl TicketKey {
    /// Derives the key from the deployment's shared secret.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Signs a ticket and encodes it as text that is valid in a header.
    #[must_use]
    pub fn encode(&self, ticket: &Ticket) -> String {
        let body = encode_body(ticket);
        let mut bytes = Vec::with_capacity(TICKET_BYTES);
        bytes.extend_from_slice(&body);
        bytes.extend_from_slice(&self.mac(&body).as_bytes()[..MAC_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a ticket and verifies its signature.
    ///
    /// # Errors
    /// Fails when the text is not a ticket or was not signed with this key.
    pub fn decode(&self, text: &[u8]) -> Result<Ticket, TicketError> {
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TicketError::Malformed)?;
        if bytes.len() != TICKET_BYTES || bytes[0] != FORMAT_VERSION {
            return Err(TicketError::Malformed);
        }
        let (body, mac) = bytes.split_at(BODY_BYTES);
        if !constant_time_eq(&self.mac(body).as_bytes()[..MAC_BYTES], mac) {
            return Err(TicketError::Forged);
        }
        Ok(decode_body(body))
    }

    fn mac(&self, body: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, body)
    }
}

/// Compares two slices of equal length in constant time, so that the time taken does not reveal how
/// many leading bytes of a forged signature are right.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    left.iter()
        .zip(right)
        .fold(0, |difference, (l, r)| difference | (l ^ r))
        == 0
}

fn encode_body(ticket: &Ticket) -> [u8; BODY_BYTES] {
    let mut body = [0; BODY_BYTES];
    body[0] = FORMAT_VERSION;
    body[1..3].copy_from_slice(&ticket.shard.0.to_be_bytes());
    body[3..11].copy_from_slice(&ticket.fence.0.to_be_bytes());
    body[11..19].copy_from_slice(&ticket.scope.customer.to_be_bytes());
    body[19..27].copy_from_slice(&ticket.scope.service.to_be_bytes());
    body[27..35].copy_from_slice(&ticket.scope.key.0.to_be_bytes());
    body[35..].copy_from_slice(&ticket.nonce.0.to_be_bytes());
    body
}

fn decode_body(body: &[u8]) -> Ticket {
    let read_u64 = |offset: usize| {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&body[offset..offset + 8]);
        u64::from_be_bytes(bytes)
    };
    let nonce_high = u128::from(read_u64(35)) << 64;
    Ticket {
        shard: Shard(u16::from_be_bytes([body[1], body[2]])),
        fence: Fence(read_u64(3)),
        scope: TicketScope {
            customer: read_u64(11),
            service: read_u64(19),
            key: KeyHash(read_u64(27)),
        },
        nonce: Nonce(nonce_high | u128::from(read_u64(43))),
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn ticket(nonce: u128) -> Ticket {
        Ticket {
            shard: Shard(17),
            fence: Fence(5 << 32 | 9),
            scope: TicketScope::new("tangier-4", "credits", KeyHash(77)),
            nonce: Nonce(nonce),
        }
    }

    proptest! {
        #[test]
        fn can_read_back_a_ticket(nonce: u128) {
            let key = TicketKey::from_secret("secret");
            prop_assert_eq!(key.decode(key.encode(&ticket(nonce)).as_bytes()), Ok(ticket(nonce)));
        }

        #[test]
        fn errors_on_a_changed_ticket(nonce: u128, at in 0usize..TICKET_BYTES, bit in 0u8..8) {
            let key = TicketKey::from_secret("secret");
            let mut bytes = URL_SAFE_NO_PAD.decode(key.encode(&ticket(nonce))).expect("base64");
            bytes[at] ^= 1 << bit;
            let text = URL_SAFE_NO_PAD.encode(bytes);
            prop_assert!(key.decode(text.as_bytes()).is_err());
        }

        #[test]
        fn never_panics_on_arbitrary_text(text: Vec<u8>) {
            prop_assert!(TicketKey::from_secret("secret").decode(&text).is_err());
        }
    }

    #[test]
    fn errors_on_another_deployments_ticket() {
        let text = TicketKey::from_secret("one").encode(&ticket(1));
        let result = TicketKey::from_secret("two").decode(text.as_bytes());
        assert_eq!(result, Err(TicketError::Forged));
    }
}
