//! Token bucket for one customer and kind of request, which lends blocks of tokens to daemons.

use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

/// Reciprocal of the largest share of the available tokens that one loan takes. Blocks get smaller
/// as the bucket empties, so that unspent blocks do not keep it from refilling.
const MAX_LOAN_DIVISOR: f64 = 4.0;

/// Tokens that one daemon may spend until they expire.
#[derive(Clone, Debug, PartialEq)]
struct OutstandingLoan {
    /// `None` for tokens that an earlier bucket of this customer may have lent.
    borrower: Option<MachineName>,
    tokens: f64,
    expires: BootInstant,
}

/// A token bucket that lends blocks.
///
/// Invariant: the tokens in the bucket plus those lent, not expired and not known to be spent, are
/// at most `burst`. A borrower asks again only when its last block is spent. In any
/// window, borrowers can therefore spend at most `burst` plus `rate` times the window: what is
/// outstanding at its start plus what accrues during it.
#[derive(Clone, Debug)]
pub struct LendingBucket {
    /// Tokens per second.
    rate: f64,
    burst: f64,
    tokens: f64,
    /// Sum of the tokens in `loans`.
    outstanding: f64,
    loans: Vec<OutstandingLoan>,
    last_refill: BootInstant,
}

/// The answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Number of tokens lent, each for one request; 0 when none is available.
    pub tokens: u32,
    /// Time until a token may be available; zero when tokens were lent.
    pub retry_after: Duration,
}

/// Largest `retry_after`; also used when nothing accrues and no loan is to expire.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

impl LendingBucket {
    /// Returns a full bucket. Valid only when no earlier bucket of this customer has lent tokens.
    #[must_use]
    pub fn full(rate: u32, burst: u32, now: BootInstant) -> Self {
        Self {
            rate: f64::from(rate),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            outstanding: 0.0,
            loans: Vec::new(),
            last_refill: now,
        }
    }

    /// Returns an empty bucket for an allowance owner that does not know what the previous owner
    /// lent: a whole burst counts as lent until `expires`.
    #[must_use]
    pub fn with_unknown_loans(
        rate: u32,
        burst: u32,
        now: BootInstant,
        expires: BootInstant,
    ) -> Self {
        let mut bucket = Self::full(rate, burst, now);
        bucket.outstanding = bucket.tokens;
        bucket.loans.push(OutstandingLoan {
            borrower: None,
            tokens: bucket.tokens,
            expires,
        });
        bucket.tokens = 0.0;
        bucket
    }

    /// Adapts the bucket to an edited plan without creating tokens.
    pub fn resize(&mut self, rate: u32, burst: u32, now: BootInstant) {
        self.refill(now);
        self.rate = f64::from(rate);
        self.burst = f64::from(burst);
        self.tokens = self.tokens.min((self.burst - self.outstanding).max(0.0));
    }

    /// Lends up to `wanted` tokens until `expires`. The borrower must have no tokens left: its
    /// earlier loans no longer count as outstanding.
    pub fn lend(
        &mut self,
        now: BootInstant,
        borrower: &MachineName,
        wanted: u32,
        expires: BootInstant,
    ) -> Loan {
        self.refill(now);
        self.remove_loans(|loan| loan.borrower.as_ref() == Some(borrower));
        let block = (self.tokens / MAX_LOAN_DIVISOR).floor().max(1.0);
        let tokens = self.tokens.floor().min(f64::from(wanted)).min(block);
        if tokens < 1.0 {
            return Loan {
                tokens: 0,
                retry_after: self.time_to_token(now),
            };
        }
        self.tokens -= tokens;
        self.outstanding += tokens;
        self.loans.push(OutstandingLoan {
            borrower: Some(borrower.clone()),
            tokens,
            expires,
        });
        Loan {
            tokens: tokens as u32,
            retry_after: Duration::ZERO,
        }
    }

    /// Removes loans of which nothing can be spent any more.
    fn remove_loans(&mut self, is_over: impl Fn(&OutstandingLoan) -> bool) {
        self.loans.retain(|loan| !is_over(loan));
        self.outstanding = self.loans.iter().map(|l| l.tokens).sum();
    }

    /// Time until a token may be available. When loans take up the whole burst, that is the time
    /// until one of them expires, since nothing accrues before.
    fn time_to_token(&self, now: BootInstant) -> Duration {
        let room = self.burst - self.outstanding;
        if room < 1.0 {
            let expiry = self.next_expiry().map(|e| e.since(now));
            return expiry.unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER);
        }
        if self.rate <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / self.rate).min(MAX_RETRY_AFTER)
    }

    /// Accrues tokens up to `now`, from one expiry of a loan to the next: an expired loan makes
    /// room in the bucket from that instant on.
    fn refill(&mut self, now: BootInstant) {
        while let Some(expires) = self.next_expiry().filter(|expiry| *expiry <= now) {
            self.accrue(expires);
            self.remove_loans(|loan| loan.expires <= expires);
        }
        self.accrue(now);
    }

    fn next_expiry(&self) -> Option<BootInstant> {
        self.loans.iter().map(|l| l.expires).min()
    }

    fn accrue(&mut self, until: BootInstant) {
        let accrued = until.since(self.last_refill).as_secs_f64() * self.rate;
        self.last_refill = self.last_refill.max(until);
        let room = (self.burst - self.outstanding).max(0.0);
        self.tokens = (self.tokens + accrued).min(room);
    }
}
