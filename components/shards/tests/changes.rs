//! The difference between two assignments, applied to the first, gives the second.

use std::collections::BTreeMap;

use proptest::prelude::*;
use shards::assignment::{Assignment, Holder};
use shards::incarnation::BackEndIncarnation;
use shards::release::ReleasedSpan;
use shards::span::Span;
use world::name::MachineName;

fn machine(i: usize) -> MachineName {
    MachineName::new(&format!("m{i}"))
}

fn holder(epoch: u64) -> Holder {
    Holder {
        epoch,
        incarnation: BackEndIncarnation {
            id: "i".to_owned(),
            born: epoch,
        },
    }
}

fn initial() -> Assignment {
    let holders: BTreeMap<_, _> = (0..4).map(|i| (machine(i), holder(1))).collect();
    Assignment::new(holders).expect("four holders")
}

proptest! {
    #[test]
    fn a_change_leads_to_the_next_assignment(
        steps in proptest::collection::vec((0usize..4, 0usize..4, any::<u16>(), any::<u16>(), 0u8..8), 1..20),
    ) {
        let mut known = initial();
        known.merge_neighbours();
        for (from, to, a, b, kind) in steps {
            let mut next = known.clone();
            match kind {
                0 => next.set_holder(&machine(from), holder(next.fence + 2)),
                1 => next.remove_holder(&machine(from)),
                _ => {
                    let span = Span { from: a.min(b), to: a.max(b) };
                    let handover = if kind % 2 == 0 { String::new() } else { "h".to_owned() };
                    next.transfer(&machine(from), &ReleasedSpan { span, handover }, &machine(to));
                }
            }
            next.merge_neighbours();
            let change = known.diff(&next);
            prop_assert_eq!(&known.with_change(&change), &next);
            prop_assert!(next.is_valid());
            known = next;
        }
    }
}
