//! Updates of one object in the store that are repeated until they are confirmed.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use shards::manager::{StoreOp, StoreOutcome, Versioned};
use shards::revision::StoreEra;

use crate::pause;
use crate::relay::StoreClient;

/// Pause after a failed store request.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Writes an object until the store has the value that `desired` returns for the stored one, `None`
/// if there is none; returns the era in which the store has it.
pub async fn converge<V>(
    store: &StoreClient,
    kind: &str,
    name: &str,
    mut desired: impl FnMut(Option<&V>) -> V,
) -> StoreEra
where
    V: Clone + PartialEq + Serialize + DeserializeOwned,
{
    let mut op = StoreOp::Create(desired(None));
    loop {
        match store.execute(kind, name, &op).await {
            StoreOutcome::Done(stored) if !matches!(op, StoreOp::Read) => {
                return stored.revision.era();
            }
            StoreOutcome::Done(stored) | StoreOutcome::Conflict(Some(stored)) => {
                let value = desired(Some(&stored.value));
                let revision = stored.revision;
                if stored.value == value {
                    return revision.era();
                }
                op = StoreOp::Replace(Versioned { revision, value });
            }
            StoreOutcome::Conflict(None) => op = StoreOp::Read,
            StoreOutcome::Unreadable(revision) => {
                let value = desired(None);
                op = StoreOp::Replace(Versioned { revision, value });
            }
            StoreOutcome::Absent => op = StoreOp::Create(desired(None)),
            StoreOutcome::Unknown | StoreOutcome::Refused => pause::jittered(RETRY_PAUSE).await,
        }
    }
}
