//! Witnesses are chosen so that a failing zone or a network partition between regions does not
//! take them together with their coordinator.

use std::time::Duration;

use ownership::coordinator::Coordinator;
use ownership::heartbeat::{CoordinatorRef, Request};
use ownership::timing::Timing;
use rstest::rstest;
use world::instant::BootInstant;
use world::key::Term;
use world::machine::{Incarnation, Machine};
use world::name::{CellName, MachineName, RegionName, ZoneName};

fn machine(name: &str, region: &str, zone: &str) -> Machine {
    let address = "127.0.0.1:1".parse().expect("address");
    Machine {
        name: MachineName::new(name),
        incarnation: Incarnation(1),
        region: RegionName::new(region),
        zone: ZoneName::new(zone),
        peer_address: address,
        traffic_address: address,
        caller_address: address,
        back_end: None,
        leaving: false,
    }
}

fn heartbeat(machine: Machine) -> Request {
    Request {
        cell: CellName::new("maroc"),
        term: Term(1),
        machine,
        revision: 0,
        route_version: 0,
        lists_version: 0,
        former_holdings: Vec::new(),
        released: Vec::new(),
        loads: Vec::new(),
    }
}

/// Returns the zones of the witnesses that the first machine chooses; machines are given as region
/// and zone.
fn chosen_zones(places: &[(&str, &str)]) -> Vec<String> {
    let machines: Vec<Machine> = places
        .iter()
        .enumerate()
        .map(|(number, (region, zone))| machine(&format!("m{number}"), region, zone))
        .collect();
    let me = CoordinatorRef {
        term: Term(1),
        name: machines[0].name.clone(),
        address: machines[0].peer_address,
    };
    let now = BootInstant::from_millis(1_000);
    let mut coordinator = Coordinator::new(Timing::default(), me, now, now);
    for machine in &machines {
        let until = now + Duration::from_secs(60);
        coordinator.on_heartbeat(now, until, 1, &heartbeat(machine.clone()));
    }
    let witnesses = coordinator.choose_witnesses(&[]);
    let zone = |name: &MachineName| {
        let machine = machines.iter().find(|m| m.name == *name);
        machine.map(|m| m.zone.to_string()).unwrap_or_default()
    };
    witnesses.iter().map(|w| zone(&w.name)).collect()
}

#[rstest]
#[case::two_regions(
    &[("n", "na"), ("n", "na"), ("n", "nb"), ("n", "nb"), ("s", "sa"), ("s", "sb")],
    &["nb", "sa", "sb"]
)]
#[case::five_zones(
    &[("n", "na"), ("n", "nb"), ("n", "nb"), ("n", "nc"), ("s", "sa"), ("s", "sb")],
    &["nb", "nc", "sa"]
)]
#[case::three_zones(
    &[("n", "na"), ("n", "na"), ("n", "nb"), ("n", "nb"), ("n", "nc")],
    &["nb", "nb", "nc"]
)]
#[case::one_zone_a_region(&[("n", "na"), ("n", "na"), ("s", "sa"), ("s", "sa")], &["na", "sa", "sa"])]
#[case::one_zone(&[("n", "na"), ("n", "na"), ("n", "na")], &["na", "na"])]
#[case::two_machines(&[("n", "na"), ("n", "nb")], &["nb"])]
#[case::alone(&[("n", "na")], &[])]
fn witnesses_are_in_other_zones(#[case] places: &[(&str, &str)], #[case] zones: &[&str]) {
    let mut chosen = chosen_zones(places);
    chosen.sort();
    assert_eq!(chosen, zones);
}
