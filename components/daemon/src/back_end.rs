//! HTTP client of the back end on this daemon's machine.
//!
//! Keyed requests carry their fencing token, lease session and lease end, so that a back end
//! which checks them rejects at commit the writes of a former owner. Lease ends are instants of
//! the machine's boot clock, which both processes read.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use peers::wire::RequestHead;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use world::key::{Fence, Shard};

use crate::lease::Lease;

/// Header with the customer's name.
pub const CUSTOMER: HeaderName = HeaderName::from_static("pg-customer");
/// Header with the key in hexadecimal.
pub const KEY: HeaderName = HeaderName::from_static("pg-key");
/// Header with the number of the key's shard.
pub const SHARD: HeaderName = HeaderName::from_static("pg-shard");
/// Header with the fence of the shard's grant.
pub const FENCE: HeaderName = HeaderName::from_static("pg-fence");
/// Header with the lease session.
pub const SESSION: HeaderName = HeaderName::from_static("pg-session");
/// Header with the lease end in milliseconds of the machine's boot clock.
pub const LEASE_UNTIL: HeaderName = HeaderName::from_static("pg-lease-until");
/// Header with the time that remains until the deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("pg-deadline-ms");
/// Header with the ticket of an order.
pub const ORDER: HeaderName = HeaderName::from_static("pg-order");
/// Response header which states that the request did not run, with the reason.
pub const NOT_RUN: HeaderName = HeaderName::from_static("pg-not-run");

/// Longest wait for the back end's response to a lease extension.
const EXTEND_LEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// Chunks of a streamed body that are queued before its sender has to wait.
const BODY_CHUNKS: usize = 4;

/// Body of a request that the daemon forwards.
#[derive(Debug)]
pub enum Body {
    /// The complete body, which can be sent again.
    Buffered(Bytes),
    /// A body that is still being received; an error ends it early.
    Stream(mpsc::Receiver<Result<Bytes, BodyTruncated>>),
}

/// The body ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the body was cut short"))]
pub struct BodyTruncated;

impl Body {
    /// Creates a streamed body and the sender of its chunks.
    #[must_use]
    pub fn channel() -> (mpsc::Sender<Result<Bytes, BodyTruncated>>, Self) {
        let (sender, receiver) = mpsc::channel(BODY_CHUNKS);
        (sender, Self::Stream(receiver))
    }

    fn into_http(self) -> BoxBody<Bytes, BodyTruncated> {
        match self {
            Body::Buffered(bytes) => Full::new(bytes).map_err(|e| match e {}).boxed(),
            Body::Stream(receiver) => {
                use futures::StreamExt;
                let frames = ReceiverStream::new(receiver).map(|chunk| chunk.map(Frame::data));
                BodyExt::boxed(StreamBody::new(frames))
            }
        }
    }
}

/// Period of ownership of a shard under which a keyed request is sent.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    /// Shard of the key.
    pub shard: Shard,
    /// Fence of the grant.
    pub fence: Fence,
}

/// Why a request got no response from the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BackEndError {
    /// No connection could be opened: nothing was sent.
    #[snafu(display("the back end refuses connections"))]
    Refused,
    /// The connection ended before the response: the request may have run.
    #[snafu(display("the back end closed the connection before it answered"))]
    ConnectionLost,
}

/// HTTP client with pooled connections.
#[derive(Clone, Debug)]
pub struct BackEndClient {
    client: Client<HttpConnector, BoxBody<Bytes, BodyTruncated>>,
}

impl Default for BackEndClient {
    fn default() -> Self {
        Self::new()
    }
}

impl BackEndClient {
    /// Creates a client; connections are opened on first use.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// `Refused` when nothing was sent, `ConnectionLost` when the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        head: &RequestHead,
        tenure: Option<Tenure>,
        lease: Lease,
        body: Body,
    ) -> Result<Response<Incoming>, BackEndError> {
        let request =
            build_request(address, head, tenure, lease, body).ok_or(BackEndError::Refused)?;
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                BackEndError::Refused
            } else {
                BackEndError::ConnectionLost
            }
        })
    }

    /// Sends the new end of the lease session to the back end. A failure is only logged.
    pub async fn extend_lease(&self, address: SocketAddr, lease: Lease) {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/pg/lease"))
            .header(SESSION, lease.session)
            .header(LEASE_UNTIL, lease.until.as_millis())
            .body(Body::Buffered(Bytes::new()).into_http());
        let Ok(request) = request else { return };
        let sent = tokio::time::timeout(EXTEND_LEASE_TIMEOUT, self.client.request(request)).await;
        if !matches!(sent, Ok(Ok(_))) {
            log::debug!(event = "lease_extension_failed", session = lease.session; "");
        }
    }
}

/// Returns whether a response proves that the request did not run.
#[must_use]
pub fn proves_not_run<B>(response: &Response<B>) -> bool {
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
        || response.status() == StatusCode::CONFLICT;
    refused && response.headers().contains_key(NOT_RUN)
}

fn build_request(
    address: SocketAddr,
    head: &RequestHead,
    tenure: Option<Tenure>,
    lease: Lease,
    body: Body,
) -> Option<Request<BoxBody<Bytes, BodyTruncated>>> {
    let separator = if head.query.is_empty() { "" } else { "?" };
    let uri = format!(
        "http://{address}/{}{separator}{}",
        head.operation, head.query
    );
    let mut request = Request::builder()
        .method(head.method.as_str())
        .uri(uri)
        .header(CUSTOMER, &head.customer)
        .header(DEADLINE, head.deadline_ms);
    if !head.content_type.is_empty() {
        request = request.header(http::header::CONTENT_TYPE, &head.content_type);
    }
    if let Some(tenure) = tenure {
        request = request
            .header(KEY, hex(&head.key))
            .header(SHARD, tenure.shard.0)
            .header(FENCE, tenure.fence.0)
            .header(SESSION, lease.session)
            .header(LEASE_UNTIL, lease.until.as_millis());
    }
    if head.order {
        request = request.header(ORDER, &head.ticket);
    }
    request.body(body.into_http()).ok()
}

/// Returns bytes as lower-case hexadecimal text.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
