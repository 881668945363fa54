//! Chooses the witnesses, which confirm a coordinator instead of the store.

use world::machine::Machine;

use crate::coordinator::Coordinator;
use crate::record::WitnessRef;

/// Number of witnesses in a cell with enough machines.
pub const WITNESSES: usize = 3;

impl Coordinator {
    /// Chooses up to [`WITNESSES`] live members. Preferred are, in this order: other zones than the
    /// coordinator's, so that a failing zone does not take both; distinct zones, so that a failing
    /// zone does not take a quorum; the coordinator's region, so that a network partition between
    /// regions does not separate them; and the `present` witnesses.
    #[must_use]
    pub fn choose_witnesses(&self, present: &[WitnessRef]) -> Vec<WitnessRef> {
        let Some(me) = self
            .member_ids
            .get(&self.me.name)
            .map(|id| &self.members[*id].machine)
        else {
            return present.to_vec();
        };
        let mut chosen: Vec<&Machine> = Vec::new();
        while chosen.len() < WITNESSES {
            let eligible = self.members.iter().filter(|p| p.live && !p.machine.leaving);
            let eligible = eligible
                .map(|p| &p.machine)
                .filter(|m| m.name != me.name && !chosen.iter().any(|c| c.name == m.name));
            let best = eligible.min_by_key(|m| {
                let shared = chosen.iter().any(|c| c.zone == m.zone);
                let listed = present.iter().any(|w| is_witness(w, m));
                let distant = m.region != me.region;
                (m.zone == me.zone, shared, distant, !listed)
            });
            let Some(best) = best else { break };
            chosen.push(best);
        }
        let mut witnesses: Vec<WitnessRef> = chosen.into_iter().map(witness_ref).collect();
        witnesses.sort_by(|a, b| a.name.cmp(&b.name));
        witnesses
    }
}

impl Coordinator {
    /// Returns whether the coordinator and its witnesses are all in distinct zones, so that the
    /// loss of a zone leaves a quorum of them.
    #[must_use]
    pub fn are_in_distinct_zones(&self, witnesses: &[WitnessRef]) -> bool {
        let zone = |name| {
            let id = self.member_ids.get(name)?;
            Some(&self.members[*id].machine.zone)
        };
        let mut zones: Vec<_> = witnesses.iter().map(|w| zone(&w.name)).collect();
        zones.push(zone(&self.me.name));
        zones.sort_unstable();
        let count = zones.len();
        zones.dedup();
        zones.len() == count && zones.iter().all(Option::is_some)
    }
}

fn is_witness(witness: &WitnessRef, machine: &Machine) -> bool {
    witness.name == machine.name && witness.incarnation == machine.incarnation
}

fn witness_ref(machine: &Machine) -> WitnessRef {
    WitnessRef {
        name: machine.name.clone(),
        incarnation: machine.incarnation,
        address: machine.peer_address,
    }
}
