//! `bench capacity`: measures the resources that each role uses at several sizes and fits a line to
//! each series, whose slope is the cost of one more member, customer or entry.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bench::deployment::{self, Deployment, Spec};
use bench::resource_usage;
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

/// Sizes of the cell, in members, at which the coordinator is measured.
const MEMBER_COUNTS: [usize; 4] = [4, 8, 16, 32];

/// Heartbeats of each member over which the coordinator's costs are averaged.
const HEARTBEAT_ROUNDS: u64 = 200;

/// Numbers of customers at which the parsing of the lists is measured.
const CUSTOMER_COUNTS: [usize; 4] = [1_000, 4_000, 10_000, 20_000];

/// Numbers of entries at which the memory of tables is measured.
const ENTRY_COUNTS: [usize; 4] = [25_000, 50_000, 100_000, 200_000];

/// Numbers of real daemons in this process at which idle daemons are measured.
const DAEMON_COUNTS: [usize; 3] = [4, 8, 16];

/// Time over which idle daemons are measured.
const IDLE_PERIOD: Duration = Duration::from_secs(4);

/// One cost of a role, measured at several sizes.
struct CostSeries {
    role: &'static str,
    cost: &'static str,
    /// Unit of the cost.
    unit: &'static str,
    /// What the size counts.
    per: &'static str,
    /// Pairs of size and cost.
    points: Vec<(f64, f64)>,
}

/// Straight line fitted to a series.
struct LineFit {
    /// Cost at size 0.
    base: f64,
    slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    residual: f64,
}

impl CostSeries {
    /// Fits a line by least squares.
    fn fit(&self) -> LineFit {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|p| p.1).sum::<f64>() / count;
        let sum_xx: f64 = self.points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = self
            .points
            .iter()
            .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
            .sum();
        let slope = sum_xy / sum_xx;
        let base = mean_y - slope * mean_x;
        let max_y = self
            .points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let relative_error = |p: &(f64, f64)| (p.1 - base - slope * p.0).abs() / max_y;
        let residual = self.points.iter().map(relative_error).fold(0.0, f64::max);
        LineFit {
            base,
            slope,
            residual,
        }
    }
}

/// Measures all series and prints them with their slopes.
///
/// # Errors
/// Fails when a deployment does not come up.
pub(crate) async fn run(options: &CapacityOptions) -> Result<bool, Error> {
    // Memory first: memory that later measurements free would be reused and hide growth.
    let mut series = vec![ticket_memory(), allowance_memory()];
    series.extend(coordinator_series());
    series.push(lists_parse_time());
    series.extend(daemon_series().await?);
    print(&series, options.tsv);
    println!("result=ok slopes={}", series.len());
    Ok(true)
}

