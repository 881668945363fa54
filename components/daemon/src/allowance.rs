//! Rate limits by customer: borrows blocks of tokens from the allowance owner and lends them
//! where this daemon is the owner.
//!
//! The allowance owner of a customer is the daemon that owns the customer's shard of the
//! reserved service; it accounts for the customer's allowances in all other services.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use limits::bucket::{LendingBucket, Loan};
use limits::token_cache::{AcquireResult, TokenCache};
use lists::document::Allowance;
use ownership::table::{self, CUSTOMERS_SERVICE};
use peers::wire::{BorrowReply, BorrowRequest};
use world::error_kind::ErrorKind;
use world::instant::BootInstant;
use world::key::{KeyHash, Shard};
use world::name::{CustomerName, MachineName, ServiceName};

use crate::shared::Shared;

/// Time for which the tokens of a loan may be used, counted by the borrower from its request.
const LOAN_VALIDITY: Duration = Duration::from_millis(150);

/// Longest wait for a reply of the allowance owner.
const BORROW_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of token caches above which idle ones are removed.
const SWEEP_THRESHOLD: usize = 10_000;

/// Shortest time between two searches for idle token caches.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies one allowance: a customer's rate limit for the lookups or orders of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AllowanceId {
    /// The customer.
    pub customer: CustomerName,
    /// The service.
    pub service: ServiceName,
    /// True for orders, false for lookups.
    pub order: bool,
}

/// The token buckets that one tenure of a shard of customers accounts for.
#[derive(Debug)]
pub struct AllowanceOwner {
    buckets: HashMap<AllowanceId, LendingBucket>,
    /// Start of the tenure; loans of earlier owners are not known.
    tenure_start: BootInstant,
}

impl AllowanceOwner {
    /// Creates an owner without buckets, whose tenure starts at `now`.
    #[must_use]
    pub fn new(now: BootInstant) -> Self {
        Self {
            buckets: HashMap::new(),
            tenure_start: now,
        }
    }

    /// Lends tokens to a borrower, out of a bucket that starts with unknown loans. A loan counts
    /// for `margin` beyond its validity, as the clocks of the two machines may drift.
    fn lend(
        &mut self,
        now: BootInstant,
        margin: Duration,
        allowance_id: AllowanceId,
        allowance: Allowance,
        request: (&MachineName, u32),
    ) -> Loan {
        let loans_expired_at = self.tenure_start + LOAN_VALIDITY + margin;
        let bucket = self.buckets.entry(allowance_id).or_insert_with(|| {
            LendingBucket::with_unknown_loans(
                allowance.rate,
                allowance.burst,
                self.tenure_start,
                loans_expired_at,
            )
        });
        bucket.resize(allowance.rate, allowance.burst, now);
        let (borrower, wanted) = request;
        bucket.lend(now, borrower, wanted, now + LOAN_VALIDITY + margin)
    }
}

/// Token caches by allowance. The lock of a cache is held while it borrows, so that a daemon has
/// at most one borrow request in flight for each allowance.
#[derive(Debug, Default)]
pub struct TokenCaches(Mutex<CacheTable>);

#[derive(Debug, Default)]
struct CacheTable {
    caches: HashMap<AllowanceId, Arc<tokio::sync::Mutex<TokenCache>>>,
    next_sweep: BootInstant,
}

impl TokenCaches {
    /// Returns the cache of an allowance, after removing idle caches when there are too many.
    fn get_or_insert(
        &self,
        allowance_id: &AllowanceId,
        now: BootInstant,
    ) -> Arc<tokio::sync::Mutex<TokenCache>> {
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if table.caches.len() > SWEEP_THRESHOLD && now >= table.next_sweep {
            table.next_sweep = now + SWEEP_INTERVAL;
            let idle = |cache: &tokio::sync::Mutex<TokenCache>| {
                cache.try_lock().is_ok_and(|cache| cache.is_idle(now))
            };
            table.caches.retain(|_, cache| !idle(cache));
        }
        let new_cache = || Arc::new(tokio::sync::Mutex::new(TokenCache::new(now)));
        let cache = table
            .caches
            .entry(allowance_id.clone())
            .or_insert_with(new_cache);
        Arc::clone(cache)
    }
}

/// A request that got no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// `RateLimited`, or `NotServing` when the allowance owner can't be reached.
    pub kind: ErrorKind,
    /// Wait before the caller should retry.
    pub retry_after: Duration,
}

/// Takes one token for a request, borrowing from the customer's allowance owner when none is left.
///
/// # Errors
/// Refuses when the allowance is used up or the allowance owner can't be reached.
pub async fn acquire(shared: &Shared, allowance_id: &AllowanceId) -> Result<(), Refusal> {
    let cache = shared
        .token_caches
        .get_or_insert(allowance_id, shared.now());
    let mut cache = cache.lock().await;
    let mut result = cache.acquire(shared.now());
    if let AcquireResult::Borrow(wanted) = result {
        let sent_at = shared.now();
        let reply = borrow(shared, allowance_id, wanted).await?;
        let retry_after = Duration::from_millis(u64::from(reply.retry_after_ms));
        if reply.granted > 0 {
            let valid = Duration::from_millis(u64::from(reply.valid_ms));
            cache.on_loan(sent_at, reply.granted, valid);
        } else {
            cache.on_exhausted(shared.now(), retry_after);
        }
        result = cache.acquire_after_borrow(shared.now());
    }
    match result {
        AcquireResult::Acquired => Ok(()),
        AcquireResult::Exhausted(retry_after) => {
            shared.counters.rate_limited.add();
            Err(Refusal {
                kind: ErrorKind::RateLimited,
                retry_after,
            })
        }
        AcquireResult::Borrow(_) => Err(owner_unreachable()),
    }
}

