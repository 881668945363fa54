//! A back end starts again under its id while the time of day is set back, and later leaves.
//! Rule DRAIN: a request reaches a back end later than `drainMs` after a machine in touch acknowledged
//! that it is `draining`.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::back_end::{BackEnd, unix_ms};
use crate::caller::{Call, is_ready, send};
use crate::deployment::{Deployment, MachineSpec, Verdict, route, wait_for};

/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_500);
/// How far the time of day was ahead when the first boot began, in milliseconds.
const AHEAD_MS: u64 = 2_000;
/// Time between two requests.
const GAP: Duration = Duration::from_millis(400);

pub fn run(case: &Path, trouble: bool) -> Result<Verdict, String> {
    let specs = [MachineSpec::new("search"), MachineSpec::new("orders")];
    let mut d = Deployment::new(case, &specs)?;
    d.configure(
        3,
        &[route("r-orders", "/orders/", "unsafe", 2_000, "orders")],
    );
    d.start_all()?;
    let served = || send(&d.record, d.callers(0), &Call::post("/orders/1", 2_000)).status == 200;
    if !wait_for(Duration::from_secs(20), || is_ready(d.ready(0)) && served()) {
        return Err("requests are not served".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let config = d.back_ends[1].config.clone();
    let restart = |old: &BackEnd, born: u64| -> Arc<BackEnd> {
        old.exit();
        std::thread::sleep(Duration::from_millis(300));
        BackEnd::start_born(config.clone(), &d.record, born)
    };
    let ahead = if trouble { AHEAD_MS } else { 0 };
    let first = restart(&d.back_ends[1], unix_ms() + ahead);
    d.record.say("first boot, while the time of day is ahead");
    std::thread::sleep(Duration::from_millis(1_000));
    let second = restart(&first, unix_ms());
    d.record
        .say("second boot under the same id, after the time of day was set back");
    let mut ends = Vec::new();
    let mut confirmed: Option<Instant> = None;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(16) {
        if started.elapsed() > Duration::from_secs(5) {
            second.draining.store(true, Ordering::SeqCst);
        }
        if confirmed.is_none() && second.drain_confirmed.load(Ordering::SeqCst) > 0 {
            confirmed = Some(Instant::now());
            d.record.say("draining confirmed");
        }
        let call = Call::post("/orders/new", 2_000);
        let at = Instant::now();
        let status = send(&d.record, d.callers(0), &call).status;
        ends.push((call.id, at, status));
        std::thread::sleep(GAP);
    }
    let confirmed = confirmed.ok_or("draining was not confirmed")?;
    let runs = second.runs.lock().unwrap();
    let late = ends
        .iter()
        .filter(|(id, at, _)| *at > confirmed + DRAIN && runs.iter().any(|r| r.request == *id))
        .count();
    let before = ends.iter().filter(|(_, at, _)| *at < confirmed).count();
    let served = ends
        .iter()
        .filter(|(_, at, s)| *at < confirmed && *s == 200)
        .count();
    d.record.say(&format!(
        "before it left {served} of {before} orders were served; late orders run by it: {late}"
    ));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
