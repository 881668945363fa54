//! The coordinator's claim on its term and how the store confirms it.

use std::time::Duration;

use world::instant::BootInstant;

use crate::coordinator::WITNESSES;
use crate::pledge::{Notice, Pledge};
use crate::record::{self, CellRecord, WitnessRef};
use crate::timing::Timing;

/// Silence of the store after which the coordinator gives its pledge.
const PLEDGE_SILENCE: Duration = Duration::from_secs(1);

/// A write of the record on its way to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Pending {
    write_id: u64,
    sent: BootInstant,
    witnesses: Vec<WitnessRef>,
}

/// A list of witnesses that a write without an answer may have put, or may yet put, in place.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Unsettled {
    /// Version that the write is conditional on.
    expected: u64,
    witnesses: Vec<WitnessRef>,
}

/// The latest confirmation of one witness.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Confirmation {
    witness: WitnessRef,
    sent: BootInstant,
}

/// What became of a claim after the record was read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The term is still ours.
    Held,
    /// Another daemon took the term over.
    Lost,
}

/// Keeps a coordinator's authority alive by conditional updates of its record.
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
    listed: Vec<WitnessRef>,
    /// Lists of writes that are not known to have failed. Invariant: a successor reads `listed`
    /// or one of these.
    unsettled: Vec<Unsettled>,
    confirmations: Vec<Confirmation>,
    pending: Option<Pending>,
    pledge: Pledge,
}

impl Renewal {
    /// Starts from the write that took the term: `sent` at that instant and confirmed as `version`.
    #[must_use]
    pub fn new(timing: Timing, record: CellRecord, version: u64, sent: BootInstant) -> Self {
        let authority_until = sent + timing.authority;
        let listed = record.witnesses.clone();
        Self {
            timing,
            record,
            version,
            authority_until,
            store_confirmed: sent,
            listed,
            unsettled: Vec::new(),
            confirmations: Vec::new(),
            pending: None,
            pledge: Pledge::default(),
        }
    }

    /// Starts an acting term, which only witnesses confirm. The store was last known to confirm
    /// the term before not earlier than at `store_confirmed`.
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

    /// Tells whether the term is an acting one.
    #[must_use]
    pub fn is_acting(&self) -> bool {
        self.record.term.is_acting()
    }

    /// The record as last written.
    #[must_use]
    pub fn record(&self) -> &CellRecord {
        &self.record
    }

    /// Version of the last confirmed write.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Instant until which the coordinator may grant.
    #[must_use]
    pub fn authority_until(&self) -> BootInstant {
        self.authority_until
    }

    /// Replaces the witnesses. Those that are dropped stop counting at once, new ones count once
    /// the store has confirmed a record that lists them.
    /// While a pledge binds, its witnesses stay.
    pub fn set_witnesses(&mut self, witnesses: Vec<WitnessRef>) {
        if self.is_acting() || !self.pledge.is_withdrawn() {
            return;
        }
        self.confirmations
            .retain(|c| witnesses.contains(&c.witness));
        self.record.witnesses = witnesses;
    }

    /// Strikes off the earlier terms, once all of them have been closed.
    pub fn clear_open_terms(&mut self) {
        self.record.open_terms.clear();
    }

    /// Witnesses whose confirmations count: those of every record that a successor may read.
    pub fn counting_witnesses(&self) -> impl Iterator<Item = &WitnessRef> {
        let lists = || self.possible_lists();
        self.listed
            .iter()
            .filter(move |w| lists().all(|list| list.contains(w)))
    }

    /// The list last known from the store, those on their way there, and the one to be written.
    fn possible_lists(&self) -> impl Iterator<Item = &Vec<WitnessRef>> {
        let unsettled = self.unsettled.iter().map(|u| &u.witnesses);
        [&self.listed, &self.record.witnesses]
            .into_iter()
            .chain(unsettled)
    }

    /// State of the pledge to tell the witnesses.
    #[must_use]
    pub fn notice(&self) -> Notice {
        self.pledge.notice()
    }

    /// Tells whether a witness may have been told that the store is not counted.
    #[must_use]
    pub fn is_pledged(&self) -> bool {
        !self.pledge.is_withdrawn()
    }

