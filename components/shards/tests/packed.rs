//! Encoding of stored assignments.

use std::collections::BTreeMap;

use serde_json::json;
use shards::assignment::{Assignment, Holder};
use shards::incarnation::BackEndIncarnation;
use shards::release::ReleasedSpan;
use shards::span::Span;
use world::name::MachineName;

fn machine(n: usize) -> MachineName {
    MachineName::new(&format!("sidecar-olsztyn-b-{n:02}"))
}

fn assignment(machines: usize) -> Assignment {
    let holders: BTreeMap<_, _> = (0..machines)
        .map(|n| {
            let incarnation = BackEndIncarnation {
                id: format!("i-{n:010x}"),
                born: 1_764_806_400_000,
            };
            (
                machine(n),
                Holder {
                    epoch: 7,
                    incarnation,
                },
            )
        })
        .collect();
    Assignment::new(holders).expect("some holders")
}

/// Moves `count` scattered spans between the machines, as rebalancing does.
fn scatter(assignment: &mut Assignment, count: u16) {
    for n in 0..count {
        let from = n.wrapping_mul(7_919) & 0xfff0;
        let released = ReleasedSpan {
            span: Span::new(from, from + 15).expect("in order"),
            handover: format!("{n:016x}"),
        };
        let owner = assignment.range(from).expect("all keys").machine.clone();
        let to = machine(usize::from(n) % assignment.holders.len());
        assignment.transfer(&owner, &released, &to);
    }
}

#[test]
fn decodes_what_it_encodes() {
    let mut before = assignment(29);
    scatter(&mut before, 600);
    let text = serde_json::to_string(&before).expect("assignment is encoded");
    let after: Assignment = serde_json::from_str(&text).expect("assignment is decoded");
    assert!(after.is_valid());
    assert_eq!(before, after);
}

#[test]
fn a_range_takes_less_than_fifty_bytes() {
    let mut assignment = assignment(29);
    scatter(&mut assignment, 600);
    let count = assignment.ranges.len();
    assert!(count > 500);
    let text = serde_json::to_string(&assignment).expect("assignment is encoded");
    assert!(
        text.len() < count * 50,
        "{} bytes, {count} ranges",
        text.len()
    );
}

#[test]
fn errors_on_invalid_rows() {
    let holder = json!({"epoch": 1, "life": {"id": "i", "born": 1}});
    for rows in [
        json!([[1, 65_535, 1, ""]]),
        json!([[0, 9, 1, ""], [0, 9, 1, ""]]),
        json!([[0, 65_535, 1, ""], [0, 65_535, 1, ""]]),
    ] {
        let text = json!({"fence": 1, "holders": {"m": holder}, "ranges": rows}).to_string();
        assert!(serde_json::from_str::<Assignment>(&text).is_err(), "{text}");
    }
}

#[test]
fn ranges_of_a_back_end_that_starts_again_are_merged() {
    let mut assignment = assignment(2);
    scatter(&mut assignment, 600);
    let own = machine(0);
    let before = assignment.owned(&own).count();
    let next = Holder {
        epoch: 8,
        incarnation: BackEndIncarnation {
            id: "i-0".to_owned(),
            born: 1_764_806_500_000,
        },
    };
    assignment.set_holder(&own, next);
    assignment.merge_neighbours();
    assert!(assignment.is_valid());
    assert!(assignment.owned(&own).count() < before);
}
