//! Objects of another writer in the store, among those that the processes read.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use crate::SETTLE_TIMEOUT;
use crate::deployment::{Deployment, LISTING, ORDER};

/// Kinds of objects that processes list and watch.
const KINDS: [&str; 3] = [
    "config",
    "plantaingauge-members",
    "plantaingauge-quarantine",
];
/// Names before, between and behind those of the system.
const NAMES: [&str; 3] = ["!", "m", "~"];
/// Depth of nesting at which a recursive parser ends its process.
const DEEP: usize = 100_000;
/// Time in which a watch has brought what was written.
const WATCH_TIME: Duration = Duration::from_millis(500);

fn nested(name: &str) -> Vec<u8> {
    let nested = "[".repeat(DEEP) + &"]".repeat(DEEP);
    with_specification(name, nested.as_bytes())
}

fn too_large(name: &str) -> Vec<u8> {
    with_specification(name, br#"{"machine":"x","address":1e999}"#)
}

fn port_out_of_range(name: &str) -> Vec<u8> {
    let record = format!(r#"{{"machine":"{name}","address":"127.0.0.1:99999"}}"#);
    with_specification(name, record.as_bytes())
}

fn no_text(name: &str) -> Vec<u8> {
    with_specification(name, b"\"\xff\xfe\x01\"")
}

fn no_name(_: &str) -> Vec<u8> {
    br#"{"metadata":{"name":7,"revision":7},"specification":{}}"#.to_vec()
}

fn with_specification(name: &str, specification: &[u8]) -> Vec<u8> {
    let head = format!(r#"{{"metadata":{{"name":"{name}","revision":7}},"specification":"#);
    [head.as_bytes(), specification, b"}"].concat()
}

/// Writes odd objects of every kind.
fn write_odd(deployment: &Deployment, text: fn(&str) -> Vec<u8>) {
    for kind in KINDS {
        for name in NAMES {
            deployment.store.write_odd(kind, name, &text(name));
        }
    }
}

fn assert_serves(deployment: &Deployment, machines: usize) {
    for machine in 0..machines {
        let reply = deployment.request(machine, "POST", ORDER, None);
        assert_eq!(reply.status, 200, "machine {machine}: {reply:?}");
        let reply = deployment.request(machine, "GET", LISTING, Some(30_000));
        assert_eq!(reply.status, 200, "machine {machine}: {reply:?}");
    }
}

// Guards against: with one odd entry in the store, processes end or follow its changes no more.
#[rstest]
#[case::nested(180, nested)]
#[case::too_large(181, too_large)]
#[case::port_out_of_range(182, port_out_of_range)]
#[case::no_text(183, no_text)]
#[case::no_name(184, no_name)]
fn odd_entries_in_the_store_hide_no_others(#[case] net: u8, #[case] text: fn(&str) -> Vec<u8>) {
    let mut deployment = Deployment::start(net, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    write_odd(&deployment, text);
    std::thread::sleep(WATCH_TIME);
    deployment.store.write_config(2, &["/added/"]);
    for machine in 0..3 {
        deployment.await_status(machine, "/added/", 200, SETTLE_TIMEOUT);
    }
    deployment.kill_process(1);
    deployment.start_process(1);
    let added = deployment.add_machine();
    deployment.await_serving(SETTLE_TIMEOUT);
    deployment.await_status(added, "/added/", 200, SETTLE_TIMEOUT);
    assert_serves(&deployment, added + 1);
}

// Guards against: a process whose own record another writer has overwritten is found by nobody.
#[test]
fn a_process_writes_its_record_over_an_odd_one() {
    let mut deployment = Deployment::start(185, 1);
    let record = json!({"machine": "m-1", "address": "127.0.0.1:99999"});
    deployment
        .store
        .write("plantaingauge-members", "m-1", record);
    let added = deployment.add_machine();
    deployment.await_serving(SETTLE_TIMEOUT);
    assert_serves(&deployment, added + 1);
}

// Guards against: an entry under another name moves the address of a machine's process.
#[test]
fn an_entry_does_not_speak_for_the_machine_of_another_name() {
    let mut deployment = Deployment::start(186, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    let record = br#"{"machine":"m-1","address":"127.0.0.1:9"}"#;
    let entry = with_specification("~", record);
    deployment
        .store
        .write_odd("plantaingauge-members", "~", &entry);
    let added = deployment.add_machine();
    deployment.await_serving(SETTLE_TIMEOUT);
    assert_serves(&deployment, added + 1);
}
