//! A coordinator's pledge to its witnesses not to count the store's confirmations.

use world::instant::BootInstant;

use crate::record::WitnessRef;

/// State of the pledge as sent along with each request for confirmation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Rises with each change, so that a late notice is recognised.
    pub number: u64,
    /// True while the coordinator counts no confirmation of the store.
    pub pledged: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
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
    number: u64,
    state: State,
}

impl Default for Pledge {
    fn default() -> Self {
        Self {
            number: 0,
            state: State::Withdrawn,
        }
    }
}

impl Pledge {
    /// What to tell the witnesses.
    #[must_use]
    pub fn notice(&self) -> Notice {
        Notice {
            number: self.number,
            pledged: matches!(self.state, State::Given { .. }),
        }
    }

    /// Tells whether no witness quorum can still rely on the pledge.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.state == State::Withdrawn
    }

    /// Tells whether a confirmation by the store counts for a write sent at `sent`.
    #[must_use]
    pub fn counts_store(&self, sent: BootInstant) -> bool {
        match self.state {
            State::Withdrawn => true,
            State::Given { since } | State::Withdrawing { since, .. } => sent < since,
        }
    }

    /// Gives the pledge at `now`.
    pub fn give(&mut self, now: BootInstant) {
        let since = match self.state {
            State::Withdrawn => now,
            State::Withdrawing { since, .. } => since,
            State::Given { .. } => return,
        };
        self.number += 1;
        self.state = State::Given { since };
    }

    /// Asks for the pledge back. It binds until enough witnesses have let go of it.
    pub fn withdraw(&mut self) {
        if let State::Given { since } = self.state {
            self.number += 1;
            let acks = Vec::new();
            self.state = State::Withdrawing { since, acks };
        }
    }

    /// Notes that a witness knows the state with this number; `needed` such witnesses, without
    /// whom no candidate can be endorsed, end the pledge.
    pub fn on_ack(&mut self, witness: &WitnessRef, number: u64, needed: usize) {
        let State::Withdrawing { acks, .. } = &mut self.state else {
            return;
        };
        if number != self.number {
            return;
        }
        if !acks.contains(witness) {
            acks.push(witness.clone());
        }
        if acks.len() >= needed {
            self.state = State::Withdrawn;
        }
    }
}
