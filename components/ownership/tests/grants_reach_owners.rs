//! Every shard is eventually held by a member that received the grant, whenever grants begin and
//! whatever the members held before.

use std::collections::BTreeMap;
use std::time::Duration;

use ownership::coordinator::Coordinator;
use ownership::heartbeat::{CoordinatorRef, Reply, Request};
use ownership::table::{CUSTOMERS_SERVICE, Holding, ShardId, shard_count};
use ownership::timing::Timing;
use proptest::prelude::*;
use world::instant::BootInstant;
use world::key::{Fence, Shard, Term};
use world::machine::{Incarnation, Machine};
use world::name::{CellName, MachineName, RegionName, ServiceName, ZoneName};

const MEMBERS: usize = 3;

fn machine(number: usize) -> Machine {
    let address = "127.0.0.1:1".parse().expect("address");
    Machine {
        name: MachineName::new(&format!("m{number}")),
        incarnation: Incarnation(1),
        region: RegionName::new("nord"),
        zone: ZoneName::new("a"),
        peer_address: address,
        traffic_address: address,
        caller_address: address,
        back_end: None,
        leaving: false,
    }
}

fn heartbeat(number: usize, former_holdings: Vec<Holding>) -> Request {
    Request {
        cell: CellName::new("maroc"),
        term: Term(2),
        machine: machine(number),
        revision: 0,
        route_version: 0,
        lists_version: 0,
        former_holdings,
        released: Vec::new(),
        loads: Vec::new(),
    }
}

fn holding(shard: u16) -> Holding {
    Holding {
        id: ShardId {
            service: ServiceName::new(CUSTOMERS_SERVICE),
            shard: Shard(shard),
        },
        fence: Fence(7),
    }
}

/// A member that releases withdrawn shards at once.
#[derive(Default)]
struct Member {
    revision: u64,
    holdings: Vec<Holding>,
    released: Vec<Holding>,
}

impl Member {
    fn on_reply(&mut self, reply: Reply) {
        let Reply::Accepted(accepted) = reply else {
            return;
        };
        self.released.clear();
        let Some(grants) = accepted.grants else {
            return;
        };
        let kept = |h: &&Holding| !grants.holdings.contains(h);
        self.released = self.holdings.iter().filter(kept).cloned().collect();
        self.holdings = grants.holdings;
        self.revision = accepted.revision;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_shard_is_held(
        owners in proptest::collection::vec(0..MEMBERS, usize::from(shard_count(CUSTOMERS_SERVICE))),
        delay_ms in 0u64..3_000,
    ) {
        let me = CoordinatorRef {
            term: Term(2),
            name: machine(0).name,
            address: machine(0).peer_address,
        };
        let start = BootInstant::from_millis(1_000);
        let timing = Timing::default();
        let grants_from = start + Duration::from_millis(delay_ms);
        let mut coordinator = Coordinator::new(timing, me, start, grants_from);
        let mut members: Vec<Member> = (0..MEMBERS).map(|_| Member::default()).collect();
        for beat in 0..60 {
            let now = start + timing.heartbeat * beat;
            for (number, member) in members.iter_mut().enumerate() {
                let before = (0u16..).zip(&owners).filter(|(_, owner)| **owner == number);
                let former_holdings = match member.revision {
                    0 => before.map(|(shard, _)| holding(shard)).collect(),
                    _ => Vec::new(),
                };
                let mut request = heartbeat(number, former_holdings);
                request.revision = member.revision;
                request.released = member.released.clone();
                let until = now + Duration::from_secs(60);
                member.on_reply(coordinator.on_heartbeat(now, until, 1, &request));
            }
        }
        let mut holders: BTreeMap<ShardId, usize> = BTreeMap::new();
        for (number, member) in members.iter().enumerate() {
            for holding in &member.holdings {
                prop_assert_eq!(holders.insert(holding.id.clone(), number), None);
            }
        }
        prop_assert_eq!(holders.len(), owners.len());
    }
}
