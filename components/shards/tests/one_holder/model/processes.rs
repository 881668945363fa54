//! Steps of the processes: what they learn from each other and which requests they send.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use shards::assignment::{Assignment, Holder};
use shards::lease::Lease;
use shards::manager::{KeyClaim, PeerState, StoreOp, Versioned};
use shards::revision::StoreEra;
use world::instant::BootInstant;
use world::name::MachineName;

use super::Simulation;
use super::requests::Request;
use super::rules::Rule;

/// Milliseconds between two reads that only tell the store's era.
const CONTACT_INTERVAL_MS: f64 = 1_000.0;

/// Milliseconds between two machines that learn of an evacuation.
const LEARNING_MS: f64 = 300.0;

/// A claim on its way to another process.
#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    recipient: usize,
    process: u64,
    sender: MachineName,
    era: StoreEra,
    claim: KeyClaim,
    arrives_at: f64,
}

impl Simulation {
    /// Tells a process of an era of the store.
    pub(super) fn learn_era(&mut self, i: usize, era: StoreEra) {
        let at = self.clock(i);
        let disabled_rule = self.disabled_rule;
        let m = &mut self.machines[i];
        let Some(p) = m.process.as_mut().filter(|p| p.era < Some(era)) else {
            return;
        };
        let is_first = p.era.replace(era).is_none();
        if disabled_rule == Some(Rule::ClaimWithValidLease) {
            let stored = p.manager.assignment().map(|a| &a.value);
            let owned = stored.into_iter().flat_map(|a| a.owned(&m.name));
            p.earlier_keys = owned.map(|r| r.span).collect();
        }
        let at = match disabled_rule {
            Some(Rule::WaitForEarlierLeases) if is_first => at - Duration::from_secs(9),
            _ => at,
        };
        p.manager.on_era(at, era);
    }

    /// Lets a process act on what it knows: it sends requests and claims.
    pub(super) fn step_process(&mut self, i: usize) {
        if !self.is_process_running(i) {
            return;
        }
        let at = self.clock(i);
        if let Some(era) = self.peer_era(i) {
            self.learn_era(i, era);
        }
        let evacuated = self.known_evacuation(i);
        let peers = self.peer_states(i);
        let assignments = self.peer_assignments(i);
        let now = self.now;
        let Some(p) = self.machines[i].process.as_mut() else {
            return;
        };
        for (name, peer) in peers {
            p.manager.set_peer(name, peer);
        }
        for assignment in assignments {
            p.manager.on_assignment(assignment);
        }
        if let Some(evacuated) = evacuated {
            p.manager.set_evacuated(evacuated);
        }
        p.manager.on_tick(at);
        if now >= p.next_contact {
            p.next_contact = now + CONTACT_INTERVAL_MS;
            self.send(i, Request::Contact);
        }
        self.send_claims(i);
        self.send_operations(i);
    }

    /// Returns the machines of the evacuated zone once the process of a machine has learned of them from
    /// the store, each after another time.
    fn known_evacuation(&self, i: usize) -> Option<BTreeSet<MachineName>> {
        let (machines, since) = self.evacuation?;
        let learned_at = since + LEARNING_MS * i as f64;
        let is_known = self.now >= learned_at && self.machines[i].reaches_store(self.now);
        let evacuated = self.machines.iter().take(machines);
        is_known.then(|| evacuated.map(|m| m.name.clone()).collect())
    }

    /// Returns how many keys the newest known assignment gives to machines of the evacuated zone.
    pub(crate) fn keys_in_evacuated_zone(&self) -> u32 {
        let processes = self.machines.iter().filter_map(|m| m.process.as_ref());
        let assignments = processes.filter_map(|p| p.manager.assignment());
        let newest = assignments.max_by_key(|a| a.revision);
        let machines = self.evacuation.map_or(0, |(machines, _)| machines);
        let zone = self.machines.iter().take(machines);
        zone.filter_map(|m| Some(newest?.value.key_count(&m.name)))
            .sum()
    }

    /// Sends the operations that are due; without an era there are none.
    fn send_operations(&mut self, i: usize) {
        let (now, at) = (self.now, self.clock(i));
        let announces_writes = self.disabled_rule != Some(Rule::KeepHandoversWithoutOutcome);
        let process = self.machines[i].process.as_mut();
        let Some(p) = process.filter(|p| p.era.is_some() && now >= p.retry_at) else {
            return;
        };
        let lease = p.manager.lease_op(at).filter(|_| !p.lease_pending);
        let assignment = p
            .manager
            .assignment_op(at)
            .filter(|_| !p.assignment_pending);
        let fence = p.manager.fence_op(at).filter(|_| !p.fence_pending);
        if let Some(op) = assignment.as_ref().filter(|_| announces_writes) {
            p.manager.on_assignment_sent(at, op);
        }
        p.lease_pending |= lease.is_some();
        p.assignment_pending |= assignment.is_some();
        p.fence_pending |= fence.is_some();
        if let Some(op) = lease {
            let op = self.apply_epoch_rule(op);
            self.send(i, Request::Lease(op));
        }
        if let Some(op) = assignment {
            self.send(i, Request::Assignment(op));
        }
        if let Some((machine, op)) = fence {
            self.send(i, Request::Fence(machine, op));
        }
    }

