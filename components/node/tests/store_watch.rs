//! A process that watches objects starts over with a list in each era of the store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http1::response::{Response, encode};
use node::node::Node;
use node::{relay, store_watch};
use platform::settings::Settings;
use serde_json::{Value, json};
use shards::revision::StoreEra;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

/// Time after which a test that waits has failed.
const TIMEOUT: Duration = Duration::from_secs(20);
const KIND: &str = "k";

/// A store with one object, of which each response names the era.
#[derive(Default)]
struct Store {
    era: Cell<u64>,
    /// Revision and value of the object.
    object: Cell<(u64, u64)>,
    lists: Cell<u32>,
    /// Notified to end the watches that wait, with nothing to tell.
    end_watches: Notify,
    changed: Notify,
}

impl Store {
    async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(Rc::clone(&self).serve_connection(stream));
        }
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream) {
        let mut request = [0; 4_096];
        while let Ok(length) = stream.read(&mut request).await
            && length > 0
        {
            let is_watch = request[..length].windows(6).any(|w| w == b"watch=");
            self.changed.notify_waiters();
            let mut out = bytes::BytesMut::new();
            encode(&mut out, &self.response(is_watch).await, false);
            if stream.write_all(&out).await.is_err() {
                return;
            }
        }
    }

    async fn response(&self, is_watch: bool) -> Response {
        if is_watch {
            self.end_watches.notified().await;
        } else {
            self.lists.set(self.lists.get() + 1);
            self.changed.notify_waiters();
        }
        let (revision, value) = self.object.get();
        let body: Value = if is_watch {
            json!({"events": [], "at": revision})
        } else {
            let metadata = json!({"name": "n", "revision": revision});
            json!({"items": [{"metadata": metadata, "specification": value}], "at": revision})
        };
        let mut response = Response::new(200).with("Store-Era", self.era.get().to_string());
        response.body = body.to_string().into();
        response
    }

    /// Comes back from an older copy, in which the object has another revision and value.
    fn come_back(&self, era: u64, object: (u64, u64)) {
        self.era.set(era);
        self.object.set(object);
    }
}

struct Watcher {
    store: Rc<Store>,
    node: Rc<Node>,
    applied: Rc<RefCell<Vec<Value>>>,
}

impl Watcher {
    /// Starts a process that watches the store.
    async fn start(store: Store) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).await.expect("a free port");
        let node = node(listener.local_addr().expect("a bound listener"));
        let store = Rc::new(store);
        spawn_local(Rc::clone(&store).serve(listener));
        let applied: Rc<RefCell<Vec<Value>>> = Rc::default();
        let watcher = Self {
            store: Rc::clone(&store),
            node: Rc::clone(&node),
            applied: Rc::clone(&applied),
        };
        let client = Rc::new(relay::client(&node));
        spawn_local(store_watch::run(
            node,
            client,
            KIND,
            Duration::ZERO,
            move |object| {
                applied.borrow_mut().push(object.stored.value);
                store.changed.notify_waiters();
            },
        ));
        watcher
    }

    /// Waits until `done`.
    async fn until(&self, what: &str, done: impl Fn(&Self) -> bool) {
        let wait = async {
            while !done(self) {
                let _ = tokio::time::timeout(TIMEOUT / 100, self.store.changed.notified()).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, wait).await;
        assert!(waited.is_ok(), "{what}: applied {:?}", self.applied);
    }

    fn has_applied(&self, values: &[u64]) -> bool {
        let applied = self.applied.borrow();
        applied
            .iter()
            .map(Value::as_u64)
            .eq(values.iter().map(|v| Some(*v)))
    }
}

fn node(store: SocketAddr) -> Rc<Node> {
    let settings = json!({
        "nodeName": "m", "ip": "127.0.0.1", "zone": "z", "region": "r", "zones": {"z": "r"},
        "listenAddresses": {"outbound": "127.0.0.1:1", "ready": "127.0.0.1:2",
            "control": "127.0.0.1:3", "inbound": "127.0.0.1:4"},
        "internalPortRange": [5, 6], "bounds": [],
        "applicationAddress": "127.0.0.1:7", "service": "s",
        "platform": {"address": store.to_string()},
    });
    let settings = Settings::from_json(settings.to_string().as_bytes()).expect("well-formed");
    Rc::new(Node::new(settings, 1))
}

fn era(number: u64) -> StoreEra {
    StoreEra::new(number).expect("a small number")
}

fn store(era: u64, object: (u64, u64)) -> Store {
    let store = Store::default();
    store.come_back(era, object);
    store
}

// Guards against a watch from a revision that has been given out again, of which the response lacks
// what was changed by the return.
#[tokio::test]
async fn a_watch_that_ends_in_a_later_era_starts_over() {
    let test = async {
        let watcher = Watcher::start(store(0, (9, 1))).await;
        watcher
            .until("the first list", |w| w.has_applied(&[1]))
            .await;
        watcher.store.come_back(1, (5, 2));
        watcher
            .until("a list in the later era", |w| {
                w.store.end_watches.notify_waiters();
                w.has_applied(&[1, 2])
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
        let watcher = Watcher::start(store(0, (9, 1))).await;
        watcher
            .until("the first list", |w| w.has_applied(&[1]))
            .await;
        watcher.store.come_back(1, (9, 2));
        watcher.node.on_store_era(era(1));
        let applied = |w: &Watcher| w.has_applied(&[1, 2]);
        watcher.until("a list in the later era", applied).await;
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_list_of_an_earlier_era_is_not_applied() {
    let test = async {
        let watcher = Watcher::start(store(1, (9, 1))).await;
        watcher
            .until("the first list", |w| w.has_applied(&[1]))
            .await;
        watcher.node.on_store_era(era(2));
        let lists = watcher.store.lists.get();
        let listed_again = |w: &Watcher| w.store.lists.get() >= lists + 2;
        watcher.until("two lists in era 1", listed_again).await;
        assert!(watcher.has_applied(&[1]), "{:?}", watcher.applied);
        watcher.store.come_back(2, (3, 2));
        let applied = |w: &Watcher| w.has_applied(&[1, 2]);
        watcher.until("a list in era 2", applied).await;
    };
    LocalSet::new().run_until(test).await;
}
