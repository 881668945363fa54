//! Tests of the fault schedule.

use std::time::Duration;

use soak::plan;

const DURATION: Duration = Duration::from_secs(60);

#[test]
fn a_seed_gives_the_same_faults_each_time() {
    assert_eq!(
        plan::generate(7, 5, DURATION),
        plan::generate(7, 5, DURATION)
    );
    assert_ne!(
        plan::generate(7, 5, DURATION),
        plan::generate(8, 5, DURATION)
    );
}

#[test]
fn faults_overlap_and_end_with_the_soak() {
    let faults = plan::generate(3, 5, DURATION);
    assert!(faults.iter().all(|f| f.start + f.duration <= DURATION));
    let overlaps = faults
        .windows(2)
        .filter(|w| w[0].start + w[0].duration > w[1].start);
    assert!(overlaps.count() > faults.len() / 2);
}
