//! Tests of when a version of the configuration is due.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use soak::configuration::{APPLY_LIMIT, Configuration};
use stand_ins::store::Store;

#[test]
fn a_version_is_due_after_its_confirmation_and_again_after_it_was_lost() {
    let store = Store::start(SocketAddr::from(([127, 76, 1, 1], 7_000)));
    let mut configuration = Configuration::write_first(&store);
    assert_eq!(configuration.version(), 1);
    assert!(!configuration.is_due(Instant::now()));
    assert!(configuration.is_due(Instant::now() + APPLY_LIMIT));
    configuration.on_restore(Instant::now());
    assert!(!configuration.is_due(Instant::now() + APPLY_LIMIT));
    configuration.write_again(&store);
    assert_eq!(configuration.version(), 1);
    assert!(configuration.is_due(Instant::now() + APPLY_LIMIT));
    configuration.write_next(&store);
    assert_eq!(configuration.version(), 2);
}

#[test]
fn versions_may_be_in_force_from_the_newest_that_is_due() {
    let store = Store::start(SocketAddr::from(([127, 76, 1, 2], 7_000)));
    let mut configuration = Configuration::write_first(&store);
    configuration.write_next(&store);
    configuration.write_next(&store);
    assert_eq!(configuration.possible(Instant::now()), 1..=3);
    let due = Instant::now() + APPLY_LIMIT;
    assert_eq!(configuration.possible(due), 3..=3);
    configuration.write_next(&store);
    assert_eq!(configuration.possible(due), 3..=4);
}

#[test]
fn a_version_that_a_restore_may_have_lost_is_due_again_once_it_is_rewritten() {
    let store = Store::start(SocketAddr::from(([127, 76, 1, 3], 7_000)));
    let mut configuration = Configuration::write_first(&store);
    std::thread::sleep(Duration::from_millis(1));
    let copied_at = Instant::now();
    configuration.write_next(&store);
    let due = Instant::now() + APPLY_LIMIT;
    assert_eq!(configuration.possible(due), 2..=2);
    configuration.on_away(copied_at);
    assert_eq!(configuration.possible(due), 1..=2);
    assert_eq!(configuration.possible_without_losses(due), 2..=2);
    configuration.on_restore(copied_at);
    configuration.write_again(&store);
    let rewritten = Instant::now();
    assert_eq!(configuration.possible(due), 1..=2);
    assert_eq!(configuration.possible(rewritten + APPLY_LIMIT), 2..=2);
    configuration.on_restore(rewritten + APPLY_LIMIT);
    assert_eq!(configuration.possible(rewritten + APPLY_LIMIT), 2..=2);
}
