//! Parses a lists document (TOML) and checks that names, limits and plan references are valid.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;
use world::name::{self, CustomerName, PlanName, ServiceName};

use crate::MAX_DOCUMENT_BYTES;
use crate::diagnostic::{Diagnostic, Diagnostics, position};

/// Largest `rate` in requests per second, and largest `burst` in requests, that a plan may allow.
const MAX_RATE: u32 = 1_000_000;

/// Longest deadline that a plan may allow, in milliseconds.
const MAX_DEADLINE_MS: u32 = 600_000;

/// Rate limit of a plan for lookups or for orders of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Sustained rate in requests per second. Invariant: at least 1.
    pub rate: u32,
    /// Requests that may arrive at once when the allowance is unused. Invariant: at least 1.
    pub burst: u32,
}

/// What a plan allows for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTerms {
    /// Allowance for lookups; `None` forbids them.
    pub lookups: Option<Allowance>,
    /// Allowance for orders; `None` forbids them.
    pub orders: Option<Allowance>,
    /// Longest time that a request may ask for until its deadline.
    pub deadline: Duration,
}

impl ServiceTerms {
    /// Returns the allowance for orders or for lookups; `None` forbids them.
    #[must_use]
    pub fn allowance(&self, order: bool) -> Option<Allowance> {
        if order { self.orders } else { self.lookups }
    }
}

/// A plan: the services that its customers may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Terms of each allowed service; all others are forbidden.
    pub services: BTreeMap<ServiceName, ServiceTerms>,
}

/// Both lists of a valid document. Invariant: the plan of each customer is in `plans`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lists {
    /// Plan of each customer.
    pub customers: BTreeMap<CustomerName, PlanName>,
    /// Plans by name.
    pub plans: BTreeMap<PlanName, Plan>,
}

impl Lists {
    /// Returns the plan of a customer; `None` when the customer is not listed.
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
    diagnostics: Vec<Diagnostic>,
}

/// Parses and checks a document.
///
/// # Errors
/// Returns every error of the document with its position; a syntax error is returned alone.
pub fn parse(text: &str) -> Result<Lists, Diagnostics> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!(
            "the lists take {} bytes, the store holds at most {MAX_DOCUMENT_BYTES}",
            text.len()
        );
        return Err(Diagnostics(vec![Diagnostic {
            line: 0,
            column: 0,
            message,
        }]));
    }
    let raw: RawDocument = toml::from_str(text).map_err(|e| syntax_error(text, &e))?;
    let mut checker = Checker {
        text,
        diagnostics: Vec::new(),
    };
    let plans = checker.check_plans(raw.plans);
    let customers = checker.check_customers(raw.customers, &plans);
    if checker.diagnostics.is_empty() {
        return Ok(Lists { customers, plans });
    }
    checker.diagnostics.sort_by_key(|d| (d.line, d.column));
    Err(Diagnostics(checker.diagnostics))
}

fn syntax_error(text: &str, error: &toml::de::Error) -> Diagnostics {
    let offset = error.span().map_or(0, |span| span.start);
    let (line, column) = position(text, offset);
    Diagnostics(vec![Diagnostic {
        line,
        column,
        message: error.message().to_owned(),
    }])
}

