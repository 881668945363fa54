//! What a machine concludes from crashes, completions and reports of others.

use std::time::Duration;

use proptest::prelude::*;
use quarantine::crash_count::CrashCount;
use quarantine::exits::{BackEndHash, Exits, MAX_EXITS};
use quarantine::fingerprint::{Fingerprint, RequestIdentity, target_hash};
use quarantine::interrupted::{InterruptedRequest, KnownCrashes};
use quarantine::quarantine::{
    FIRST_BLOCK, MAX_BLOCK, MAX_CRASHES, MAX_RECORDS, Quarantine, REPORT_TIME, SUSPECT_RETENTION,
};
use rstest::rstest;
use world::instant::BootInstant;

const NOW: BootInstant = BootInstant::from_millis(10_000_000);

fn back_end(number: u64) -> BackEndHash {
    BackEndHash::new("b", number)
}

fn fingerprint(target: &str) -> Fingerprint {
    of_caller("c", target)
}

fn of_caller(caller: &str, target: &str) -> Fingerprint {
    Fingerprint::new(&RequestIdentity {
        method: b"GET",
        host: b"h.example",
        target: target.as_bytes(),
        caller: caller.as_bytes(),
        body: b"",
    })
}

fn interrupted(target: &str, known_crashes: u32) -> InterruptedRequest {
    InterruptedRequest {
        fingerprint: fingerprint(target),
        known: KnownCrashes {
            own: known_crashes,
            any_caller: known_crashes,
        },
        sent: NOW,
        at: NOW,
    }
}

/// Lets the request crash back ends one after another until it has crashed `crashes`.
fn crash_up_to(quarantine: &mut Quarantine, target: &str, crashes: u32, now: BootInstant) {
    let known = quarantine.record(&fingerprint(target));
    for crash in known.map_or(0, |r| r.count.crashes)..crashes {
        quarantine.on_exit(
            back_end(u64::from(crash)),
            &[interrupted(target, crash)],
            now,
        );
    }
}

fn blocked_for(quarantine: &Quarantine, target: &str, now: BootInstant) -> Option<Duration> {
    quarantine.blocked_for(&fingerprint(target), now)
}

#[test]
fn the_third_crash_in_a_row_blocks_a_request() {
    let mut quarantine = Quarantine::default();
    crash_up_to(&mut quarantine, "/a", MAX_CRASHES - 1, NOW);
    assert_eq!(blocked_for(&quarantine, "/a", NOW), None);
    crash_up_to(&mut quarantine, "/a", MAX_CRASHES, NOW);
    assert_eq!(blocked_for(&quarantine, "/a", NOW), Some(FIRST_BLOCK));
    assert_eq!(quarantine.blocked_count(NOW), 1);
    assert_eq!(blocked_for(&quarantine, "/b", NOW), None);
}

// Guards against blocking a popular request of which copies ran at many back ends that a rack or a
// zone took down at once.
#[test]
fn back_ends_that_exit_at_once_count_as_one_crash() {
    let mut quarantine = Quarantine::default();
    for number in 0..10 {
        let copies = [interrupted("/a", 0), interrupted("/a", 0)];
        quarantine.on_exit(back_end(number), &copies, NOW);
    }
    assert_eq!(blocked_for(&quarantine, "/a", NOW), None);
}

#[test]
fn a_completed_run_clears_a_suspect() {
    let mut quarantine = Quarantine::default();
    crash_up_to(&mut quarantine, "/a", MAX_CRASHES - 1, NOW);
    assert!(!quarantine.on_completion(fingerprint("/a"), NOW).is_empty());
    assert!(quarantine.on_completion(fingerprint("/a"), NOW).is_empty());
    assert_eq!(quarantine.suspects().count(), 0);
    crash_up_to(&mut quarantine, "/a", 2 * MAX_CRASHES - 2, NOW);
    assert_eq!(blocked_for(&quarantine, "/a", NOW), None);
    crash_up_to(&mut quarantine, "/a", 2 * MAX_CRASHES - 1, NOW);
    assert_eq!(blocked_for(&quarantine, "/a", NOW), Some(FIRST_BLOCK));
}

fn crash(quarantine: &mut Quarantine, request: Fingerprint) {
    let request = InterruptedRequest {
        fingerprint: request,
        known: quarantine.known_crashes(&request),
        sent: NOW,
        at: NOW,
    };
    quarantine.on_exit(back_end(0), &[request], NOW);
}

// Guards against three crashes for each service that sends a crash-causing request.
#[test]
fn the_third_crash_blocks_a_request_of_several_callers_for_all_of_them() {
    let mut quarantine = Quarantine::default();
    for caller in ["a", "b", "c"] {
        assert_eq!(quarantine.blocked_for(&of_caller("d", "/x"), NOW), None);
        crash(&mut quarantine, of_caller(caller, "/x"));
    }
    for caller in ["a", "b", "c", "d"] {
        let blocked = quarantine.blocked_for(&of_caller(caller, "/x"), NOW);
        assert_eq!(blocked, Some(FIRST_BLOCK));
    }
    assert_eq!(quarantine.blocked_count(NOW), 1);
}