fn print(all_series: &[CostSeries], tsv: bool) {
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
    for series in all_series {
        let fit = series.fit();
        let points: Vec<String> = series
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}:{y:.3}"))
            .collect();
        let points = points.join(" ");
        let CostSeries {
            role,
            cost,
            unit,
            per,
            ..
        } = series;
        let LineFit {
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

/// Returns a machine with a keyed back end of `service`; successive numbers alternate between two
/// zones.
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

/// Returns a heartbeat that reports no grants.
fn heartbeat(machine: &Machine, revision: u64, route_version: u64) -> Request {
    Request {
        cell: CellName::new("cell"),
        term: Term(1),
        machine: machine.clone(),
        revision,
        route_version,
        lists_version: 1,
        former_holdings: Vec::new(),
        released: Vec::new(),
        loads: Vec::new(),
    }
}

/// Coordinator of a cell whose shards are all granted, and the state of its members.
struct SimulatedCell {
    coordinator: Coordinator,
    machines: Vec<Machine>,
    /// Revision of its grants that each member last received.
    revisions: Vec<u64>,
    now: BootInstant,
    authority_until: BootInstant,
}

impl SimulatedCell {
    fn new(members: usize) -> Self {
        let machines: Vec<Machine> = (0..members).map(|n| machine(n, "credits")).collect();
        let coordinator = CoordinatorRef {
            term: Term(1),
            name: machines[0].name.clone(),
            address: machines[0].peer_address,
        };
        let now = BootInstant::from_millis(10_000);
        let mut cell = Self {
            coordinator: Coordinator::new(Timing::default(), coordinator, now, now),
            revisions: vec![0; members],
            machines,
            now,
            authority_until: now + Duration::from_secs(1_000_000),
        };
        for _ in 0..8 {
            cell.heartbeat_round();
        }
        cell
    }

    /// Sends one heartbeat of each member. Returns the bytes of all requests and replies.
    fn heartbeat_round(&mut self) -> usize {
        self.now = self.now + Timing::default().heartbeat;
        let mut bytes = 0;
        for (index, machine) in self.machines.iter().enumerate() {
            let version = self.coordinator.routes().version;
            let request = heartbeat(machine, self.revisions[index], version);
            bytes += convert::heartbeat_request_to_wire(&request).encoded_len();
            let reply = self
                .coordinator
                .on_heartbeat(self.now, self.authority_until, 7, &request);
            bytes += convert::heartbeat_reply_to_wire(&reply).encoded_len();
            if let Reply::Accepted(accepted) = reply {
                self.revisions[index] = accepted.revision;
            }
        }
        bytes
    }
}

impl SimulatedCell {
    /// Returns the size of a heartbeat reply with the whole route table and no grants.
    fn route_table_bytes(&mut self) -> usize {
        let request = heartbeat(&self.machines[0], self.revisions[0], 0);
        let reply = self
            .coordinator
            .on_heartbeat(self.now, self.authority_until, 7, &request);
        convert::heartbeat_reply_to_wire(&reply).encoded_len()
    }
}

/// Measures the coordinator alone, with the heartbeats of all members sent from this thread.
fn coordinator_series() -> Vec<CostSeries> {
    let heartbeats_per_s = 1.0 / Timing::default().heartbeat.as_secs_f64();
    let mut decisions = Vec::new();
    let mut traffic = Vec::new();
    let mut route_table = Vec::new();
    for members in MEMBER_COUNTS {
        let mut cell = SimulatedCell::new(members);
        let started = Instant::now();
        let mut total_bytes = 0;
        for _ in 0..HEARTBEAT_ROUNDS {
            total_bytes += cell.heartbeat_round();
        }
        let per_round = started.elapsed().as_secs_f64() / HEARTBEAT_ROUNDS as f64;
        let size = members as f64;
        decisions.push((size, per_round * heartbeats_per_s * 100.0));
        traffic.push((
            size,
            total_bytes as f64 / HEARTBEAT_ROUNDS as f64 * heartbeats_per_s / 1000.0,
        ));
        route_table.push((size, cell.route_table_bytes() as f64 / 1000.0));
    }
    vec![
        CostSeries {
            role: "coordinator",
            cost: "decisions",
            unit: "%core",
            per: "member",
            points: decisions,
        },
        CostSeries {
            role: "coordinator",
            cost: "heartbeat bytes",
            unit: "KB/s",
            per: "member",
            points: traffic,
        },
        CostSeries {
            role: "coordinator",
            cost: "route table, one copy",
            unit: "KB",
            per: "member",
            points: route_table,
        },
    ]
}

fn lists_parse_time() -> CostSeries {
    let points = CUSTOMER_COUNTS.map(|count| {
        let mut text = String::from("[customers]\n");
        for number in 0..count {
            text.push_str(&format!("customer-{number} = \"all\"\n"));
        }
        text.push_str("[plans.all.credits]\nlookups = { rate = 9, burst = 9 }\ndeadline_ms = 9\n");
        let started = Instant::now();
        let lists = lists::document::parse(&text);
        let took_ms = started.elapsed().as_secs_f64() * 1000.0;
        drop(lists);
        (count as f64, took_ms)
    });
    CostSeries {
        role: "member",
        cost: "lists, one edit",
        unit: "ms",
        per: "customer",
        points: points.into(),
    }
}

/// Returns the bytes by which `make` grows the resident memory. Its result is leaked: freed memory
/// would be reused by the next measurement and hide growth there.
fn memory_of<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resource_usage::resident_bytes();
    std::mem::forget(make());
    resource_usage::resident_bytes().saturating_sub(before) as f64
}

/// Measures an order table whose orders all have a recorded response.
fn ticket_memory() -> CostSeries {
    let scope = TicketScope::new("customer", "credits", KeyHash(1));
    let points = ENTRY_COUNTS.map(|count| {
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
                let response = RecordedResponse {
                    status: 200,
                    content_type,
                    body,
                };
                table.finish(&ticket, ExecutionOutcome::Answered(response));
            }
            table
        });
        (count as f64, bytes / 1000.0)
    });
    CostSeries {
        role: "owner",
        cost: "tickets, 100 B answers",
        unit: "KB",
        per: "ticket",
        points: points.into(),
    }
}

