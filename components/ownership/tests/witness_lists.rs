//! Only witnesses that are in every record that a successor may read extend the authority.

use std::net::SocketAddr;
use std::time::Duration;

use ownership::record::{CellRecord, WitnessRef};
use ownership::renewal::{Renewal, TermStatus};
use ownership::timing::Timing;
use world::instant::BootInstant;
use world::key::Term;
use world::machine::Incarnation;
use world::name::{CellName, MachineName};

const VERSION: u64 = 7;

fn witness(name: &str) -> WitnessRef {
    WitnessRef {
        name: MachineName::new(name),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    }
}

fn witnesses(names: &[&str]) -> Vec<WitnessRef> {
    names.iter().map(|name| witness(name)).collect()
}

fn at(millis: u64) -> BootInstant {
    BootInstant::from_millis(millis)
}

/// A coordinator whose record lists `a`, `b` and `c`, confirmed by the store at 1,000 ms.
fn renewal() -> Renewal {
    let record = CellRecord {
        cell: CellName::new("nord"),
        term: Term(2),
        coordinator: MachineName::new("me"),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        write_id: 1,
        resigned: false,
        witnesses: witnesses(&["a", "b", "c"]),
        open_terms: Vec::new(),
    };
    Renewal::new(Timing::default(), record, VERSION, at(1_000))
}

/// Returns whether confirmations by `a` and `b` of a request at 1,500 ms extend the authority.
fn extended(renewal: &mut Renewal) -> bool {
    let before = renewal.authority_until();
    for name in ["a", "b"] {
        renewal.on_witness_confirmed(&witness(name), at(1_500), 0);
    }
    renewal.authority_until() > before
}

#[test]
fn a_quorum_of_the_listed_witnesses_extends_the_authority() {
    let mut renewal = renewal();
    renewal.on_witness_confirmed(&witness("a"), at(1_400), 0);
    assert_eq!(
        renewal.authority_until(),
        at(1_000) + Timing::default().authority
    );
    renewal.on_witness_confirmed(&witness("b"), at(1_500), 0);
    assert_eq!(
        renewal.authority_until(),
        at(1_400) + Timing::default().authority
    );
}

#[test]
fn a_lost_write_with_other_witnesses_stops_the_old_ones_from_counting() {
    let mut renewal = renewal();
    renewal.set_witnesses(witnesses(&["d", "e", "f"]));
    renewal.start(at(1_200), 2);
    // The response is lost, and the witnesses are changed back before the record is read.
    renewal.set_witnesses(witnesses(&["a", "b", "c"]));
    renewal.start(at(1_400), 3);
    assert!(!extended(&mut renewal));
}

#[test]
fn a_lost_write_that_can_still_take_effect_stays_unsettled_after_a_read() {
    let mut renewal = renewal();
    let listed = renewal.record().clone();
    renewal.set_witnesses(witnesses(&["d", "e", "f"]));
    renewal.start(at(1_200), 2);
    assert_eq!(renewal.on_read_back(&listed, VERSION), TermStatus::Held);
    renewal.set_witnesses(witnesses(&["a", "b", "c"]));
    assert!(!extended(&mut renewal));
}

#[test]
fn a_confirmed_write_settles_lost_ones() {
    let mut renewal = renewal();
    renewal.set_witnesses(witnesses(&["d", "e", "f"]));
    renewal.start(at(1_200), 2);
    renewal.set_witnesses(witnesses(&["a", "b", "c"]));
    renewal.start(at(1_300), 3);
    renewal.on_confirmed(3, VERSION + 1);
    assert!(extended(&mut renewal));
}

#[test]
fn a_late_response_to_an_earlier_write_confirms_nothing() {
    let mut renewal = renewal();
    renewal.start(at(1_200), 2);
    renewal.start(at(1_400), 3);
    renewal.on_confirmed(2, VERSION + 1);
    assert_eq!(
        renewal.authority_until(),
        at(1_000) + Timing::default().authority
    );
}

#[test]
fn witnesses_do_not_count_after_the_longest_store_absence() {
    let mut renewal = renewal();
    let late = at(1_000) + Timing::default().store_absence + Duration::from_millis(1);
    renewal.on_witness_confirmed(&witness("a"), late, 0);
    renewal.on_witness_confirmed(&witness("b"), late, 0);
    assert_eq!(
        renewal.authority_until(),
        at(1_000) + Timing::default().authority
    );
}
