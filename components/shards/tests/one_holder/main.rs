//! No key is held by two back ends at once, whatever fails.
//!
//! Several shard managers with their back ends run against one store in simulated time. Histories
//! are drawn at random: calls are slow, lost before or after they took effect, or take effect late;
//! processes stand still, die and start again; back ends crash and come back; connections are cut;
//! clocks drift. After each step the model looks for keys that two back ends hold.

mod model;

use model::rules::Rule;
use model::{History, World};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn no_key_has_two_holders_and_fences_rise(seed in any::<u64>()) {
        let mut world = World::new(History::any(seed), None);
        let found = world.run();
        prop_assert_eq!(found, None, "seed {}", seed);
    }
}

#[test]
fn every_key_is_held_after_a_calm_start() {
    let mut world = World::new(History::calm(), None);
    assert_eq!(world.run(), None);
    assert_eq!(world.held_keys(), 65_536);
}

#[test]
fn every_key_is_held_again_after_each_history_ends_calmly() {
    for seed in 0..60 {
        let mut world = World::new(History::healing(seed), None);
        assert_eq!(world.run(), None, "seed {seed}");
        assert_eq!(world.held_keys(), 65_536, "seed {seed}");
    }
}

#[rstest::rstest]
#[case(Rule::GrantWithinLease)]
#[case(Rule::WaitAfterFence)]
#[case(Rule::FenceBeforeTaking)]
#[case(Rule::KeysReleasedFirst)]
#[case(Rule::WriteBeforeGranting)]
#[case(Rule::FenceRisesWithLife)]
fn the_model_catches_a_rule_left_out(#[case] rule: Rule) {
    let caught = (0..400).any(|seed| {
        let mut world = World::new(History::any(seed), Some(rule));
        world.run().is_some()
    });
    assert!(caught, "no history shows that {rule:?} is needed");
}
