//! The lists as a TOML document.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;
use world::name::{self, CustomerName, PlanName, ServiceName};

use crate::MAX_DOCUMENT_BYTES;
use crate::fault::{Fault, Faults, position};

/// Greatest rate that a plan may allow, in requests per second.
const MAX_RATE: u32 = 1_000_000;

/// Longest deadline that a plan may allow, in milliseconds.
const MAX_DEADLINE_MS: u32 = 600_000;

/// What a plan allows for one kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Requests per second.
    pub rate: u32,
    /// Requests that may come at once after a pause. Invariant: at least 1.
    pub burst: u32,
}

/// What a plan allows for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTerms {
    /// Allowance for lookups; none forbids them.
    pub lookups: Option<Allowance>,
    /// Allowance for orders; none forbids them.
    pub orders: Option<Allowance>,
    /// Longest deadline that a request may have.
    pub deadline: Duration,
}

impl ServiceTerms {
    /// The allowance for orders or for lookups.
    #[must_use]
    pub fn allowance(&self, order: bool) -> Option<Allowance> {
        if order { self.orders } else { self.lookups }
    }
}

/// A plan: what its customers may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Terms by service; an absent service is forbidden.
    pub services: BTreeMap<ServiceName, ServiceTerms>,
}

/// Both lists, checked. Invariant: each customer's plan exists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lists {
    /// Plan of each customer.
    pub customers: BTreeMap<CustomerName, PlanName>,
    /// The plans.
    pub plans: BTreeMap<PlanName, Plan>,
}

