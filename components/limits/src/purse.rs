//! Tokens that a daemon has borrowed for one customer and kind of request.

use std::time::Duration;

use world::instant::BootInstant;

/// Time that a block is meant to last at the recent demand.
const BLOCK_SPAN: Duration = Duration::from_millis(100);

/// Time without requests after which the demand is forgotten.
const IDLE_SPAN: Duration = Duration::from_secs(1);

/// Largest block in tokens.
const MAX_BLOCK: u32 = 4096;

/// What a daemon may do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spend {
    /// A token was spent: the request may go on.
    Paid,
    /// Nothing is left; borrow this many tokens and try again.
    Borrow(u32),
    /// The keeper had nothing to lend; it may have after this time.
    Empty(Duration),
}

/// Borrowed tokens.
#[derive(Clone, Debug)]
pub struct Purse {
    tokens: u32,
    expires: BootInstant,
    empty_until: BootInstant,
    /// Requests since `counted`.
    demand: u32,
    counted: BootInstant,
    block: u32,
}

impl Purse {
    /// An empty purse.
    #[must_use]
    pub fn new(now: BootInstant) -> Self {
        Self {
            tokens: 0,
            expires: now,
            empty_until: now,
            demand: 0,
            counted: now,
            block: 1,
        }
    }

    /// Spends a token for a request that arrives at `now`.
    pub fn spend(&mut self, now: BootInstant) -> Spend {
        self.measure(now);
        self.demand += 1;
        self.retry(now)
    }

    /// Spends a token for a request that was counted before.
    pub fn retry(&mut self, now: BootInstant) -> Spend {
        if now >= self.expires {
            self.tokens = 0;
        }
        if self.tokens > 0 {
            self.tokens -= 1;
            return Spend::Paid;
        }
        if now < self.empty_until {
            return Spend::Empty(self.empty_until.since(now));
        }
        Spend::Borrow(self.block)
    }

    /// Takes in a block that was asked for at `sent`; it expires `valid` later.
    pub fn on_lent(&mut self, sent: BootInstant, tokens: u32, valid: Duration) {
        let expires = sent + valid;
        if self.tokens == 0 || expires < self.expires {
            self.expires = expires;
        }
        self.tokens += tokens;
    }

    /// Notes that the keeper had nothing to lend.
    pub fn on_empty(&mut self, now: BootInstant, retry_after: Duration) {
        self.empty_until = now + retry_after;
    }

    /// Tells whether the purse holds nothing that a new one would lack.
    #[must_use]
    pub fn is_idle(&self, now: BootInstant) -> bool {
        let waits = now < self.expires || now < self.empty_until;
        !waits && now.since(self.counted) >= IDLE_SPAN
    }

    fn measure(&mut self, now: BootInstant) {
        if now.since(self.counted) < BLOCK_SPAN {
            return;
        }
        self.block = self.demand.clamp(1, MAX_BLOCK);
        self.demand = 0;
        self.counted = now;
    }
}