fn owner_unreachable() -> Refusal {
    let kind = ErrorKind::NotServing;
    let retry_after = Duration::from_millis(u64::from(kind.response().retry_after_ms));
    Refusal { kind, retry_after }
}

/// Returns the shard of the reserved service whose owner accounts for a customer's allowances.
fn shard_of_customer(customer: &str) -> Shard {
    table::shard_of(CUSTOMERS_SERVICE, KeyHash::new(customer.as_bytes()))
}

async fn borrow(
    shared: &Shared,
    allowance_id: &AllowanceId,
    wanted: u32,
) -> Result<BorrowReply, Refusal> {
    let request = BorrowRequest {
        customer: allowance_id.customer.to_string(),
        service: allowance_id.service.to_string(),
        order: allowance_id.order,
        borrower: shared.settings.name.to_string(),
        wanted,
    };
    let shard = shard_of_customer(allowance_id.customer.as_str());
    let routes = shared.routes.load();
    let owner = routes
        .owner(CUSTOMERS_SERVICE, shard)
        .ok_or_else(owner_unreachable)?;
    if owner.name == shared.settings.name {
        return check_reply(lend(shared, &request));
    }
    let address = owner.traffic_address;
    let exchange = async {
        let mut client = shared.pool.traffic(address).await.ok()?;
        client
            .borrow(request)
            .await
            .ok()
            .map(tonic::Response::into_inner)
    };
    match tokio::time::timeout(BORROW_TIMEOUT, exchange).await {
        Ok(Some(reply)) => check_reply(reply),
        Ok(None) | Err(_) => {
            shared.pool.evict(address);
            Err(owner_unreachable())
        }
    }
}

fn check_reply(reply: BorrowReply) -> Result<BorrowReply, Refusal> {
    if reply.error.is_empty() {
        Ok(reply)
    } else {
        Err(owner_unreachable())
    }
}

/// Lends tokens to a daemon, this one included, as the customer's allowance owner.
#[must_use]
pub fn lend(shared: &Shared, request: &BorrowRequest) -> BorrowReply {
    match try_lend(shared, request) {
        Ok(loan) => BorrowReply {
            error: String::new(),
            granted: loan.tokens,
            valid_ms: u32::try_from(LOAN_VALIDITY.as_millis()).unwrap_or(0),
            retry_after_ms: u32::try_from(loan.retry_after.as_millis())
                .unwrap_or(u32::MAX)
                .max(1),
        },
        Err(kind) => BorrowReply {
            error: kind.to_string(),
            ..BorrowReply::default()
        },
    }
}

fn try_lend(shared: &Shared, request: &BorrowRequest) -> Result<Loan, ErrorKind> {
    let now = shared.now();
    let customer = CustomerName::new(&request.customer);
    let service = ServiceName::new(&request.service);
    let shard = shard_of_customer(&request.customer);
    let gates = shared.gates.load();
    let gate = gates
        .gate(CUSTOMERS_SERVICE, shard)
        .ok_or(ErrorKind::NotOwner)?;
    let _guard = gate.try_enter().ok_or(ErrorKind::NotOwner)?;
    if !shared.lease.load().is_held(now) {
        return Err(ErrorKind::NotOwner);
    }
    let lists = shared.lists.load();
    let lists = lists.as_ref().ok_or(ErrorKind::NotServing)?;
    let plan = lists
        .lists
        .plan_of(&customer)
        .ok_or(ErrorKind::UnknownCustomer)?;
    let terms = plan.services.get(&service).ok_or(ErrorKind::NotInPlan)?;
    let allowance = terms.allowance(request.order).ok_or(ErrorKind::NotInPlan)?;
    let allowance_id = AllowanceId {
        customer,
        service,
        order: request.order,
    };
    let margin = shared.settings.timing.with_clock_margin(LOAN_VALIDITY) - LOAN_VALIDITY;
    let borrower = MachineName::new(&request.borrower);
    let loan_request = (&borrower, request.wanted);
    Ok(gate
        .allowance_owner()
        .lend(now, margin, allowance_id, allowance, loan_request))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn allowance_id(number: usize) -> AllowanceId {
        AllowanceId {
            customer: CustomerName::new(&format!("customer-{number}")),
            service: ServiceName::new("credits"),
            order: false,
        }
    }

    #[test]
    fn drops_idle_caches_and_keeps_those_with_tokens() {
        let caches = TokenCaches::default();
        let start = BootInstant::from_millis(1_000);
        let later = start + Duration::from_secs(2);
        for number in 0..=SWEEP_THRESHOLD {
            caches.get_or_insert(&allowance_id(number), start);
        }
        let used = caches.get_or_insert(&allowance_id(7), start);
        let valid = Duration::from_millis(150);
        used.try_lock().expect("free").on_loan(later, 3, valid);
        drop(used);
        caches.get_or_insert(&allowance_id(SWEEP_THRESHOLD + 1), later);
        let cache = caches.get_or_insert(&allowance_id(7), later);
        let result = cache.try_lock().expect("free").acquire(later);
        assert_eq!(result, AcquireResult::Acquired);
        assert_eq!(caches.0.lock().expect("free").caches.len(), 2);
    }
}
