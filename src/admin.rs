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

/// Timeout of one request, from connecting to the end of the response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Error of a request to a daemon's admin API.
#[derive(Debug, Snafu)]
pub(crate) enum AdminError {
    /// The request could not be sent, timed out or got a status other than success.
    #[snafu(display("request to the daemon at {address} failed: {reason}"))]
    RequestFailed { address: SocketAddr, reason: String },
    /// The response body is not a valid status document.
    #[snafu(display("the daemon at {address} sent a malformed status: {source}"))]
    Malformed {
        address: SocketAddr,
        source: serde_json::Error,
    },
}

/// Fetches a daemon's status.
pub(crate) async fn status(address: SocketAddr) -> Result<Status, AdminError> {
    let request = Request::get(format!("http://{address}/v1/status"));
    let body = exchange(address, request, Bytes::new()).await?;
    serde_json::from_slice(&body).context(MalformedSnafu { address })
}

/// Sends a daemon lists that the store has accepted.
pub(crate) async fn put_lists(
    address: SocketAddr,
    lists: &AcceptedLists,
) -> Result<(), AdminError> {
    let request = Request::put(format!("http://{address}/v1/lists"))
        .header(http::header::CONTENT_TYPE, "application/json");
    let body = serde_json::to_vec(lists).unwrap_or_default();
    exchange(address, request, body.into()).await.map(drop)
}

/// Sends a request with the given body and returns the body of a successful response.
async fn exchange(
    address: SocketAddr,
    request: http::request::Builder,
    body: Bytes,
) -> Result<Bytes, AdminError> {
    let request_failed = |reason: String| AdminError::RequestFailed { address, reason };
    let request = request
        .body(Full::new(body))
        .map_err(|e| request_failed(e.to_string()))?;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let response_body = async {
        let response = client
            .request(request)
            .await
            .map_err(|e| request_failed(e.to_string()))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|e| request_failed(e.to_string()))?.to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        let reason = String::from_utf8_lossy(&body);
        Err(request_failed(format!("status {status}: {reason}")))
    };
    let result = tokio::time::timeout(REQUEST_TIMEOUT, response_body).await;
    result.map_err(|_| request_failed("timeout".to_owned()))?
}
