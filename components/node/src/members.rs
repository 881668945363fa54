//! Discovers peers through the store, where each process keeps a record with its address.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::store::{MEMBERS, NamedObject};
use serde::{Deserialize, Serialize};
use shards::manager::{StoreOp, StoreOutcome};
use shards::revision::StoreEra;
use tokio::sync::Mutex;
use world::name::MachineName;

use crate::departures::Departure;
use crate::node::{ERA_SPREAD, Node};
use crate::relay::StoreClient;
use crate::store_update::RETRY_PAUSE;
use crate::{pause, store_update};

/// Time between two listings of the member records. A machine that joins lists them itself and connects
/// to all others, which learn of it from its `Hello`.
const LIST_INTERVAL: Duration = Duration::from_secs(300);
/// Time between two listings while no peer is connected.
const ISOLATED_LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Stored record of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the machine.
    pub machine: MachineName,
    /// Address on which it accepts connections of peers.
    pub address: SocketAddr,
    /// Back ends of the machine that have said that they leave.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<Departure>,
}

/// Writes the record of this process, then lists the records of the others for as long as the
/// process runs; both again in each era of the store. Writes the record whenever a back end leaves.
///
/// Of any two processes, the later one to write its record finds that of the other.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>) {
    let writing = Mutex::new(());
    let mut era = register(&node, &store, &writing).await;
    let save_departures = async {
        loop {
            node.departures.changed().await;
            register(&node, &store, &writing).await;
        }
    };
    let list_members = async {
        loop {
            let next_list = list(&node, &store).await;
            tokio::select! {
                () = pause::jittered(next_list) => {}
                _ = node.later_store_era(era) => {
                    if !node.is_back_end_leaving() {
                        pause::random_part(ERA_SPREAD).await;
                    }
                    era = register(&node, &store, &writing).await;
                }
            }
        }
    };
    tokio::join!(save_departures, list_members);
}

/// Lists the records and connects to the processes found; returns the time until the next list.
async fn list(node: &Rc<Node>, store: &StoreClient) -> Duration {
    let listing = match store.list(MEMBERS).await {
        Ok(listing) => listing,
        Err(error) => {
            log::warn!(event = "members-unknown", error:% = error; "");
            return RETRY_PAUSE;
        }
    };
    for object in listing.objects {
        match decode(object) {
            Ok(record) => node.add_peer(&record.machine, record.address),
            Err(name) => node.on_skipped_record(MEMBERS, &name),
        }
    }
    node.on_members_listed();
    let isolated = !node.peers().iter().any(|p| p.is_connected());
    if isolated {
        ISOLATED_LIST_INTERVAL
    } else {
        LIST_INTERVAL
    }
}

/// Decodes a record, which stands under the name of its machine.
///
/// # Errors
/// Returns the name of an object that another writer has made.
fn decode(object: NamedObject) -> Result<MemberRecord, String> {
    let record: Option<MemberRecord> = serde_json::from_value(object.stored.value).ok();
    let own = record.filter(|r| r.machine.as_str() == object.name);
    own.ok_or(object.name)
}

/// Writes the record of this process, one call at a time; returns the era in which the store has it.
///
/// The first call takes over the departures that an earlier run of this process has stored.
async fn register(node: &Node, store: &StoreClient, writing: &Mutex<()>) -> StoreEra {
    let _writing = writing.lock().await;
    let name = node.settings.machine.as_str();
    loop {
        let mut departures = Vec::new();
        let record = |stored: Option<&MemberRecord>| {
            if let Some(stored) = stored {
                node.departures.restore(&stored.departures);
            }
            departures = node.departures.known();
            MemberRecord {
                machine: node.settings.machine.clone(),
                address: node.settings.advertised_address,
                departures: departures.clone(),
            }
        };
        let era = store_update::converge(store, MEMBERS, name, record).await;
        log::info!(event = "member-registered", era:% = era, departures = departures.len(); "");
        let is_complete = departures == node.departures.known();
        node.on_departures_stored(era, departures);
        if is_complete {
            return era;
        }
    }
}

/// Removes the record of this process, when its machine leaves the deployment.
pub async fn unregister(node: &Rc<Node>, store: &StoreClient) {
    let name = node.settings.machine.as_str();
    let found: StoreOutcome<MemberRecord> = store.execute(MEMBERS, name, &StoreOp::Read).await;
    if let StoreOutcome::Done(stored) = found
        && let Err(error) = store.remove(MEMBERS, name, stored.revision).await
    {
        log::warn!(event = "member-not-removed", error:% = error; "");
    }
}
