//! Eras of the store: who is assigned which keys after the store has been restored from a snapshot.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rstest::rstest;
use shards::assignment::{Assignment, Holder};
use shards::incarnation::BackEndIncarnation;
use shards::key_report::{HeldKeys, KeyReport, ReleasedKeys};
use shards::lease::Lease;
use shards::manager::{
    PeerState, ShardManager, StoreOp, StoreOutcome, Timing, Versioned, with_drift,
};
use shards::revision::{Revision, StoreEra};
use shards::span::ALL;
use world::instant::BootInstant;
use world::name::MachineName;

const START: BootInstant = BootInstant::from_millis(1_000_000);
/// When all keys are assigned and all leases begin; the machine with the last rank waits for 96 s.
const SETTLED: BootInstant = BootInstant::from_millis(1_120_000);
/// Time until the store is restored from a snapshot, within the leases.
const UPTIME: Duration = Duration::from_secs(2);

fn era(number: u64) -> StoreEra {
    StoreEra::new(number).expect("a small number")
}

fn machine(index: usize) -> MachineName {
    MachineName::new(&format!("m{index:03}"))
}

fn incarnation(index: usize) -> BackEndIncarnation {
    BackEndIncarnation {
        id: format!("i-{index}"),
        born: 1,
    }
}

fn report(index: usize, sequence: u64) -> KeyReport {
    KeyReport {
        incarnation: incarnation(index),
        sequence,
        draining: false,
        held_keys: Vec::new(),
        released_keys: Vec::new(),
    }
}

/// Machines of one service and the assignment object of each era.
struct Cluster {
    managers: Vec<ShardManager>,
    store: BTreeMap<StoreEra, Versioned<Assignment>>,
    number: u64,
    calls: usize,
}

impl Cluster {
    /// Starts machines that hold all keys under leases of the era.
    fn start(count: usize, first: StoreEra) -> Self {
        let mut cluster = Self {
            managers: (0..count).map(|i| started(i, true)).collect(),
            store: BTreeMap::new(),
            number: 100,
            calls: 0,
        };
        cluster.begin_era(START, first);
        cluster.renew_leases(SETTLED);
        cluster.settle(SETTLED);
        cluster
    }

    /// Lets all machines learn of an era and acquire their leases of it.
    fn begin_era(&mut self, now: BootInstant, next: StoreEra) {
        for manager in &mut self.managers {
            manager.on_era(now, next);
        }
        self.renew_leases(now);
    }

    fn renew_leases(&mut self, now: BootInstant) {
        for index in 0..self.managers.len() {
            self.renew_lease(index, now);
        }
    }

    fn renew_lease(&mut self, index: usize, now: BootInstant) {
        let manager = &mut self.managers[index];
        let known = manager.lease().map(|l| l.value);
        let value = known.map_or_else(|| Lease::default().next_epoch(), Lease::renewed);
        self.number += 1;
        let revision = Revision::new(manager.era(), self.number).expect("few revisions");
        let op = match manager.lease() {
            None => StoreOp::Create(value),
            Some(l) => StoreOp::Replace(Versioned { value, ..l.clone() }),
        };
        let outcome = StoreOutcome::Done(Versioned { revision, value });
        manager.on_lease_outcome(now, manager.era(), &op, outcome);
    }

    fn connect_all(&mut self, now: BootInstant) {
        let states: Vec<PeerState> = (0..self.managers.len())
            .map(|i| PeerState {
                connected: true,
                link_changed_at: START,
                incarnation: self.managers[i].available_incarnation().cloned(),
                lease: self.managers[i].lease().cloned(),
                lease_received_at: now,
                utilization: 0.0,
                cold: false,
            })
            .collect();
        for manager in &mut self.managers {
            for (i, state) in states.iter().enumerate() {
                manager.set_peer(machine(i), state.clone());
            }
        }
    }

    fn send_claims(&mut self, now: BootInstant) {
        for index in 0..self.managers.len() {
            let Some(claim) = self.managers[index].key_claim(now) else {
                continue;
            };
            let current = self.managers[index].era();
            for other in &mut self.managers {
                other.on_claim(machine(index), current, claim.clone());
            }
        }
    }

