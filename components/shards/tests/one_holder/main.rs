//! No key is held by two back ends at once under any combination of faults.
//!
//! Several shard managers with their back ends run against one store in simulated time, under
//! random faults: store requests are slow, lost before or after they took effect, or take effect
//! late; processes pause, crash and restart; back ends crash and restart; machines are partitioned;
//! clocks drift; the store comes back from an older copy. After each step the simulation checks for keys that two back ends hold.

mod model;

use model::rules::Rule;
use model::{History, Simulation};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn no_key_has_two_holders_and_fences_rise(seed in any::<u64>()) {
        let mut simulation = Simulation::new(History::with_faults(seed), None);
        let found = simulation.run();
        prop_assert_eq!(found, None, "seed {}", seed);
    }

    #[test]
    fn no_key_has_two_holders_when_the_store_comes_back_from_an_older_copy(seed in any::<u64>()) {
        let mut simulation = Simulation::new(History::with_restores(seed), None);
        let found = simulation.run();
        prop_assert_eq!(found, None, "seed {}", seed);
    }
}

#[test]
fn every_key_is_held_after_a_start_without_faults() {
    let mut simulation = Simulation::new(History::without_faults(), None);
    assert_eq!(simulation.run(), None);
    assert_eq!(simulation.held_keys(), 65_536);
}

#[test]
fn every_key_is_held_again_after_the_faults_cease() {
    for seed in 0..60 {
        let mut simulation = Simulation::new(History::recovering(seed), None);
        assert_eq!(simulation.run(), None, "seed {seed}");
        assert_eq!(simulation.held_keys(), 65_536, "seed {seed}");
    }
}

#[rstest::rstest]
#[case(Rule::GrantWithinLease)]
#[case(Rule::WaitAfterFence)]
#[case(Rule::FenceBeforeReassigning)]
#[case(Rule::ReleaseBeforeTransfer)]
#[case(Rule::WriteBeforeGranting)]
#[case(Rule::NewFencePerIncarnation)]
fn detects_each_disabled_rule(#[case] rule: Rule) {
    let detected = (0..400).any(|seed| {
        let mut simulation = Simulation::new(History::with_faults(seed), Some(rule));
        simulation.run().is_some()
    });
    assert!(detected, "no history shows that {rule:?} is needed");
}
