//! No key is held by two back ends at once under any combination of faults.
//!
//! Several shard managers with their back ends run against one store in simulated time, under
//! random faults: store requests are slow, lost before or after they took effect, or take effect
//! late; processes pause, crash and restart; back ends crash and restart; machines are partitioned;
//! clocks drift; the store is restored from a snapshot. After each step the simulation checks for
//! keys that two back ends hold.

mod model;

use std::env;

use model::rules::Rule;
use model::{History, Simulation};
use proptest::prelude::*;

/// Number of histories of each property, unless the environment variable `ONE_HOLDER_CASES` names
/// another one.
const CASES: u32 = 300;

/// Longest time without a holder while its machine has store and back end, in milliseconds.
const LONGEST_GAP_MS: f64 = 4_000.0;
/// Time after a restore until all keys are held again, if machines had no memory of them: the lease,
/// its drift and the time to assign and grant them.
const LONGEST_WAIT_MS: f64 = 8_180.0 + 4_000.0;

/// Number of histories with an evacuation.
const EVACUATION_SEEDS: u64 = 1_000;

/// Number of histories of which one must show that a rule is needed.
const HISTORIES_PER_RULE: u64 = 3_000;

fn config() -> ProptestConfig {
    let cases = env::var("ONE_HOLDER_CASES").ok();
    let cases = cases.map(|c| c.parse().expect("a number of cases"));
    ProptestConfig {
        cases: cases.unwrap_or(CASES),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_key_has_two_holders_and_fences_rise(seed in any::<u64>()) {
        let mut simulation = Simulation::new(History::with_faults(seed), None);
        let found = simulation.run();
        prop_assert_eq!(found, None, "seed {}", seed);
    }

    #[test]
    fn no_key_has_two_holders_when_the_store_is_restored_from_a_snapshot(seed in any::<u64>()) {
        let mut simulation = Simulation::new(History::with_restores(seed), None);
        let found = simulation.run();
        prop_assert_eq!(found, None, "seed {}", seed);
    }

    #[test]
    fn no_key_has_two_holders_when_a_handover_is_in_flight_at_a_restore(seed in any::<u64>()) {
        let mut simulation = Simulation::new(History::with_handover_in_flight(seed), None);
        let found = simulation.run();
        prop_assert_eq!(found, None, "seed {}", seed);
    }
}

#[test]
fn no_key_has_two_holders_after_a_first_contact_in_a_later_era() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(History::with_late_first_contact(seed), None);
        assert_eq!(simulation.run(), None, "seed {seed}");
    }
}

#[test]
fn every_key_is_held_after_a_start_without_faults() {
    let mut simulation = Simulation::new(History::without_faults(), None);
    assert_eq!(simulation.run(), None);
    assert_eq!(simulation.held_keys(), 65_536);
}

#[test]
fn keys_whose_recipients_are_cut_off_return_to_their_holder() {
    let mut simulation = Simulation::new(History::without_recipients(), None);
    assert_eq!(simulation.run(), None);
    assert_eq!(simulation.held_keys(), 65_536);
    let gap = simulation.longest_gap();
    assert!(gap <= LONGEST_GAP_MS, "{gap} ms");
}

// Guards against keys that stay in an evacuated zone although a machine outside can take them, and against
// two holders of a key while a third of the machines is silent.
#[test]
fn keys_leave_an_evacuated_zone_while_a_third_of_the_machines_is_silent() {
    for seed in 0..EVACUATION_SEEDS {
        let mut simulation = Simulation::new(History::with_evacuation(seed), None);
        assert_eq!(simulation.run(), None, "seed {seed}");
        assert_eq!(simulation.keys_in_evacuated_zone(), 0, "seed {seed}");
        assert_eq!(simulation.held_keys(), 65_536, "seed {seed}");
    }
}

#[rstest::rstest]
#[case(History::recovering)]
#[case(History::recovering_with_restores)]
fn every_key_is_held_again_after_the_faults_cease(#[case] history: fn(u64) -> History) {
    for seed in 0..60 {
        let mut simulation = Simulation::new(history(seed), None);
        assert_eq!(simulation.run(), None, "seed {seed}");
        assert_eq!(simulation.held_keys(), 65_536, "seed {seed}");
    }
}

#[test]
fn keys_keep_their_holders_over_a_restore_alone() {
    for seed in 0..60 {
        let mut simulation = Simulation::new(History::with_one_restore_only(seed), None);
        assert_eq!(simulation.run(), None, "seed {seed}");
        assert_eq!(simulation.held_keys(), 65_536, "seed {seed}");
        let gap = simulation.longest_gap();
        assert!(gap <= LONGEST_GAP_MS, "seed {seed}: {gap} ms");
    }
}

#[test]
fn every_key_is_held_again_after_the_leases_of_before_a_restore() {
    for seed in 0..60 {
        let history = History::with_changes_before_the_return(seed);
        let back_at = history.restores[0].back_at;
        let mut simulation = Simulation::new(history, None);
        assert_eq!(simulation.run(), None, "seed {seed}");
        assert_eq!(simulation.held_keys(), 65_536, "seed {seed}");
        let wait = simulation.last_gap_end() - back_at;
        assert!(wait <= LONGEST_WAIT_MS, "seed {seed}: {wait} ms");
    }
}

#[rstest::rstest]
#[case(Rule::GrantWithinLease, History::with_faults)]
#[case(Rule::WaitAfterFence, History::with_faults)]
#[case(Rule::FenceBeforeReassigning, History::with_faults)]
#[case(Rule::ReleaseBeforeTransfer, History::with_faults)]
#[case(Rule::WriteBeforeGranting, History::with_faults)]
#[case(Rule::NewFencePerIncarnation, History::with_faults)]
#[case(Rule::WaitForEarlierLeases, History::with_restores)]
#[case(Rule::ClaimWithValidLease, History::with_lost_takeover)]
#[case(Rule::KeepHandoversWithoutOutcome, History::with_lost_handover)]
#[case(Rule::GiveBackRefusedOnly, History::with_handover_in_flight)]
#[case(Rule::KindsPerEra, History::with_late_writes)]
#[case(Rule::OutcomesOfTheirEra, History::with_restores)]
#[case(Rule::FencesCarryEra, History::with_restores)]
fn detects_each_disabled_rule(#[case] rule: Rule, #[case] history: fn(u64) -> History) {
    let detected = (0..HISTORIES_PER_RULE).any(|seed| {
        let mut simulation = Simulation::new(history(seed), Some(rule));
        simulation.run().is_some()
    });
    assert!(detected, "no history shows that {rule:?} is needed");
}