// Guards against a crash-causing request that is cleared by those of other callers.
#[test]
fn a_request_that_only_one_caller_cannot_send_is_blocked_for_that_caller() {
    let mut quarantine = Quarantine::default();
    for _ in 0..MAX_CRASHES {
        crash(&mut quarantine, of_caller("a", "/x"));
        quarantine.on_completion(of_caller("b", "/x"), NOW);
    }
    let blocked = |caller| quarantine.blocked_for(&of_caller(caller, "/x"), NOW);
    assert_eq!(blocked("a"), Some(FIRST_BLOCK));
    assert_eq!(blocked("b"), None);
}

#[test]
fn a_block_ends_by_itself_and_doubles_with_each_further_crash() {
    let mut quarantine = Quarantine::default();
    let mut now = NOW;
    let mut expected = FIRST_BLOCK;
    for crashes in MAX_CRASHES..20 {
        crash_up_to(&mut quarantine, "/a", crashes, now);
        assert_eq!(blocked_for(&quarantine, "/a", now), Some(expected));
        now = now + expected;
        assert_eq!(blocked_for(&quarantine, "/a", now), None);
        expected = (2 * expected).min(MAX_BLOCK);
    }
}

#[rstest]
#[case::no_suspects(0, 0, true)]
#[case::beside_one_without_crashes(2, 0, true)]
#[case::both_crashed_once(1, 1, true)]
#[case::isolated_beside_suspect(2, 1, false)]
#[case::suspect_beside_isolated(1, 2, false)]
#[case::both_isolated(2, 2, false)]
fn isolated_requests_run_beside_no_other_suspect(
    #[case] own: u32,
    #[case] other: u32,
    #[case] expected: bool,
) {
    let mut quarantine = Quarantine::default();
    crash_up_to(&mut quarantine, "/a", own, NOW);
    crash_up_to(&mut quarantine, "/b", other, NOW);
    let (a, b) = (fingerprint("/a"), fingerprint("/b"));
    assert_eq!(quarantine.may_run_beside(&a, &b), expected);
    assert!(quarantine.may_run_beside(&a, &a));
}

// Guards against a request that meets the same crash-causing one at back end after back end, faster
// than the reports of the crashes travel.
#[test]
fn an_isolated_request_waits_for_the_reports_of_its_last_crash() {
    let mut quarantine = Quarantine::default();
    let a = fingerprint("/a");
    crash_up_to(&mut quarantine, "/a", 1, NOW);
    assert_eq!(quarantine.reports_due_in(&a, NOW), None);
    crash_up_to(&mut quarantine, "/a", 2, NOW);
    assert_eq!(quarantine.reports_due_in(&a, NOW), Some(REPORT_TIME));
    assert_eq!(quarantine.reports_due_in(&a, NOW + REPORT_TIME), None);
}

#[test]
fn a_report_counts_from_the_crash_and_not_from_its_arrival() {
    let mut quarantine = Quarantine::default();
    let count = CrashCount {
        crashes: MAX_CRASHES,
        cleared: 0,
        exits: Exits::default(),
    };
    let age = FIRST_BLOCK / 3;
    let record = quarantine.merge(fingerprint("/a"), count, age, NOW);
    assert!(record.is_some());
    let remaining = blocked_for(&quarantine, "/a", NOW);
    assert_eq!(remaining, Some(FIRST_BLOCK - age));
    let repeated = quarantine.merge(fingerprint("/a"), count, Duration::ZERO, NOW);
    assert_eq!(repeated, None);
}

// Guards against a block that ends early because a report of one more back end, which exited in an
// earlier crash, arrives late.
#[test]
fn a_late_report_of_an_exit_does_not_shorten_a_block() {
    let mut quarantine = Quarantine::default();
    let count = CrashCount {
        crashes: MAX_CRASHES,
        cleared: 0,
        exits: Exits::default().with(back_end(1), MAX_CRASHES),
    };
    quarantine.merge(fingerprint("/a"), count, Duration::ZERO, NOW);
    let late = CrashCount {
        crashes: 1,
        cleared: 0,
        exits: Exits::default().with(back_end(2), 1),
    };
    let record = quarantine.merge(fingerprint("/a"), late, FIRST_BLOCK / 2, NOW);
    assert_eq!(record.map(|r| r.count.exits.count()), Some(2));
    assert_eq!(blocked_for(&quarantine, "/a", NOW), Some(FIRST_BLOCK));
}

#[test]
fn a_late_report_of_earlier_crashes_does_not_undo_a_completion() {
    let mut quarantine = Quarantine::default();
    crash_up_to(&mut quarantine, "/a", MAX_CRASHES - 1, NOW);
    let before = quarantine.record(&fingerprint("/a")).expect("a suspect");
    quarantine.on_completion(fingerprint("/a"), NOW);
    let late = quarantine.merge(fingerprint("/a"), before.count, Duration::ZERO, NOW);
    assert_eq!(late, None);
    assert_eq!(quarantine.suspects().count(), 0);
}

