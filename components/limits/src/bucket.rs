//! The allowance of one customer for one kind of request, kept by one daemon.

use std::time::Duration;

use world::instant::BootInstant;
use world::name::MachineName;

/// Largest part of the tokens at hand that one loan takes, as a divisor, so that blocks get
/// smaller as the bucket empties and unspent blocks do not stop it from refilling.
const LOAN_DIVISOR: f64 = 4.0;

/// Tokens lent to one daemon until an instant.
#[derive(Clone, Debug, PartialEq)]
struct Loan {
    /// None for what a predecessor may have lent.
    borrower: Option<MachineName>,
    tokens: f64,
    expires: BootInstant,
}

/// A token bucket that lends blocks.
///
/// Invariant: tokens in the bucket and tokens lent, not expired and not known to be spent are
/// together at most the burst. A borrower asks again only when its last block is spent. In any window, borrowers can therefore spend at most the burst plus the rate
/// times the window: what is outstanding at its start plus what accrues during it.
#[derive(Clone, Debug)]
pub struct LendingBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    outstanding: f64,
    loans: Vec<Loan>,
    refilled: BootInstant,
}

/// What a borrower got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lent {
    /// Number of tokens; each pays for one request.
    pub tokens: u32,
    /// Wait until a token may be there, when none was lent.
    pub retry_after: Duration,
}

/// Wait that is named when no token is to be expected from the rate alone.
const LONG_WAIT: Duration = Duration::from_secs(60);

impl LendingBucket {
    /// A full bucket for a customer's first keeper.
    #[must_use]
    pub fn full(rate: u32, burst: u32, now: BootInstant) -> Self {
        Self {
            rate: f64::from(rate),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            outstanding: 0.0,
            loans: Vec::new(),
            refilled: now,
        }
    }

    /// A bucket for a keeper that does not know what its predecessor lent: a whole burst counts
    /// as lent until `expires`.
    #[must_use]
    pub fn successor(rate: u32, burst: u32, now: BootInstant, expires: BootInstant) -> Self {
        let mut bucket = Self::full(rate, burst, now);
        bucket.outstanding = bucket.tokens;
        bucket.loans.push(Loan {
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

    /// Lends up to `wanted` tokens until `expires` to a daemon that has none left.
    pub fn lend(
        &mut self,
        now: BootInstant,
        borrower: &MachineName,
        wanted: u32,
        expires: BootInstant,
    ) -> Lent {
        self.refill(now);
        self.settle(|loan| loan.borrower.as_ref() == Some(borrower));
        let block = (self.tokens / LOAN_DIVISOR).floor().max(1.0);
        let tokens = self.tokens.floor().min(f64::from(wanted)).min(block);
        if tokens < 1.0 {
            return Lent {
                tokens: 0,
                retry_after: self.wait(now),
            };
        }
        self.tokens -= tokens;
        self.outstanding += tokens;
        self.loans.push(Loan {
            borrower: Some(borrower.clone()),
            tokens,
            expires,
        });
        Lent {
            tokens: tokens as u32,
            retry_after: Duration::ZERO,
        }
    }

    /// Strikes loans off that can't be spent any more.
    fn settle(&mut self, ended: impl Fn(&Loan) -> bool) {
        self.loans.retain(|loan| !ended(loan));
        self.outstanding = self.loans.iter().map(|l| l.tokens).sum();
    }

    /// Time until a token may be there: until a loan expires when the bucket has no room.
    fn wait(&self, now: BootInstant) -> Duration {
        let room = self.burst - self.outstanding;
        if room < 1.0 {
            let expiry = self.next_expiry().map(|e| e.since(now));
            return expiry.unwrap_or(LONG_WAIT).min(LONG_WAIT);
        }
        if self.rate <= 0.0 {
            return LONG_WAIT;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / self.rate).min(LONG_WAIT)
    }

    fn refill(&mut self, now: BootInstant) {
        while let Some(expires) = self.next_expiry().filter(|e| *e <= now) {
            self.accrue(expires);
            self.settle(|loan| loan.expires <= expires);
        }
        self.accrue(now);
    }

    fn next_expiry(&self) -> Option<BootInstant> {
        self.loans.iter().map(|l| l.expires).min()
    }

    fn accrue(&mut self, until: BootInstant) {
        let accrued = until.since(self.refilled).as_secs_f64() * self.rate;
        self.refilled = self.refilled.max(until);
        let room = (self.burst - self.outstanding).max(0.0);
        self.tokens = (self.tokens + accrued).min(room);
    }
}