    /// Executes the operations that the machines want at `now`, until none is left. All of a round are
    /// on their way before the first response, and what one writes reaches the others after the round.
    fn settle(&mut self, now: BootInstant) {
        let mut rng = StdRng::seed_from_u64(1);
        loop {
            self.connect_all(now);
            self.send_claims(now);
            let mut round: Vec<_> = self
                .managers
                .iter()
                .enumerate()
                .filter_map(|(i, m)| Some((i, m.assignment_op(now)?)))
                .collect();
            if round.is_empty() {
                return;
            }
            round.shuffle(&mut rng);
            for (index, op) in round {
                self.managers[index].on_assignment_sent(now, &op);
                let current = self.managers[index].era();
                let outcome = self.execute(current, &op);
                self.managers[index].on_assignment_outcome(current, &op, outcome);
            }
            for manager in &mut self.managers {
                if let Some(stored) = self.store.get(&manager.era()) {
                    manager.on_assignment(stored.clone());
                }
            }
        }
    }

    fn execute(&mut self, current: StoreEra, op: &StoreOp<Assignment>) -> StoreOutcome<Assignment> {
        let found = self.store.get(&current).cloned();
        let value = match (op, found) {
            (StoreOp::Read, Some(found)) => return StoreOutcome::Done(found),
            (StoreOp::Read | StoreOp::Replace(_), None) => return StoreOutcome::Absent,
            (StoreOp::Create(_), Some(found)) => {
                self.calls += 1;
                return StoreOutcome::Conflict(Some(found));
            }
            (StoreOp::Replace(written), Some(found)) if written.revision != found.revision => {
                self.calls += 1;
                return StoreOutcome::Conflict(Some(found));
            }
            (StoreOp::Create(value), None) => value,
            (StoreOp::Replace(written), Some(_)) => &written.value,
        };
        self.calls += 1;
        self.number += 1;
        let stored = Versioned {
            revision: Revision::new(current, self.number).expect("few revisions"),
            value: value.clone(),
        };
        assert!(stored.value.is_valid(), "{value:?}");
        self.store.insert(current, stored.clone());
        StoreOutcome::Done(stored)
    }

    fn assignment(&self, current: StoreEra) -> &Assignment {
        &self.store[&current].value
    }

    fn grants(&mut self, index: usize, now: BootInstant) -> Vec<u64> {
        let next = report(index, now.since(START).as_millis() as u64 + 10);
        let reply = self.managers[index].on_report(now, &next);
        let grants = reply.map(|r| r.grants).unwrap_or_default();
        grants.iter().map(|g| g.fence).collect()
    }
}

/// Returns a machine whose back end has reported.
fn started(index: usize, first_start: bool) -> ShardManager {
    let manager = ShardManager::new(machine(index), Timing::default(), START);
    let mut manager = manager.with_first_start(first_start);
    let _ = manager.on_report(START, &report(index, 1));
    manager
}

fn owner(assignment: &Assignment, key: u16) -> Option<MachineName> {
    let range = assignment.range(key)?;
    assignment
        .is_confirmed(range)
        .then(|| range.machine.clone())
}

fn all_confirmed(assignment: &Assignment) -> bool {
    assignment.unconfirmed().next().is_none()
}

/// Guards against a time without holders in every drill, and against a write for each machine.
#[rstest]
#[case(4)]
#[case(41)]
#[case(137)]
fn machines_keep_their_keys_at_once_and_with_few_calls(#[case] count: usize) {
    let mut cluster = Cluster::start(count, era(1));
    let before = cluster.assignment(era(1)).clone();
    assert!(all_confirmed(&before));
    let now = SETTLED + UPTIME;
    cluster.begin_era(now, era(2));
    cluster.calls = 0;
    cluster.settle(now + Duration::from_millis(300));
    let after = cluster.assignment(era(2)).clone();
    assert!(all_confirmed(&after));
    for key in (0..=u16::MAX).step_by(97) {
        assert_eq!(owner(&after, key), owner(&before, key), "key {key}");
    }
    assert!(cluster.calls <= 3, "{} writes and conflicts", cluster.calls);
    let at = now + Duration::from_millis(400);
    for index in 0..count {
        let fences = cluster.grants(index, at);
        assert!(!fences.is_empty(), "machine {index} grants nothing");
        assert!(fences.iter().all(|f| StoreEra::of_fence(*f) == era(2)));
    }
}

/// Guards against grants by a lease or an assignment that the store has forgotten.
#[test]
fn nothing_is_granted_by_an_earlier_era() {
    let mut cluster = Cluster::start(2, era(1));
    let now = SETTLED + UPTIME;
    assert!(!cluster.grants(0, now).is_empty());
    cluster.managers[0].on_era(now, era(2));
    assert!(
        cluster
            .grants(0, now + Duration::from_millis(100))
            .is_empty()
    );
    cluster.renew_lease(0, now);
    let earlier = cluster.store[&era(1)].clone();
    assert!(!cluster.managers[0].on_assignment(earlier));
    assert!(
        cluster
            .grants(0, now + Duration::from_millis(200))
            .is_empty()
    );
}

