//! Runs coordinators and members through random message orders, losses, pauses and clock drift,
//! and checks that no shard ever has two owners at the same time.
//!
//! The machines have no back ends, so that only the reserved service's shards are assigned;
//! its shards are granted and withdrawn by the same rules as those of any service.

mod histories;
mod model;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use crate::histories::{
    History, cut_off_coordinator, history, restarted_witnesses, rival_candidates, split_witnesses,
    store_outage,
};
use crate::model::{Fault, FaultKind, Omission, Run, STEPS};

/// Histories tried for each rule that is left out.
const HISTORIES: u32 = 200;

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_shard_has_two_owners(
        (faults, delays, rates) in history(),
        announcing: bool,
    ) {
        let mut run = Run::new(Omission::Nothing, faults, delays, &rates);
        run.announcing = announcing;
        prop_assert_eq!(run.run(), Ok(()));
    }

    #[test]
    fn a_cut_off_coordinator_makes_no_second_owner(
        (faults, delays, rates) in cut_off_coordinator(),
        announcing: bool,
    ) {
        let mut run = Run::new(Omission::Nothing, faults, delays, &rates);
        run.announcing = announcing;
        prop_assert_eq!(run.run(), Ok(()));
    }

    #[test]
    fn an_outage_of_the_store_makes_no_second_owner(
        (faults, delays, rates) in store_outage(),
        always_pledge: bool,
        announcing: bool,
    ) {
        let mut run = Run::new(Omission::Nothing, faults, delays, &rates);
        run.always_pledge = always_pledge;
        run.announcing = announcing;
        prop_assert_eq!(run.run(), Ok(()));
    }
}

#[test]
fn a_witness_acts_for_a_coordinator_lost_during_an_outage() {
    let fault = |at_step, kind| Fault {
        at_step,
        length: STEPS,
        kind,
    };
    let faults = vec![
        fault(300, FaultKind::StoreDown),
        fault(302, FaultKind::Pause(0)),
    ];
    let rates = [0, 200, 400, 600, 900];
    let mut run = Run::new(Omission::Nothing, faults, vec![1], &rates);
    run.run().expect("one owner");
    assert_eq!(run.acting_terms, 1);
    assert!(
        run.owned_steps > STEPS * 8 / 10,
        "owned in {} steps",
        run.owned_steps
    );
}

#[test]
fn a_cell_survives_a_long_outage_of_the_store() {
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

/// Returns the number of histories in which a shard has two owners without this rule.
fn violations<H: Strategy<Value = History>>(
    omission: Omission,
    witnesses: bool,
    strategy: fn() -> H,
) -> u32 {
    let mut runner = TestRunner::deterministic();
    let (mut found, mut acting) = (0, 0);
    for number in 0..HISTORIES {
        let history = strategy().new_tree(&mut runner).expect("a history");
        let (faults, delays, rates) = history.current();
        let mut run = Run::new(omission, faults, delays, &rates);
        run.witnesses = witnesses;
        run.always_pledge = number % 2 == 0;
        run.announcing = number % 4 < 2;
        found += u32::from(run.run().is_err());
        acting += run.acting_terms;
    }
    println!(
        "omission={omission:?} histories={HISTORIES} acting_terms={acting} violations={found}"
    );
    found
}

/// Asserts that a rule is needed in some of these histories, and that none gives two owners when
/// no rule is left out.
fn assert_noticed<H: Strategy<Value = History>>(omission: Omission, strategy: fn() -> H) {
    assert_eq!(violations(Omission::Nothing, true, strategy), 0);
    assert!(violations(omission, true, strategy) > 0);
}

#[rstest]
#[case::succession_wait(Omission::SuccessionWait)]
#[case::close(Omission::Close)]
#[case::promise(Omission::Promise)]
#[case::lease_from_arrival(Omission::LeaseFromArrival)]
#[case::lease_check(Omission::LeaseCheck)]
fn leaving_out_a_rule_is_noticed(#[case] omission: Omission) {
    assert_noticed(omission, cut_off_coordinator);
}

#[test]
fn a_confirming_read_is_noticed_in_a_cell_without_witnesses() {
    let strategy = cut_off_coordinator;
    assert_eq!(violations(Omission::Nothing, false, strategy), 0);
    assert!(violations(Omission::ReadConfirms, false, strategy) > 0);
}

#[test]
fn a_confirmation_by_a_later_incarnation_is_noticed() {
    assert_noticed(Omission::WitnessLife, restarted_witnesses);
}

#[rstest]
#[case::pledge(Omission::Pledge)]
#[case::withdrawal(Omission::Withdrawal)]
#[case::acting_wait(Omission::ActingWait)]
#[case::close_acting(Omission::CloseActing)]
fn leaving_out_a_rule_of_acting_terms_is_noticed(#[case] omission: Omission) {
    assert_noticed(omission, store_outage);
}

#[test]
fn an_endorsement_of_two_candidates_is_noticed() {
    assert_noticed(Omission::OneCandidate, rival_candidates);
}

#[test]
fn the_lone_promise_of_a_pledged_coordinator_is_noticed() {
    assert_noticed(Omission::PledgedWord, split_witnesses);
}
