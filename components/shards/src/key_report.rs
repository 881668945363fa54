//! What a back end reports of its keys, and what it is told.

use std::time::Duration;

use crate::incarnation::BackEndIncarnation;
use crate::span::Span;

/// The part of a heartbeat that concerns keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyReport {
    /// The reporting boot.
    pub incarnation: BackEndIncarnation,
    /// Position of this report among those of the same boot.
    pub sequence: u64,
    /// Whether the back end is about to leave.
    pub draining: bool,
    /// Keys that the back end holds or still works on.
    pub held: Vec<HeldKeys>,
    /// Keys that it has released since its last acknowledged report.
    pub freed: Vec<ReleasedKeys>,
}

/// Keys held under one fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldKeys {
    /// The keys.
    pub span: Span,
    /// Fence of the grant.
    pub fence: u64,
}

/// Keys that were released, with the record that the next holder needs to start warm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedKeys {
    /// The keys.
    pub span: Span,
    /// Opaque record for the next holder.
    pub handover: String,
}

/// One granted run of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The keys.
    pub span: Span,
    /// Fence; a higher one than any under which another boot held one of the keys.
    pub fence: u64,
    /// Record of the last holder, or empty.
    pub handover: String,
}

/// Everything that the back end is to hold, for `hold` from the sending of its report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantReply {
    /// The granted keys; whatever is missing is to be released.
    pub grants: Vec<Grant>,
    /// Length of the grant.
    pub hold: Duration,
}
