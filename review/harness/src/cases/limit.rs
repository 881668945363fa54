//! The process beside a back end that names its `Server-Limit` is killed and started again.
//! Rule LIMIT: from `stabilityWindowMs` after a back end first named its limit, it gets in some 4 s more
//! than one and a half times what that allows, and 5 requests, from machines that had passed on such an
//! answer.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::caller::{Call, is_ready, send};
use crate::deployment::{Deployment, MachineSpec, Output, Verdict, route, wait_for};

/// Requests in a second that the back end takes.
const LIMIT: f64 = 1.0;
/// Time over which the rule counts.
const WINDOW: Duration = Duration::from_secs(4);
/// `stabilityWindowMs` of the settings.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Time between two requests of the callers.
const GAP: Duration = Duration::from_millis(25);

pub fn run(case: &Path, trouble: bool) -> Result<Verdict, String> {
    let archive = MachineSpec {
        work: Duration::from_millis(640),
        slots: 18,
        limit: Some("1"),
        ..MachineSpec::new("archive")
    };
    let mut d = Deployment::new(case, &[MachineSpec::new("search"), archive])?;
    d.configure(
        3,
        &[route("r-archive", "/archive/", "safe", 5_000, "archive")],
    );
    d.start_all()?;
    let served = || send(&d.record, d.callers(0), &Call::get("/archive/1", 5_000)).status == 200;
    if !wait_for(Duration::from_secs(20), || is_ready(d.ready(0)) && served()) {
        return Err("requests are not served".to_owned());
    }
    let named = d.record.elapsed();
    let started = Instant::now();
    let mut killed = false;
    let mut callers = Vec::new();
    while started.elapsed() < Duration::from_secs(20) {
        if trouble && !killed && started.elapsed() > Duration::from_secs(10) {
            killed = true;
            d.signal(1, "KILL");
            std::thread::sleep(Duration::from_millis(500));
            d.start_node(1, false, Output::File)?;
        }
        let (record, address) = (d.record.clone(), d.callers(0));
        callers.push(std::thread::spawn(move || {
            send(&record, address, &Call::get("/archive/x", 5_000)).status
        }));
        std::thread::sleep(GAP);
    }
    let served = callers
        .into_iter()
        .filter_map(|c| c.join().ok())
        .filter(|s| *s == 200)
        .count();
    let runs = d.back_ends[1].runs.lock().unwrap();
    let times: Vec<Duration> = runs
        .iter()
        .map(|r| r.at)
        .filter(|at| *at > named + STABILITY_WINDOW)
        .collect();
    let in_window = |from: &Duration| {
        times
            .iter()
            .filter(|t| *t >= from && **t < *from + WINDOW)
            .count()
    };
    let most = times.iter().map(in_window).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    d.record.say(&format!(
        "served={served}; most arrivals in 4 s: {most}, allowed: {allowed}"
    ));
    Ok(if most as f64 > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
