//! Tests of the store's stand-in: eras, restores, late writes and conditions.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http1::response::Response;
use serde_json::{Value, json};
use stand_ins::http;
use stand_ins::store::{Store, StoreFault};

/// Time in which the store responds.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time for a request to reach the store.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// Starts a store; each test has its own `host`, the last byte of its address.
fn start(host: u8) -> Store {
    Store::start(SocketAddr::from(([127, 76, 0, host], 7_000)))
}

fn try_call(address: SocketAddr, method: &str, target: &str, body: &str) -> Option<Response> {
    let length = body.len();
    let request = format!(
        "{method} /plantaingauge/objects/{target} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    http::call(address, &request, TIMEOUT).ok()
}

fn call(store: &Store, method: &str, target: &str, body: &str) -> Response {
    try_call(store.address, method, target, body).expect("a response")
}

fn json_of(response: &Response) -> Value {
    serde_json::from_slice(&response.body).expect("a JSON body")
}

fn put(name: &str, revision: Option<u64>, specification: u64) -> String {
    json!({"metadata": {"name": name, "revision": revision}, "specification": specification})
        .to_string()
}

fn create(store: &Store, name: &str, specification: u64) -> u64 {
    let response = call(store, "POST", "kind", &put(name, None, specification));
    assert_eq!(response.status, 200);
    revision_of(&response)
}

fn revision_of(response: &Response) -> u64 {
    let revision = &json_of(response)["metadata"]["revision"];
    revision.as_u64().expect("a revision")
}

fn era_of(response: &Response) -> Option<&str> {
    response.headers.text("Store-Era")
}

fn specification(store: &Store, name: &str) -> Value {
    json_of(&call(store, "GET", &format!("kind/{name}"), ""))["specification"].clone()
}

#[test]
fn every_response_names_the_era() {
    let store = Store::start_in_era(SocketAddr::from(([127, 76, 0, 1], 7_000)), 3);
    let found = create(&store, "a", 1);
    let requests = [
        ("GET", "kind", String::new(), 200),
        ("GET", "kind/none", String::new(), 404),
        ("POST", "kind", put("a", None, 2), 409),
        ("PUT", "kind/a", put("a", Some(found), 2), 200),
        ("GET", "kind?watch=99&waitMs=10", String::new(), 410),
        ("GET", "kind?watch=2&waitMs=10", String::new(), 200),
    ];
    for (method, target, body, status) in requests {
        let response = call(&store, method, target, &body);
        assert_eq!(
            (response.status, era_of(&response)),
            (status, Some("3")),
            "{target}"
        );
    }
    store.set_unavailable(true);
    let refused = call(&store, "GET", "kind", "");
    assert_eq!((refused.status, era_of(&refused)), (503, Some("3")));
    store.set_unavailable(false);
    store.restore(Duration::ZERO);
    assert_eq!(era_of(&call(&store, "GET", "kind", "")), Some("4"));
}

#[test]
fn a_restored_store_has_the_objects_of_the_copy_and_gives_revisions_out_again() {
    let store = start(2);
    let kept = create(&store, "kept", 1);
    let removed = create(&store, "removed", 2);
    let copied_at = Instant::now();
    call(&store, "PUT", "kind/kept", &put("kept", Some(kept), 10));
    call(&store, "DELETE", "kind/removed", "");
    let lost = create(&store, "lost", 3);
    store.go_away();
    assert_eq!(call(&store, "GET", "kind", "").status, 503);
    store.restore_to(copied_at);
    assert_eq!(specification(&store, "kept"), 1);
    assert_eq!(specification(&store, "removed"), 2);
    assert_eq!(call(&store, "GET", "kind/lost", "").status, 404);
    let again = create(&store, "new", 4);
    assert_eq!(again, removed + 1);
    assert!(again < lost);
}

#[test]
fn a_watch_from_a_lost_revision_gets_410_also_if_it_waits() {
    let store = start(3);
    let kept = create(&store, "kept", 1);
    let copied_at = Instant::now();
    let lost = create(&store, "lost", 2);
    let address = store.address;
    let waiting = [kept, lost].map(|since| {
        let target = format!("kind?watch={since}&waitMs=10000");
        std::thread::spawn(move || try_call(address, "GET", &target, ""))
    });
    std::thread::sleep(ARRIVAL_TIME);
    store.restore_to(copied_at);
    create(&store, "new", 3);
    let [from_kept, from_lost] = waiting.map(|w| w.join().expect("no panic").expect("a response"));
    assert_eq!(
        json_of(&from_kept)["events"][0]["object"]["metadata"]["name"],
        "lost"
    );
    assert_eq!(from_lost.status, 410);
    let late = call(
        &store,
        "GET",
        &format!("kind?watch={}&waitMs=10", lost + 9),
        "",
    );
    assert_eq!(late.status, 410);
}

#[test]
fn a_removal_honours_its_revision_and_is_an_event() {
    let store = start(4);
    let revision = create(&store, "a", 1);
    let stale = call(&store, "DELETE", "kind/a?revision=99", "");
    assert_eq!((stale.status, revision_of(&stale)), (409, revision));
    let target = format!("kind/a?revision={revision}");
    assert_eq!(call(&store, "DELETE", &target, "").status, 200);
    assert_eq!(call(&store, "DELETE", &target, "").status, 404);
    let watch = call(
        &store,
        "GET",
        &format!("kind?watch={revision}&waitMs=10"),
        "",
    );
    assert_eq!(json_of(&watch)["events"][0]["removed"], true);
}

#[test]
fn a_write_that_changes_nothing_has_no_revision() {
    let store = start(5);
    let revision = create(&store, "a", 1);
    let unchanged = call(&store, "PUT", "kind/a", &put("a", Some(revision), 1));
    assert_eq!(revision_of(&unchanged), revision);
    assert_eq!(create(&store, "b", 1), revision + 1);
}

#[test]
fn a_late_write_is_executed_after_a_restore_if_its_condition_holds() {
    let store = start(6);
    let revision = create(&store, "a", 1);
    let other = create(&store, "b", 1);
    let delay = 4 * ARRIVAL_TIME;
    store.set_fault(StoreFault::DelayWrites(delay));
    let update = |name: &str, revision| {
        let body = put(name, Some(revision), 2);
        try_call(store.address, "PUT", &format!("kind/{name}"), &body)
    };
    // Every second write is late, so the third is not and the fourth is.
    let in_time = update("b", other).expect("a response");
    assert_eq!(in_time.status, 200);
    assert!(update("a", revision).is_none());
    store.set_fault(StoreFault::None);
    store.restore(Duration::ZERO);
    assert_eq!(specification(&store, "a"), 1);
    std::thread::sleep(2 * delay);
    assert_eq!(specification(&store, "a"), 2);
}

#[test]
fn a_held_write_takes_effect_when_its_revision_is_given_out_again() {
    let store = start(7);
    let first = create(&store, "a", 1);
    let copied_at = Instant::now();
    for number in 0..5 {
        store.write("other", "filler", json!(number));
    }
    let second = call(&store, "PUT", "kind/a", &put("a", Some(first), 2));
    let second = revision_of(&second);
    store.hold_next_write("kind");
    assert!(try_call(store.address, "PUT", "kind/a", &put("a", Some(second), 3)).is_none());
    assert_eq!(
        (store.held_writes(), specification(&store, "a")),
        (1, json!(2))
    );
    store.restore_to(copied_at);
    assert_eq!(
        (store.held_writes(), specification(&store, "a")),
        (1, json!(1))
    );
    let again = call(&store, "PUT", "kind/a", &put("a", Some(first), 4));
    assert_eq!(revision_of(&again), second);
    assert_eq!(
        (store.held_writes(), specification(&store, "a")),
        (0, json!(3))
    );
}
