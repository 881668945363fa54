//! All machines restart at once, as after a loss of power: each needs its new epoch and back end in
//! the one stored assignment, and all write at the same time.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use shards::assignment::{Assignment, Holder};
use shards::incarnation::BackEndIncarnation;
use shards::key_report::KeyReport;
use shards::lease::Lease;
use shards::manager::{PeerState, ShardManager, StoreOp, StoreOutcome, Timing, Versioned};
use shards::revision::{Revision, StoreEra};
use world::instant::BootInstant;
use world::name::MachineName;

const START: BootInstant = BootInstant::from_millis(1_000_000);
const LEASE_REVISION: u32 = 3;

fn machine(index: usize) -> MachineName {
    MachineName::new(&format!("m{index:03}"))
}

fn holder(index: usize, run: u64) -> Holder {
    Holder {
        epoch: run,
        incarnation: BackEndIncarnation {
            id: format!("i-{index}-{run}"),
            born: run,
        },
    }
}

fn lease(run: u64) -> Versioned<Lease> {
    let mut value = Lease::default();
    for _ in 0..run {
        value = value.next_epoch();
    }
    let revision = LEASE_REVISION.into();
    Versioned { revision, value }
}

/// Returns the revision after another one.
fn next(revision: Revision) -> Revision {
    Revision::new(revision.era(), revision.number() + 1).expect("few revisions")
}

/// The object of the store, and the calls on it.
struct Store {
    assignment: Versioned<Assignment>,
    writes: usize,
    conflicts: usize,
}

impl Store {
    fn execute(&mut self, op: &StoreOp<Assignment>) -> StoreOutcome<Assignment> {
        if let StoreOp::Replace(written) = op {
            if written.revision != self.assignment.revision {
                self.conflicts += 1;
                return StoreOutcome::Conflict(Some(self.assignment.clone()));
            }
            self.writes += 1;
            self.assignment = Versioned {
                revision: next(written.revision),
                value: written.value.clone(),
            };
        }
        StoreOutcome::Done(self.assignment.clone())
    }
}

/// Returns the manager of a machine in its second run, which knows the lease and the back end of
/// every other one.
fn restarted(index: usize, count: usize, assignment: &Versioned<Assignment>) -> ShardManager {
    let mut manager = ShardManager::new(machine(index), Timing::default(), START);
    let report = KeyReport {
        incarnation: holder(index, 2).incarnation,
        sequence: 1,
        draining: false,
        held_keys: Vec::new(),
        released_keys: Vec::new(),
    };
    let _ = manager.on_report(START, &report);
    let own = lease(2);
    let op = StoreOp::Replace(own.clone());
    manager.on_lease_outcome(START, StoreEra::FIRST, &op, StoreOutcome::Done(own));
    for other in (0..count).filter(|i| *i != index) {
        let state = PeerState {
            connected: true,
            link_changed_at: START,
            incarnation: Some(holder(other, 2).incarnation),
            lease: Some(lease(2)),
            lease_received_at: START,
            utilization: 0.0,
            cold: false,
        };
        manager.set_peer(machine(other), state);
    }
    manager.on_assignment(assignment.clone());
    // A process reads the assignment once before it writes.
    let read = StoreOp::Read;
    manager.on_assignment_outcome(
        StoreEra::FIRST,
        &read,
        StoreOutcome::Done(assignment.clone()),
    );
    manager
}

/// Guards against a conflict of every machine with every other one: the assignment was written once
/// for each machine, and each write made all others fail and write again.
#[rstest::rstest]
#[case(41)]
#[case(137)]
fn a_restart_of_all_costs_one_write_a_machine(#[case] count: usize) {
    let holders: BTreeMap<_, _> = (0..count).map(|i| (machine(i), holder(i, 1))).collect();
    let value = Assignment::new(holders).expect("there are holders");
    let revision = Revision::from(7);
    let assignment = Versioned { revision, value };
    let mut managers: Vec<ShardManager> = (0..count)
        .map(|i| restarted(i, count, &assignment))
        .collect();
    let mut store = Store {
        assignment,
        writes: 0,
        conflicts: 0,
    };
    let mut rng = StdRng::seed_from_u64(1);
    loop {
        // All requests of a round are on their way before the first response.
        let mut round: Vec<_> = managers
            .iter()
            .enumerate()
            .filter_map(|(i, m)| Some((i, m.assignment_op(START)?)))
            .collect();
        if round.is_empty() {
            break;
        }
        round.shuffle(&mut rng);
        for (index, op) in round {
            let outcome = store.execute(&op);
            managers[index].on_assignment_outcome(StoreEra::FIRST, &op, outcome);
        }
    }
    let calls = store.writes + store.conflicts;
    assert!(
        calls <= count,
        "{} writes, {} conflicts",
        store.writes,
        store.conflicts
    );
    for (index, manager) in managers.iter().enumerate() {
        let stored = store.assignment.value.holders.get(&machine(index));
        assert_eq!(stored, Some(&holder(index, 2)));
        assert!(manager.may_grant(START), "machine {index} cannot grant");
    }
}

/// Guards against the return of an earlier back end or epoch, of which a slow link still tells.
#[test]
fn an_outdated_announcement_registers_nothing() {
    let holders: BTreeMap<_, _> = (0..3).map(|i| (machine(i), holder(i, 1))).collect();
    let mut value = Assignment::new(holders).expect("there are holders");
    value.set_holder(&machine(1), holder(1, 3));
    let revision = Revision::from(7);
    let assignment = Versioned { revision, value };
    let manager = restarted(0, 3, &assignment);
    let Some(StoreOp::Replace(written)) = manager.assignment_op(START) else {
        panic!("the machine registers itself");
    };
    let holders = written.value.holders;
    assert_eq!(holders.get(&machine(0)), Some(&holder(0, 2)));
    assert_eq!(holders.get(&machine(1)), Some(&holder(1, 3)));
    assert_eq!(holders.get(&machine(2)), Some(&holder(2, 2)));
}
