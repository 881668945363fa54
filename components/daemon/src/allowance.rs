//! Allowances: what this daemon has borrowed, and what it lends as a customer's keeper.

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

/// Time for which a lent block may be spent, counted by the borrower from its request.
const LOAN_VALIDITY: Duration = Duration::from_millis(150);

/// Longest wait for a keeper's answer.
const BORROW_TIMEOUT: Duration = Duration::from_millis(150);

/// Purses above which idle ones are dropped.
const PURSE_LIMIT: usize = 10_000;

/// Time between two searches for idle purses.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// What an allowance is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Purpose {
    /// The customer.
    pub customer: CustomerName,
    /// The service.
    pub service: ServiceName,
    /// True for orders, false for lookups.
    pub order: bool,
}

/// Buckets kept during one tenure of a shard of customers.
#[derive(Debug)]
pub struct Keeper {
    buckets: HashMap<Purpose, LendingBucket>,
    /// Start of the tenure; what was lent before is not known.
    since: BootInstant,
}

impl Keeper {
    /// A keeper whose tenure starts at `now`.
    #[must_use]
    pub fn new(now: BootInstant) -> Self {
        Self {
            buckets: HashMap::new(),
            since: now,
        }
    }

    fn lend(
        &mut self,
        now: BootInstant,
        margin: Duration,
        purpose: Purpose,
        allowance: Allowance,
        loan: (&MachineName, u32),
    ) -> Loan {
        let settled = self.since + LOAN_VALIDITY + margin;
        let bucket = self.buckets.entry(purpose).or_insert_with(|| {
            LendingBucket::with_unknown_loans(allowance.rate, allowance.burst, self.since, settled)
        });
        bucket.resize(allowance.rate, allowance.burst, now);
        let (borrower, wanted) = loan;
        bucket.lend(now, borrower, wanted, now + LOAN_VALIDITY + margin)
    }
}

/// Purses by purpose. The lock of a purse is held while it borrows, so that a daemon has at
/// most one loan of a kind on its way.
#[derive(Debug, Default)]
pub struct Purses(Mutex<PurseTable>);

#[derive(Debug, Default)]
struct PurseTable {
    purses: HashMap<Purpose, Arc<tokio::sync::Mutex<TokenCache>>>,
    next_sweep: BootInstant,
}

impl Purses {
    fn purse(&self, purpose: &Purpose, now: BootInstant) -> Arc<tokio::sync::Mutex<TokenCache>> {
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if table.purses.len() > PURSE_LIMIT && now >= table.next_sweep {
            table.next_sweep = now + SWEEP_PERIOD;
            let idle = |purse: &tokio::sync::Mutex<TokenCache>| {
                purse.try_lock().is_ok_and(|purse| purse.is_idle(now))
            };
            table.purses.retain(|_, purse| !idle(purse));
        }
        let fresh = || Arc::new(tokio::sync::Mutex::new(TokenCache::new(now)));
        let purse = table.purses.entry(purpose.clone()).or_insert_with(fresh);
        Arc::clone(purse)
    }
}

/// Refusal of a request for lack of allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// When to come again.
    pub retry_after: Duration,
}

/// Pays for one request, borrowing from the customer's keeper when needed.
///
/// # Errors
/// Refuses when the allowance is used up or the keeper can't be reached.
pub async fn pay(shared: &Shared, purpose: &Purpose) -> Result<(), Refusal> {
    let purse = shared.purses.purse(purpose, shared.now());
    let mut purse = purse.lock().await;
    let mut spend = purse.acquire(shared.now());
    if let AcquireResult::Borrow(wanted) = spend {
        let sent = shared.now();
        let reply = borrow(shared, purpose, wanted).await?;
        let retry_after = Duration::from_millis(u64::from(reply.retry_after_ms));
        if reply.granted > 0 {
            let valid = Duration::from_millis(u64::from(reply.valid_ms));
            purse.on_loan(sent, reply.granted, valid);
        } else {
            purse.on_exhausted(shared.now(), retry_after);
        }
        spend = purse.acquire_after_borrow(shared.now());
    }
    match spend {
        AcquireResult::Acquired => Ok(()),
        AcquireResult::Exhausted(retry_after) => {
            shared.counters.rate_limited.add();
            Err(Refusal {
                kind: ErrorKind::RateLimited,
                retry_after,
            })
        }
        AcquireResult::Borrow(_) => Err(unreachable_keeper()),
    }
}