impl Checker<'_> {
    fn report(&mut self, offset: usize, message: String) {
        let (line, column) = position(self.text, offset);
        self.diagnostics.push(Diagnostic {
            line,
            column,
            message,
        });
    }

    fn check_name(&mut self, text: &Spanned<String>) {
        if let Err(error) = name::check(text.get_ref()) {
            self.report(text.span().start, format!("{:?}: {error}", text.get_ref()));
        }
    }

    fn check_plans(
        &mut self,
        raw: BTreeMap<Spanned<String>, BTreeMap<Spanned<String>, RawTerms>>,
    ) -> BTreeMap<PlanName, Plan> {
        let mut plans = BTreeMap::new();
        for (name, services) in raw {
            self.check_name(&name);
            let mut plan = Plan::default();
            for (service, terms) in services {
                self.check_name(&service);
                let terms = self.check_terms(&terms);
                plan.services
                    .insert(ServiceName::new(service.get_ref()), terms);
            }
            plans.insert(PlanName::new(name.get_ref()), plan);
        }
        plans
    }

    fn check_terms(&mut self, raw: &RawTerms) -> ServiceTerms {
        let deadline = *raw.deadline_ms.get_ref();
        if deadline == 0 || deadline > MAX_DEADLINE_MS {
            let message = format!("deadline_ms is {deadline}; use 1 to {MAX_DEADLINE_MS}");
            self.report(raw.deadline_ms.span().start, message);
        }
        ServiceTerms {
            lookups: raw.lookups.as_ref().map(|a| self.check_allowance(a)),
            orders: raw.orders.as_ref().map(|a| self.check_allowance(a)),
            deadline: Duration::from_millis(u64::from(deadline)),
        }
    }

    fn check_allowance(&mut self, raw: &RawAllowance) -> Allowance {
        let (rate, burst) = (*raw.rate.get_ref(), *raw.burst.get_ref());
        if rate == 0 || rate > MAX_RATE {
            self.report(
                raw.rate.span().start,
                format!("rate is {rate}; use 1 to {MAX_RATE}"),
            );
        }
        if burst == 0 || burst > MAX_RATE {
            self.report(
                raw.burst.span().start,
                format!("burst is {burst}; use 1 to {MAX_RATE}"),
            );
        }
        Allowance { rate, burst }
    }

    fn check_customers(
        &mut self,
        raw: BTreeMap<Spanned<String>, Spanned<String>>,
        plans: &BTreeMap<PlanName, Plan>,
    ) -> BTreeMap<CustomerName, PlanName> {
        let mut customers = BTreeMap::new();
        for (customer, plan) in raw {
            self.check_name(&customer);
            let plan_name = PlanName::new(plan.get_ref());
            if !plans.contains_key(&plan_name) {
                let plan_names: Vec<&str> = plans.keys().map(PlanName::as_str).collect();
                let message = format!(
                    "customer {} holds plan {plan_name}, which is not listed; listed are: {}",
                    customer.get_ref(),
                    plan_names.join(", ")
                );
                self.report(plan.span().start, message);
            }
            customers.insert(CustomerName::new(customer.get_ref()), plan_name);
        }
        customers
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = r#"
[customers]
tangier-4 = "kiosk"

[plans.kiosk.credits]
lookups = { rate = 50, burst = 100 }
orders = { rate = 5, burst = 10 }
deadline_ms = 2000
"#;

    #[test]
    fn can_parse_both_lists() {
        let lists = parse(VALID).expect("valid");
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
    fn reports_every_error_with_its_position() {
        let text = VALID
            .replace("\"kiosk\"", "\"kios\"")
            .replace("burst = 10 ", "burst = 0 ");
        let diagnostics = parse(&text).expect_err("two errors").0;
        assert_eq!(diagnostics.len(), 2);
        assert_eq!((diagnostics[0].line, diagnostics[0].column), (3, 13));
        assert!(
            diagnostics[0].message.contains("listed are: kiosk"),
            "{}",
            diagnostics[0]
        );
        assert_eq!(diagnostics[1].line, 7);
    }

    #[test]
    fn errors_on_unknown_fields_and_broken_syntax() {
        for text in [
            VALID.replace("deadline_ms", "dedline_ms"),
            VALID.replace("[customers]", "["),
        ] {
            let diagnostics = parse(&text).expect_err("an error").0;
            assert!(diagnostics[0].line > 0);
        }
    }

    #[test]
    fn errors_on_an_oversized_document() {
        let text = format!("#{}", "x".repeat(MAX_DOCUMENT_BYTES));
        let diagnostics = parse(&text).expect_err("too large").0;
        assert!(diagnostics[0].message.contains("at most"));
    }

    proptest::proptest! {
        #[test]
        fn never_panics_on_arbitrary_text(text: String) {
            let _ = parse(&text);
        }
    }
}
