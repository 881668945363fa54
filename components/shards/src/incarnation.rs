//! Boots of back ends.

use serde::{Deserialize, Serialize};

/// One boot of a back end: it holds nothing of what an earlier boot under the same id held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackEndIncarnation {
    /// Id that the back end gave itself.
    pub id: String,
    /// Its start in Unix milliseconds.
    pub born: u64,
}
