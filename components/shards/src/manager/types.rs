//! Inputs of the shard manager, its store operations and the timing that all machines share.

use std::time::Duration;

use world::instant::BootInstant;

use crate::assignment::Holder;
use crate::incarnation::BackEndIncarnation;
use crate::lease::Lease;
use crate::revision::{Revision, StoreEra};

/// Durations that every machine of a deployment shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Validity of a lease, from the sending of a confirmed renewal.
    pub lease: Duration,
    /// Time between two renewals of the lease.
    pub renewal_interval: Duration,
    /// Usual duration of a grant.
    pub grant: Duration,
    /// Longest grant that a back end accepts.
    pub max_grant: Duration,
    /// Time that the creation of the assignment waits for other back ends to report.
    pub initial_wait: Duration,
    /// Time without a connection after which a holder is suspected to have failed.
    pub suspicion_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(8_000),
            renewal_interval: Duration::from_millis(2_000),
            grant: Duration::from_millis(3_500),
            max_grant: Duration::from_millis(10_000),
            initial_wait: Duration::from_millis(1_500),
            suspicion_timeout: Duration::from_millis(1_200),
        }
    }
}

/// Largest difference in rate between two clocks, in percent.
const DRIFT_PERCENT: u32 = 2;
/// Safety margin of each conversion between two clocks.
pub(super) const CLOCK_MARGIN: Duration = Duration::from_millis(20);

/// Returns how long to wait here until `span` has passed on the slowest clock.
#[must_use]
pub fn with_drift(span: Duration) -> Duration {
    span + span * DRIFT_PERCENT / 100 + CLOCK_MARGIN
}

/// Returns the longest time on the slowest clock that fits into `span` here.
pub(super) fn minus_drift(span: Duration) -> Duration {
    (span * (100 - DRIFT_PERCENT) / 100).saturating_sub(CLOCK_MARGIN)
}

/// A stored object with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Revision of the last change.
    pub revision: Revision,
    /// The object.
    pub value: T,
}

/// An operation on a stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOp<T> {
    /// Reads the object.
    Read,
    /// Creates the object, unless it exists.
    Create(T),
    /// Replaces the object if it still has the revision.
    Replace(Versioned<T>),
}

/// Outcome of a [`StoreOp`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome<T> {
    /// Done; the object as now stored.
    Done(Versioned<T>),
    /// Not done: the object has another revision or exists already; the object found, if known.
    Conflict(Option<Versioned<T>>),
    /// The object does not exist.
    Absent,
    /// The object exists at this revision, but is no value of this type: another writer's.
    Unreadable(Revision),
    /// No response: the operation may have taken effect or may still do so.
    Unknown,
    /// Not done, and will never take effect.
    Refused,
}

impl<T> StoreOutcome<T> {
    /// Whether the operation has changed nothing and never will.
    pub(super) fn has_no_effect(&self) -> bool {
        matches!(self, Self::Conflict(_) | Self::Absent | Self::Refused)
    }
}

/// State of another machine of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerState {
    /// Whether a connection to the machine is open.
    pub connected: bool,
    /// When `connected` last changed.
    pub link_changed_at: BootInstant,
    /// The machine's back end; `None` if there is none or it is leaving.
    pub incarnation: Option<BackEndIncarnation>,
    /// The machine's lease as last announced.
    pub lease: Option<Versioned<Lease>>,
    /// When that lease was first received; its renewal was sent before.
    pub lease_received_at: BootInstant,
    /// Fraction of its capacity in use; 1 is full.
    pub utilization: f64,
    /// Whether its back end is cold and takes few requests; false if the service does not limit them.
    pub cold: bool,
}

impl PeerState {
    /// Returns the holder entry that the machine needs in an era; `None` without a back end or an
    /// unfenced lease of that era.
    pub(super) fn holder(&self, era: StoreEra) -> Option<Holder> {
        let lease = self.lease_in(era).filter(|l| !l.value.fenced)?;
        Some(Holder {
            epoch: lease.value.epoch,
            incarnation: self.incarnation.clone()?,
        })
    }

    /// Returns the machine's lease if it is of that era.
    pub(super) fn lease_in(&self, era: StoreEra) -> Option<&Versioned<Lease>> {
        self.lease.as_ref().filter(|l| l.revision.era() == era)
    }
}
