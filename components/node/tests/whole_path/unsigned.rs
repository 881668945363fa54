//! Which failures of a back end reach the caller as they stand.

use std::collections::HashSet;

use crate::SETTLE_TIMEOUT;
use crate::deployment::Deployment;

/// Requests whose share of the retry budget is enough for one retry by a process that has just started.
const REQUESTS_FOR_RETRY: usize = 40;
/// Number of machines; every third one serves `orders`, so that its back ends are two.
const MACHINES: usize = 4;
/// Ends of paths whose responses end a request for good, or promise that it has not run, without proof.
const UNPROVEN: [&str; 8] = [
    "unsigned/307/",
    "unsigned/400/",
    "unsigned/404/",
    "unsigned/413/",
    "unsigned/429/",
    "unsigned/503/",
    "signed/429/",
    "signed/503/",
];
/// How many of them have no signature.
const UNSIGNED: usize = 6;
/// Ends of paths whose responses are passed on, with their status.
const PASSED_ON: [(&str, u16); 4] = [
    ("unsigned/500/", 500),
    ("unsigned/504/", 504),
    ("signed/404/", 404),
    ("signed/307/", 307),
];

// Guards against a 3xx or 4xx that no back end has signed, and against 429 or 503 for an order that has run.
#[test]
fn an_order_that_may_have_run_gets_no_final_refusal_and_no_promise() {
    let deployment = Deployment::start(126, MACHINES);
    deployment.await_serving(SETTLE_TIMEOUT);
    let statuses = UNPROVEN.map(|end| {
        let path = format!("/orders/{end}");
        (end, deployment.request(1, "POST", &path, None).status)
    });
    assert_eq!(statuses, UNPROVEN.map(|end| (end, 502)));
    assert_eq!(deployment.executed_orders(), UNPROVEN.len() as u64);
    let metrics = deployment.metrics(0) + &deployment.metrics(3);
    let counts = metrics.lines().filter_map(|line| {
        line.strip_prefix("plantaingauge_unsigned_responses_total ")?
            .parse::<usize>()
            .ok()
    });
    assert_eq!(
        counts.sum::<usize>(),
        UNSIGNED,
        "each unsigned one is counted"
    );
}

// Guards against an unsigned 404 that ends a request although another back end could run it.
#[test]
fn an_idempotent_request_with_an_unsigned_denial_goes_to_another_back_end() {
    let deployment = Deployment::start_with_added_path(127, MACHINES);
    for _ in 0..REQUESTS_FOR_RETRY {
        assert_eq!(deployment.request(1, "GET", "/added/", None).status, 200);
    }
    let reply = deployment.request_with_prefix("denied-", 1, "GET", "/added/unsigned/404/", None);
    assert_eq!(reply.status, 502, "{reply:?}");
    let arrivals = deployment.arrivals("denied-");
    let back_ends: HashSet<&String> = arrivals.iter().map(|a| &a.back_end).collect();
    assert_eq!(back_ends.len(), 2, "{arrivals:?}");
    for (end, status) in PASSED_ON {
        let reply = deployment.request(1, "GET", &format!("/added/{end}"), None);
        assert_eq!(reply.status, status, "{end}: {reply:?}");
    }
}
