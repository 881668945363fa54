//! A coordinator's pledge to its witnesses to ignore the store's confirmations.
//!
//! Only under a pledge may witnesses elect an acting coordinator: otherwise the store could still
//! confirm the previous one. It binds until enough witnesses know that it is withdrawn.

use world::instant::BootInstant;

use crate::record::WitnessRef;

/// State of the pledge, part of each request for confirmation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PledgeStatus {
    /// Rises with each change, so that a witness recognises an outdated request.
    pub sequence: u64,
    /// True while the coordinator ignores confirmations of the store.
    pub pledged: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Withdrawn,
    Given {
        since: BootInstant,
    },
    Withdrawing {
        since: BootInstant,
        acks: Vec<WitnessRef>,
    },
}

/// The coordinator's side of the pledge.
#[derive(Clone, Debug)]
pub struct Pledge {
    sequence: u64,
    phase: Phase,
}

impl Default for Pledge {
    fn default() -> Self {
        Self {
            sequence: 0,
            phase: Phase::Withdrawn,
        }
    }
}

impl Pledge {
    /// Returns the state to send to the witnesses.
    #[must_use]
    pub fn status(&self) -> PledgeStatus {
        PledgeStatus {
            sequence: self.sequence,
            pledged: matches!(self.phase, Phase::Given { .. }),
        }
    }

    /// Returns whether no quorum of witnesses can rely on the pledge any more.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.phase == Phase::Withdrawn
    }

    /// Returns whether the store's confirmation of a write sent at `sent` extends the authority.
    #[must_use]
    pub fn allows_store_confirmation(&self, sent: BootInstant) -> bool {
        match self.phase {
            Phase::Withdrawn => true,
            Phase::Given { since } | Phase::Withdrawing { since, .. } => sent < since,
        }
    }

    /// Gives the pledge at `now`.
    pub fn give(&mut self, now: BootInstant) {
        let since = match self.phase {
            Phase::Withdrawn => now,
            Phase::Withdrawing { since, .. } => since,
            Phase::Given { .. } => return,
        };
        self.sequence += 1;
        self.phase = Phase::Given { since };
    }

    /// Starts to withdraw the pledge. It binds until enough witnesses have acknowledged that.
    pub fn withdraw(&mut self) {
        if let Phase::Given { since } = self.phase {
            self.sequence += 1;
            let acks = Vec::new();
            self.phase = Phase::Withdrawing { since, acks };
        }
    }

    /// Records that a witness knows the state with this sequence number. The pledge ends once
    /// `needed` witnesses know it, as the others can't elect a candidate.
    pub fn on_ack(&mut self, witness: &WitnessRef, sequence: u64, needed: usize) {
        let Phase::Withdrawing { acks, .. } = &mut self.phase else {
            return;
        };
        if sequence != self.sequence {
            return;
        }
        if !acks.contains(witness) {
            acks.push(witness.clone());
        }
        if acks.len() >= needed {
            self.phase = Phase::Withdrawn;
        }
    }
}
