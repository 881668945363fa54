//! Heartbeats of other writers at the address for those of a back end.

use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};

use crate::SETTLE_TIMEOUT;
use crate::deployment::{Deployment, LISTING, ORDER, Reply};

/// A machine whose back end holds keys.
const KEYED: usize = 1;
/// A `born` that is later than that of any back end of the tests.
const LATER: u64 = 1_000;
/// Time in which a machine that has lost its keys would have them no more.
const HANDOVER_TIME: Duration = Duration::from_secs(3);
/// What a heartbeat has to contain.
const FIELDS: [&str; 11] = [
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "coldRemainingMs",
    "sequence",
    "born",
    "holds",
    "freed",
];

/// Returns a well-formed heartbeat in which all agrees with the settings of a machine.
fn heartbeat(deployment: &Deployment, machine: usize, state: &str) -> Value {
    json!({
        "service": stand_ins::layout::service(machine),
        "address": deployment.back_end_address(machine), "zone": "z", "version": "v1", "slots": 8,
        "state": state, "coldRemainingMs": 0, "sequence": 1, "born": LATER, "holds": [], "freed": []
    })
}

fn with(mut heartbeat: Value, field: &str, value: Value) -> Value {
    heartbeat[field] = value;
    heartbeat
}

fn without(mut heartbeat: Value, field: &str) -> Value {
    let fields = heartbeat.as_object_mut().expect("an object");
    fields.remove(field);
    heartbeat
}

fn incomplete(complete: &Value) -> Vec<Value> {
    let incomplete = |field: &&str| without(complete.clone(), field);
    FIELDS.iter().map(incomplete).collect()
}

fn of_another_type(complete: &Value) -> Vec<Value> {
    let fields = FIELDS.iter();
    let mut all: Vec<Value> = fields
        .map(|field| with(complete.clone(), field, Value::Null))
        .collect();
    all.push(with(complete.clone(), "zone", json!(["z"])));
    all.push(with(complete.clone(), "born", json!(LATER as f64 + 0.5)));
    all.push(with(complete.clone(), "holds", json!({"from": 0})));
    all
}

fn of_another_back_end(complete: &Value) -> Vec<Value> {
    let other = |field, value| with(complete.clone(), field, value);
    vec![
        other("service", json!("elsewhere")),
        other("service", json!("orders")),
        other("zone", json!("elsewhere")),
        other("address", json!("127.0.0.1:9")),
        other("state", json!("asleep")),
        other("born", json!(u64::MAX)),
    ]
}

/// Returns heartbeats that no parser takes, one of them nested more deeply than any stack is deep.
fn unreadable(complete: &Value) -> Vec<Vec<u8>> {
    let text = complete.to_string();
    let nested = text.replace("\"v1\"", &"[".repeat(200_000));
    let huge = text.replace("\"slots\":8", "\"slots\":1e999");
    let mut broken = text.clone().into_bytes();
    broken[3] = 0xff;
    vec![
        nested.into(),
        huge.into(),
        broken,
        text[..40].into(),
        vec![],
    ]
}

// Guards against: a heartbeat of another writer gives the keys of a back end a second holder.
#[rstest]
#[case::incomplete(140, incomplete)]
#[case::of_another_type(141, of_another_type)]
#[case::of_another_back_end(142, of_another_back_end)]
fn a_foreign_heartbeat_takes_no_keys_from_the_back_end(
    #[case] net: u8,
    #[case] shapes: fn(&Value) -> Vec<Value>,
    #[values("ready", "draining")] state: &str,
) {
    let net = if state == "ready" { net } else { net + 10 };
    let deployment = Deployment::start(net, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    let complete = heartbeat(&deployment, KEYED, state);
    let bodies = shapes(&complete).into_iter().map(|b| b.to_string().into());
    assert_keeps_its_keys(&deployment, bodies.collect());
}

// Guards against: a heartbeat that cannot be read ends the process or takes keys from the back end.
#[test]
fn an_unreadable_heartbeat_takes_no_keys_from_the_back_end() {
    let deployment = Deployment::start(143, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    let complete = heartbeat(&deployment, KEYED, "draining");
    assert_keeps_its_keys(&deployment, unreadable(&complete));
}

/// Returns a key that a back end holds.
fn key_of(deployment: &Deployment, back_end: &str) -> u16 {
    let mut keys = (0..60_000).step_by(1_000);
    let holds =
        |key: &u16| deployment.request(0, "GET", LISTING, Some(*key)).back_end() == back_end;
    keys.find(holds).expect("it holds some keys")
}

fn assert_keeps_its_keys(deployment: &Deployment, bodies: Vec<Vec<u8>>) {
    let key = key_of(deployment, "i-1");
    for (index, body) in bodies.iter().enumerate() {
        let status = deployment.send_heartbeat(KEYED, &format!("w-{index}"), body);
        assert_eq!(status, 400, "{}", String::from_utf8_lossy(body));
    }
    std::thread::sleep(HANDOVER_TIME);
    let reply = deployment.request(0, "GET", LISTING, Some(key));
    assert_eq!((reply.status, reply.back_end().as_str()), (200, "i-1"));
    assert!(
        deployment.key_violations().is_empty(),
        "{:?}",
        deployment.key_violations()
    );
    let refused = format!("plantaingauge_refused_heartbeats_total {}", bodies.len());
    assert!(deployment.metrics(KEYED).contains(&refused));
}

// Guards against: after a heartbeat that names another service, requests bear that one as their caller.
#[test]
fn a_heartbeat_of_another_service_does_not_change_the_caller_of_requests() {
    let deployment = Deployment::start(144, 4);
    deployment.await_serving(SETTLE_TIMEOUT);
    let foreign = with(
        heartbeat(&deployment, 0, "ready"),
        "service",
        json!("elsewhere"),
    );
    deployment.send_heartbeat(0, "w-77", foreign.to_string().as_bytes());
    for _ in 0..5 {
        let reply = deployment.request(0, "POST", ORDER, None);
        assert_eq!((reply.status, reply.caller().as_str()), (200, "orders"));
    }
}

// Guards against: a heartbeat of another writer, with nothing missing, gives keys a second holder.
#[test]
fn a_later_incarnation_is_not_believed_while_the_earlier_one_responds() {
    let deployment = Deployment::start(145, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    let key = key_of(&deployment, "i-1");
    let foreign = heartbeat(&deployment, KEYED, "draining").to_string();
    for _ in 0..10 {
        deployment.request(0, "GET", LISTING, Some(key));
        let status = deployment.send_heartbeat(KEYED, "w-77", foreign.as_bytes());
        assert_eq!(status, 503);
        std::thread::sleep(HANDOVER_TIME / 10);
    }
    let reply = deployment.request(0, "GET", LISTING, Some(key));
    assert_eq!((reply.status, reply.back_end().as_str()), (200, "i-1"));
    assert!(deployment.key_violations().is_empty());
}

#[test]
fn a_later_incarnation_takes_over_at_once_when_the_earlier_one_has_exited() {
    let mut deployment = Deployment::start(146, 3);
    deployment.await_serving(SETTLE_TIMEOUT);
    let key = key_of(&deployment, "i-1");
    deployment.request(0, "GET", LISTING, Some(key));
    deployment.crash_back_end(KEYED);
    deployment.restart_back_end(KEYED);
    let served = |reply: &Reply| reply.status == 200;
    deployment.await_reply(0, LISTING, Some(key), served, SETTLE_TIMEOUT);
    let refused = "plantaingauge_refused_heartbeats_total 0";
    assert!(deployment.metrics(KEYED).contains(refused));
    assert!(deployment.key_violations().is_empty());
}
