//! Tests of the fault schedule.

use std::time::Duration;

use soak::plan::{self, Fault};
use stand_ins::store::StoreFault;

const DURATION: Duration = Duration::from_secs(60);

#[test]
fn a_seed_gives_the_same_faults_each_time() {
    assert_eq!(
        plan::generate(7, 5, DURATION, true),
        plan::generate(7, 5, DURATION, true)
    );
    assert_ne!(
        plan::generate(7, 5, DURATION, true),
        plan::generate(8, 5, DURATION, true)
    );
}

#[test]
fn faults_overlap_and_end_with_the_soak() {
    let faults = plan::generate(3, 5, DURATION, true);
    assert!(faults.iter().all(|f| f.start + f.duration <= DURATION));
    let overlaps = faults
        .windows(2)
        .filter(|w| w[0].start + w[0].duration > w[1].start);
    assert!(overlaps.count() > faults.len() / 2);
}

#[test]
fn the_store_is_restored_and_late_only_if_that_is_asked_for() {
    let faults =
        |restores| (1..20).flat_map(move |seed| plan::generate(seed, 5, DURATION, restores));
    let is_restore = |f: Fault| matches!(f, Fault::RestoreStore(_));
    let is_late = |f: Fault| matches!(f, Fault::Store(StoreFault::DelayWrites(_)));
    assert!(faults(true).any(|f| is_restore(f.fault)));
    assert!(faults(true).any(|f| is_late(f.fault)));
    assert!(!faults(false).any(|f| is_restore(f.fault) || is_late(f.fault)));
}

#[test]
fn processes_miss_changes_and_restart_around_restores() {
    let faults: Vec<_> = (1..20)
        .flat_map(|seed| plan::generate_outdating(seed, 5, DURATION))
        .collect();
    let has = |predicate: fn(Fault) -> bool| faults.iter().any(|f| predicate(f.fault));
    assert!(has(|f| matches!(f, Fault::PauseOverChange(_))));
    assert!(has(|f| matches!(f, Fault::CutOff(..))));
    assert!(has(
        |f| matches!(f, Fault::RestoreStore(restore) if restore.kills_all)
    ));
    assert!(faults.iter().all(|f| f.start + f.duration <= DURATION));
}
