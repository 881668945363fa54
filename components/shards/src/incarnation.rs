//! Identity of one run of a back end.

use serde::{Deserialize, Serialize};

/// One run of a back end; it holds none of the keys that an earlier run under the same id held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackEndIncarnation {
    /// Id chosen by the back end.
    pub id: String,
    /// Start time in Unix milliseconds; orders the incarnations on one machine.
    pub born: u64,
}
