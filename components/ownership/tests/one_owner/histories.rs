//! Random histories of faults.

use proptest::prelude::*;

use crate::model::{Fault, FaultKind, MACHINES, STEPS};

/// Faults, delays of messages in steps, and clock rates of the machines.
pub(super) type History = (Vec<Fault>, Vec<u64>, Vec<u64>);

fn fault() -> impl Strategy<Value = Fault> {
    let kind = prop_oneof![
        (0..MACHINES).prop_map(FaultKind::Pause),
        (0..MACHINES).prop_map(FaultKind::CutFrom),
        (0..MACHINES).prop_map(FaultKind::CutTo),
        (0..MACHINES, 0..MACHINES).prop_map(|(a, b)| FaultKind::CutPair(a, b)),
        (0..MACHINES).prop_map(FaultKind::CutStore),
        (0..MACHINES).prop_map(FaultKind::Restart),
        Just(FaultKind::StoreDown),
        Just(FaultKind::AnswersLost),
    ];
    (100..STEPS, 1u64..300, kind).prop_map(|(at_step, length, kind)| Fault {
        at_step,
        length,
        kind,
    })
}

pub(super) fn history() -> impl Strategy<Value = History> {
    (
        proptest::collection::vec(fault(), 0..14),
        proptest::collection::vec(prop_oneof![8 => 0u64..3, 1 => 3u64..60], 16..64),
        proptest::collection::vec(0u64..900, MACHINES),
    )
}

/// Histories of a store that is down for all or for some, while the first coordinator is paused,
/// restarted or cut off from some members.
pub(super) fn store_outage() -> impl Strategy<Value = History> {
    let outage = (200u64..500, 100u64..1_200, 0..=MACHINES);
    let machine = prop_oneof![3 => Just(0), 1 => 1..MACHINES];
    let trouble = (machine, 0u64..900, 20u64..500, 0u8..5, 1..MACHINES);
    let faults = (outage, proptest::collection::vec(trouble, 1..6));
    let faults = faults.prop_map(|((start, length, reach), troubles)| {
        let fault = |at_step, length, kind| Fault {
            at_step,
            length,
            kind,
        };
        let mut faults = match reach {
            MACHINES => vec![fault(start, length, FaultKind::StoreDown)],
            _ => (0..MACHINES)
                .filter(|machine| *machine != reach)
                .map(|machine| fault(start, length, FaultKind::CutStore(machine)))
                .collect(),
        };
        for (machine, delay, length, kind, other) in troubles {
            let kind = match kind {
                0 => FaultKind::Pause(machine),
                1 => FaultKind::CutFrom(machine),
                2 => FaultKind::CutTo(machine),
                3 => FaultKind::CutPair(machine, other),
                _ => FaultKind::Restart(machine),
            };
            faults.push(fault(start + delay, length, kind));
        }
        faults
    });
    (
        faults,
        proptest::collection::vec(0u64..4, 16..64),
        proptest::collection::vec(0u64..900, MACHINES),
    )
}

/// Histories around a first coordinator that is cut off from the store and from some members
/// while its witnesses may restart.
pub(super) fn cut_off_coordinator() -> impl Strategy<Value = History> {
    let start = 200u64..400;
    let pair = (1..MACHINES, 0u64..300, 200u64..900);
    let restart = (1..MACHINES, 100u64..900);
    let pause = (0..MACHINES, 0u64..900, 20u64..200);
    let faults = (
        start,
        400u64..1_400,
        any::<bool>(),
        proptest::collection::vec(pair, 1..4),
        proptest::collection::vec(restart, 0..4),
        proptest::collection::vec(pause, 0..3),
    );
    let faults = faults.prop_map(|(start, length, writes, pairs, restarts, pauses)| {
        let fault = |at_step, length, kind| Fault {
            at_step,
            length,
            kind,
        };
        let cut = if writes {
            FaultKind::CutWrites(0)
        } else {
            FaultKind::CutStore(0)
        };
        let mut faults = vec![fault(start, length, cut)];
        for (other, delay, length) in pairs {
            faults.push(fault(start + delay, length, FaultKind::CutPair(0, other)));
        }
        for (machine, delay) in restarts {
            faults.push(fault(start + delay, 1, FaultKind::Restart(machine)));
        }
        for (machine, delay, length) in pauses {
            faults.push(fault(start + delay, length, FaultKind::Pause(machine)));
        }
        faults
    });
    let delays = proptest::collection::vec(0u64..4, 16..64);
    (
        faults,
        delays,
        proptest::collection::vec(0u64..900, MACHINES),
    )
}

/// Machine that is no witness of the first coordinator, machine 0.
const OUTSIDER: usize = MACHINES - 1;

fn with_small_delays(faults: impl Strategy<Value = Vec<Fault>>) -> impl Strategy<Value = History> {
    (
        faults,
        proptest::collection::vec(0u64..4, 16..64),
        proptest::collection::vec(0u64..900, MACHINES),
    )
}

/// Histories in which a coordinator without the store keeps its witnesses, an outsider takes over,
/// and the witnesses restart after they have closed the term.
pub(super) fn restarted_witnesses() -> impl Strategy<Value = History> {
    let restarts = proptest::collection::vec((1..OUTSIDER, 60u64..500), 3..8);
    let faults = (200u64..400, restarts).prop_map(|(start, restarts)| {
        let fault = |at_step, length, kind| Fault {
            at_step,
            length,
            kind,
        };
        let mut faults = vec![
            fault(start, STEPS, FaultKind::CutStore(0)),
            fault(start, STEPS, FaultKind::CutPair(0, OUTSIDER)),
        ];
        for (machine, delay) in restarts {
            faults.push(fault(start + delay, 1, FaultKind::Restart(machine)));
        }
        faults
    });
    with_small_delays(faults)
}

/// Histories in which the coordinator is lost in an outage and two witnesses don't reach each
/// other.
pub(super) fn rival_candidates() -> impl Strategy<Value = History> {
    let rivals = prop_oneof![Just((1, 2)), Just((1, 3)), Just((2, 3))];
    let faults = (200u64..400, 0u64..100, rivals).prop_map(|(start, delay, (one, other))| {
        let fault = |at_step, kind| Fault {
            at_step,
            length: STEPS,
            kind,
        };
        vec![
            fault(start, FaultKind::StoreDown),
            fault(start, FaultKind::CutPair(one, other)),
            fault(start + delay, FaultKind::Pause(0)),
        ]
    });
    with_small_delays(faults)
}

/// Histories in which the witnesses lose the store and their coordinator, while an outsider reaches
/// only these two.
pub(super) fn split_witnesses() -> impl Strategy<Value = History> {
    let faults = (200u64..400, 0u64..100).prop_map(|(start, delay)| {
        let fault = |at_step, kind| Fault {
            at_step,
            length: STEPS,
            kind,
        };
        let mut faults = vec![fault(start + delay, FaultKind::CutStore(0))];
        for witness in 1..OUTSIDER {
            faults.push(fault(start, FaultKind::CutStore(witness)));
            faults.push(fault(start, FaultKind::CutPair(0, witness)));
            faults.push(fault(start, FaultKind::CutPair(OUTSIDER, witness)));
        }
        faults
    });
    with_small_delays(faults)
}
