//! Choice of the machines that confirm a coordinator while the store is silent.

use world::machine::Machine;

use crate::coordinator::Coordinator;
use crate::record::WitnessRef;

/// Machines that confirm a coordinator while the store does not.
pub const WITNESSES: usize = 3;

impl Coordinator {
    /// Chooses up to [`WITNESSES`] machines to confirm the coordinator without the store: live
    /// members of other zones than its own, so that no zone takes it away with them; of as many
    /// zones as possible, so that no zone takes a quorum away; and then of its own region, so that
    /// a cut between regions does not separate them.
    #[must_use]
    pub fn choose_witnesses(&self, present: &[WitnessRef]) -> Vec<WitnessRef> {
        let Some(me) = self
            .names
            .get(&self.me.name)
            .map(|id| &self.peers[*id].machine)
        else {
            return present.to_vec();
        };
        let mut chosen: Vec<&Machine> = Vec::new();
        while chosen.len() < WITNESSES {
            let free = self.peers.iter().filter(|p| p.live && !p.machine.leaving);
            let free = free
                .map(|p| &p.machine)
                .filter(|m| m.name != me.name && !chosen.iter().any(|c| c.name == m.name));
            let best = free.min_by_key(|m| {
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
    /// Tells whether the coordinator and its witnesses are all in different zones, so that the
    /// loss of a zone leaves a quorum of them.
    #[must_use]
    pub fn are_apart(&self, witnesses: &[WitnessRef]) -> bool {
        let zone = |name| {
            let id = self.names.get(name)?;
            Some(&self.peers[*id].machine.zone)
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
