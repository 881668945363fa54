//! Plans of faults.

use std::time::Duration;

use soak::plan;

const LENGTH: Duration = Duration::from_secs(60);

#[test]
fn a_seed_gives_the_same_faults_each_time() {
    assert_eq!(plan::draw(7, 5, LENGTH), plan::draw(7, 5, LENGTH));
    assert_ne!(plan::draw(7, 5, LENGTH), plan::draw(8, 5, LENGTH));
}

#[test]
fn faults_overlap_and_end_with_the_soak() {
    let events = plan::draw(3, 5, LENGTH);
    assert!(events.iter().all(|e| e.at + e.lasts <= LENGTH));
    let overlaps = events.windows(2).filter(|w| w[0].at + w[0].lasts > w[1].at);
    assert!(overlaps.count() > events.len() / 2);
}
