//! Choice of the machines that confirm a coordinator while the store is silent.

use world::machine::Machine;

use crate::coordinator::Coordinator;
use crate::record::WitnessRef;

/// Machines that confirm a coordinator while the store does not.
pub const WITNESSES: usize = 3;

/// Witnesses that are chosen from the coordinator's own region where possible; the others are
/// chosen from zones of their own.
const NEAR_WITNESSES: usize = 2;

impl Coordinator {
    /// Chooses up to [`WITNESSES`] machines to confirm the coordinator without the store: live
    /// members of other zones than its own, so that no zone takes it away with them; a quorum of
    /// its own region, so that a cut between regions does not separate them; the last one of a
    /// zone of its own.
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
            let near = chosen.len() < NEAR_WITNESSES;
            let best = free.min_by_key(|m| {
                let shared = chosen.iter().any(|c| c.zone == m.zone);
                let listed = present.iter().any(|w| is_witness(w, m));
                let distant = m.region != me.region;
                let rest = if near {
                    (distant, shared)
                } else {
                    (shared, distant)
                };
                (m.zone == me.zone, rest, !listed)
            });
            let Some(best) = best else { break };
            chosen.push(best);
        }
        let mut witnesses: Vec<WitnessRef> = chosen.into_iter().map(witness_ref).collect();
        witnesses.sort_by(|a, b| a.name.cmp(&b.name));
        witnesses
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
