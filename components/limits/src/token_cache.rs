//! Tokens that a daemon has borrowed for one customer and kind of request and spends locally.

use std::time::Duration;

use world::instant::BootInstant;

/// Length of the window over which demand is counted; a block covers the demand of one window.
const DEMAND_WINDOW: Duration = Duration::from_millis(100);

/// Time since the last window started after which a cache without tokens counts as idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest block to borrow, in tokens.
const MAX_BLOCK_TOKENS: u32 = 4096;

/// Result of acquiring a token for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireResult {
    /// A token was spent: the request may proceed.
    Acquired,
    /// No token is left: borrow this many and call [`TokenCache::acquire_after_borrow`].
    Borrow(u32),
    /// The allowance is used up; tokens may be available after this time.
    Exhausted(Duration),
}

/// Borrowed tokens with their expiry, and the recent demand, which sets the size of the next block.
#[derive(Clone, Debug)]
pub struct TokenCache {
    tokens: u32,
    expires: BootInstant,
    /// Nothing is borrowed before this instant.
    next_borrow: BootInstant,
    /// Requests since `window_start`.
    demand: u32,
    window_start: BootInstant,
    /// Tokens to borrow at once: the demand of the last window.
    block_size: u32,
}

impl TokenCache {
    /// Returns a cache without tokens.
    #[must_use]
    pub fn new(now: BootInstant) -> Self {
        Self {
            tokens: 0,
            expires: now,
            next_borrow: now,
            demand: 0,
            window_start: now,
            block_size: 1,
        }
    }

    /// Spends a token for a request that arrives at `now`, and counts it as demand.
    pub fn acquire(&mut self, now: BootInstant) -> AcquireResult {
        self.update_window(now);
        self.demand += 1;
        self.acquire_after_borrow(now)
    }

    /// Spends a token for a request that [`TokenCache::acquire`] has counted already.
    pub fn acquire_after_borrow(&mut self, now: BootInstant) -> AcquireResult {
        if now >= self.expires {
            self.tokens = 0;
        }
        if self.tokens > 0 {
            self.tokens -= 1;
            return AcquireResult::Acquired;
        }
        if now < self.next_borrow {
            return AcquireResult::Exhausted(self.next_borrow.since(now));
        }
        AcquireResult::Borrow(self.block_size)
    }

    /// Adds a block that was requested at `sent` and expires `valid` later. All tokens expire with
    /// the block that expires first.
    pub fn on_loan(&mut self, sent: BootInstant, tokens: u32, valid: Duration) {
        let expires = sent + valid;
        if self.tokens == 0 || expires < self.expires {
            self.expires = expires;
        }
        self.tokens += tokens;
    }

    /// Records that no token was available to borrow; nothing is borrowed for `retry_after`.
    pub fn on_exhausted(&mut self, now: BootInstant, retry_after: Duration) {
        self.next_borrow = now + retry_after;
    }

    /// Returns whether the cache can be dropped: it holds no valid token, may borrow at once and
    /// has seen no recent demand.
    #[must_use]
    pub fn is_idle(&self, now: BootInstant) -> bool {
        let in_use = now < self.expires || now < self.next_borrow;
        !in_use && now.since(self.window_start) >= IDLE_TIMEOUT
    }

    fn update_window(&mut self, now: BootInstant) {
        if now.since(self.window_start) < DEMAND_WINDOW {
            return;
        }
        self.block_size = self.demand.clamp(1, MAX_BLOCK_TOKENS);
        self.demand = 0;
        self.window_start = now;
    }
}
