//! Client of a daemon's admin API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daemon::admin_api::AcceptedLists;
use daemon::status::Status;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use snafu::{ResultExt, Snafu};

/// Longest wait for a daemon's answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Why a call of a daemon failed.
#[derive(Debug, Snafu)]
pub(crate) enum AdminError {
    /// The daemon does not answer, or refuses.
    #[snafu(display("no answer from the daemon at {address}: {reason}"))]
    NoAnswer { address: SocketAddr, reason: String },
    /// The answer is not understood.
    #[snafu(display("the daemon at {address} sent a status that is not understood: {source}"))]
    Malformed {
        address: SocketAddr,
        source: serde_json::Error,
    },
}

/// Asks a daemon for its status.
pub(crate) async fn status(address: SocketAddr) -> Result<Status, AdminError> {
    let request = Request::get(format!("http://{address}/v1/status"));
    let body = exchange(address, request, Bytes::new()).await?;
    serde_json::from_slice(&body).context(MalformedSnafu { address })
}

/// Tells a daemon of lists that the store has accepted.
pub(crate) async fn tell_lists(
    address: SocketAddr,
    lists: &AcceptedLists,
) -> Result<(), AdminError> {
    let request = Request::put(format!("http://{address}/v1/lists"))
        .header(http::header::CONTENT_TYPE, "application/json");
    let body = serde_json::to_vec(lists).unwrap_or_default();
    exchange(address, request, body.into()).await.map(drop)
}

async fn exchange(
    address: SocketAddr,
    request: http::request::Builder,
    body: Bytes,
) -> Result<Bytes, AdminError> {
    let no_answer = |reason: String| AdminError::NoAnswer { address, reason };
    let request = request
        .body(Full::new(body))
        .map_err(|e| no_answer(e.to_string()))?;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let exchange = async {
        let response = client
            .request(request)
            .await
            .map_err(|e| no_answer(e.to_string()))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|e| no_answer(e.to_string()))?.to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        let reason = String::from_utf8_lossy(&body);
        Err(no_answer(format!("status {status}: {reason}")))
    };
    let timeout = tokio::time::timeout(TIMEOUT, exchange).await;
    timeout.map_err(|_| no_answer("timeout".to_owned()))?
}