#[test]
fn suspects_are_forgotten_in_the_end() {
    let mut quarantine = Quarantine::default();
    crash_up_to(&mut quarantine, "/a", 1, NOW);
    crash_up_to(&mut quarantine, "/b", MAX_CRASHES, NOW);
    let later = NOW + SUSPECT_RETENTION + Duration::from_millis(1);
    quarantine.evict_expired(later);
    assert!(!quarantine.may_contain(target_hash(b"/a")));
    assert!(quarantine.may_contain(target_hash(b"/b")));
    quarantine.evict_expired(later + FIRST_BLOCK);
    assert!(!quarantine.may_contain(target_hash(b"/b")));
}

#[test]
fn the_number_of_records_is_bounded_and_blocked_requests_stay() {
    let mut quarantine = Quarantine::default();
    crash_up_to(&mut quarantine, "/blocked", MAX_CRASHES, NOW);
    for i in 0..2 * MAX_RECORDS {
        crash_up_to(&mut quarantine, &format!("/{i}"), 1, NOW);
    }
    let records = quarantine.suspects().count();
    assert_eq!(records, MAX_RECORDS);
    assert_eq!(quarantine.blocked_count(NOW), 1);
}

fn exits() -> impl Strategy<Value = Exits> {
    let exit = (0u64..8, 1u32..6);
    proptest::collection::vec(exit, 0..5).prop_map(|exits| {
        let add = |all: Exits, (number, crash)| all.with(back_end(number), crash);
        exits.into_iter().fold(Exits::default(), add)
    })
}

fn count() -> impl Strategy<Value = CrashCount> {
    (0u32..6, 0u32..6, exits()).prop_map(|(a, b, exits)| CrashCount {
        crashes: a.max(b),
        cleared: a.min(b),
        exits: exits.after(a.min(b)),
    })
}

fn exit_at_once(quarantine: &mut Quarantine, target: &str, back_ends: u64) {
    for number in 0..back_ends {
        quarantine.on_exit(back_end(number), &[interrupted(target, 0)], NOW);
    }
}

// Guards against copies that go on crashing several back ends at once, as these count as one crash.
#[test]
fn copies_run_one_at_a_time_once_three_back_ends_have_exited_at_once() {
    let mut quarantine = Quarantine::default();
    let a = fingerprint("/a");
    exit_at_once(&mut quarantine, "/a", MAX_EXITS as u64 - 1);
    assert!(quarantine.may_run_beside(&a, &a));
    exit_at_once(&mut quarantine, "/a", MAX_EXITS as u64);
    assert!(quarantine.needs_trial(&a));
    assert!(!quarantine.may_run_beside(&a, &a));
    assert!(quarantine.may_run_beside(&a, &fingerprint("/b")));
    quarantine.on_completion(a, NOW);
    assert!(quarantine.may_run_beside(&a, &a));
}

// Guards against a trial that proves nothing, as the crash-causing request ran beside it.
#[test]
fn a_request_on_trial_runs_beside_no_other_suspect() {
    let mut quarantine = Quarantine::default();
    exit_at_once(&mut quarantine, "/a", MAX_EXITS as u64);
    crash_up_to(&mut quarantine, "/b", 1, NOW);
    let (a, b, c) = (fingerprint("/a"), fingerprint("/b"), fingerprint("/c"));
    assert!(!quarantine.may_run_beside(&a, &b));
    assert!(!quarantine.may_run_beside(&b, &a));
    assert!(quarantine.may_run_beside(&a, &c));
    assert_eq!(quarantine.reports_due_in(&a, NOW), Some(REPORT_TIME));
    assert_eq!(quarantine.reports_due_in(&b, NOW), None);
}

#[test]
fn a_back_end_counts_once_as_exited() {
    let twice = Exits::default().with(back_end(1), 1).with(back_end(1), 2);
    assert_eq!(twice.count(), 1);
    assert_eq!(twice.after(1).count(), 1);
    assert_eq!(twice.after(2).count(), 0);
}

proptest! {
    #[test]
    fn counts_merge_in_any_order_and_any_number_of_times(
        counts in proptest::collection::vec(count(), 1..6),
        order in any::<u64>(),
    ) {
        let merge_all = |counts: &[CrashCount]| {
            counts.iter().fold(CrashCount::default(), |all, c| all.merged(*c))
        };
        let merged = merge_all(&counts);
        let mut others = counts.clone();
        others.rotate_left(order as usize % counts.len());
        others.extend_from_slice(&counts);
        others.reverse();
        prop_assert_eq!(merge_all(&others), merged);
        prop_assert!(merged.cleared <= merged.crashes);
        prop_assert_eq!(merged.exits.after(merged.cleared), merged.exits);
    }
}
