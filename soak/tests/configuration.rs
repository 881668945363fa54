//! Tests of when a version of the configuration is due.

use std::net::SocketAddr;
use std::time::Instant;

use soak::configuration::{APPLY_LIMIT, Configuration};
use stand_ins::store::Store;

#[test]
fn a_version_is_due_after_its_confirmation_and_again_after_it_was_lost() {
    let store = Store::start(SocketAddr::from(([127, 76, 1, 1], 7_000)));
    let mut configuration = Configuration::write_first(&store);
    assert_eq!(configuration.version(), 1);
    assert!(!configuration.is_due(Instant::now()));
    assert!(configuration.is_due(Instant::now() + APPLY_LIMIT));
    configuration.on_restore();
    assert!(!configuration.is_due(Instant::now() + APPLY_LIMIT));
    configuration.write_again(&store);
    assert_eq!(configuration.version(), 1);
    assert!(configuration.is_due(Instant::now() + APPLY_LIMIT));
    configuration.write_next(&store);
    assert_eq!(configuration.version(), 2);
}
