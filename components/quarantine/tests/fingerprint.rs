//! Fingerprints tell requests apart by what their attempts have in common.

use quarantine::fingerprint::{Fingerprint, RequestIdentity, target_hash};
use rstest::rstest;

const REQUEST: RequestIdentity = RequestIdentity {
    method: b"POST",
    host: b"h.example",
    target: b"/orders/7?x=1",
    caller: b"lists",
    body: b"body",
};

#[rstest]
#[case::method(RequestIdentity { method: b"PUT", ..REQUEST })]
#[case::host(RequestIdentity { host: b"other.example", ..REQUEST })]
#[case::query(RequestIdentity { target: b"/orders/7?x=2", ..REQUEST })]
#[case::caller(RequestIdentity { caller: b"orders", ..REQUEST })]
#[case::body(RequestIdentity { body: b"bodY", ..REQUEST })]
#[case::boundary(RequestIdentity { target: b"/orders/7?x=1b", body: b"ody", ..REQUEST })]
fn requests_that_differ_in_one_part_have_other_fingerprints(#[case] other: RequestIdentity) {
    assert_ne!(Fingerprint::new(&REQUEST), Fingerprint::new(&other));
}

#[test]
fn a_fingerprint_is_read_back_from_its_text() {
    let fingerprint = Fingerprint::new(&REQUEST);
    let text = fingerprint.to_string();
    assert_eq!(text.len(), 48);
    assert_eq!(text.parse(), Ok(fingerprint));
    assert_eq!(fingerprint.target(), target_hash(REQUEST.target));
}

#[test]
fn the_fingerprint_of_any_caller_leaves_out_only_the_caller() {
    let other_caller = RequestIdentity {
        caller: b"orders",
        ..REQUEST
    };
    let other_body = RequestIdentity {
        body: b"bodY",
        ..REQUEST
    };
    let any_caller = Fingerprint::new(&REQUEST).any_caller();
    assert_eq!(Fingerprint::new(&other_caller).any_caller(), any_caller);
    assert_ne!(Fingerprint::new(&other_body).any_caller(), any_caller);
    assert!(any_caller.is_any_caller());
    assert!(!Fingerprint::new(&REQUEST).is_any_caller());
}

#[rstest]
#[case::empty("")]
#[case::short("00")]
#[case::not_hexadecimal(&"g".repeat(48))]
#[case::sign(&format!("+{}", "0".repeat(47)))]
#[case::not_ascii(&"é".repeat(24))]
fn other_texts_are_refused(#[case] text: &str) {
    assert!(text.parse::<Fingerprint>().is_err());
}
