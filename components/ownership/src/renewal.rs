//! Renews a coordinator's authority by confirmations of the store or of its witnesses.

use std::time::Duration;

use world::instant::BootInstant;

use crate::coordinator::WITNESSES;
use crate::pledge::{Pledge, PledgeStatus};
use crate::record::{self, CellRecord, WitnessRef};
use crate::timing::Timing;

/// Time without a confirmation by the store after which the coordinator gives its pledge.
const PLEDGE_TIMEOUT: Duration = Duration::from_secs(1);

/// A write of the record without a response so far.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Pending {
    write_id: u64,
    sent: BootInstant,
    witnesses: Vec<WitnessRef>,
}

/// List of witnesses of a write that may have taken effect or may still do so.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Unsettled {
    /// Record version that the write is conditional on.
    expected: u64,
    witnesses: Vec<WitnessRef>,
}

/// The latest confirmation of one witness.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Confirmation {
    witness: WitnessRef,
    sent: BootInstant,
}

/// State of the coordinator's term after the record was read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermStatus {
    /// This daemon still holds the term.
    Held,
    /// Another daemon took the term over.
    Lost,
}

/// Extends a coordinator's authority by conditional updates of its record, or by confirmations of
/// its witnesses while the store fails.
#[derive(Clone, Debug)]
pub struct Renewal {
    timing: Timing,
    record: CellRecord,
    version: u64,
    /// Instant until which the coordinator may grant.
    authority_until: BootInstant,
    /// Sending time of the last write that the store confirmed.
    store_confirmed: BootInstant,
    /// Witnesses of the record as last confirmed by the store or read from it.
    stored_witnesses: Vec<WitnessRef>,
    /// Lists of writes that are not known to have failed. Invariant: a successor reads
    /// `stored_witnesses` or one of these.
    unsettled: Vec<Unsettled>,
    confirmations: Vec<Confirmation>,
    pending: Option<Pending>,
    pledge: Pledge,
}

impl Renewal {
    /// Starts from the write that took the term, which was sent at `sent` and made `version`.
    #[must_use]
    pub fn new(timing: Timing, record: CellRecord, version: u64, sent: BootInstant) -> Self {
        let authority_until = sent + timing.authority;
        let stored_witnesses = record.witnesses.clone();
        Self {
            timing,
            record,
            version,
            authority_until,
            store_confirmed: sent,
            stored_witnesses,
            unsettled: Vec::new(),
            confirmations: Vec::new(),
            pending: None,
            pledge: Pledge::default(),
        }
    }

    /// Starts an acting term, which only witnesses confirm. `store_confirmed` is a lower bound of
    /// when the last write confirmed by the store was sent.
    #[must_use]
    pub fn acting(
        timing: Timing,
        record: CellRecord,
        now: BootInstant,
        store_confirmed: BootInstant,
    ) -> Self {
        Self {
            authority_until: now,
            store_confirmed,
            ..Self::new(timing, record, 0, now)
        }
    }

    /// Returns whether the term is an acting one.
    #[must_use]
    pub fn is_acting(&self) -> bool {
        self.record.term.is_acting()
    }

    /// Returns the record as last written.
    #[must_use]
    pub fn record(&self) -> &CellRecord {
        &self.record
    }

    /// Returns the version of the last confirmed write.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the instant until which the coordinator may grant.
    #[must_use]
    pub fn authority_until(&self) -> BootInstant {
        self.authority_until
    }

    /// Replaces the witnesses, unless a pledge binds. Removed ones stop counting at once, new ones
    /// count once the store has confirmed a record that lists them.
    pub fn set_witnesses(&mut self, witnesses: Vec<WitnessRef>) {
        if self.is_acting() || !self.pledge.is_withdrawn() {
            return;
        }
        self.confirmations
            .retain(|c| witnesses.contains(&c.witness));
        self.record.witnesses = witnesses;
    }

    /// Removes the earlier terms from the record, once all of them are closed.
    pub fn clear_open_terms(&mut self) {
        self.record.open_terms.clear();
    }

    /// Returns the witnesses whose confirmations count: those that every record lists which a
    /// successor may read.
    pub fn eligible_witnesses(&self) -> impl Iterator<Item = &WitnessRef> {
        let lists = || self.possible_lists();
        self.stored_witnesses
            .iter()
            .filter(move |w| lists().all(|list| list.contains(w)))
    }

    /// Returns the stored list, those of unsettled writes, and the one to write next.
    fn possible_lists(&self) -> impl Iterator<Item = &Vec<WitnessRef>> {
        let unsettled = self.unsettled.iter().map(|u| &u.witnesses);
        [&self.stored_witnesses, &self.record.witnesses]
            .into_iter()
            .chain(unsettled)
    }

    /// Returns the state of the pledge to send to the witnesses.
    #[must_use]
    pub fn pledge_status(&self) -> PledgeStatus {
        self.pledge.status()
    }

    /// Returns whether a pledge binds: witnesses may rely on it until it is fully withdrawn.
    #[must_use]
    pub fn is_pledged(&self) -> bool {
        !self.pledge.is_withdrawn()
    }

    /// Gives or withdraws the pledge. It is given when the store has not confirmed for
    /// `PLEDGE_TIMEOUT` and, with `always_pledge`, while the witnesses are the `desired` ones.
    /// Otherwise it is withdrawn once the store confirms.
    pub fn update_pledge(&mut self, now: BootInstant, always_pledge: bool, desired: &[WitnessRef]) {
        if self.is_acting() || self.record.resigned {
            return;
        }
        let store_unresponsive = now.since(self.store_confirmed) >= PLEDGE_TIMEOUT;
        let full = self.stored_witnesses.len() == WITNESSES;
        let settled = self
            .possible_lists()
            .all(|list| *list == self.stored_witnesses);
        let give = store_unresponsive || (always_pledge && self.stored_witnesses == desired);
        if give && full && settled {
            self.pledge.give(now);
        } else if !store_unresponsive {
            self.pledge.withdraw();
        }
    }

