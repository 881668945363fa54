//! The set of evacuated zones: lists, changes, sets of peers and restores of the store.

use std::time::Duration;

use catalog::freshness::REWRITE_TIME;
use node::evacuations::Evacuations;
use platform::object::NameChange;
use shards::revision::{Revision, StoreEra};
use world::instant::BootInstant;
use world::name::ZoneName;

fn at(millis: u64) -> BootInstant {
    BootInstant::default() + Duration::from_millis(millis)
}

fn revision(era: u64, number: u64) -> Revision {
    let era = StoreEra::new(era).expect("a small era");
    Revision::new(era, number).expect("a small number")
}

fn zones(names: &[&str]) -> Vec<ZoneName> {
    names.iter().map(|name| ZoneName::new(name)).collect()
}

fn change(name: &str, is_present: bool) -> NameChange {
    NameChange {
        name: name.to_owned(),
        is_present,
    }
}

fn known(set: &Evacuations) -> Vec<ZoneName> {
    set.zones().cloned().collect()
}

// Guards against removals that the watch does not pass on, and against changes applied out of order.
#[test]
fn changes_apply_in_their_order() {
    let mut set = Evacuations::default();
    set.on_list(at(0), revision(0, 1), &zones(&["a"]));
    let changes = [
        change("a", false),
        change("b", true),
        change("b", false),
        change("c", true),
    ];
    set.on_changes(at(1), revision(0, 5), &changes);
    assert_eq!(known(&set), zones(&["c"]));
}

// Guards against a peer that overwrites what the process knows better, and against an earlier change
// that undoes a later set.
#[test]
fn a_later_revision_wins() {
    let mut set = Evacuations::default();
    set.on_peer_set(at(0), revision(0, 7), &zones(&["a"]));
    assert_eq!(known(&set), zones(&["a"]));
    set.on_peer_set(at(1), revision(0, 6), &zones(&["b"]));
    set.on_changes(at(2), revision(0, 6), &[change("a", false)]);
    set.on_list(at(3), revision(0, 5), &[]);
    assert_eq!(known(&set), zones(&["a"]));
    assert_eq!(set.since(&ZoneName::new("a")), Some(at(0)));
    set.on_peer_set(at(4), revision(0, 8), &[]);
    assert!(known(&set).is_empty());
}

// Guards against an evacuation that a restore of the store ends at once, or that never ends.
#[test]
fn a_zone_that_a_restore_has_lost_lapses_after_the_rewrite_time() {
    let mut set = Evacuations::default();
    set.on_list(at(0), revision(0, 9), &zones(&["a", "b"]));
    set.on_list(at(100), revision(1, 3), &zones(&["b"]));
    assert_eq!(known(&set), zones(&["a", "b"]));
    assert_eq!(set.stored_zones(), zones(&["b"]));
    set.on_peer_set(at(200), revision(1, 4), &zones(&["b"]));
    assert_eq!(known(&set), zones(&["a", "b"]));
    let end = at(100) + REWRITE_TIME;
    set.evict_lapsed(at(100) + REWRITE_TIME / 2);
    assert_eq!(known(&set), zones(&["a", "b"]));
    set.evict_lapsed(end);
    assert_eq!(known(&set), zones(&["b"]));
}

// Guards against an evacuation that lapses although the operator has written it again, or goes on although
// the operator has removed it since.
#[test]
fn a_zone_that_is_written_again_after_a_restore_stays_until_it_is_removed() {
    let mut set = Evacuations::default();
    set.on_list(at(0), revision(0, 9), &zones(&["a"]));
    set.on_list(at(100), revision(1, 3), &[]);
    set.on_changes(at(200), revision(1, 4), &[change("a", true)]);
    set.evict_lapsed(at(200) + REWRITE_TIME * 2);
    assert_eq!(known(&set), zones(&["a"]));
    set.on_changes(at(30_000), revision(1, 5), &[change("a", false)]);
    assert!(known(&set).is_empty());
}
