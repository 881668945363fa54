//! Planned stops and coordinator failover must not lose or repeat requests of callers.

mod common;

use std::time::Duration;

use bench::caller::{Caller, CallerRequest, Outcome};
use bench::deployment::{Deployment, Spec};
use bench::stand_in::platform::Faults;
use tokio::task::JoinHandle;

use crate::common::{entries, lookup, order, ready, spec};

/// A deployment whose back ends are slow enough that requests are in flight when a daemon stops.
fn slow_spec() -> Spec {
    let mut spec = spec();
    for service in &mut spec.services {
        service.service_time = Duration::from_millis(150);
    }
    spec
}

/// Sends orders and lookups of one key, stops a daemon after a third of them, and asserts that all
/// are answered.
async fn assert_stop_unnoticed(mut deployment: Deployment, name: &str) {
    let entries = entries(&deployment);
    let mut running = Vec::new();
    let mut stop: Option<JoinHandle<()>> = None;
    for number in 0..30 {
        let request = if number % 2 == 0 {
            order(&format!("{number}"), "amount=1".to_owned())
        } else {
            lookup(&format!("{number}"))
        };
        let entries = entries.clone();
        running.push(tokio::spawn(async move {
            Caller::new().send_with_retries(&entries, &request).await
        }));
        tokio::time::sleep(Duration::from_millis(10)).await;
        if number == 10 {
            stop = deployment.stop(name);
        }
    }
    for task in running {
        let report = task.await.expect("a report");
        assert!(matches!(report.outcome, Outcome::Answered(_)), "{report:?}");
    }
    stop.expect("a stop").await.expect("stopped");
    deployment.kill_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request() {
    let deployment = ready(slow_spec()).await;
    let owner = deployment.owner_of("keyed", b"key-1").expect("an owner");
    assert_stop_unnoticed(deployment, &owner).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_while_the_store_is_down_cuts_off_no_request() {
    let deployment = ready(slow_spec()).await;
    let coordinator = deployment.coordinator().await.expect("a coordinator");
    let names = deployment.nodes.keys().cloned();
    let mut members = names.filter(|name| *name != coordinator);
    let member = members.find(|name| name.ends_with("keyed"));
    let member = member.expect("a keyed member");
    deployment.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert_stop_unnoticed(deployment, &member).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_next_owner_goes_on_with_orders_after_a_planned_stop() {
    let mut deployment = ready(spec()).await;
    let owner = deployment.owner_of("keyed", b"key-1").expect("an owner");
    let caller = Caller::new();
    let entries = entries(&deployment);
    let ran = caller
        .send_with_retries(&entries, &order("1", "amount=5".to_owned()))
        .await;
    let unused = caller
        .obtain_ticket(&entries, &order("2", "amount=7".to_owned()))
        .await;
    assert!(unused.is_some());
    deployment
        .stop(&owner)
        .expect("a stop")
        .await
        .expect("stopped");
    let repeated = CallerRequest {
        ticket: ran.ticket.clone(),
        ..order("1", "amount=5".to_owned())
    };
    let again = caller.send_with_retries(&entries, &repeated).await;
    assert_eq!(ran.outcome, again.outcome, "{again:?}");
    let started = CallerRequest {
        ticket: unused,
        ..order("2", "amount=7".to_owned())
    };
    let second = caller.send_with_retries(&entries, &started).await;
    assert!(matches!(second.outcome, Outcome::Answered(_)), "{second:?}");
    assert_eq!(deployment.recorder.len(), 2);
    deployment.kill_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_goes_on_with_its_orders_after_the_coordinator_is_lost() {
    let mut deployment = ready(spec()).await;
    let coordinator = deployment.coordinator().await.expect("a coordinator");
    let mut keys = (0..64).map(|number| format!("key-{number}"));
    let elsewhere = |key: &String| {
        let owner = deployment.owner_of("keyed", key.as_bytes());
        owner.is_some_and(|owner| owner != coordinator)
    };
    let key = keys.find(elsewhere).expect("a key of another machine");
    let request = CallerRequest {
        key: Some(key),
        ..order("1", "amount=5".to_owned())
    };
    let caller = Caller::new();
    let ran = caller
        .send_with_retries(&entries(&deployment), &request)
        .await;
    assert!(matches!(ran.outcome, Outcome::Answered(_)), "{ran:?}");
    deployment.kill(&coordinator).await;
    let remaining: Vec<_> = deployment.entries();
    let remaining = remaining
        .into_iter()
        .filter(|(name, _)| *name != coordinator);
    let remaining: Vec<_> = remaining.map(|(_, address)| address).collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let repeated = CallerRequest {
        ticket: ran.ticket.clone(),
        ..request
    };
    let again = caller.send_with_retries(&remaining, &repeated).await;
    assert_eq!(ran.outcome, again.outcome, "{again:?}");
    assert_eq!(deployment.recorder.len(), 1);
    deployment.kill_all().await;
}