/// Guards against the outcome of a renewal that was sent before the store came back.
#[test]
fn an_outcome_of_an_earlier_era_renews_nothing() {
    let mut cluster = Cluster::start(2, era(1));
    let now = SETTLED + UPTIME;
    let manager = &mut cluster.managers[0];
    let lease = manager.lease().expect("a lease of the first era").clone();
    let op = StoreOp::Replace(lease.clone());
    manager.on_era(now, era(2));
    manager.on_lease_outcome(now, era(1), &op, StoreOutcome::Done(lease));
    assert_eq!(manager.lease(), None);
}

/// Guards against two holders: a machine without memory took the keys that the store stated for it,
/// while others had them since the lost seconds.
#[test]
fn a_restarted_machine_waits_until_every_earlier_lease_has_expired() {
    let mut cluster = Cluster::start(3, era(1));
    let now = SETTLED + UPTIME;
    cluster.managers[1] = started(1, false);
    cluster.begin_era(now, era(2));
    cluster.settle(now + Duration::from_millis(300));
    let early = cluster.assignment(era(2)).clone();
    let unconfirmed: Vec<_> = early.unconfirmed().cloned().collect();
    assert!(!unconfirmed.is_empty());
    assert!(unconfirmed.iter().all(|r| r.machine == machine(1)));
    let expired = now + with_drift(Timing::default().lease);
    cluster.renew_leases(expired);
    cluster.settle(expired - Duration::from_millis(1));
    assert!(!all_confirmed(cluster.assignment(era(2))));
    cluster.settle(expired + Duration::from_secs(3));
    let late = cluster.assignment(era(2));
    assert!(all_confirmed(late));
    for range in &unconfirmed {
        assert_eq!(owner(late, range.span.from), Some(machine(1)));
    }
}

/// Guards against two holders: a machine claimed keys by a lease that had run out, and had been fenced.
#[test]
fn a_machine_without_a_valid_lease_claims_nothing() {
    let mut cluster = Cluster::start(2, era(1));
    let now = SETTLED + Timing::default().lease;
    cluster.begin_era(now, era(2));
    cluster.settle(now + Duration::from_secs(1));
    let carried = cluster.assignment(era(2));
    assert_eq!(carried.unconfirmed().count(), carried.ranges.len());
}

/// Guards against logs that do not tell why a machine claims no keys.
#[rstest]
#[case(0, 65_536, 8_000)]
#[case(2_000, 65_536, 6_000)]
#[case(8_000, 0, 0)]
fn a_machine_states_its_carried_keys_and_what_is_left_of_their_lease(
    #[case] uptime_ms: u64,
    #[case] keys: u32,
    #[case] lease_left_ms: u64,
) {
    let mut cluster = Cluster::start(1, era(1));
    let now = SETTLED + Duration::from_millis(uptime_ms);
    let manager = &mut cluster.managers[0];
    manager.on_era(now, era(2));
    assert_eq!(manager.carried_keys(), keys);
    assert_eq!(
        manager.carried_lease_left(now),
        Duration::from_millis(lease_left_ms)
    );
}

/// Returns machines of the first era of which the first one is sending its keys' handover.
fn cluster_with_handover(now: BootInstant) -> (Cluster, StoreOp<Assignment>) {
    let mut cluster = Cluster::start(2, era(1));
    cluster.connect_all(now);
    let manager = &mut cluster.managers[0];
    let draining = KeyReport {
        draining: true,
        ..report(0, 500_000)
    };
    let _ = manager.on_report(now, &draining);
    let released = KeyReport {
        released_keys: vec![ReleasedKeys {
            span: ALL,
            handover: String::new(),
        }],
        sequence: draining.sequence + 1,
        ..draining
    };
    let _ = manager.on_report(now, &released);
    let op = manager
        .assignment_op(now)
        .expect("the keys are handed over");
    manager.on_assignment_sent(now, &op);
    (cluster, op)
}

/// Guards against two holders: keys whose handover had no outcome were claimed by both sides.
#[rstest]
#[case(StoreOutcome::Unknown, false)]
#[case(StoreOutcome::Refused, true)]
fn keys_handed_over_without_an_outcome_are_not_claimed(
    #[case] outcome: StoreOutcome<Assignment>,
    #[case] is_claimed: bool,
) {
    let now = SETTLED + UPTIME;
    let (mut cluster, op) = cluster_with_handover(now);
    let manager = &mut cluster.managers[0];
    manager.on_assignment_outcome(era(1), &op, outcome);
    manager.on_era(now, era(2));
    cluster.renew_lease(0, now);
    let claim = cluster.managers[0].key_claim(now);
    assert_eq!(claim.is_some(), is_claimed);
}

