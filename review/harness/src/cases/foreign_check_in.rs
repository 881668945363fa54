//! A check-in of another writer, with fields missing, comes to a machine whose back end holds keys.
//! Rule OWNER: two back ends that are up hold the same keys for over half a second.

use std::path::Path;
use std::time::Duration;

use serde_json::json;

use crate::back_end::{self, Hold, unix_ms};
use crate::caller::is_ready;
use crate::deployment::{Deployment, MachineSpec, Verdict, route, wait_for};

/// Longest time for which the rule lets two back ends hold the same keys.
const MAX_OVERLAP: Duration = Duration::from_millis(500);

pub fn run(case: &Path, trouble: bool) -> Result<Verdict, String> {
    let keyed = MachineSpec {
        sharded: true,
        ..MachineSpec::new("search")
    };
    let mut d = Deployment::new(case, &[keyed.clone(), keyed.clone(), keyed])?;
    d.configure(3, &[route("r-search", "/search/", "safe", 2_000, "search")]);
    d.start_all()?;
    let is_held = || d.back_ends.iter().map(|b| b.held_now()).sum::<u64>() >= 65_536;
    if !wait_for(Duration::from_secs(30), is_held) {
        return Err("the keys were not granted".to_owned());
    }
    std::thread::sleep(Duration::from_secs(6));
    for (i, b) in d.back_ends.iter().enumerate() {
        d.record.say(&format!(
            "holds machine={i} by={} keys={}",
            b.config.id,
            b.held_now()
        ));
    }
    if !(0..3).all(|i| is_ready(d.ready(i))) {
        return Err("a node is not ready".to_owned());
    }
    if trouble {
        // Without `zone` and `version`.
        let body = json!({
            "service": "search", "address": d.back_end_address(0), "slots": 12,
            "state": "draining", "coldRemainingMs": 0, "sequence": 1, "born": unix_ms(),
            "holds": [], "freed": []
        });
        let path = "/plantaingauge/Instances.Heartbeat/w-77";
        let answer = back_end::post(d.control(0), path, &body.to_string());
        let status = answer.map_or(0, |r| r.status);
        d.record.say(&format!(
            "check-in of another writer to machine=0 body={body} status={status}"
        ));
    }
    std::thread::sleep(Duration::from_secs(12));
    let mut worst = Duration::ZERO;
    let all: Vec<Vec<Hold>> = d.back_ends.iter().map(|b| b.holds()).collect();
    for (i, first) in all.iter().enumerate() {
        for (j, second) in all.iter().enumerate().skip(i + 1) {
            for a in first {
                for b in second.iter().filter(|b| a.from <= b.to && b.from <= a.to) {
                    let from = a.since.max(b.since);
                    let both = a.until.min(b.until).saturating_duration_since(from);
                    if !both.is_zero() {
                        d.record.say(&format!(
                            "both hold keys={}-{} machines={i},{j} fences={},{} for_ms={}",
                            a.from.max(b.from),
                            a.to.min(b.to),
                            a.fence,
                            b.fence,
                            both.as_millis()
                        ));
                    }
                    worst = worst.max(both);
                }
            }
        }
    }
    for (i, b) in d.back_ends.iter().enumerate() {
        d.record.say(&format!(
            "holds machine={i} by={} keys={}",
            b.config.id,
            b.held_now()
        ));
    }
    d.record.say(&format!(
        "longest time with two holders: {} ms",
        worst.as_millis()
    ));
    Ok(if worst > MAX_OVERLAP {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
