//! The part of a heartbeat that concerns keys, and the reply to it.

use std::time::Duration;

use crate::incarnation::BackEndIncarnation;
use crate::span::Span;

/// The part of a heartbeat that concerns keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyReport {
    /// The reporting incarnation.
    pub incarnation: BackEndIncarnation,
    /// Sequence number of this report; rises with each report of the same incarnation.
    pub sequence: u64,
    /// Whether the back end is shutting down and gives up its keys.
    pub draining: bool,
    /// Keys that the back end holds or still has requests in flight for.
    pub held_keys: Vec<HeldKeys>,
    /// Keys released since the last acknowledged report.
    pub released_keys: Vec<ReleasedKeys>,
}

/// Keys held under one fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldKeys {
    /// The keys.
    pub span: Span,
    /// Fencing token of the grant.
    pub fence: u64,
}

/// Released keys with the handover record that lets the next holder start warm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedKeys {
    /// The keys.
    pub span: Span,
    /// Opaque handover record for the next holder.
    pub handover: String,
}

/// A granted span of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The keys.
    pub span: Span,
    /// Fencing token, higher than any under which another incarnation held one of the keys.
    pub fence: u64,
    /// Handover record of the previous holder, or empty.
    pub handover: String,
}

/// All keys granted to the back end, valid for `duration` from the sending of its report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantReply {
    /// The granted keys; the back end must release every other key.
    pub grants: Vec<Grant>,
    /// How long the grants are valid.
    pub duration: Duration,
}