impl Lists {
    /// The plan of a customer.
    #[must_use]
    pub fn plan_of(&self, customer: &CustomerName) -> Option<&Plan> {
        self.plans.get(self.customers.get(customer)?)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDocument {
    #[serde(default)]
    customers: BTreeMap<Spanned<String>, Spanned<String>>,
    #[serde(default)]
    plans: BTreeMap<Spanned<String>, BTreeMap<Spanned<String>, RawTerms>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTerms {
    lookups: Option<RawAllowance>,
    orders: Option<RawAllowance>,
    deadline_ms: Spanned<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAllowance {
    rate: Spanned<u32>,
    burst: Spanned<u32>,
}

struct Checker<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

/// Reads and checks a document.
///
/// # Errors
/// Returns every fault of the document, each with its place.
pub fn parse(text: &str) -> Result<Lists, Faults> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!(
            "the lists take {} bytes, the store holds at most {MAX_DOCUMENT_BYTES}",
            text.len()
        );
        return Err(Faults(vec![Fault {
            line: 0,
            column: 0,
            message,
        }]));
    }
    let raw: RawDocument = toml::from_str(text).map_err(|e| syntax_fault(text, &e))?;
    let mut checker = Checker {
        text,
        faults: Vec::new(),
    };
    let plans = checker.plans(raw.plans);
    let customers = checker.customers(raw.customers, &plans);
    if checker.faults.is_empty() {
        return Ok(Lists { customers, plans });
    }
    checker.faults.sort_by_key(|f| (f.line, f.column));
    Err(Faults(checker.faults))
}

fn syntax_fault(text: &str, error: &toml::de::Error) -> Faults {
    let offset = error.span().map_or(0, |s| s.start);
    let (line, column) = position(text, offset);
    Faults(vec![Fault {
        line,
        column,
        message: error.message().to_owned(),
    }])
}

impl Checker<'_> {
    fn fault(&mut self, offset: usize, message: String) {
        let (line, column) = position(self.text, offset);
        self.faults.push(Fault {
            line,
            column,
            message,
        });
    }

    fn name(&mut self, text: &Spanned<String>) {
        if let Err(fault) = name::check(text.get_ref()) {
            self.fault(text.span().start, format!("{:?}: {fault}", text.get_ref()));
        }
    }

    fn plans(
        &mut self,
        raw: BTreeMap<Spanned<String>, BTreeMap<Spanned<String>, RawTerms>>,
    ) -> BTreeMap<PlanName, Plan> {
        let mut plans = BTreeMap::new();
        for (name, services) in raw {
            self.name(&name);
            let mut plan = Plan::default();
            for (service, terms) in services {
                self.name(&service);
                let terms = self.terms(&terms);
                plan.services
                    .insert(ServiceName::new(service.get_ref()), terms);
            }
            plans.insert(PlanName::new(name.get_ref()), plan);
        }
        plans
    }

    fn terms(&mut self, raw: &RawTerms) -> ServiceTerms {
        let deadline = *raw.deadline_ms.get_ref();
        if deadline == 0 || deadline > MAX_DEADLINE_MS {
            let message = format!("deadline_ms is {deadline}; use 1 to {MAX_DEADLINE_MS}");
            self.fault(raw.deadline_ms.span().start, message);
        }
        ServiceTerms {
            lookups: raw.lookups.as_ref().map(|a| self.allowance(a)),
            orders: raw.orders.as_ref().map(|a| self.allowance(a)),
            deadline: Duration::from_millis(u64::from(deadline)),
        }
    }

    fn allowance(&mut self, raw: &RawAllowance) -> Allowance {
        let (rate, burst) = (*raw.rate.get_ref(), *raw.burst.get_ref());
        if rate == 0 || rate > MAX_RATE {
            self.fault(
                raw.rate.span().start,
                format!("rate is {rate}; use 1 to {MAX_RATE}"),
            );
        }
        if burst == 0 || burst > MAX_RATE {
            self.fault(
                raw.burst.span().start,
                format!("burst is {burst}; use 1 to {MAX_RATE}"),
            );
        }
        Allowance { rate, burst }
    }

    fn customers(
        &mut self,
        raw: BTreeMap<Spanned<String>, Spanned<String>>,
        plans: &BTreeMap<PlanName, Plan>,
    ) -> BTreeMap<CustomerName, PlanName> {
        let mut customers = BTreeMap::new();
        for (customer, plan) in raw {
            self.name(&customer);
            let plan_name = PlanName::new(plan.get_ref());
            if !plans.contains_key(&plan_name) {
                let known: Vec<&str> = plans.keys().map(PlanName::as_str).collect();
                let message = format!(
                    "customer {} holds plan {plan_name}, which is not listed; listed are: {}",
                    customer.get_ref(),
                    known.join(", ")
                );
                self.fault(plan.span().start, message);
            }
            customers.insert(CustomerName::new(customer.get_ref()), plan_name);
        }
        customers
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
[customers]
tangier-4 = "kiosk"

[plans.kiosk.credits]
lookups = { rate = 50, burst = 100 }
orders = { rate = 5, burst = 10 }
deadline_ms = 2000
"#;

    #[test]
    fn can_parse_both_lists() {
        let lists = parse(GOOD).expect("valid");
        let plan = lists
            .plan_of(&CustomerName::new("tangier-4"))
            .expect("plan");
        let terms = plan.services[&ServiceName::new("credits")];
        assert_eq!(
            terms.allowance(true),
            Some(Allowance { rate: 5, burst: 10 })
        );
        assert_eq!(terms.deadline, Duration::from_secs(2));
    }

    #[test]
    fn reports_every_fault_with_its_place() {
        let text = GOOD
            .replace("\"kiosk\"", "\"kios\"")
            .replace("burst = 10 ", "burst = 0 ");
        let faults = parse(&text).expect_err("two faults").0;
        assert_eq!(faults.len(), 2);
        assert_eq!((faults[0].line, faults[0].column), (3, 13));
        assert!(
            faults[0].message.contains("listed are: kiosk"),
            "{}",
            faults[0]
        );
        assert_eq!(faults[1].line, 7);
    }

    #[test]
    fn errors_on_unknown_fields_and_broken_syntax() {
        for text in [
            GOOD.replace("deadline_ms", "dedline_ms"),
            GOOD.replace("[customers]", "["),
        ] {
            let faults = parse(&text).expect_err("a fault").0;
            assert!(faults[0].line > 0);
        }
    }

    #[test]
    fn errors_on_an_oversized_document() {
        let text = format!("#{}", "x".repeat(MAX_DOCUMENT_BYTES));
        let faults = parse(&text).expect_err("too large").0;
        assert!(faults[0].message.contains("at most"));
    }

    proptest::proptest! {
        #[test]
        fn never_panics_on_arbitrary_text(text: String) {
            let _ = parse(&text);
        }
    }
}