/// Guards against keys without a holder for 8 s: the store refused their handover, in the response that told
/// of the new era, and nobody claimed them.
#[rstest]
#[case::refused(StoreOutcome::Refused, true)]
#[case::conflict(StoreOutcome::Conflict(None), true)]
#[case::absent(StoreOutcome::Absent, true)]
#[case::unknown(StoreOutcome::Unknown, false)]
fn keys_whose_handover_is_refused_after_the_return_are_claimed(
    #[case] outcome: StoreOutcome<Assignment>,
    #[case] is_claimed: bool,
) {
    let now = SETTLED + UPTIME;
    let (mut cluster, op) = cluster_with_handover(now);
    cluster.managers[0].on_era(now, era(2));
    cluster.renew_lease(0, now);
    assert_eq!(cluster.managers[0].key_claim(now), None);
    let manager = &mut cluster.managers[0];
    manager.on_assignment_outcome(era(1), &op, outcome);
    let claim = manager.key_claim(now);
    assert_eq!(claim.is_some(), is_claimed);
}

/// Guards against two holders: a refusal gave back keys that an earlier write without an outcome may have
/// handed over.
#[test]
fn a_refusal_after_the_return_leaves_earlier_handovers_unsettled() {
    let now = SETTLED + UPTIME;
    let (mut cluster, op) = cluster_with_handover(now);
    let manager = &mut cluster.managers[0];
    manager.on_assignment_outcome(era(1), &op, StoreOutcome::Unknown);
    manager.on_assignment_sent(now, &op);
    manager.on_era(now, era(2));
    cluster.renew_lease(0, now);
    let manager = &mut cluster.managers[0];
    manager.on_assignment_outcome(era(1), &op, StoreOutcome::Refused);
    assert_eq!(manager.key_claim(now), None);
}

/// Guards against two holders: a refusal that came late gave back keys that had been assigned since.
#[test]
fn a_refusal_gives_back_no_keys_that_were_assigned_in_the_era() {
    let now = SETTLED + UPTIME;
    let (mut cluster, op) = cluster_with_handover(now);
    cluster.begin_era(now, era(2));
    let expired = now + with_drift(Timing::default().lease) + Duration::from_secs(3);
    cluster.renew_leases(expired);
    cluster.settle(expired);
    assert!(all_confirmed(cluster.assignment(era(2))));
    let manager = &mut cluster.managers[0];
    manager.on_assignment_outcome(era(1), &op, StoreOutcome::Refused);
    assert_eq!(manager.key_claim(expired), None);
    assert_eq!(manager.carried_keys(), 0);
}

/// Guards against two holders: a refusal gave back keys that may have been assigned between two returns.
#[test]
fn a_refusal_after_a_second_return_gives_nothing_back() {
    let now = SETTLED + UPTIME;
    let (mut cluster, op) = cluster_with_handover(now);
    let manager = &mut cluster.managers[0];
    manager.on_era(now, era(2));
    manager.on_era(now, era(3));
    cluster.renew_lease(0, now);
    let manager = &mut cluster.managers[0];
    manager.on_assignment_outcome(era(1), &op, StoreOutcome::Refused);
    assert_eq!(manager.key_claim(now), None);
}

/// Guards against a claim that rests on a lease of two eras ago: somebody may have been assigned the
/// keys in between.
#[rstest]
#[case(Duration::from_secs(1), true)]
#[case(Duration::from_secs(9), false)]
fn a_claim_lasts_over_a_second_return_only_as_long_as_its_lease(
    #[case] between: Duration,
    #[case] is_claimed: bool,
) {
    let mut cluster = Cluster::start(2, era(1));
    let now = SETTLED + UPTIME;
    let manager = &mut cluster.managers[0];
    manager.on_era(now, era(2));
    manager.on_era(now + between, era(3));
    cluster.renew_lease(0, now + between);
    let claim = cluster.managers[0].key_claim(now + between);
    assert_eq!(claim.is_some(), is_claimed);
}

/// Guards against a wait at the first start of the system, against none at a later one, and against
/// two holders when a machine that was cut off at the first start reads a later era first.
#[rstest]
#[case(true, Duration::from_millis(1_200), true)]
#[case(true, Duration::from_millis(1_201), false)]
#[case(false, Duration::ZERO, false)]
fn only_the_first_start_of_the_system_assigns_keys_at_once(
    #[case] first_start: bool,
    #[case] known_after: Duration,
    #[case] at_once: bool,
) {
    let mut cluster = Cluster {
        managers: (0..2).map(|i| started(i, first_start)).collect(),
        store: BTreeMap::new(),
        number: 100,
        calls: 0,
    };
    cluster.begin_era(START + known_after, era(1));
    cluster.settle(START + Duration::from_secs(3));
    assert_eq!(all_confirmed(cluster.assignment(era(1))), at_once);
}

