//! Client of a daemon's admin API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daemon::status::Status;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use snafu::{ResultExt, Snafu};

/// Longest wait for a daemon's answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Why a daemon's status can't be had.
#[derive(Debug, Snafu)]
pub(crate) enum AdminError {
    /// The daemon does not answer.
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
    let no_answer = |reason: String| AdminError::NoAnswer { address, reason };
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let request = Request::get(format!("http://{address}/v1/status"))
        .body(Empty::new())
        .map_err(|e| no_answer(e.to_string()))?;
    let exchange = async {
        let response = client
            .request(request)
            .await
            .map_err(|e| no_answer(e.to_string()))?;
        let body = response.into_body().collect().await;
        Ok(body.map_err(|e| no_answer(e.to_string()))?.to_bytes())
    };
    let timeout = tokio::time::timeout(TIMEOUT, exchange).await;
    let body = timeout.map_err(|_| no_answer("timeout".to_owned()))??;
    serde_json::from_slice(&body).context(MalformedSnafu { address })
}
