//! `bench capacity`: slopes of what each role costs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bench::cpu;
use bench::deployment::{self, Deployment, Spec};
use limits::bucket::LendingBucket;
use orders::table::{Bounds, ExecutionOutcome, OrderTable, RecordedResponse};
use orders::ticket::{Nonce, Ticket, TicketScope};
use ownership::coordinator::Coordinator;
use ownership::heartbeat::{CoordinatorRef, Reply, Request};
use ownership::timing::Timing;
use peers::convert;
use prost::Message;
use world::contract::Contract;
use world::instant::BootInstant;
use world::key::{Fence, KeyHash, Shard, Term};
use world::machine::{BackEnd, Incarnation, Machine};
use world::name::{CellName, MachineName, RegionName, ServiceName, ZoneName};

use crate::cli::CapacityOptions;
use crate::cmd::Error;

/// Members of a cell for which its costs are measured.
const MEMBERS: [usize; 4] = [4, 8, 16, 32];

/// Heartbeats of each member that a measurement of the coordinator takes.
const ROUNDS: u64 = 200;

/// Customers for which the costs of the lists are measured.
const CUSTOMERS: [usize; 4] = [1_000, 4_000, 10_000, 20_000];

/// Entries for which the memory of tables is measured.
const ENTRIES: [usize; 4] = [25_000, 50_000, 100_000, 200_000];

/// Real daemons in one process for which the control threads are measured.
const DAEMONS: [usize; 3] = [4, 8, 16];

/// Time for which idle control threads are watched.
const IDLE: Duration = Duration::from_secs(4);

/// One measured slope.
struct Slope {
    role: &'static str,
    cost: &'static str,
    unit: &'static str,
    per: &'static str,
    points: Vec<(f64, f64)>,
}

/// A straight line through measured points.
struct Fit {
    base: f64,
    slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    residual: f64,
}

impl Slope {
    fn fit(&self) -> Fit {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread: f64 = self.points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let joint: f64 = self
            .points
            .iter()
            .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
            .sum();
        let slope = joint / spread;
        let base = mean_y - slope * mean_x;
        let largest = self
            .points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let off = |p: &(f64, f64)| (p.1 - base - slope * p.0).abs() / largest;
        let residual = self.points.iter().map(off).fold(0.0, f64::max);
        Fit {
            base,
            slope,
            residual,
        }
    }
}

/// Measures all slopes and prints them.
///
/// # Errors
/// Fails when a deployment does not come up.
pub(crate) async fn run(options: &CapacityOptions) -> Result<bool, Error> {
    // Memory first, while the process has freed little that could be used again.
    let mut slopes = vec![ticket_memory(), allowance_memory()];
    slopes.extend(coordinator_slopes());
    slopes.push(lists_time());
    slopes.extend(daemon_slopes().await?);
    print(&slopes, options.tsv);
    println!("result=ok slopes={}", slopes.len());
    Ok(true)
}

fn print(slopes: &[Slope], tsv: bool) {
    let header = [
        "role", "cost", "unit", "per", "base", "slope", "residual", "points",
    ];
    if tsv {
        println!("{}", header.join("\t"));
    } else {
        println!(
            "{:<12} {:<22} {:<8} {:<10} {:>11} {:>11} {:>9}  points",
            header[0], header[1], header[2], header[3], header[4], header[5], header[6]
        );
    }
    for slope in slopes {
        let fit = slope.fit();
        let points: Vec<String> = slope
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}:{y:.3}"))
            .collect();
        let points = points.join(" ");
        let Slope {
            role,
            cost,
            unit,
            per,
            ..
        } = slope;
        let Fit {
            base,
            slope,
            residual,
        } = fit;
        if tsv {
            println!(
                "{role}\t{cost}\t{unit}\t{per}\t{base:.6}\t{slope:.6}\t{residual:.3}\t{points}"
            );
        } else {
            println!(
                "{role:<12} {cost:<22} {unit:<8} {per:<10} {base:>11.4} {slope:>11.6} {residual:>9.3}  {points}"
            );
        }
    }
}

fn machine(number: usize, service: &str) -> Machine {
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let contract = Contract {
        service: ServiceName::new(service),
        keyed: true,
        checks_fences: true,
        operations: Default::default(),
    };
    Machine {
        name: MachineName::new(&format!("machine-{number}")),
        incarnation: Incarnation(number as u64 + 1),
        region: RegionName::new("nord"),
        zone: ZoneName::new(if number.is_multiple_of(2) {
            "nord-a"
        } else {
            "nord-b"
        }),
        peer_address: address(7001),
        traffic_address: address(7002),
        caller_address: address(7003),
        back_end: Some(BackEnd {
            instance: Incarnation(1),
            contract,
            slots: 18,
            draining: false,
        }),
        leaving: false,
    }
}

