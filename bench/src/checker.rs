//! Checks a run for violations by the back ends' execution records and the callers' reports,
//! without looking into the daemons.

use std::collections::{BTreeMap, HashMap};

use crate::caller::{Outcome, Report};
use crate::replay::SentRequest;
use crate::stand_in::record::Execution;
use crate::trace::Expect;

/// A broken invariant, or an outcome other than the trace expects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the broken invariant.
    pub invariant: &'static str,
    /// What was observed, for people.
    pub observed: String,
}

/// Returns every violation in `executions`, ordered by time, and in the reports of `sent`.
#[must_use]
pub fn find_violations(executions: &[Execution], sent: &[SentRequest]) -> Vec<Violation> {
    let mut violations = check_single_owner(executions);
    violations.extend(check_at_most_once(executions));
    let ran = execution_counts(executions);
    for sent in sent {
        violations.extend(check_reports(sent, &ran));
    }
    violations
}

/// Checks that per key fencing tokens never decrease and that each is used by one machine.
#[must_use]
pub fn check_single_owner(executions: &[Execution]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut last: HashMap<(&str, &str), &Execution> = HashMap::new();
    for execution in executions.iter().filter(|e| !e.key.is_empty()) {
        let service_key = (execution.service.as_str(), execution.key.as_str());
        if let Some(previous) = last.insert(service_key, execution) {
            let decreased = execution.fence < previous.fence;
            let shared = execution.fence == previous.fence && execution.machine != previous.machine;
            if decreased || shared {
                let observed = format!(
                    "key {}: fence {:#x} at {} after {:#x} at {}",
                    execution.key,
                    execution.fence,
                    execution.machine,
                    previous.fence,
                    previous.machine
                );
                violations.push(Violation {
                    invariant: "one-owner",
                    observed,
                });
            }
        }
    }
    violations
}

/// Checks that no order takes effect twice, counted by its ticket and by its request id.
#[must_use]
pub fn check_at_most_once(executions: &[Execution]) -> Vec<Violation> {
    let mut counts: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    for execution in executions.iter().filter(|e| !e.ticket.is_empty()) {
        *counts.entry(("ticket", &execution.ticket)).or_default() += 1;
        *counts.entry(("request", &execution.request)).or_default() += 1;
    }
    let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
    repeated
        .map(|((by, name), count)| Violation {
            invariant: "once",
            observed: format!("order with {by} {name} ran {count} times"),
        })
        .collect()
}

/// Returns the number of executions by request id.
fn execution_counts(executions: &[Execution]) -> HashMap<&str, u32> {
    let mut counts = HashMap::new();
    for execution in executions {
        *counts.entry(execution.request.as_str()).or_default() += 1;
    }
    counts
}

fn check_reports(sent: &SentRequest, counts: &HashMap<&str, u32>) -> Vec<Violation> {
    let ran = counts.get(sent.line.id.as_str()).copied().unwrap_or(0);
    let mut violations = Vec::new();
    for report in &sent.reports {
        violations.extend(check_response(sent, report));
        violations.extend(check_expected_outcome(sent, report, ran));
    }
    violations.extend(check_reported_execution(sent, ran));
    violations
}

/// Checks that a response belongs to the request.
fn check_response(sent: &SentRequest, report: &Report) -> Option<Violation> {
    let Outcome::Answered(echo) = &report.outcome else {
        return None;
    };
    let line = &sent.line;
    let key = line
        .key
        .as_deref()
        .map(|k| daemon::back_end::hex(k.as_bytes()));
    let matches = echo.request == line.id
        && Some(&echo.customer) == line.customer.as_ref()
        && echo.key == key.unwrap_or_default()
        && echo.operation == line.operation
        && echo.body == line.body.clone().unwrap_or_default();
    let observed = format!("request {} got the answer {echo:?}", line.id);
    (!matches).then_some(Violation {
        invariant: "own-answer",
        observed,
    })
}

/// Checks the outcome against the one that the trace expects.
fn check_expected_outcome(sent: &SentRequest, report: &Report, ran: u32) -> Option<Violation> {
    let as_expected = match (&sent.line.expect, &report.outcome) {
        (Expect::Answered, Outcome::Answered(_)) => true,
        (Expect::Refused(code), Outcome::Refused(problem)) => problem.error == *code && ran == 0,
        (Expect::Limited, Outcome::Answered(_)) => true,
        (Expect::Limited, Outcome::Refused(problem)) => problem.error == "rate-limited",
        (Expect::Settled, Outcome::Answered(_)) => true,
        (Expect::Settled, Outcome::Refused(problem)) => problem.ran != "yes" || ran > 0,
        _ => false,
    };
    let observed = format!(
        "request {} should be {}, ended as {:?} after {} attempts in {:?}",
        sent.line.id, sent.line.expect, report.outcome, report.attempts, report.took
    );
    (!as_expected).then_some(Violation {
        invariant: "stated-outcome",
        observed,
    })
}

/// Checks that an answered request was executed, and that one was not whose copies all got error
/// responses saying so.
fn check_reported_execution(sent: &SentRequest, ran: u32) -> Option<Violation> {
    let answered = sent
        .reports
        .iter()
        .any(|r| matches!(r.outcome, Outcome::Answered(_)));
    let not_run = !sent.reports.is_empty()
        && sent.reports.iter().all(|report| {
            let refused = matches!(&report.outcome, Outcome::Refused(p) if p.ran == "no");
            refused && !report.maybe_executed
        });
    let contradiction = (answered && ran == 0) || (not_run && ran > 0);
    let observed = format!(
        "request {}: answered={answered} not_run={not_run} ran={ran}",
        sent.line.id
    );
    contradiction.then_some(Violation {
        invariant: "told-truth",
        observed,
    })
}

#[cfg(test)]
mod tests {
    use world::instant::BootInstant;

    use super::*;

    fn execution(machine: &str, fence: u64, ticket: &str) -> Execution {
        Execution {
            machine: machine.to_owned(),
            service: "credits".to_owned(),
            operation: "post".to_owned(),
            customer: "vendor-1".to_owned(),
            key: "k".to_owned(),
            ticket: ticket.to_owned(),
            request: format!("r-{ticket}"),
            fence,
            at: BootInstant::default(),
        }
    }

    #[test]
    fn notices_two_owners() {
        let decreased = [execution("a", 2, "1"), execution("b", 1, "2")];
        assert_eq!(check_single_owner(&decreased).len(), 1);
        let shared = [execution("a", 2, "1"), execution("b", 2, "2")];
        assert_eq!(check_single_owner(&shared).len(), 1);
        let moved = [execution("a", 1, "1"), execution("b", 2, "2")];
        assert_eq!(check_single_owner(&moved).len(), 0);
    }

    #[test]
    fn notices_a_doubled_order() {
        let doubled = [execution("a", 1, "1"), execution("a", 1, "1")];
        assert_eq!(check_at_most_once(&doubled).len(), 2);
        let single = [execution("a", 1, "1"), execution("a", 1, "2")];
        assert_eq!(check_at_most_once(&single).len(), 0);
    }
}
