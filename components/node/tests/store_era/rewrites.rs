//! A process writes what is its own again in each era of the store.

use std::rc::Rc;

use node::{members, relay};
use platform::store::MEMBERS;
use serde_json::json;
use tokio::task::{LocalSet, spawn_local};
use world::name::MachineName;

use crate::small_store::{SmallStore, until};

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
