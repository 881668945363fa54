//! Judges a replay from outside: by the back ends' records and the callers' reports.

use std::collections::{BTreeMap, HashMap};

use crate::caller::{Outcome, Report};
use crate::replay::Sent;
use crate::stand_in::record::Execution;
use crate::trace::Expect;

/// One broken law or stated outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Short name of what was broken.
    pub law: &'static str,
    /// What was seen.
    pub seen: String,
}

/// Finds every violation.
#[must_use]
pub fn judge(executions: &[Execution], sent: &[Sent]) -> Vec<Violation> {
    let mut violations = one_owner(executions);
    violations.extend(once(executions));
    let ran = runs(executions);
    for sent in sent {
        violations.extend(judge_reports(sent, &ran));
    }
    violations
}

/// Per key, fences never fall and each fence belongs to one machine.
#[must_use]
pub fn one_owner(executions: &[Execution]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut last: HashMap<(&str, &str), &Execution> = HashMap::new();
    for execution in executions.iter().filter(|e| !e.key.is_empty()) {
        let place = (execution.service.as_str(), execution.key.as_str());
        if let Some(before) = last.insert(place, execution) {
            let fell = execution.fence < before.fence;
            let shared = execution.fence == before.fence && execution.machine != before.machine;
            if fell || shared {
                let seen = format!(
                    "key {}: fence {:#x} at {} after {:#x} at {}",
                    execution.key, execution.fence, execution.machine, before.fence, before.machine
                );
                violations.push(Violation {
                    law: "one-owner",
                    seen,
                });
            }
        }
    }
    violations
}

/// No order takes effect twice, neither by its ticket nor by its caller's number.
#[must_use]
pub fn once(executions: &[Execution]) -> Vec<Violation> {
    let mut counts: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    for execution in executions.iter().filter(|e| !e.ticket.is_empty()) {
        *counts.entry(("ticket", &execution.ticket)).or_default() += 1;
        *counts.entry(("request", &execution.request)).or_default() += 1;
    }
    let twice = counts.into_iter().filter(|(_, count)| *count > 1);
    twice
        .map(|((by, name), count)| Violation {
            law: "once",
            seen: format!("order with {by} {name} ran {count} times"),
        })
        .collect()
}

/// Number of executions by the caller's number of the request.
fn runs(executions: &[Execution]) -> HashMap<&str, u32> {
    let mut runs = HashMap::new();
    for execution in executions {
        *runs.entry(execution.request.as_str()).or_default() += 1;
    }
    runs
}

fn judge_reports(sent: &Sent, runs: &HashMap<&str, u32>) -> Vec<Violation> {
    let ran = runs.get(sent.line.id.as_str()).copied().unwrap_or(0);
    let mut violations = Vec::new();
    for report in &sent.reports {
        violations.extend(own_answer(sent, report));
        violations.extend(stated(sent, report, ran));
    }
    violations.extend(told_truth(sent, ran));
    violations
}

/// The answer is whole and belongs to the request.
fn own_answer(sent: &Sent, report: &Report) -> Option<Violation> {
    let Outcome::Answered(echo) = &report.outcome else {
        return None;
    };
    let line = &sent.line;
    let key = line
        .key
        .as_deref()
        .map(|k| daemon::back_end::hex(k.as_bytes()));
    let own = echo.request == line.id
        && Some(&echo.customer) == line.customer.as_ref()
        && echo.key == key.unwrap_or_default()
        && echo.operation == line.operation
        && echo.body == line.body.clone().unwrap_or_default();
    let seen = format!("request {} got the answer {echo:?}", line.id);
    (!own).then_some(Violation {
        law: "own-answer",
        seen,
    })
}

fn stated(sent: &Sent, report: &Report, ran: u32) -> Option<Violation> {
    let met = match (&sent.line.expect, &report.outcome) {
        (Expect::Answered, Outcome::Answered(_)) => true,
        (Expect::Refused(code), Outcome::Refused(problem)) => problem.error == *code && ran == 0,
        (Expect::Limited, Outcome::Answered(_)) => true,
        (Expect::Limited, Outcome::Refused(problem)) => problem.error == "rate-limited",
        (Expect::Settled, Outcome::Answered(_)) => true,
        (Expect::Settled, Outcome::Refused(problem)) => problem.ran != "yes" || ran > 0,
        _ => false,
    };
    let seen = format!(
        "request {} should be {}, ended as {:?} after {} attempts in {:?}",
        sent.line.id, sent.line.expect, report.outcome, report.attempts, report.took
    );
    (!met).then_some(Violation {
        law: "stated-outcome",
        seen,
    })
}

/// An answered order ran, and one whose every copy was told "not run" did not.
fn told_truth(sent: &Sent, ran: u32) -> Option<Violation> {
    let answered = sent
        .reports
        .iter()
        .any(|r| matches!(r.outcome, Outcome::Answered(_)));
    let not_run = !sent.reports.is_empty()
        && sent.reports.iter().all(|report| {
            let refused = matches!(&report.outcome, Outcome::Refused(p) if p.ran == "no");
            refused && !report.doubtful
        });
    let lie = (answered && ran == 0) || (not_run && ran > 0);
    let seen = format!(
        "request {}: answered={answered} not_run={not_run} ran={ran}",
        sent.line.id
    );
    lie.then_some(Violation {
        law: "told-truth",
        seen,
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
        let fell = [execution("a", 2, "1"), execution("b", 1, "2")];
        assert_eq!(one_owner(&fell).len(), 1);
        let shared = [execution("a", 2, "1"), execution("b", 2, "2")];
        assert_eq!(one_owner(&shared).len(), 1);
        let moved = [execution("a", 1, "1"), execution("b", 2, "2")];
        assert_eq!(one_owner(&moved).len(), 0);
    }

    #[test]
    fn notices_a_doubled_order() {
        let doubled = [execution("a", 1, "1"), execution("a", 1, "1")];
        assert_eq!(once(&doubled).len(), 2);
        let single = [execution("a", 1, "1"), execution("a", 1, "2")];
        assert_eq!(once(&single).len(), 0);
    }
}
