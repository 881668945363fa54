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
    std::thread::scope(|scope| {
        for request in 0..REQUESTS {
            let deployment = &deployment;
            scope.spawn(move || {
                deployment.request_with_prefix("away-", request % MACHINES, "GET", path, key)
            });
            std::thread::sleep(SEND_INTERVAL);
        }
    });
    let arrivals = deployment.arrivals("away-");
    let requests: HashSet<&String> = arrivals.iter().map(|a| &a.request).collect();
    let repeated = arrivals.len() - requests.len();
    let allowed = (REQUESTS as f64 * RETRY_RATIO) as usize + EXTRA_RETRIES;
    assert!(
        repeated <= allowed,
        "{repeated} sends beyond the first, {allowed} allowed"
    );
    assert!(!requests.is_empty(), "the requests reach back ends");
}