fn unreachable_keeper() -> Refusal {
    let kind = ErrorKind::NotServing;
    let retry_after = Duration::from_millis(u64::from(kind.response().retry_after_ms));
    Refusal { kind, retry_after }
}

/// Shard of the reserved service whose owner keeps a customer's allowance.
fn shard_of_customer(customer: &str) -> Shard {
    table::shard_of(CUSTOMERS_SERVICE, KeyHash::new(customer.as_bytes()))
}

async fn borrow(shared: &Shared, purpose: &Purpose, wanted: u32) -> Result<BorrowReply, Refusal> {
    let request = BorrowRequest {
        customer: purpose.customer.to_string(),
        service: purpose.service.to_string(),
        order: purpose.order,
        borrower: shared.settings.name.to_string(),
        wanted,
    };
    let shard = shard_of_customer(purpose.customer.as_str());
    let routes = shared.routes.load();
    let keeper = routes
        .owner(CUSTOMERS_SERVICE, shard)
        .ok_or_else(unreachable_keeper)?;
    if keeper.name == shared.settings.name {
        return checked(lend(shared, &request));
    }
    let address = keeper.traffic_address;
    let call = async {
        let mut client = shared.pool.traffic(address).await.ok()?;
        client
            .borrow(request)
            .await
            .ok()
            .map(tonic::Response::into_inner)
    };
    match tokio::time::timeout(BORROW_TIMEOUT, call).await {
        Ok(Some(reply)) => checked(reply),
        Ok(None) | Err(_) => {
            shared.pool.forget(address);
            Err(unreachable_keeper())
        }
    }
}

fn checked(reply: BorrowReply) -> Result<BorrowReply, Refusal> {
    if reply.error.is_empty() {
        Ok(reply)
    } else {
        Err(unreachable_keeper())
    }
}

/// Lends to a daemon, this one included, as the customer's keeper.
#[must_use]
pub fn lend(shared: &Shared, request: &BorrowRequest) -> BorrowReply {
    match try_lend(shared, request) {
        Ok(lent) => BorrowReply {
            error: String::new(),
            granted: lent.tokens,
            valid_ms: u32::try_from(LOAN_VALIDITY.as_millis()).unwrap_or(0),
            retry_after_ms: u32::try_from(lent.retry_after.as_millis())
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
    let _pass = gate.enter().ok_or(ErrorKind::NotOwner)?;
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
    let purpose = Purpose {
        customer,
        service,
        order: request.order,
    };
    let margin = shared.settings.timing.outlast(LOAN_VALIDITY) - LOAN_VALIDITY;
    let borrower = MachineName::new(&request.borrower);
    let loan = (&borrower, request.wanted);
    Ok(gate.keeper().lend(now, margin, purpose, allowance, loan))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn purpose(number: usize) -> Purpose {
        Purpose {
            customer: CustomerName::new(&format!("customer-{number}")),
            service: ServiceName::new("credits"),
            order: false,
        }
    }

    #[test]
    fn drops_idle_purses_and_keeps_those_with_a_block() {
        let purses = Purses::default();
        let start = BootInstant::from_millis(1_000);
        let later = start + Duration::from_secs(2);
        for number in 0..=PURSE_LIMIT {
            purses.purse(&purpose(number), start);
        }
        let used = purses.purse(&purpose(7), start);
        let valid = Duration::from_millis(150);
        used.try_lock().expect("free").on_loan(later, 3, valid);
        drop(used);
        purses.purse(&purpose(PURSE_LIMIT + 1), later);
        let kept = purses.purse(&purpose(7), later);
        let spent = kept.try_lock().expect("free").acquire(later);
        assert_eq!(spent, AcquireResult::Acquired);
        assert_eq!(purses.0.lock().expect("free").purses.len(), 2);
    }
}