/// Guards against a peer whose lease of an earlier era registers it in this one.
#[test]
fn a_lease_of_an_earlier_era_registers_nobody() {
    let mut cluster = Cluster::start(2, era(1));
    let now = SETTLED + UPTIME;
    cluster.connect_all(now);
    cluster.managers[0].on_era(now, era(2));
    cluster.renew_lease(0, now);
    let at = now + Duration::from_millis(300);
    let manager = &mut cluster.managers[0];
    manager.on_assignment_outcome(era(2), &StoreOp::Read, StoreOutcome::Absent);
    let Some(StoreOp::Create(first)) = manager.assignment_op(at) else {
        panic!("the first assignment of the era is written");
    };
    let entry = |index: usize| first.holders.get(&machine(index)).map(|h: &Holder| h.epoch);
    assert_eq!(entry(0), Some(1));
    assert_eq!(entry(1), Some(0));
}

/// Guards against a handover record that is sent for keys that the back end has held all along.
#[test]
fn claimed_keys_have_no_handover_record() {
    let mut cluster = Cluster::start(1, era(1));
    let now = SETTLED + UPTIME;
    cluster.begin_era(now, era(2));
    cluster.settle(now + Duration::from_millis(300));
    let held = HeldKeys {
        span: ALL,
        fence: 1,
    };
    let holding = KeyReport {
        held_keys: vec![held],
        ..report(0, 900_000)
    };
    let reply = cluster.managers[0].on_report(now + Duration::from_millis(400), &holding);
    let grants = reply.expect("it holds every key").grants;
    assert!(grants.iter().all(|g| g.handover.is_empty()));
}

/// Guards against an era without an assignment while all back ends of the service leave: they were not
/// granted their keys to the end.
#[test]
fn keys_of_back_ends_that_all_leave_are_carried_into_an_era() {
    let mut cluster = Cluster::start(2, era(1));
    let before = cluster.assignment(era(1)).clone();
    let now = SETTLED + UPTIME;
    for index in 0..2 {
        let draining = KeyReport {
            draining: true,
            ..report(index, 500_000)
        };
        let _ = cluster.managers[index].on_report(now, &draining);
    }
    cluster.begin_era(now, era(2));
    cluster.settle(now + Duration::from_secs(1));
    let after = cluster.assignment(era(2)).clone();
    assert!(all_confirmed(&after));
    assert_eq!(owner(&after, 0), owner(&before, 0));
    assert_eq!(owner(&after, u16::MAX), owner(&before, u16::MAX));
}

/// Guards against an even split of all keys by a machine that knows none, before the others claim theirs.
#[test]
fn a_machine_without_memory_lets_those_with_claims_write_first() {
    let mut cluster = Cluster::start(2, era(1));
    let before = cluster.assignment(era(1)).clone();
    let now = SETTLED + UPTIME;
    cluster.managers[0] = started(0, false);
    cluster.begin_era(now, era(2));
    cluster.settle(now + Duration::from_millis(300));
    assert!(!cluster.store.contains_key(&era(2)));
    cluster.settle(now + Duration::from_millis(1_000));
    let after = cluster.assignment(era(2));
    assert_eq!(owner(after, u16::MAX), owner(&before, u16::MAX));
    let stated = after.range(0).map(|r| &r.machine);
    assert_eq!(stated, before.range(0).map(|r| &r.machine));
}

/// Guards against two holders: a process that had just started claimed keys by the entry of the one before
/// it, a late write of which could still hand them over.
#[test]
fn a_process_that_has_not_registered_claims_nothing() {
    let mut cluster = Cluster::start(2, era(1));
    let now = SETTLED + UPTIME;
    let stored = cluster.store[&era(1)].clone();
    let mut restarted = started(0, false);
    restarted.on_era(now, era(1));
    assert!(restarted.on_assignment(stored));
    let second = Lease::default().next_epoch().next_epoch();
    let revision = Revision::new(era(1), 900).expect("few revisions");
    let op = StoreOp::Create(second);
    let created = StoreOutcome::Done(Versioned {
        revision,
        value: second,
    });
    restarted.on_lease_outcome(now, era(1), &op, created);
    restarted.on_era(now, era(2));
    cluster.managers[0] = restarted;
    cluster.renew_lease(0, now);
    assert_eq!(cluster.managers[0].key_claim(now), None);
}