    /// Returns whether a pledged coordinator has lost the quorum of its witnesses. It should
    /// resign: no member takes the term over while the record is still being renewed.
    #[must_use]
    pub fn has_lost_quorum(&self, now: BootInstant) -> bool {
        self.is_pledged() && now >= self.authority_until + self.timing.suspicion
    }

    /// Returns whether to request confirmations of the witnesses: the store has missed a renewal,
    /// or a pledge binds.
    #[must_use]
    pub fn needs_witnesses(&self, now: BootInstant) -> bool {
        self.is_pledged() || now.since(self.store_confirmed) >= self.timing.renewal * 3 / 2
    }

    /// Records a witness's confirmation of the request sent at `sent`, which carried the pledge's
    /// state with this sequence number. The authority counts from the oldest request among the
    /// latest confirmations that make up a quorum.
    pub fn on_witness_confirmed(&mut self, witness: &WitnessRef, sent: BootInstant, sequence: u64) {
        let counts = self.eligible_witnesses().any(|w| w == witness);
        let absence_exceeded = sent.since(self.store_confirmed) >= self.timing.store_absence;
        if !counts || absence_exceeded || self.record.resigned {
            return;
        }
        self.record_confirmation(witness, sent);
        let needed = record::confirming_quorum(self.stored_witnesses.len());
        self.pledge.on_ack(witness, sequence, needed);
        let Some(quorum_sent) = self.quorum_sent() else {
            return;
        };
        let until = quorum_sent + self.timing.authority;
        self.authority_until = self.authority_until.max(until);
    }

    fn record_confirmation(&mut self, witness: &WitnessRef, sent: BootInstant) {
        let known = self
            .confirmations
            .iter_mut()
            .find(|c| c.witness == *witness);
        match known {
            Some(known) => known.sent = known.sent.max(sent),
            None => self.confirmations.push(Confirmation {
                witness: witness.clone(),
                sent,
            }),
        }
    }

    /// Returns the latest instant since which a quorum of the witnesses has confirmed a request.
    /// While the witnesses change, the quorum must be one of every list that may be stored.
    fn quorum_sent(&self) -> Option<BootInstant> {
        let counting = |c: &&Confirmation| self.eligible_witnesses().any(|w| *w == c.witness);
        let mut sent: Vec<BootInstant> = self
            .confirmations
            .iter()
            .filter(counting)
            .map(|c| c.sent)
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let quorums = self
            .possible_lists()
            .map(|list| record::confirming_quorum(list.len()));
        let needed = quorums.max().unwrap_or(0);
        sent.get(needed.checked_sub(1)?).copied()
    }

    /// Starts a write and returns the record, to be written on condition of [`Renewal::version`].
    pub fn start(&mut self, now: BootInstant, write_id: u64) -> CellRecord {
        self.record.write_id = write_id;
        let witnesses = self.record.witnesses.clone();
        let unsettled = Unsettled {
            expected: self.version,
            witnesses: witnesses.clone(),
        };
        if !self.unsettled.contains(&unsettled) {
            self.unsettled.push(unsettled);
        }
        self.pending = Some(Pending {
            write_id,
            sent: now,
            witnesses,
        });
        self.record.clone()
    }

    /// Records that a write took effect as `version`. A response to an earlier write than the
    /// pending one is ignored.
    pub fn on_confirmed(&mut self, write_id: u64, version: u64) {
        let Some(pending) = self.pending.take_if(|p| p.write_id == write_id) else {
            return;
        };
        self.version = version;
        self.stored_witnesses = pending.witnesses;
        self.settle(version);
        self.store_confirmed = self.store_confirmed.max(pending.sent);
        if !self.pledge.allows_store_confirmation(pending.sent) {
            return;
        }
        let until = pending.sent + self.timing.authority;
        self.authority_until = self.authority_until.max(until);
    }

    /// Removes writes that can't take effect any more, now that the record is at `version`.
    fn settle(&mut self, version: u64) {
        self.unsettled.retain(|u| u.expected >= version);
    }

    /// Settles a write whose response was lost, or that met a version conflict, by the record read.
    ///
    /// Only a write extends the authority: a successor counts from when it first saw a version, so
    /// a later read of that version must not extend it.
    pub fn on_read_back(&mut self, found: &CellRecord, version: u64) -> TermStatus {
        let still_held = found.term == self.record.term
            && found.is_held_by(&self.record.coordinator, self.record.incarnation);
        if !still_held {
            return TermStatus::Lost;
        }
        if self
            .pending
            .as_ref()
            .is_some_and(|p| p.write_id == found.write_id)
        {
            self.on_confirmed(found.write_id, version);
            return TermStatus::Held;
        }
        self.version = self.version.max(version);
        self.stored_witnesses.clone_from(&found.witnesses);
        self.settle(version);
        self.pending = None;
        TermStatus::Held
    }

    /// Ends the authority at `now` and marks the record as resigned, to be written.
    pub fn resign(&mut self, now: BootInstant) {
        self.authority_until = self.authority_until.min(now);
        if self.is_pledged() && !self.record.resigned {
            self.record.open_terms = self.record.terms_to_close();
        }
        self.record.resigned = true;
    }
}
