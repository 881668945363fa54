//! When a configuration may be stale.

use std::time::Duration;

use catalog::freshness::{Freshness, REWRITE_TIME, StaleReason};
use world::instant::BootInstant;

/// Version in force.
const VERSION: u64 = 5;
const MAX_AGE: Duration = Duration::from_millis(1_250);

fn at(ms: u64) -> BootInstant {
    BootInstant::from_millis(ms)
}

#[test]
fn a_confirmation_counts_for_its_longest_age() {
    let mut freshness = Freshness::default();
    assert_eq!(
        freshness.staleness(VERSION, at(0), MAX_AGE),
        Some(StaleReason::Unconfirmed)
    );
    freshness.on_confirmed(at(1_000));
    assert_eq!(freshness.staleness(VERSION, at(2_250), MAX_AGE), None);
    assert_eq!(
        freshness.staleness(VERSION, at(2_251), MAX_AGE),
        Some(StaleReason::Unconfirmed)
    );
}

#[test]
fn an_earlier_request_whose_response_comes_later_shortens_no_confirmation() {
    let mut freshness = Freshness::default();
    freshness.on_confirmed(at(1_000));
    freshness.on_confirmed(at(400));
    assert_eq!(freshness.confirmed_at(), Some(at(1_000)));
}

// Guards against denials by what a restored store gives out before the operator has written again.
#[test]
fn a_restored_store_confirms_nothing_until_the_operator_has_written_again() {
    let mut freshness = Freshness::default();
    freshness.on_confirmed(at(1_000));
    freshness.on_restored(at(1_500));
    freshness.on_confirmed(at(1_499));
    assert_eq!(freshness.confirmed_at(), None, "sent before the restore");
    freshness.on_confirmed(at(1_600));
    assert_eq!(
        freshness.staleness(VERSION, at(1_700), MAX_AGE),
        Some(StaleReason::StoreRestored)
    );
    let settled = at(1_501) + REWRITE_TIME;
    assert_eq!(
        freshness.staleness(VERSION, settled, MAX_AGE),
        Some(StaleReason::Unconfirmed)
    );
    freshness.on_confirmed(settled);
    assert_eq!(freshness.staleness(VERSION, settled, MAX_AGE), None);
}

// Guards against denials by an earlier version that came into force after a later one could not be decoded.
#[test]
fn a_version_is_stale_until_one_as_late_as_the_unreadable_one_is_in_force() {
    let mut freshness = Freshness::default();
    freshness.on_confirmed(at(1_000));
    freshness.on_unreadable(VERSION + 2);
    freshness.on_unreadable(VERSION);
    let staleness = |version| freshness.staleness(version, at(1_000), MAX_AGE);
    assert_eq!(staleness(VERSION), Some(StaleReason::Unreadable));
    assert_eq!(staleness(VERSION + 1), Some(StaleReason::Unreadable));
    assert_eq!(staleness(VERSION + 2), None);
}
