//! The operator allows larger bodies, and a caller sends one.
//! Rule CONFIG: of the requests that are still unanswered at their route's `timeoutMs`, more than half
//! have no answer half a second later.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::caller::{Call, is_ready, send};
use crate::deployment::{Deployment, MachineSpec, Verdict, route, wait_for};

/// `bodyBytes` of the configuration.
const LIMIT_BYTES: u64 = 100_000_000;
/// Length of the large body.
const BODY_BYTES: usize = 90_000_000;
/// Length of a body without the disruption.
const SMALL_BODY_BYTES: usize = 1_000;
/// `timeoutMs` of the routes.
const TIMEOUT_MS: u64 = 2_000;
/// Time after it by which there must be an answer.
const SLACK: Duration = Duration::from_millis(500);

pub fn run(case: &Path, trouble: bool) -> Result<Verdict, String> {
    let mut d = Deployment::new(
        case,
        &[MachineSpec::new("search"), MachineSpec::new("orders")],
    )?;
    let routes = [route(
        "r-orders", "/orders/", "unsafe", TIMEOUT_MS, "orders",
    )];
    d.configure_with(3, &routes, LIMIT_BYTES);
    d.start_all()?;
    let served = || {
        send(
            &d.record,
            d.callers(0),
            &Call::post("/orders/1", TIMEOUT_MS),
        )
        .status
            == 200
    };
    if !wait_for(Duration::from_secs(20), || is_ready(d.ready(0)) && served()) {
        return Err("requests are not served".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let size = if trouble {
        BODY_BYTES
    } else {
        SMALL_BODY_BYTES
    };
    let call = Call::post("/orders/large", TIMEOUT_MS);
    let mut stream = TcpStream::connect(d.callers(0)).map_err(|e| e.to_string())?;
    d.record.say(&format!("sent id={} body={size}", call.id));
    let _ = stream.write_all(call.head(size).as_bytes());
    let _ = stream.write_all(&vec![b'b'; size]);
    std::thread::sleep(Duration::from_millis(500));
    let started = Instant::now();
    let mut callers = Vec::new();
    while started.elapsed() < Duration::from_secs(10) {
        let (record, address) = (d.record.clone(), d.callers(0));
        callers.push(std::thread::spawn(move || {
            let end = send(&record, address, &Call::post("/orders/new", TIMEOUT_MS));
            (end.status, end.took)
        }));
        std::thread::sleep(Duration::from_millis(100));
    }
    let ends: Vec<(u16, Duration)> = callers.into_iter().filter_map(|c| c.join().ok()).collect();
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let answered = |by: Duration| ends.iter().filter(|e| e.0 != 0 && e.1 <= by).count();
    let open = ends.len() - answered(timeout);
    let late = ends.len() - answered(timeout + SLACK);
    let mut answer = [0; 15];
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let count = stream.read(&mut answer).unwrap_or(0);
    d.record.say(&format!(
        "answer to the large body: {:?}",
        String::from_utf8_lossy(&answer[..count])
    ));
    let status = std::fs::read_to_string(format!("/proc/{}/status", d.pid(0))).unwrap_or_default();
    let peak = status
        .lines()
        .find(|l| l.starts_with("VmHWM"))
        .unwrap_or("ended")
        .to_owned();
    d.record.say(&format!(
        "machine=0 ready: {}, memory: {peak}",
        is_ready(d.ready(0))
    ));
    d.record.say(&format!(
        "requests={} unanswered at {TIMEOUT_MS} ms: {open}, of these {} ms later: {late}",
        ends.len(),
        SLACK.as_millis()
    ));
    Ok(if late >= 8 && late * 2 > open {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
