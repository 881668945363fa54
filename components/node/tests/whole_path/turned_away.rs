//! Requests that back ends receive and turn away count as retries when they are sent again.

use std::collections::HashSet;
use std::time::Duration;

use rstest::rstest;

use crate::SETTLE_TIMEOUT;
use crate::deployment::{Deployment, EXTRA_RETRIES};

/// Number of machines; every third one serves `orders`, so that its back ends are four.
const MACHINES: usize = 10;
/// Requests sent, all of them within one window of the retry budget.
const REQUESTS: usize = 60;
/// Share of the requests that may be sent again, the default of the settings.
const RETRY_RATIO: f64 = 0.1;
/// Time between two requests.
const SEND_INTERVAL: Duration = Duration::from_millis(50);

// Guards against sends beyond the retry budget: those that a back end answers with 421 were free.
#[rstest]
#[case::idempotent(42, "/added/turned-away/", None)]
#[case::keyed(43, "/list/turned-away/", Some(30_000))]
fn requests_that_are_turned_away_are_sent_again_only_within_the_budget(
    #[case] net: u8,
    #[case] path: &'static str,
    #[case] key: Option<u16>,
) {
    let deployment = Deployment::start(net, MACHINES);
    deployment.store.write_config(2, &["/added/"]);
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.await_status(0, "/added/", 200, SETTLE_TIMEOUT);
    send_all(&deployment, "away-", REQUESTS, SEND_INTERVAL, path, key);
    let (requests, repeated) = first_and_repeated(&deployment, "away-");
    let allowed = (REQUESTS as f64 * RETRY_RATIO) as usize + EXTRA_RETRIES;
    assert!(
        repeated <= allowed,
        "{repeated} sends beyond the first, {allowed} allowed"
    );
    assert!(requests > 0, "the requests reach back ends");
}

/// Calls of back ends sent, all of them within one window of the retry budget.
const CALLS: usize = 1_000;
/// Time between two of them.
const CALL_INTERVAL: Duration = Duration::from_millis(9);

// Guards against a retry budget that grows with the calls of back ends: only requests of callers add
// to it.
#[test]
fn calls_of_back_ends_do_not_add_to_the_retry_budget() {
    let deployment = Deployment::start_with_added_path(60, MACHINES);
    // The dot makes them calls of the request before it.
    let prefix = "parent.";
    let path = "/added/turned-away/";
    send_all(&deployment, prefix, CALLS, CALL_INTERVAL, path, None);
    let (calls, repeated) = first_and_repeated(&deployment, prefix);
    assert!(
        repeated <= EXTRA_RETRIES,
        "{repeated} sends beyond the first, {EXTRA_RETRIES} allowed"
    );
    assert!(calls > CALLS / 2, "the calls reach back ends");
}

/// Sends `count` requests at intervals, each at the next machine, and waits for their responses.
fn send_all(
    deployment: &Deployment,
    prefix: &str,
    count: usize,
    interval: Duration,
    path: &'static str,
    key: Option<u16>,
) {
    std::thread::scope(|scope| {
        for request in 0..count {
            scope.spawn(move || {
                deployment.request_with_prefix(prefix, request % MACHINES, "GET", path, key)
            });
            std::thread::sleep(interval);
        }
    });
}

/// Returns how many requests arrived at back ends, and how many times beyond the first of each.
fn first_and_repeated(deployment: &Deployment, prefix: &str) -> (usize, usize) {
    let arrivals = deployment.arrivals(prefix);
    let requests: HashSet<&String> = arrivals.iter().map(|a| &a.request).collect();
    (requests.len(), arrivals.len() - requests.len())
}