/// Measures the buckets of an allowance owner, each with one loan.
fn allowance_memory() -> CostSeries {
    let points = ENTRY_COUNTS.map(|count| {
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
    CostSeries {
        role: "keeper",
        cost: "buckets",
        unit: "KB",
        per: "bucket",
        points: points.into(),
    }
}

/// Returns the deployment of a cell with two services, one of them keyed; no requests are sent.
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
    deployment::load_spec(ZONES[..daemons / 2].to_vec(), 1)
}

/// Measures idle daemons, and the store calls and loopback traffic that they cause.
async fn daemon_series() -> Result<Vec<CostSeries>, Error> {
    let mut coordinator_cpu = Vec::new();
    let mut member_cpu = Vec::new();
    let mut memory = Vec::new();
    let mut writes = Vec::new();
    let mut reads = Vec::new();
    let mut loopback = Vec::new();
    for daemons in DAEMON_COUNTS {
        let resident_before = resource_usage::resident_bytes();
        let deployment = Deployment::start(idle_spec(daemons)).await?;
        deployment.await_ready().await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let coordinator = deployment.coordinator().await.ok_or("no coordinator")?;
        let (cpu_before, calls_before) = (
            control_cpu_times(&deployment),
            deployment.platform.request_counts(),
        );
        let loopback_before = resource_usage::loopback_bytes();
        tokio::time::sleep(IDLE_PERIOD).await;
        let (cpu_after, calls_after) = (
            control_cpu_times(&deployment),
            deployment.platform.request_counts(),
        );
        let cpu_percent = |name: &str| {
            (cpu_after[name] - cpu_before[name]).as_secs_f64() / IDLE_PERIOD.as_secs_f64() * 100.0
        };
        let size = daemons as f64;
        let bytes_per_s =
            (resource_usage::loopback_bytes() - loopback_before) as f64 / IDLE_PERIOD.as_secs_f64();
        loopback.push((size, bytes_per_s / 1000.0));
        coordinator_cpu.push((size, cpu_percent(&coordinator)));
        let others = cpu_after.keys().filter(|name| **name != coordinator);
        member_cpu.push((
            size,
            others.map(|name| cpu_percent(name)).sum::<f64>() / (size - 1.0),
        ));
        let memory_growth = resource_usage::resident_bytes().saturating_sub(resident_before) as f64;
        memory.push((size, memory_growth / 1e6));
        writes.push((
            size,
            (calls_after.writes - calls_before.writes) as f64 / IDLE_PERIOD.as_secs_f64(),
        ));
        let read_calls =
            calls_after.reads + calls_after.watches - calls_before.reads - calls_before.watches;
        reads.push((size, read_calls as f64 / IDLE_PERIOD.as_secs_f64()));
        deployment.kill_all().await;
    }
    let series = |role, cost, unit, points| CostSeries {
        role,
        cost,
        unit,
        per: "member",
        points,
    };
    Ok(vec![
        series(
            "coordinator",
            "control thread, idle",
            "%core",
            coordinator_cpu,
        ),
        series("member", "control thread, idle", "%core", member_cpu),
        series("all", "memory, stand-ins too", "MB", memory),
        series("all", "loopback, stand-ins too", "KB/s", loopback),
        series("store", "writes of a cell", "1/s", writes),
        series("store", "reads and watches", "1/s", reads),
    ])
}

/// Returns the processor time of each daemon's control thread, by machine.
fn control_cpu_times(deployment: &Deployment) -> BTreeMap<String, Duration> {
    let names = deployment.nodes.keys();
    names
        .map(|name| {
            (
                name.clone(),
                resource_usage::thread_cpu_time(&format!("control-{name}")),
            )
        })
        .collect()
}
