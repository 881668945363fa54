//! A process that watches objects starts over with a list in each era of the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use node::node::Node;
use node::{relay, store_watch};
use serde_json::{Value, json};
use tokio::task::{LocalSet, spawn_local};

use crate::era;
use crate::small_store::{SmallStore, until};

const KIND: &str = "k";

struct Watcher {
    store: Rc<SmallStore>,
    node: Rc<Node>,
    /// Values of the objects, in the order in which they were applied.
    applied: Rc<RefCell<Vec<Value>>>,
}

impl Watcher {
    /// Starts a process that watches a store, with an object of value 1, and has applied it.
    async fn start() -> Self {
        let (store, node) = SmallStore::start().await;
        for _ in 0..9 {
            store.write(KIND, "n", json!(1));
        }
        let applied: Rc<RefCell<Vec<Value>>> = Rc::default();
        let client = Rc::new(relay::client(&node));
        let sink = Rc::clone(&applied);
        let apply = move |object: platform::store::NamedObject| {
            sink.borrow_mut().push(object.stored.value);
        };
        let watching = store_watch::run(Rc::clone(&node), client, KIND, Duration::ZERO, apply);
        spawn_local(watching);
        let watcher = Self {
            store,
            node,
            applied,
        };
        until("the first list", || watcher.has_applied(&[1])).await;
        watcher
    }

    /// Makes the store come back with an object of value 2, which has a lower revision.
    fn come_back(&self) {
        self.store.come_back_empty();
        self.store.write(KIND, "n", json!(2));
    }

    fn has_applied(&self, values: &[u64]) -> bool {
        let applied = self.applied.borrow();
        let values = values.iter().map(|v| Some(*v));
        applied.iter().map(Value::as_u64).eq(values)
    }
}

// Guards against a watch from a revision that has been given out again, of which the response lacks
// what was changed by the return.
#[tokio::test]
async fn a_watch_that_ends_in_a_later_era_starts_over() {
    let test = async {
        let watcher = Watcher::start().await;
        watcher.come_back();
        until("a list in the later era", || {
            watcher.store.end_watches();
            watcher.has_applied(&[1, 2])
        })
        .await;
        assert_eq!(watcher.node.store_era(), era(1));
    };
    LocalSet::new().run_until(test).await;
}

// Guards against a watch that waits for tens of seconds while the process has learned elsewhere that
// the store has come back.
#[tokio::test]
async fn a_waiting_watch_ends_when_a_later_era_is_known() {
    let test = async {
        let watcher = Watcher::start().await;
        watcher.come_back();
        watcher.node.on_store_era(era(1));
        until("a list in the later era", || watcher.has_applied(&[1, 2])).await;
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_list_of_an_earlier_era_is_not_applied() {
    let test = async {
        let watcher = Watcher::start().await;
        watcher.node.on_store_era(era(1));
        let lists = || watcher.store.count(0, "GET", KIND);
        let before = lists();
        until("two lists in the earlier era", || lists() >= before + 2).await;
        assert!(watcher.has_applied(&[1]), "{:?}", watcher.applied);
        watcher.come_back();
        until("a list in the later era", || watcher.has_applied(&[1, 2])).await;
    };
    LocalSet::new().run_until(test).await;
}
