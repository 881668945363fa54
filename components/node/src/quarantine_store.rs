//! Keeps blocked requests in the store, for processes that start later or are cut off from the
//! peers that know of them.

use std::rc::Rc;

use platform::store::{NamedObject, QUARANTINE};
use quarantine::crash_count::CrashCount;
use quarantine::exits::Exits;
use quarantine::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};

use crate::node::{ERA_SPREAD, Node};
use crate::relay::StoreClient;
use crate::suspects::{self, CrashReport, Source};
use crate::{pause, store_update, store_watch, wall_clock};

/// Stored record of a request, under its fingerprint as name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredCount {
    /// Crashes attributed to the request, without the back ends that exited, which are not stored.
    #[serde(flatten)]
    count: CrashCount,
    /// Unix time in milliseconds of the last change of the count. Machines' clocks may differ by
    /// seconds, which is short against the time for which a request is blocked.
    #[serde(rename = "changedAt")]
    changed_unix_ms: u64,
}

/// Learns of stored records, for as long as the process runs.
pub async fn watch(node: Rc<Node>, store: Rc<StoreClient>) {
    let apply_node = Rc::clone(&node);
    let apply_store = Rc::clone(&store);
    let apply = |object| apply(&apply_node, &apply_store, object);
    store_watch::run(node, store, QUARANTINE, ERA_SPREAD, apply).await;
}

/// Asks in each era of the store for what this process has saved to be saved again, for as long as
/// the process runs.
pub async fn save_in_each_era(node: Rc<Node>) {
    let mut era = node.store_era();
    loop {
        era = node.later_store_era(era).await;
        pause::random_part(ERA_SPREAD).await;
        node.suspects.save_again();
    }
}

/// Updates the stored records of requests as [`suspects::Suspects`] asks for it, for as long as the
/// process runs.
pub async fn save(node: Rc<Node>, store: Rc<StoreClient>) {
    loop {
        node.suspects.save_needed.notified().await;
        for fingerprint in node.suspects.take_unsaved() {
            tokio::task::spawn_local(save_one(Rc::clone(&node), Rc::clone(&store), fingerprint));
        }
    }
}

async fn save_one(node: Rc<Node>, store: Rc<StoreClient>, fingerprint: Fingerprint) {
    let Some(report) = node.suspects.report_of(&fingerprint) else {
        return;
    };
    let known = StoredCount {
        count: CrashCount {
            exits: Exits::default(),
            ..report.count
        },
        changed_unix_ms: wall_clock::unix_ms().saturating_sub(report.age_ms),
    };
    let name = fingerprint.to_string();
    store_update::converge(&store, QUARANTINE, &name, |stored: Option<&StoredCount>| {
        let Some(stored) = stored else { return known };
        StoredCount {
            count: stored.count.merged(known.count),
            changed_unix_ms: stored.changed_unix_ms.max(known.changed_unix_ms),
        }
    })
    .await;
    log::info!(event = "quarantine-saved", digest:% = fingerprint; "");
}

/// Adds a stored record to what the process knows, or removes it if it has expired.
fn apply(node: &Rc<Node>, store: &Rc<StoreClient>, object: NamedObject) {
    let fingerprint: Result<Fingerprint, _> = object.name.parse();
    let stored: Result<StoredCount, _> = serde_json::from_value(object.stored.value);
    let (Ok(fingerprint), Ok(stored)) = (&fingerprint, &stored) else {
        node.on_skipped_record(QUARANTINE, &object.name);
        return;
    };
    let report = CrashReport {
        fingerprint: *fingerprint,
        count: stored.count,
        age_ms: wall_clock::unix_ms().saturating_sub(stored.changed_unix_ms),
    };
    if !report.is_expired() {
        suspects::on_report(node, &report, Source::Store);
        return;
    }
    let store = Rc::clone(store);
    tokio::task::spawn_local(async move {
        let removed = store.remove(QUARANTINE, &object.name, object.stored.revision);
        if let Err(error) = removed.await {
            log::warn!(event = "quarantine-record-not-removed", name = object.name.as_str(), error:% = error; "");
        }
    });
}
