//! What several tests of whole deployments need.

use std::time::Duration;

use bench::caller::Wish;
use bench::deployment::{self, Deployment, Spec};

/// Two zones with one keyed and one other back end each.
pub(crate) fn spec() -> Spec {
    let mut spec = deployment::plain(vec![("nord", "nord-a"), ("nord", "nord-b")], 1);
    spec.checks_fences = true;
    spec
}

/// A deployment that owns every shard.
pub(crate) async fn ready(spec: Spec) -> Deployment {
    let deployment = Deployment::start(spec).await.expect("a deployment");
    deployment.await_ready().await.expect("every shard owned");
    deployment
}

/// An order for one key.
pub(crate) fn order(request: &str, body: String) -> Wish {
    Wish {
        request: request.to_owned(),
        customer: Some("load".to_owned()),
        service: "keyed".to_owned(),
        operation: "put".to_owned(),
        key: Some("key-1".to_owned()),
        ticket: None,
        body: Some(body),
        deadline_ms: None,
        patience: Duration::from_secs(10),
    }
}

/// A lookup of the same key.
pub(crate) fn lookup(request: &str) -> Wish {
    Wish {
        operation: "get".to_owned(),
        body: None,
        ..order(request, String::new())
    }
}

/// Addresses of all daemons for callers.
pub(crate) fn entries(deployment: &Deployment) -> Vec<std::net::SocketAddr> {
    deployment
        .entries()
        .into_iter()
        .map(|(_, address)| address)
        .collect()
}
