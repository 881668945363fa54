//! Rank of a request: its priority, and whether a running request waits for it.

/// Rank of a request. A call, that is, a request that a back end makes while it runs another one, goes
/// before new requests of its priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    priority: u8,
    is_call: bool,
}

impl Rank {
    /// Lowest priority; larger numbers count as this one.
    pub const LOWEST_PRIORITY: u8 = 127;
    /// Bit of the encoded rank that marks a call.
    const CALL_BIT: u8 = 0x80;

    /// Rank of a new request; priority 0 runs first.
    #[must_use]
    pub fn request(priority: u8) -> Self {
        Self {
            priority: priority.min(Self::LOWEST_PRIORITY),
            is_call: false,
        }
    }

    /// Rank of a call that serves a request of this rank.
    #[must_use]
    pub fn of_call(self) -> Self {
        Self {
            is_call: true,
            ..self
        }
    }

    /// Its priority, without the distinction of calls.
    #[must_use]
    pub fn priority(self) -> u8 {
        self.priority
    }

    /// Whether a running request waits for it.
    #[must_use]
    pub fn is_call(self) -> bool {
        self.is_call
    }

    /// Place in the order of a queue; smaller ones go first.
    #[must_use]
    pub fn order(self) -> u8 {
        self.priority * 2 + u8::from(!self.is_call)
    }

    /// The rank with this place in the order.
    #[must_use]
    pub fn from_order(order: u8) -> Self {
        Self {
            priority: order / 2,
            is_call: order.is_multiple_of(2),
        }
    }

    /// Encodes the rank in one byte; that of a new request is its priority.
    #[must_use]
    pub fn encode(self) -> u8 {
        self.priority | if self.is_call { Self::CALL_BIT } else { 0 }
    }

    /// Decodes the byte of [`Rank::encode`].
    #[must_use]
    pub fn decode(byte: u8) -> Self {
        Self {
            priority: byte & !Self::CALL_BIT,
            is_call: byte & Self::CALL_BIT != 0,
        }
    }
}
