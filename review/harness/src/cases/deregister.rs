//! A back end leaves, and the process beside it is killed and started again while it serves on.
//! Rule DRAIN: a request reaches a back end later than `drainMs` after a machine in touch acknowledged
//! that it leaves, taken from the requester and sent on by machines in touch.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::caller::{Call, is_ready, send};
use crate::deployment::{Deployment, MachineSpec, Output, Verdict, route, wait_for};

/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_500);
/// `stabilityWindowMs` of the settings.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Delay of the last check-in before the back end left.
const LATE: Duration = Duration::from_secs(2);
/// Time from the confirmation to the kill.
const KILL_AFTER: Duration = Duration::from_millis(300);
/// Time from the kill to the next start.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Time for which the back end serves on.
const SERVES_ON: Duration = Duration::from_secs(10);

pub fn run(case: &Path, trouble: bool) -> Result<Verdict, String> {
    let orders = MachineSpec {
        work: Duration::from_millis(300),
        ..MachineSpec::new("orders")
    };
    let specs = [MachineSpec::new("search"), orders.clone(), orders];
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
    let stop = Arc::new(AtomicBool::new(false));
    let (record, address, stopped) = (d.record.clone(), d.callers(0), stop.clone());
    let traffic = std::thread::spawn(move || {
        let mut sent = Vec::new();
        while !stopped.load(Ordering::SeqCst) {
            let call = Call::post("/orders/new", 2_000);
            let (record, id) = (record.clone(), call.id.clone());
            let status = std::thread::spawn(move || send(&record, address, &call).status);
            sent.push((id, Instant::now(), status));
            std::thread::sleep(Duration::from_millis(50));
        }
        sent
    });
    std::thread::sleep(Duration::from_secs(5));
    if !d.back_ends[1].deregister(LATE) {
        return Err("leaving was not confirmed".to_owned());
    }
    let confirmed = Instant::now();
    d.record.say(&format!(
        "leaving of {} confirmed by machine=1",
        d.back_ends[1].config.id
    ));
    // From when requests count.
    let mut from = confirmed + DRAIN;
    if trouble {
        std::thread::sleep(KILL_AFTER);
        d.signal(1, "KILL");
        std::thread::sleep(RESTART_AFTER);
        d.start_node(1, false, Output::File)?;
        from = from.max(Instant::now() + STABILITY_WINDOW);
    }
    std::thread::sleep(SERVES_ON.saturating_sub(confirmed.elapsed()));
    let running = d.back_ends[1].exit();
    d.record.say(&format!(
        "{} exits; it was running {running} orders",
        d.back_ends[1].config.id
    ));
    stop.store(true, Ordering::SeqCst);
    let sent = traffic.join().map_err(|_| "no traffic")?;
    let runs: Vec<String> = d.back_ends[1]
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|r| r.request.clone())
        .collect();
    let (mut counted, mut late, mut lost) = (0, 0, 0);
    for (id, at, status) in sent {
        let status = status.join().unwrap_or(0);
        let by_leaving = runs.contains(&id);
        if at > from {
            counted += 1;
            late += u32::from(by_leaving);
            lost += u32::from(by_leaving && status != 200);
        }
    }
    d.record.say(&format!(
        "orders sent later than {} ms after the confirmation: {counted}, of these run by the back end that leaves: {late}, of these without its answer: {lost}",
        from.duration_since(confirmed).as_millis()
    ));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
