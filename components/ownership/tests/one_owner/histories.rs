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
