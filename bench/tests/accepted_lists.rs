//! Lists that one daemon accepts through its admin API spread to all daemons of the cell.

use std::net::SocketAddr;
use std::time::Duration;

use bench::deployment::{self, Deployment};
use bench::stand_in::platform::Faults;
use bytes::Bytes;
use daemon::admin_api::AcceptedLists;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::time::Instant;

async fn ready() -> Deployment {
    let zones = vec![("nord", "nord-a"), ("nord", "nord-b")];
    let deployment = Deployment::start(deployment::load_spec(zones, 1)).await;
    let deployment = deployment.expect("a deployment");
    deployment.await_ready().await.expect("every shard owned");
    deployment
}

fn versions(deployment: &Deployment) -> Vec<u64> {
    let daemons = deployment.nodes.values().filter_map(|n| n.daemon.as_ref());
    let lists = daemons.map(|d| d.shared().lists.load_full());
    lists.map(|l| l.map_or(0, |l| l.version)).collect()
}

/// Sends lists to the admin API at `address` and returns the status of the response.
async fn put_lists(address: SocketAddr, version: u64, text: &str) -> u16 {
    let lists = AcceptedLists {
        version,
        text: text.to_owned(),
    };
    let body = serde_json::to_vec(&lists).expect("JSON");
    let request = Request::put(format!("http://{address}/v1/lists"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let answer = client.request(request).await.expect("an answer");
    answer.status().as_u16()
}

/// Admin address of a daemon that is not the coordinator, and the text of its lists.
async fn member_and_text(deployment: &Deployment) -> (SocketAddr, String) {
    let coordinator = deployment.coordinator().await.expect("a coordinator");
    let mut nodes = deployment.nodes.iter();
    let (_, node) = nodes
        .find(|(name, _)| **name != coordinator)
        .expect("a member");
    let daemon = node.daemon.as_ref().expect("a daemon");
    let lists = daemon.shared().lists.load_full().expect("lists");
    (daemon.listen().admin, lists.text.clone())
}

#[tokio::test(flavor = "multi_thread")]
async fn lists_reach_every_daemon_while_the_store_is_down() {
    let deployment = ready().await;
    deployment.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let (member, text) = member_and_text(&deployment).await;
    let text = text.replacen("[customers]\n", "[customers]\nlate = \"all\"\n", 1);
    assert_eq!(put_lists(member, 7, &text).await, 204);
    let until = Instant::now() + Duration::from_secs(5);
    while versions(&deployment).iter().any(|v| *v != 7) {
        assert!(Instant::now() < until, "{:?}", versions(&deployment));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    deployment.kill_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn outdated_or_invalid_lists_are_not_applied() {
    let deployment = ready().await;
    let (member, text) = member_and_text(&deployment).await;
    assert_eq!(put_lists(member, 7, &text).await, 204);
    assert_eq!(put_lists(member, 6, &text).await, 204);
    assert_eq!(put_lists(member, 8, "[customers]\nlate = 3\n").await, 400);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(
        versions(&deployment).iter().all(|v| *v == 7),
        "{:?}",
        versions(&deployment)
    );
    deployment.kill_all().await;
}
