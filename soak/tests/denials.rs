//! Tests of which denials are wrong.

use http1::response::Response;
use soak::configuration::limits;
use soak::denials::{Denials, Judgement, Requirement, is_denial, judge};

fn routed(versions: std::ops::Range<u64>) -> Requirement {
    Requirement {
        versions,
        head_bytes: 100,
        body_bytes: 0,
    }
}

#[test]
fn only_final_refusals_without_a_back_ends_signature_are_denials() {
    for status in [301, 400, 401, 403, 404, 413, 431] {
        assert!(is_denial(&Response::new(status)), "{status}");
        let signed = Response::new(status).with("Response-Stamp", "s");
        assert!(!is_denial(&signed), "{status} of a back end");
    }
    for status in [200, 408, 421, 429, 500, 503, 504] {
        assert!(!is_denial(&Response::new(status)), "{status}");
    }
}

#[test]
fn a_denial_is_wrong_if_all_versions_that_may_be_in_force_have_the_route() {
    let always = routed(0..u64::MAX);
    assert_eq!(judge(&always, &(1..=5), &(1..=5)), Judgement::Wrong);
    let added = routed(3..u64::MAX);
    assert_eq!(judge(&added, &(3..=5), &(3..=5)), Judgement::Wrong);
    assert_eq!(judge(&added, &(2..=5), &(2..=5)), Judgement::Right);
    let dropped = routed(3..5);
    assert_eq!(judge(&dropped, &(3..=4), &(3..=4)), Judgement::Wrong);
    assert_eq!(judge(&dropped, &(4..=5), &(4..=5)), Judgement::Right);
    let unknown = routed(0..0);
    assert_eq!(judge(&unknown, &(1..=1), &(1..=1)), Judgement::Right);
}

#[test]
fn a_denial_by_a_version_that_is_back_after_a_restore_is_counted_apart() {
    let added = routed(3..u64::MAX);
    assert_eq!(judge(&added, &(2..=3), &(3..=3)), Judgement::Lost);
}

#[test]
fn a_denial_of_a_long_request_is_wrong_if_it_is_within_the_limits_of_all_versions() {
    let smallest = |from: u64| (from..from + 3).map(limits).min_by_key(|l| l.head_bytes);
    let smallest = smallest(1).expect("three versions");
    let long = |head_bytes, body_bytes| Requirement {
        head_bytes,
        body_bytes,
        ..routed(0..u64::MAX)
    };
    let within = long(smallest.head_bytes, smallest.body_bytes);
    assert_eq!(judge(&within, &(1..=3), &(1..=3)), Judgement::Wrong);
    let long_head = long(smallest.head_bytes + 1, 0);
    assert_eq!(judge(&long_head, &(1..=3), &(1..=3)), Judgement::Right);
    let long_body = long(100, smallest.body_bytes + 1);
    assert_eq!(judge(&long_body, &(1..=3), &(1..=3)), Judgement::Right);
    assert_eq!(judge(&long_body, &(1..=1), &(1..=1)), Judgement::Wrong);
}

#[test]
fn denials_are_counted_by_status_and_judgement() {
    let mut denials = Denials::default();
    for judgement in [Judgement::Right, Judgement::Wrong, Judgement::Lost] {
        denials.record(404, judgement);
    }
    denials.record(431, Judgement::Wrong);
    assert_eq!(denials.count(404, Judgement::Wrong), 1);
    assert_eq!(denials.count(413, Judgement::Wrong), 0);
    assert_eq!(
        denials.to_string(),
        "denials 404=3(wrong=1,lost=1) 431=1(wrong=1,lost=0)"
    );
}
