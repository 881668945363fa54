//! Helpers for tests of whole deployments.

use std::time::Duration;

use bench::caller::CallerRequest;
use bench::deployment::{self, Deployment, Spec};

/// Two zones, each with a back end of a keyed service and one of a service without keys.
pub(crate) fn spec() -> Spec {
    let mut spec = deployment::load_spec(vec![("nord", "nord-a"), ("nord", "nord-b")], 1);
    spec.checks_fences = true;
    spec
}

/// Starts a deployment and waits until every shard is owned.
pub(crate) async fn ready(spec: Spec) -> Deployment {
    let deployment = Deployment::start(spec).await.expect("a deployment");
    deployment.await_ready().await.expect("every shard owned");
    deployment
}

/// An order for one key.
pub(crate) fn order(id: &str, body: String) -> CallerRequest {
    CallerRequest {
        id: id.to_owned(),
        customer: Some("load".to_owned()),
        service: "keyed".to_owned(),
        operation: "put".to_owned(),
        key: Some("key-1".to_owned()),
        ticket: None,
        body: Some(body),
        deadline_ms: None,
        timeout: Duration::from_secs(10),
    }
}

/// A lookup of the key that `order` uses.
pub(crate) fn lookup(id: &str) -> CallerRequest {
    CallerRequest {
        operation: "get".to_owned(),
        body: None,
        ..order(id, String::new())
    }
}

/// Caller addresses of all running daemons.
pub(crate) fn entries(deployment: &Deployment) -> Vec<std::net::SocketAddr> {
    deployment
        .entries()
        .into_iter()
        .map(|(_, address)| address)
        .collect()
}
