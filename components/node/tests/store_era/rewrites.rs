//! A process writes what is its own again in each era of the store.

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use node::node::Node;
use node::{members, quarantine_store, relay, suspects};
use platform::store::{MEMBERS, QUARANTINE};
use quarantine::fingerprint::{Fingerprint, RequestIdentity};
use quarantine::interrupted::{InterruptedRequest, KnownCrashes};
use quarantine::quarantine::{MAX_CRASHES, SUSPECT_RETENTION};
use serde_json::json;
use shards::incarnation::BackEndIncarnation;
use timer::{BootClock, Clock};
use tokio::task::{LocalSet, spawn_local};
use world::name::MachineName;

use crate::small_store::{SmallStore, until};

/// Time in which further calls would show.
const SETTLE_TIME: Duration = Duration::from_millis(200);

// Guards against two machines that do not find each other, as both were added in the seconds that the
// store has lost.
#[tokio::test]
async fn the_member_record_is_written_and_the_others_listed_in_each_era() {
    let test = async {
        let (store, node) = SmallStore::start().await;
        let client = Rc::new(relay::client(&node));
        spawn_local(members::run(Rc::clone(&node), Rc::clone(&client)));
        until("the first list", || store.count(0, "GET", MEMBERS) > 0).await;
        assert_eq!(store.names(MEMBERS), ["m"]);
        for number in 1..3_u64 {
            store.come_back_empty();
            let name = format!("added-{number}");
            let record = json!({"machine": name, "address": "127.0.0.1:9"});
            store.write(MEMBERS, &name, record);
            node.on_store_era(crate::era(number));
            let is_found = || node.peer(&MachineName::new(&name)).is_some();
            until("the machine that was added", is_found).await;
            assert!(store.object(MEMBERS, "m").is_some(), "era {number}");
            assert_eq!(store.count(number, "POST", MEMBERS), 1, "era {number}");
        }
    };
    LocalSet::new().run_until(test).await;
}

fn fingerprint(target: &[u8]) -> Fingerprint {
    Fingerprint::new(&RequestIdentity {
        method: b"GET",
        host: b"h",
        target,
        caller: b"c",
        body: b"",
    })
}

/// Makes the local back end exit under a request as often as it takes to block it.
fn block(node: &Node, target: &[u8]) {
    crash(node, target, 0..MAX_CRASHES);
}

/// Makes the local back end exit under a request of which these numbers of crashes were known.
fn crash(node: &Node, target: &[u8], known: Range<u32>) {
    let now = BootClock.now();
    for crash in known {
        let incarnation = BackEndIncarnation {
            id: "i".to_owned(),
            born: u64::from(crash) + 1,
        };
        let interrupted = InterruptedRequest {
            fingerprint: fingerprint(target),
            known: KnownCrashes {
                own: crash,
                any_caller: crash,
            },
            sent: now,
            at: now,
        };
        suspects::on_exit(node, &incarnation, &[interrupted]);
    }
}

fn records(targets: &[&[u8]]) -> Vec<String> {
    let scopes = targets
        .iter()
        .map(|t| fingerprint(t))
        .flat_map(|f| [f, f.any_caller()]);
    let mut names: Vec<String> = scopes.map(|f| f.to_string()).collect();
    names.sort();
    names
}

// Guards against a record that never equals what is to be saved, as the back ends that exited are not
// stored, and is written in a loop that takes the calls of all machines.
#[tokio::test]
async fn a_record_is_written_once_for_each_crash() {
    let test = async {
        let (store, node) = SmallStore::start().await;
        let client = Rc::new(relay::client(&node));
        spawn_local(quarantine_store::save(Rc::clone(&node), client));
        block(&node, b"/a");
        let expected = records(&[b"/a"]);
        until("the records", || store.names(QUARANTINE) == expected).await;
        for crashes in MAX_CRASHES..MAX_CRASHES + 3 {
            crash(&node, b"/a", crashes..crashes + 1);
            let is_saved = |name: &String| {
                let record = store.object(QUARANTINE, name);
                record.is_some_and(|r| r["crashes"] == crashes + 1)
            };
            until("the crash", || expected.iter().all(is_saved)).await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        assert_eq!(store.count(0, "PUT", QUARANTINE), 2 * 3);
        assert_eq!(store.count(0, "POST", QUARANTINE), 2 * 4);
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a request that crashes back ends again because the store has lost its record.
#[tokio::test]
async fn records_of_blocked_requests_are_saved_in_each_era() {
    let test = async {
        let (store, node) = SmallStore::start().await;
        let client = Rc::new(relay::client(&node));
        spawn_local(quarantine_store::save(Rc::clone(&node), client));
        spawn_local(quarantine_store::save_in_each_era(Rc::clone(&node)));
        let mut blocked: Vec<&[u8]> = Vec::new();
        for (number, target) in [(0, &b"/a"[..]), (1, b"/b"), (2, b"/c")] {
            node.on_store_era(crate::era(number));
            block(&node, target);
            blocked.push(target);
            let expected = records(&blocked);
            until("the records", || store.names(QUARANTINE) == expected).await;
            store.come_back_empty();
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn what_the_process_has_forgotten_is_not_saved_again() {
    let node = crate::common::offline_node();
    block(&node, b"/a");
    assert_eq!(node.suspects.take_unsaved().len(), 2);
    assert!(node.suspects.take_unsaved().is_empty());
    node.suspects.save_again();
    assert_eq!(node.suspects.take_unsaved().len(), 2);
    node.suspects
        .evict_expired(BootClock.now() + SUSPECT_RETENTION * 100);
    node.suspects.save_again();
    assert!(node.suspects.take_unsaved().is_empty());
}

#[tokio::test]
async fn what_others_have_saved_is_not_saved_by_all() {
    let (saver, other) = (crate::common::offline_node(), crate::common::offline_node());
    block(&saver, b"/a");
    for report in saver.suspects.reports() {
        suspects::on_report(&other, &report, suspects::Source::Peer);
    }
    assert_eq!(other.suspects.blocked_count(), 1);
    other.suspects.save_again();
    assert!(other.suspects.take_unsaved().is_empty());
}