    pub(super) fn apply_epoch_rule(&self, op: StoreOp<Lease>) -> StoreOp<Lease> {
        if self.disabled_rule != Some(Rule::WriteBeforeGranting) {
            return op;
        }
        match op {
            StoreOp::Replace(mut stored) => {
                stored.value.epoch = 1;
                StoreOp::Replace(stored)
            }
            other => other,
        }
    }

    fn peer_states(&self, i: usize) -> Vec<(MachineName, PeerState)> {
        let now = self.clock(i);
        let mut peers = Vec::new();
        for (j, m) in self.machines.iter().enumerate() {
            let Some(other) = m.process.as_ref().filter(|_| j != i) else {
                if j != i {
                    peers.extend(self.disconnected_peer(i, j));
                }
                continue;
            };
            let (connected, since) = self.connected[i][j];
            if !connected {
                peers.extend(self.disconnected_peer(i, j));
                continue;
            }
            let since = Duration::from_secs_f64((self.now - since).max(0.0) / 1e3);
            peers.push((
                m.name.clone(),
                PeerState {
                    connected: true,
                    link_changed_at: now - since,
                    incarnation: other.manager.available_incarnation().cloned(),
                    lease: other.manager.lease().cloned(),
                    lease_received_at: now,
                    utilization: 0.3,
                    cold: false,
                },
            ));
        }
        peers
    }

    fn disconnected_peer(&self, i: usize, j: usize) -> Option<(MachineName, PeerState)> {
        let now = self.clock(i);
        let (_, since) = self.connected[i][j];
        let since = Duration::from_secs_f64((self.now - since).max(0.0) / 1e3);
        Some((
            self.machines[j].name.clone(),
            PeerState {
                connected: false,
                link_changed_at: now - since,
                incarnation: None,
                lease: None,
                lease_received_at: now,
                utilization: 0.0,
                cold: false,
            },
        ))
    }

    fn peer_assignments(&self, i: usize) -> Vec<Versioned<Assignment>> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(j, _)| self.connected[i][*j].0)
            .filter_map(|(_, m)| m.process.as_ref()?.manager.assignment().cloned())
            .collect()
    }

    /// Returns the latest era that a connected process shows.
    fn peer_era(&self, i: usize) -> Option<StoreEra> {
        let connected = self.machines.iter().enumerate();
        let connected = connected.filter(|(j, _)| self.connected[i][*j].0);
        let managers = connected.filter_map(|(_, m)| Some(&m.process.as_ref()?.manager));
        managers
            .flat_map(|m| {
                [
                    m.lease().map(|l| l.revision),
                    m.assignment().map(|a| a.revision),
                ]
            })
            .flatten()
            .map(|r| r.era())
            .max()
    }

    fn process_number(&self, i: usize) -> Option<u64> {
        Some(self.machines[i].process.as_ref()?.number)
    }

    /// Sends the claim of a process to the connected ones that do not have it.
    fn send_claims(&mut self, i: usize) {
        let at = self.clock(i);
        let claim = self.claim(i, at);
        for j in 0..self.machines.len() {
            let number = self.process_number(j).filter(|_| self.connected[i][j].0);
            let Some(p) = &mut self.machines[i].process else {
                return;
            };
            let Some(number) = number else {
                p.sent_claims.remove(&j);
                continue;
            };
            let (Some(claim), Some(era)) = (&claim, p.era) else {
                continue;
            };
            let sent = (number, claim.clone());
            if p.sent_claims.get(&j) == Some(&sent) {
                continue;
            }
            p.sent_claims.insert(j, sent);
            let sender = self.machines[i].name.clone();
            let delay = match self.rng.random_bool(0.1) {
                true => self.rng.random_range(0.0..1_500.0),
                false => self.rng.random_range(0.0..60.0),
            };
            self.pending_claims.push(PendingClaim {
                recipient: j,
                process: number,
                sender,
                era,
                claim: claim.clone(),
                arrives_at: self.now + delay,
            });
        }
    }

    /// Returns the claim that a process sends, or a wrong one if the rule is disabled.
    fn claim(&self, i: usize, at: BootInstant) -> Option<KeyClaim> {
        let p = self.machines[i].process.as_ref()?;
        let claim = p.manager.key_claim(at);
        if claim.is_some() || self.disabled_rule != Some(Rule::ClaimWithValidLease) {
            return claim;
        }
        let lease = p
            .manager
            .lease()
            .filter(|l| Some(l.revision.era()) == p.era)?;
        let holder = Holder {
            epoch: lease.value.epoch,
            incarnation: p.manager.available_incarnation()?.clone(),
        };
        let spans = p.earlier_keys.clone();
        (!spans.is_empty()).then_some(KeyClaim { holder, spans })
    }

    /// Delivers the claims that have arrived at running processes.
    pub(super) fn deliver_claims(&mut self) {
        for pending in std::mem::take(&mut self.pending_claims) {
            let i = pending.recipient;
            if self.process_number(i) != Some(pending.process) {
                continue;
            }
            if pending.arrives_at > self.now || !self.is_process_running(i) {
                self.pending_claims.push(pending);
                continue;
            }
            self.learn_era(i, pending.era);
            if let Some(p) = &mut self.machines[i].process {
                p.manager
                    .on_claim(pending.sender, pending.era, pending.claim);
            }
        }
    }
}