fn heartbeat(machine: &Machine, revision: u64, route_version: u64) -> Request {
    Request {
        cell: CellName::new("cell"),
        term: Term(1),
        machine: machine.clone(),
        revision,
        route_version,
        lists_version: 1,
        held: Vec::new(),
        released: Vec::new(),
        loads: Vec::new(),
    }
}

/// A cell whose shards are all granted, and what each member knows.
struct Cell {
    coordinator: Coordinator,
    machines: Vec<Machine>,
    revisions: Vec<u64>,
    now: BootInstant,
    authority: BootInstant,
}

impl Cell {
    fn new(members: usize) -> Self {
        let machines: Vec<Machine> = (0..members).map(|n| machine(n, "credits")).collect();
        let me = CoordinatorRef {
            term: Term(1),
            name: machines[0].name.clone(),
            address: machines[0].peer_address,
        };
        let now = BootInstant::from_millis(10_000);
        let mut cell = Self {
            coordinator: Coordinator::new(Timing::default(), me, now, now),
            revisions: vec![0; members],
            machines,
            now,
            authority: now + Duration::from_secs(1_000_000),
        };
        for _ in 0..8 {
            cell.round();
        }
        cell
    }

    /// One heartbeat of each member; returns the bytes of requests and replies.
    fn round(&mut self) -> usize {
        self.now = self.now + Timing::default().heartbeat;
        let mut bytes = 0;
        for (index, machine) in self.machines.iter().enumerate() {
            let version = self.coordinator.routes().version;
            let request = heartbeat(machine, self.revisions[index], version);
            bytes += convert::heartbeat_request_to_wire(&request).encoded_len();
            let reply = self
                .coordinator
                .on_heartbeat(self.now, self.authority, 7, &request);
            bytes += convert::heartbeat_reply_to_wire(&reply).encoded_len();
            if let Reply::Accepted(accepted) = reply {
                self.revisions[index] = accepted.revision;
            }
        }
        bytes
    }
}

impl Cell {
    /// Bytes of an answer that carries the whole route table, without grants.
    fn change_bytes(&mut self) -> usize {
        let request = heartbeat(&self.machines[0], self.revisions[0], 0);
        let reply = self
            .coordinator
            .on_heartbeat(self.now, self.authority, 7, &request);
        convert::heartbeat_reply_to_wire(&reply).encoded_len()
    }
}

fn coordinator_slopes() -> Vec<Slope> {
    let beats = 1.0 / Timing::default().heartbeat.as_secs_f64();
    let mut time = Vec::new();
    let mut bytes = Vec::new();
    let mut table = Vec::new();
    for members in MEMBERS {
        let mut cell = Cell::new(members);
        let started = Instant::now();
        let mut total = 0;
        for _ in 0..ROUNDS {
            total += cell.round();
        }
        let per_round = started.elapsed().as_secs_f64() / ROUNDS as f64;
        let size = members as f64;
        time.push((size, per_round * beats * 100.0));
        bytes.push((size, total as f64 / ROUNDS as f64 * beats / 1000.0));
        table.push((size, cell.change_bytes() as f64 / 1000.0));
    }
    vec![
        Slope {
            role: "coordinator",
            cost: "decisions",
            unit: "%core",
            per: "member",
            points: time,
        },
        Slope {
            role: "coordinator",
            cost: "heartbeat bytes",
            unit: "KB/s",
            per: "member",
            points: bytes,
        },
        Slope {
            role: "coordinator",
            cost: "route table, one copy",
            unit: "KB",
            per: "member",
            points: table,
        },
    ]
}

fn lists_time() -> Slope {
    let points = CUSTOMERS.map(|count| {
        let mut text = String::from("[customers]\n");
        for number in 0..count {
            text.push_str(&format!("customer-{number} = \"all\"\n"));
        }
        text.push_str("[plans.all.credits]\nlookups = { rate = 9, burst = 9 }\ndeadline_ms = 9\n");
        let started = Instant::now();
        let lists = lists::document::parse(&text);
        let took = started.elapsed().as_secs_f64() * 1000.0;
        drop(lists);
        (count as f64, took)
    });
    Slope {
        role: "member",
        cost: "lists, one edit",
        unit: "ms",
        per: "customer",
        points: points.into(),
    }
}

/// Memory that the result of `make` takes, in bytes. The result is kept until the process ends,
/// since freed memory would be used again unseen.
fn memory_of<T>(make: impl FnOnce() -> T) -> f64 {
    let before = cpu::resident_bytes();
    std::mem::forget(make());
    cpu::resident_bytes().saturating_sub(before) as f64
}

