//! Denials: responses of a node's own after which a caller does not try again.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::ops::{Range, RangeInclusive};

use http1::response::Response;

use crate::configuration;

/// Statuses from 300 to 499 after which a caller tries again.
const REPEATABLE: [u16; 3] = [408, 421, 429];

/// What a configuration must have to allow a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requirement {
    /// Versions that have its route.
    pub versions: Range<u64>,
    /// Length of its head.
    pub head_bytes: usize,
    /// Length of its body.
    pub body_bytes: u64,
}

impl Requirement {
    /// Returns whether all of these versions allow the request.
    #[must_use]
    pub fn is_met_by(&self, versions: &RangeInclusive<u64>) -> bool {
        versions.clone().all(|version| {
            let limits = configuration::limits(version);
            self.versions.contains(&version)
                && self.head_bytes <= limits.head_bytes
                && self.body_bytes <= limits.body_bytes
        })
    }
}

/// Returns whether a response denies its request for good, and no back end made it.
#[must_use]
pub fn is_denial(response: &Response) -> bool {
    let status = response.status;
    let from_back_end = response.headers.get("Response-Stamp").is_some();
    (300..500).contains(&status) && !REPEATABLE.contains(&status) && !from_back_end
}

/// Whether a denial was right.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// A version that may be in force denies the request.
    Right,
    /// Only versions deny it that may be in force again because a restore has lost later ones.
    Lost,
    /// All versions that may be in force allow the request.
    Wrong,
}

/// Judges the denial of a request by the versions that may be in force, and by those that could be if
/// the store had lost none.
#[must_use]
pub fn judge(
    requirement: &Requirement,
    possible: &RangeInclusive<u64>,
    without_losses: &RangeInclusive<u64>,
) -> Judgement {
    if requirement.is_met_by(possible) {
        Judgement::Wrong
    } else if requirement.is_met_by(without_losses) {
        Judgement::Lost
    } else {
        Judgement::Right
    }
}

/// Numbers of denials by status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Denials(BTreeMap<u16, [u64; 3]>);

impl Denials {
    /// Counts a denial.
    pub fn record(&mut self, status: u16, judgement: Judgement) {
        self.0.entry(status).or_default()[judgement as usize] += 1;
    }

    /// Returns the number of denials with a status and a judgement.
    #[must_use]
    pub fn count(&self, status: u16, judgement: Judgement) -> u64 {
        let counts = self.0.get(&status);
        counts.map_or(0, |c| c[judgement as usize])
    }
}

impl Display for Denials {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "denials")?;
        for (status, [right, lost, wrong]) in &self.0 {
            let total = right + lost + wrong;
            write!(f, " {status}={total}(wrong={wrong},lost={lost})")?;
        }
        Ok(())
    }
}
