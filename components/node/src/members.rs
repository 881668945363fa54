//! How processes find each other: each keeps one object in the store that tells where it is.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::store::MEMBERS;
use serde::{Deserialize, Serialize};
use shards::manager::{StoreOp, StoreOutcome, Versioned};
use world::name::MachineName;

use crate::node::Node;
use crate::pause;
use crate::relay::StoreClient;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Time between two looks at who is there.
const LIST_INTERVAL: Duration = Duration::from_secs(30);
/// The same while no other process is known.
const LONELY_INTERVAL: Duration = Duration::from_millis(1_000);

/// What the store says of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the machine.
    pub machine: MachineName,
    /// Address for other processes.
    pub address: SocketAddr,
}

/// Registers this process, then looks for others.
pub async fn run(node: Rc<Node>, store: Rc<StoreClient>) {
    register(&node, &store).await;
    loop {
        match store.list(MEMBERS).await {
            Ok(listing) => {
                for object in listing.objects {
                    match serde_json::from_value::<MemberRecord>(object.stored.value) {
                        Ok(entry) => node.meet(&entry.machine, entry.address),
                        Err(error) => {
                            log::warn!(event = "member-skipped", name = object.name.as_str(), error:% = error; "");
                        }
                    }
                }
                node.on_members_listed();
                let lonely = !node.peers().iter().any(|p| p.is_connected());
                let pause = if lonely {
                    LONELY_INTERVAL
                } else {
                    LIST_INTERVAL
                };
                pause::jittered(pause).await;
            }
            Err(error) => {
                log::warn!(event = "members-unknown", error:% = error; "");
                pause::jittered(RETRY_PAUSE).await;
            }
        }
    }
}

async fn register(node: &Rc<Node>, store: &Rc<StoreClient>) {
    let entry = MemberRecord {
        machine: node.settings.machine.clone(),
        address: node.settings.advertised_address,
    };
    let name = entry.machine.as_str().to_owned();
    let mut call = StoreOp::Create(entry.clone());
    loop {
        match store.execute(MEMBERS, &name, &call).await {
            StoreOutcome::Done(stored) if stored.value == entry => return,
            StoreOutcome::Done(stored) | StoreOutcome::Conflict(Some(stored)) => {
                if stored.value == entry {
                    return;
                }
                call = StoreOp::Replace(Versioned {
                    revision: stored.revision,
                    value: entry.clone(),
                });
            }
            StoreOutcome::Conflict(None) => call = StoreOp::Read,
            StoreOutcome::Absent => call = StoreOp::Create(entry.clone()),
            StoreOutcome::Unknown | StoreOutcome::Refused => pause::jittered(RETRY_PAUSE).await,
        }
    }
}

/// Removes this process's object, when its machine is not needed any more.
pub async fn unregister(node: &Rc<Node>, store: &StoreClient) {
    let name = node.settings.machine.as_str();
    let found: StoreOutcome<MemberRecord> = store.execute(MEMBERS, name, &StoreOp::Read).await;
    if let StoreOutcome::Done(stored) = found
        && let Err(error) = store.remove(MEMBERS, name, stored.revision).await
    {
        log::warn!(event = "member-not-removed", error:% = error; "");
    }
}