    /// Gives or withdraws the pledge. It is given when the store has been silent for a while and,
    /// with `standing`, always; it is taken back for a change to the witnesses in `wanted`.
    pub fn review_pledge(&mut self, now: BootInstant, standing: bool, wanted: &[WitnessRef]) {
        if self.is_acting() || self.record.resigned {
            return;
        }
        let silent = now.since(self.store_confirmed) >= PLEDGE_SILENCE;
        let full = self.listed.len() == WITNESSES;
        let settled = self.possible_lists().all(|list| *list == self.listed);
        let give = silent || (standing && self.listed == wanted);
        if give && full && settled {
            self.pledge.give(now);
        } else if !silent {
            self.pledge.withdraw();
        }
    }

    /// Tells whether the witnesses have failed a coordinator that counts only them. It should
    /// resign, as readers of its record leave it alone.
    #[must_use]
    pub fn is_starved(&self, now: BootInstant) -> bool {
        self.is_pledged() && now >= self.authority_until + self.timing.suspicion
    }

    /// Tells whether witnesses should be asked: the store has been silent for a while, or a pledge
    /// binds.
    #[must_use]
    pub fn needs_witnesses(&self, now: BootInstant) -> bool {
        self.is_pledged() || now.since(self.store_confirmed) >= self.timing.renewal * 3 / 2
    }

    /// Notes that a witness confirmed the term when asked at `sent`, and knows the pledge's state
    /// with this number. The authority lasts from the
    /// oldest of the latest confirmations that make up a quorum.
    pub fn on_witness_confirmed(&mut self, witness: &WitnessRef, sent: BootInstant, number: u64) {
        let counts = self.counting_witnesses().any(|w| w == witness);
        let absent = sent.since(self.store_confirmed) >= self.timing.store_absence;
        if !counts || absent || self.record.resigned {
            return;
        }
        self.note_confirmation(witness, sent);
        let needed = record::confirming_quorum(self.listed.len());
        self.pledge.on_ack(witness, number, needed);
        let Some(quorum_sent) = self.quorum_sent() else {
            return;
        };
        let until = quorum_sent + self.timing.authority;
        self.authority_until = self.authority_until.max(until);
    }

    fn note_confirmation(&mut self, witness: &WitnessRef, sent: BootInstant) {
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

    /// The latest instant at or after which a quorum of the witnesses was asked and confirmed.
    /// While the witnesses change, the quorum must hold among all lists that may be in place.
    fn quorum_sent(&self) -> Option<BootInstant> {
        let counting = |c: &&Confirmation| self.counting_witnesses().any(|w| *w == c.witness);
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

    /// The record to write now, to be conditional on [`Renewal::version`].
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

    /// Notes that the write with this number took effect as `version`. An answer to an earlier
    /// write than the pending one is ignored.
    pub fn on_confirmed(&mut self, write_id: u64, version: u64) {
        let Some(pending) = self.pending.take_if(|p| p.write_id == write_id) else {
            return;
        };
        self.version = version;
        self.listed = pending.witnesses;
        self.settle(version);
        self.store_confirmed = self.store_confirmed.max(pending.sent);
        if !self.pledge.counts_store(pending.sent) {
            return;
        }
        let until = pending.sent + self.timing.authority;
        self.authority_until = self.authority_until.max(until);
    }

    /// Forgets writes that can't take effect any more, now that the record is at `version`.
    fn settle(&mut self, version: u64) {
        self.unsettled.retain(|u| u.expected >= version);
    }

    /// Settles a write with a lost answer or a version conflict by the record read back.
    ///
    /// Only a write confirms authority: a successor counts from its first sight of a version,
    /// so a later read of that version must not extend it.
    pub fn on_read_back(&mut self, found: &CellRecord, version: u64) -> Claim {
        let ours = found.term == self.record.term
            && found.is_held_by(&self.record.coordinator, self.record.incarnation);
        if !ours {
            return Claim::Lost;
        }
        if self
            .pending
            .as_ref()
            .is_some_and(|p| p.write_id == found.write_id)
        {
            self.on_confirmed(found.write_id, version);
            return Claim::Held;
        }
        self.version = self.version.max(version);
        self.listed.clone_from(&found.witnesses);
        self.settle(version);
        self.pending = None;
        Claim::Held
    }

    /// Gives the authority up at once.
    pub fn resign(&mut self, now: BootInstant) {
        self.authority_until = self.authority_until.min(now);
        if self.is_pledged() && !self.record.resigned {
            self.record.open_terms = self.record.terms_to_close();
        }
        self.record.resigned = true;
    }
}
