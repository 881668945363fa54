//! A back end sheds part of its requests and sends part of its answers a second time, late.
//! Rule REFUSED: a request that isn't idempotent is answered 503 and has run. Rule TWICE as well: it runs
//! more than once.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::back_end::Ailment;
use crate::caller::{Call, is_ready, send};
use crate::deployment::{Deployment, MachineSpec, Verdict, route, wait_for};

/// Time for which the back ends are ill, again and again.
const ILL: Duration = Duration::from_secs(5);
/// Time for which they are well in between.
const WELL: Duration = Duration::from_secs(4);
/// Time for which orders are sent.
const LENGTH: Duration = Duration::from_secs(72);
/// Time between two orders.
const GAP: Duration = Duration::from_millis(10);

pub fn run(case: &Path, trouble: bool) -> Result<Verdict, String> {
    let ill = |again| MachineSpec {
        ailing: trouble.then_some(Ailment { shed: 300, again }),
        ..MachineSpec::new("orders")
    };
    let specs = [MachineSpec::new("search"), ill(30), ill(0)];
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
    let (record, address) = (d.record.clone(), d.callers(0));
    let started = Instant::now();
    let mut calls = Vec::new();
    let mut was_ill = false;
    while started.elapsed() < LENGTH {
        let in_period = started.elapsed().as_millis() % (ILL + WELL).as_millis();
        let is_ill = in_period >= WELL.as_millis();
        if is_ill != was_ill {
            was_ill = is_ill;
            let word = if is_ill { "begin" } else { "end" };
            d.record
                .line(&format!("impairments of the back ends {word}"));
            for back_end in &d.back_ends[1..] {
                back_end.is_ill.store(is_ill, Ordering::SeqCst);
            }
        }
        let call = Call::post("/orders/new", 2_000);
        let (record, id) = (record.clone(), call.id.clone());
        calls.push((
            id,
            std::thread::spawn(move || send(&record, address, &call).status),
        ));
        std::thread::sleep(GAP);
    }
    let ends: Vec<(String, u16)> = calls
        .into_iter()
        .map(|(id, call)| (id, call.join().unwrap_or(0)))
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for back_end in &d.back_ends {
        for run in back_end.runs.lock().unwrap().iter() {
            *runs.entry(run.request.clone()).or_default() += 1;
        }
    }
    for (id, count) in runs.iter().filter(|(_, n)| **n > 1) {
        d.record.say(&format!("order id={id} ran {count} times"));
    }
    let twice = runs.values().filter(|n| **n > 1).count();
    let is_promise = |status: &u16| matches!(status, 408 | 421 | 429 | 503);
    let refused = ends
        .iter()
        .filter(|(id, s)| is_promise(s) && runs.contains_key(id))
        .count();
    let served = ends.iter().filter(|(_, s)| *s == 200).count();
    d.record.say(&format!(
        "orders={} served={served}; ran more than once: {twice}; refused as not run, though they ran: {refused}",
        ends.len()
    ));
    Ok(if refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
