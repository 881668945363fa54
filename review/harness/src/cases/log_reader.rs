//! Whoever reads a node's standard output pauses.
//! Rule CONFIG: of the requests that are still unanswered at their route's `timeoutMs`, more than half
//! have no answer half a second later.

use std::io::Read;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::caller::{Call, is_ready, send};
use crate::deployment::{Deployment, MachineSpec, Output, Verdict, route, wait_for};

/// Time for which the reader pauses.
const PAUSE: Duration = Duration::from_secs(10);
/// `timeoutMs` of the route.
const TIMEOUT_MS: u64 = 1_000;
/// Time after it by which there must be an answer.
const SLACK_MS: u64 = 500;
/// Requests of the callers of machine 0 in a second.
const PER_SECOND: u64 = 60;

pub fn run(case: &Path, trouble: bool) -> Result<Verdict, String> {
    let specs = [
        MachineSpec::new("orders"),
        MachineSpec::new("orders"),
        MachineSpec::new("orders"),
    ];
    let mut d = Deployment::new(case, &specs)?;
    d.configure(
        3,
        &[route("r-list", "/list/", "safe", TIMEOUT_MS, "orders")],
    );
    for machine in 0..3 {
        let output = if machine == 0 {
            Output::Pipe
        } else {
            Output::File
        };
        d.start_node(machine, true, output)?;
        d.start_back_end(machine);
    }
    let stdout = d.nodes[0].as_mut().and_then(|c| c.stdout.take());
    let mut stdout = stdout.ok_or("no standard output")?;
    let paused = Arc::new(AtomicBool::new(false));
    let reader_paused = Arc::clone(&paused);
    std::thread::spawn(move || {
        let mut chunk = [0; 65_536];
        while stdout.read(&mut chunk).is_ok_and(|n| n > 0) {
            while reader_paused.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    });
    let served = || send(&d.record, d.callers(0), &Call::get("/list/1", 2_000)).status == 200;
    if !wait_for(Duration::from_secs(20), || is_ready(d.ready(0)) && served()) {
        return Err("requests are not served".to_owned());
    }
    let (record, address) = (d.record.clone(), d.callers(0));
    let started = Instant::now();
    let length = Duration::from_secs(20);
    let mut callers = Vec::new();
    let mut pause_began = None;
    while started.elapsed() < length {
        if trouble && pause_began.is_none() && started.elapsed() > Duration::from_secs(4) {
            pause_began = Some(Instant::now());
            paused.store(true, Ordering::SeqCst);
            d.record.say("the reader of the log of machine=0 pauses");
        }
        if pause_began.is_some_and(|at| at.elapsed() > PAUSE)
            && paused.swap(false, Ordering::SeqCst)
        {
            d.record.say("the reader of the log of machine=0 goes on");
        }
        let record = record.clone();
        callers.push(std::thread::spawn(move || {
            let end = send(&record, address, &Call::get("/list/today", 2_000));
            (end.status, end.took)
        }));
        std::thread::sleep(Duration::from_millis(1_000 / PER_SECOND));
    }
    let ends: Vec<(u16, Duration)> = callers.into_iter().filter_map(|c| c.join().ok()).collect();
    let at_timeout = Duration::from_millis(TIMEOUT_MS);
    let with_slack = Duration::from_millis(TIMEOUT_MS + SLACK_MS);
    let is_answered = |e: &(u16, Duration), by: Duration| e.0 != 0 && e.1 <= by;
    let open: Vec<_> = ends
        .iter()
        .filter(|e| !is_answered(e, at_timeout))
        .collect();
    let late = open.iter().filter(|e| !is_answered(e, with_slack)).count();
    let served = ends.iter().filter(|e| e.0 == 200).count();
    d.record.say(&format!(
        "requests={} served={served} unanswered at {TIMEOUT_MS} ms: {}, of these at {} ms: {late}",
        ends.len(),
        open.len(),
        TIMEOUT_MS + SLACK_MS
    ));
    d.record
        .say(&format!("machine=0 ready now: {}", is_ready(d.ready(0))));
    Ok(if late >= 8 && late * 2 > open.len() {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
