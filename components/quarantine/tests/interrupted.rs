//! Interrupted requests are attributed to the exit of the incarnation that ran them.

use std::time::Duration;

use quarantine::fingerprint::{Fingerprint, RequestIdentity};
use quarantine::interrupted::{InterruptedRequest, InterruptedRequests, KnownCrashes};
use world::instant::BootInstant;

/// A request that ran for 10 ms until it was interrupted at `at_ms`.
fn request(name: &str, at_ms: u64) -> InterruptedRequest {
    let identity = RequestIdentity {
        method: b"GET",
        host: b"h",
        target: name.as_bytes(),
        caller: b"c",
        body: b"",
    };
    InterruptedRequest {
        fingerprint: Fingerprint::new(&identity),
        known: KnownCrashes::default(),
        sent: BootInstant::from_millis(at_ms - 10),
        at: BootInstant::from_millis(at_ms),
    }
}

#[test]
fn requests_of_the_incarnation_that_exited_are_taken_once() {
    let mut interrupted = InterruptedRequests::default();
    interrupted.insert(1, request("/a", 100));
    interrupted.insert(2, request("/b", 101));
    interrupted.insert(1, request("/c", 102));
    assert_eq!(
        interrupted.take(&1),
        [request("/a", 100), request("/c", 102)]
    );
    assert!(interrupted.take(&1).is_empty());
    assert_eq!(interrupted.take(&2), [request("/b", 101)]);
}

#[test]
fn a_response_to_a_later_request_shows_that_the_back_end_lived_on() {
    let mut interrupted = InterruptedRequests::default();
    interrupted.insert(1, request("/a", 100));
    interrupted.insert(1, request("/b", 200));
    interrupted.insert(1, request("/c", 205));
    interrupted.on_response(BootInstant::from_millis(150));
    assert_eq!(
        interrupted.take(&1),
        [request("/b", 200), request("/c", 205)]
    );
}

// Guards against blaming requests that were sent to a proxy after the back end behind it had exited.
#[test]
fn requests_sent_after_the_first_interruption_are_not_attributed() {
    let mut interrupted = InterruptedRequests::default();
    interrupted.insert(1, request("/a", 100));
    interrupted.insert(1, request("/b", 101));
    interrupted.insert(1, request("/c", 111));
    interrupted.insert(1, request("/d", 400));
    assert_eq!(
        interrupted.take(&1),
        [request("/a", 100), request("/b", 101)]
    );
    assert!(interrupted.take(&1).is_empty());
}

#[test]
fn a_response_to_an_earlier_request_shows_nothing() {
    let mut interrupted = InterruptedRequests::default();
    interrupted.insert(1, request("/a", 100));
    interrupted.on_response(BootInstant::from_millis(90));
    assert_eq!(interrupted.take(&1).len(), 1);
}

#[test]
fn the_number_and_the_age_of_interrupted_requests_are_bounded() {
    let mut interrupted = InterruptedRequests::default();
    for _ in 0..1_000 {
        interrupted.insert(1, request("/a", 100));
    }
    assert_eq!(interrupted.take(&1).len(), 256);
    interrupted.insert(1, request("/a", 1_000));
    let later = Duration::from_secs(60).as_millis() as u64;
    interrupted.insert(1, request("/b", 1_000 + later));
    assert_eq!(interrupted.take(&1), [request("/b", 1_000 + later)]);
}

// Guards against attributing a crash once more to a back end that has exited before, and not to its
// successor at the same address, which ran the request.
#[test]
fn a_request_sent_after_the_exit_ran_at_the_successor() {
    let mut interrupted = InterruptedRequests::default();
    let sent = BootInstant::from_millis;
    assert_eq!(interrupted.runner(&1, &1, sent(50)), &1);
    interrupted.insert(1, request("/a", 100));
    interrupted.take(&1);
    assert_eq!(interrupted.runner(&1, &2, sent(90)), &1, "sent before");
    assert_eq!(interrupted.runner(&1, &2, sent(150)), &2, "sent after");
    assert_eq!(interrupted.runner(&1, &1, sent(150)), &1, "none known");
    assert_eq!(interrupted.runner(&2, &2, sent(150)), &2);
}

#[test]
fn interruptions_that_show_late_belong_to_the_exit_that_is_known() {
    let mut interrupted = InterruptedRequests::default();
    interrupted.insert(1, request("/a", 100));
    interrupted.take(&1);
    interrupted.insert(1, request("/b", 300));
    interrupted.take(&1);
    let sent = BootInstant::from_millis(200);
    assert_eq!(interrupted.runner(&1, &2, sent), &2, "the first one counts");
}
