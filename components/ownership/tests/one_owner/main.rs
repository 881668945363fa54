//! Drives coordinators and members through random message orders, losses, pauses and clock
//! drift, and checks that no shard has two owners at one instant.
//!
//! The machines have no back ends, so that only the reserved service's shards are assigned;
//! its shards are granted and withdrawn by the same rules as those of any service.

mod histories;
mod model;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use crate::histories::{cut_off_coordinator, history};
use crate::model::{Fault, FaultKind, Omission, Run, STEPS};

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_shard_has_two_owners((faults, delays, rates) in history()) {
        let mut run = Run::new(Omission::Nothing, faults, delays, &rates);
        prop_assert_eq!(run.run(), Ok(()));
    }

    #[test]
    fn a_cut_off_coordinator_makes_no_second_owner(
        (faults, delays, rates) in cut_off_coordinator()
    ) {
        let mut run = Run::new(Omission::Nothing, faults, delays, &rates);
        prop_assert_eq!(run.run(), Ok(()));
    }
}

#[test]
fn a_cell_outlives_a_long_outage_of_the_store() {
    let outage = Fault {
        at_step: 300,
        length: STEPS,
        kind: FaultKind::StoreDown,
    };
    let mut run = Run::new(
        Omission::Nothing,
        vec![outage],
        vec![1],
        &[0, 200, 400, 600, 900],
    );
    run.run().expect("one owner");
    assert!(
        run.owned_steps > STEPS * 9 / 10,
        "owned in {} steps",
        run.owned_steps
    );
}

#[test]
fn a_quiet_cell_owns_its_shards() {
    let mut run = Run::new(
        Omission::Nothing,
        Vec::new(),
        vec![1],
        &[0, 200, 400, 600, 900],
    );
    run.run().expect("one owner");
    assert!(
        run.owned_steps > STEPS * 9 / 10,
        "owned in {} steps",
        run.owned_steps
    );
}

/// Counts the histories in which leaving a rule out gives two owners.
fn violations(omission: Omission, witnesses: bool, histories: u32) -> u32 {
    let mut runner = TestRunner::deterministic();
    let mut found = 0;
    for _ in 0..histories {
        let strategy = cut_off_coordinator();
        let (faults, delays, rates) = strategy.new_tree(&mut runner).expect("a history").current();
        let mut run = Run::new(omission, faults, delays, &rates);
        run.witnesses = witnesses;
        found += u32::from(run.run().is_err());
    }
    found
}

#[rstest]
#[case::nothing(Omission::Nothing, true)]
#[case::nothing_without_witnesses(Omission::Nothing, false)]
#[case::succession_wait(Omission::SuccessionWait, true)]
#[case::close(Omission::Close, true)]
#[case::witness_life(Omission::WitnessLife, true)]
#[case::promise(Omission::Promise, true)]
#[case::lease_from_arrival(Omission::LeaseFromArrival, true)]
#[case::read_confirms(Omission::ReadConfirms, false)]
#[case::lease_check(Omission::LeaseCheck, true)]
fn leaving_out_a_rule_is_noticed(#[case] omission: Omission, #[case] witnesses: bool) {
    let found = violations(omission, witnesses, 400);
    println!("omission={omission:?} witnesses={witnesses} histories=400 violations={found}");
    assert_eq!(found > 0, omission != Omission::Nothing);
}
