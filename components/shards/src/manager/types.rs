//! What the shard manager is told and what it asks for.

use std::time::Duration;

use world::instant::BootInstant;

use crate::incarnation::BackEndIncarnation;
use crate::lease::Lease;

/// Durations that every machine of a deployment shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time for which a confirmed renewal lets a machine grant, from its sending.
    pub lease: Duration,
    /// Time between two renewals.
    pub renewal: Duration,
    /// Usual length of a grant.
    pub hold: Duration,
    /// Longest grant that a back end accepts.
    pub hold_max: Duration,
    /// Time that a first assignment waits for other back ends.
    pub gathering: Duration,
    /// Time without a connection after which a holder is suspected.
    pub suspicion: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(8_000),
            renewal: Duration::from_millis(2_000),
            hold: Duration::from_millis(3_500),
            hold_max: Duration::from_millis(10_000),
            gathering: Duration::from_millis(1_500),
            suspicion: Duration::from_millis(1_200),
        }
    }
}

/// Parts of a hundred by which two clocks may differ in speed.
const DRIFT_PERCENT: u32 = 2;
/// Added to each wait for another clock.
pub(super) const MARGIN: Duration = Duration::from_millis(20);

/// How long to wait until a clock that runs slow has counted `span`.
#[must_use]
pub fn with_drift(span: Duration) -> Duration {
    span + span * DRIFT_PERCENT / 100 + MARGIN
}

/// What fits into `span` for a clock that runs slow.
pub(super) fn less_drift(span: Duration) -> Duration {
    (span * (100 - DRIFT_PERCENT) / 100).saturating_sub(MARGIN)
}

/// A stored object with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Revision of the last change.
    pub revision: u64,
    /// The object.
    pub value: T,
}

/// A call to the store that a machine wants to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOp<T> {
    /// Read the object.
    Read,
    /// Create the object.
    Create(T),
    /// Replace the object if it still has the revision.
    Replace(Versioned<T>),
}

/// How a call to the store ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome<T> {
    /// Done; the object as it is now.
    Done(Versioned<T>),
    /// Not done, since the object has another revision or exists already.
    Conflict(Option<Versioned<T>>),
    /// The object does not exist.
    Absent,
    /// No answer: the call may have been done or may be done later.
    Unknown,
    /// Not done and never will be.
    Refused,
}

/// What is known of another machine of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerState {
    /// Whether a connection to the machine is open.
    pub connected: bool,
    /// When `connected` last changed.
    pub since: BootInstant,
    /// The back end beside it, if it is there and stays.
    pub incarnation: Option<BackEndIncarnation>,
    /// Its lease as last heard of.
    pub lease: Option<Versioned<Lease>>,
    /// When that lease was first heard of: it was renewed before.
    pub lease_seen: BootInstant,
    /// Share of its capacity that is in use.
    pub busy: f64,
}