fn ticket_memory() -> Slope {
    let scope = TicketScope::new("customer", "credits", KeyHash(1));
    let points = ENTRIES.map(|count| {
        let bytes = memory_of(|| {
            let bounds = Bounds {
                tickets: count,
                response_bytes: usize::MAX,
                ..Bounds::default()
            };
            let mut table = OrderTable::new(Fence(1), bounds);
            let now = BootInstant::from_millis(1);
            for nonce in 0..count as u128 {
                let ticket = Ticket {
                    shard: Shard(1),
                    fence: Fence(1),
                    scope,
                    nonce: Nonce(nonce),
                };
                table.issue(now, &ticket);
                table.try_start(now, &ticket, &scope);
                let body = bytes::Bytes::from(vec![b'x'; 100]);
                let content_type = "application/json".to_owned();
                let answer = RecordedResponse {
                    status: 200,
                    content_type,
                    body,
                };
                table.finish(&ticket, ExecutionOutcome::Answered(answer));
            }
            table
        });
        (count as f64, bytes / 1000.0)
    });
    Slope {
        role: "owner",
        cost: "tickets, 100 B answers",
        unit: "KB",
        per: "ticket",
        points: points.into(),
    }
}

fn allowance_memory() -> Slope {
    let points = ENTRIES.map(|count| {
        let bytes = memory_of(|| {
            let mut buckets = BTreeMap::new();
            let now = BootInstant::from_millis(1);
            for number in 0..count {
                let name = MachineName::new(&format!("customer-{number}"));
                let mut bucket = LendingBucket::full(10, 10, now);
                bucket.lend(now, &name, 1, now + Duration::from_millis(320));
                buckets.insert(name, bucket);
            }
            buckets
        });
        (count as f64, bytes / 1000.0)
    });
    Slope {
        role: "keeper",
        cost: "buckets",
        unit: "KB",
        per: "bucket",
        points: points.into(),
    }
}

/// A cell of real daemons without requests, two services, one of them keyed.
fn idle_spec(daemons: usize) -> Spec {
    const ZONES: [(&str, &str); 8] = [
        ("nord", "za"),
        ("nord", "zb"),
        ("nord", "zc"),
        ("nord", "zd"),
        ("nord", "ze"),
        ("nord", "zf"),
        ("nord", "zg"),
        ("nord", "zh"),
    ];
    deployment::plain(ZONES[..daemons / 2].to_vec(), 1)
}

async fn daemon_slopes() -> Result<Vec<Slope>, Error> {
    let mut coordinator = Vec::new();
    let mut member = Vec::new();
    let mut memory = Vec::new();
    let mut writes = Vec::new();
    let mut reads = Vec::new();
    let mut network = Vec::new();
    for daemons in DAEMONS {
        let resident = cpu::resident_bytes();
        let deployment = Deployment::start(idle_spec(daemons)).await?;
        deployment.await_ready().await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let leader = deployment.coordinator().await.ok_or("no coordinator")?;
        let (time, calls) = (control_times(&deployment), deployment.platform.calls());
        let bytes = cpu::loopback_bytes();
        tokio::time::sleep(IDLE).await;
        let (later, after) = (control_times(&deployment), deployment.platform.calls());
        let used =
            |name: &str| (later[name] - time[name]).as_secs_f64() / IDLE.as_secs_f64() * 100.0;
        let size = daemons as f64;
        let crossed = (cpu::loopback_bytes() - bytes) as f64 / IDLE.as_secs_f64();
        network.push((size, crossed / 1000.0));
        coordinator.push((size, used(&leader)));
        let others = later.keys().filter(|name| **name != leader);
        member.push((
            size,
            others.map(|name| used(name)).sum::<f64>() / (size - 1.0),
        ));
        let grown = cpu::resident_bytes().saturating_sub(resident) as f64;
        memory.push((size, grown / 1e6));
        writes.push((
            size,
            (after.writes - calls.writes) as f64 / IDLE.as_secs_f64(),
        ));
        let read = after.reads + after.watches - calls.reads - calls.watches;
        reads.push((size, read as f64 / IDLE.as_secs_f64()));
        deployment.end().await;
    }
    let slope = |role, cost, unit, points| Slope {
        role,
        cost,
        unit,
        per: "member",
        points,
    };
    Ok(vec![
        slope("coordinator", "control thread, idle", "%core", coordinator),
        slope("member", "control thread, idle", "%core", member),
        slope("all", "memory, stand-ins too", "MB", memory),
        slope("all", "loopback, stand-ins too", "KB/s", network),
        slope("store", "writes of a cell", "1/s", writes),
        slope("store", "reads and watches", "1/s", reads),
    ])
}

/// Processor time of each daemon's control thread.
fn control_times(deployment: &Deployment) -> BTreeMap<String, Duration> {
    let names = deployment.nodes.keys();
    names
        .map(|name| (name.clone(), cpu::thread_time(&format!("control-{name}"))))
        .collect()
}
