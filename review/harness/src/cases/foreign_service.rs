//! A check-in of another writer names a service that no configuration has.
//! Rule UNASKED: a back end runs a request whose `Caller-Service` isn't the service of the machine
//! where the request began.

use std::path::Path;
use std::time::Duration;

use serde_json::json;

use crate::back_end::{self, unix_ms};
use crate::caller::{Call, is_ready, send};
use crate::deployment::{Deployment, MachineSpec, Verdict, route, wait_for};

pub fn run(case: &Path, trouble: bool) -> Result<Verdict, String> {
    let specs = [
        MachineSpec::new("search"),
        MachineSpec::new("orders"),
        MachineSpec::new("orders"),
    ];
    let mut d = Deployment::new(case, &specs)?;
    let routes = [
        route("r-orders", "/orders/", "unsafe", 2_000, "orders"),
        route("r-search", "/search/", "safe", 2_000, "search"),
    ];
    d.configure(3, &routes);
    d.start_all()?;
    let served = |path: &str| send(&d.record, d.callers(0), &Call::get(path, 2_000)).status == 200;
    if !wait_for(Duration::from_secs(20), || {
        is_ready(d.ready(0)) && served("/search/1") && served("/orders/1")
    }) {
        return Err("requests are not served".to_owned());
    }
    if trouble {
        let body = json!({
            "service": "elsewhere", "address": d.back_end_address(0), "zone": "z1", "version": "v1",
            "slots": 12, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": unix_ms(),
            "holds": [], "freed": []
        });
        let path = "/plantaingauge/Instances.Heartbeat/w-77";
        let answer = back_end::post(d.control(0), path, &body.to_string());
        let status = answer.map_or(0, |r| r.status);
        d.record.say(&format!(
            "check-in of another writer to machine=0 body={body} status={status}"
        ));
    }
    // Three seconds later, when two more check-ins of the back end have come.
    std::thread::sleep(Duration::from_secs(4));
    let mut failed = 0;
    for i in 0..20 {
        let order = send(&d.record, d.callers(0), &Call::post("/orders/new", 2_000)).status;
        let search = send(&d.record, d.callers(1), &Call::get("/search/x", 2_000)).status;
        failed += u32::from(order != 200) + u32::from(search != 200);
        if i == 0 {
            d.record
                .say(&format!("first order: {order}, first search: {search}"));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let mut wrong = 0;
    for b in &d.back_ends {
        let runs = b.runs.lock().unwrap();
        wrong += runs
            .iter()
            .filter(|r| r.service == "orders" && r.caller != "search")
            .count();
    }
    d.record.say(&format!("orders run with another Caller-Service than the machine's: {wrong}; requests not served: {failed}"));
    Ok(if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
