//! Callers send bodies within the configuration's limit while others wait for their answers.
//! Rule LOST: a machine in touch passes a request from a kept channel on to a sound back end and closes
//! that channel without an answer, more than three times. A process that ends by itself counts as
//! running all the while.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use stand_ins::http::Connection;

use crate::caller::{Call, is_ready, send};
use crate::deployment::{Deployment, MachineSpec, Verdict, route, send_signal, wait_for};
use crate::record::Record;

/// `memoryMb` of the settings: the platform kills a process that exceeds it.
const MEMORY_BYTES: u64 = 260_000_000;
/// Requests on kept channels that wait for their answers meanwhile.
const WAITING: usize = 8;
/// How many of them may be closed without an answer.
const MAX_CLOSED: usize = 3;
/// Length of a large body; `bodyBytes` of the configuration is 67,108,864.
const BODY_BYTES: usize = 60_000_000;
/// Number of large bodies.
const BODIES: usize = 2;
/// Length of a body without the disruption.
const SMALL_BODY_BYTES: usize = 1_000;

pub fn run(case: &Path, trouble: bool) -> Result<Verdict, String> {
    let slow = MachineSpec {
        work: Duration::from_millis(1_500),
        slots: 18,
        ..MachineSpec::new("orders")
    };
    let mut d = Deployment::new(case, &[MachineSpec::new("search"), slow])?;
    let routes = [
        route("r-orders", "/orders/", "unsafe", 5_000, "orders"),
        route("r-list", "/list/", "safe", 5_000, "orders"),
    ];
    d.configure(3, &routes);
    d.start_all()?;
    let served = || send(&d.record, d.callers(0), &Call::post("/orders/1", 4_000)).status == 200;
    if !wait_for(Duration::from_secs(20), || is_ready(d.ready(0)) && served()) {
        return Err("requests are not served".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let pids = [d.pid(0), d.pid(1)];
    let peaks: Vec<Arc<AtomicU64>> = pids
        .iter()
        .map(|pid| watch_memory(*pid, &d.record))
        .collect();
    let all_kept = Arc::new(AtomicU64::new(0));
    let go = Arc::new(AtomicBool::new(false));
    let mut waiting = Vec::new();
    for _ in 0..WAITING {
        let (record, address) = (d.record.clone(), d.callers(0));
        let (all_kept, go) = (Arc::clone(&all_kept), Arc::clone(&go));
        waiting.push(std::thread::spawn(move || {
            call_on_kept_channel(&record, address, &all_kept, &go)
        }));
    }
    if !wait_for(Duration::from_secs(10), || {
        all_kept.load(Ordering::SeqCst) == WAITING as u64
    }) {
        return Err("the kept channels are not there".to_owned());
    }
    go.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(200));
    let size = if trouble {
        BODY_BYTES
    } else {
        SMALL_BODY_BYTES
    };
    let large: Vec<_> = (0..BODIES)
        .map(|_| {
            let (record, address) = (d.record.clone(), d.callers(0));
            std::thread::spawn(move || post(&record, address, size))
        })
        .collect();
    let closed = waiting
        .into_iter()
        .filter_map(|w| w.join().ok())
        .filter(|answered| !answered)
        .count();
    for call in large {
        let _ = call.join();
    }
    for (machine, peak) in peaks.iter().enumerate() {
        d.record.say(&format!(
            "most memory machine={machine}: {} bytes",
            peak.load(Ordering::SeqCst)
        ));
    }
    d.record.say(&format!(
        "requests on kept channels that were closed without an answer: {closed} of {WAITING}"
    ));
    Ok(if closed > MAX_CLOSED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Kills a process once it exceeds its memory, as the platform does; returns the most that it had.
fn watch_memory(pid: u32, record: &Record) -> Arc<AtomicU64> {
    let peak = Arc::new(AtomicU64::new(0));
    let (shared, record) = (Arc::clone(&peak), record.clone());
    std::thread::spawn(move || {
        loop {
            let resident = resident_bytes(pid);
            shared.fetch_max(resident, Ordering::SeqCst);
            if resident > MEMORY_BYTES {
                send_signal(pid, "KILL");
                record.say(&format!(
                    "pid={pid} has {resident} bytes, over memoryMb, and is killed"
                ));
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    peak
}

/// Resident memory of a process.
fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().split(' ').next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

/// Sends one request, then another on the same channel; returns whether that was answered.
fn call_on_kept_channel(
    record: &Record,
    address: SocketAddr,
    all_kept: &AtomicU64,
    go: &AtomicBool,
) -> bool {
    let Ok(mut channel) = Connection::open(address, Duration::from_secs(1)) else {
        return false;
    };
    let limit = Duration::from_secs(6);
    let first = channel.call(&Call::get("/list/first", 5_000).head(0), limit);
    if first.is_ok() {
        all_kept.fetch_add(1, Ordering::SeqCst);
    }
    while !go.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let call = Call::get("/list/second", 5_000);
    record.line(&format!("sent id={} on a kept channel", call.id));
    let sent = Instant::now();
    let answer = channel.call(&call.head(0), limit);
    let status = answer.map_or(0, |a| a.status);
    record.line(&format!(
        "answered id={} status={status} ms={}",
        call.id,
        sent.elapsed().as_millis()
    ));
    status != 0
}

/// Posts a body.
fn post(record: &Record, address: SocketAddr, size: usize) {
    let call = Call::post("/orders/large", 5_000);
    record.say(&format!("sent id={} body={size}", call.id));
    let Ok(mut stream) = TcpStream::connect(address) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
    let _ = stream.write_all(call.head(size).as_bytes());
    let _ = stream.write_all(&vec![b'b'; size]);
    let mut answer = [0; 15];
    let count = stream.read(&mut answer).unwrap_or(0);
    record.say(&format!(
        "answered id={} {:?}",
        call.id,
        String::from_utf8_lossy(&answer[..count])
    ));
}
