//! The open channels to the store go silent; later the operator moves a route to another service.
//! Rule CONFIG: a request sent later than `configApplyMs` after the confirmation of a version is handled
//! as only an older version allows.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::caller::{Call, is_ready, send};
use crate::deployment::{Deployment, MachineSpec, STORE_PORT, Verdict, route, wait_for};
use crate::proxy::Proxy;

/// `configApplyMs` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// `stabilityWindowMs` of the settings and a second.
const SETTLE: Duration = Duration::from_millis(4_000);

pub fn run(case: &Path, trouble: bool) -> Result<Verdict, String> {
    let specs = [
        MachineSpec::new("old"),
        MachineSpec::new("new"),
        MachineSpec::new("other"),
    ];
    let mut d = Deployment::new(case, &specs)?;
    let through = d.net.address(201, STORE_PORT);
    let proxy = Proxy::start(through, d.store.address);
    d.set_store_address(through);
    d.configure(3, &[route("r-orders", "/orders/", "unsafe", 2_000, "old")]);
    d.start_all()?;
    let served = || {
        (0..3).all(|i| send(&d.record, d.callers(i), &Call::post("/orders/1", 2_000)).status == 200)
    };
    if !wait_for(Duration::from_secs(20), || is_ready(d.ready(0)) && served()) {
        return Err("requests are not served".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));
    if trouble {
        proxy.silence_open();
        d.record.say("the open channels to the store go silent");
    }
    std::thread::sleep(SETTLE);
    d.configure(8, &[route("r-orders", "/orders/", "unsafe", 2_000, "new")]);
    let confirmed = Instant::now();
    let mut stale = 0;
    let mut sent = 0;
    let mut last_stale = Duration::ZERO;
    while confirmed.elapsed() < Duration::from_secs(35) {
        for machine in 0..3 {
            let call = Call::post("/orders/new", 2_000);
            let at = confirmed.elapsed();
            send(&d.record, d.callers(machine), &call);
            let by_old = d.back_ends[0]
                .runs
                .lock()
                .unwrap()
                .iter()
                .any(|r| r.request == call.id);
            if at > CONFIG_APPLY {
                sent += 1;
                stale += u32::from(by_old);
                if by_old {
                    last_stale = at;
                }
            }
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    d.record.say(&format!(
        "requests sent later than {} ms after the confirmation: {sent}, of these run by the old service: {stale}, the last {} ms after it",
        CONFIG_APPLY.as_millis(), last_stale.as_millis()
    ));
    Ok(if stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
