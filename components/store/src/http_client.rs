//! HTTP client of the store.
//!
//! `GET /objects/NAME` reads, `PUT /objects/NAME` with `if-version` updates, and
//! `GET /objects/NAME?above=VERSION&wait_ms=MS` watches. The version comes in the header
//! `object-version`; a conflict is status 409, an absent object 404, an expired watch 204.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::client::{Object, PutOutcome, Store, StoreError};
use crate::count::{CallCounter, CallCounts};

/// Header of responses with the object's version.
pub const VERSION_HEADER: &str = "object-version";

/// Header of updates with the version that the object must have.
pub const EXPECTED_VERSION_HEADER: &str = "if-version";

/// Largest object in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Timeout of a read or an update.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Time allowed beyond a watch's own wait for its response to arrive.
const WATCH_GRACE: Duration = Duration::from_millis(500);

/// Client of the store at one address.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    calls: Arc<CallCounter>,
}

struct StoreResponse {
    status: StatusCode,
    version: u64,
    body: Bytes,
}

impl HttpStore {
    /// Makes a client; it connects on the first request.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self {
            address,
            client,
            calls: Arc::default(),
        }
    }

    /// Returns the counts of requests made by this client and its clones.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.calls.counts()
    }

    async fn send(
        &self,
        name: &str,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let result = match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(Ok(response)) => check_status(name, response),
            Ok(Err(reason)) => no_response(name, &reason),
            Err(_) => no_response(name, "timeout"),
        };
        if result.is_err() {
            self.calls.add_failure();
        }
        result
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<StoreResponse, String> {
        let response = self
            .client
            .request(request)
            .await
            .map_err(|e| e.to_string())?;
        let status = response.status();
        let version = response
            .headers()
            .get(VERSION_HEADER)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let body = Limited::new(response.into_body(), MAX_OBJECT_BYTES);
        let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
        Ok(StoreResponse {
            status,
            version,
            body,
        })
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
    }
}

fn check_status(name: &str, response: StoreResponse) -> Result<StoreResponse, StoreError> {
    let status = response.status;
    let expected = status.is_success() || status == StatusCode::NOT_FOUND;
    if expected || status == StatusCode::CONFLICT {
        return Ok(response);
    }
    Err(StoreError::Rejected {
        object: name.to_owned(),
        status: status.as_u16(),
    })
}

fn no_response<T>(name: &str, reason: &str) -> Result<T, StoreError> {
    Err(StoreError::NoResponse {
        object: name.to_owned(),
        reason: reason.to_owned(),
    })
}

fn object(response: StoreResponse) -> Option<Object> {
    let present = response.status == StatusCode::OK;
    present.then_some(Object {
        version: response.version,
        value: response.body,
    })
}

impl Store for HttpStore {
    async fn get(&self, name: &str) -> Result<Option<Object>, StoreError> {
        self.calls.add_read();
        let request = self.request(Method::GET, &format!("/objects/{name}"));
        let request = request
            .body(Full::default())
            .or_else(|e| no_response(name, &e.to_string()))?;
        Ok(object(self.send(name, request, REQUEST_TIMEOUT).await?))
    }

    async fn put(&self, name: &str, expected: u64, value: Bytes) -> Result<PutOutcome, StoreError> {
        self.calls.add_write();
        let request = self
            .request(Method::PUT, &format!("/objects/{name}"))
            .header(EXPECTED_VERSION_HEADER, expected)
            .body(Full::new(value))
            .or_else(|e| no_response(name, &e.to_string()))?;
        let response = self.send(name, request, REQUEST_TIMEOUT).await?;
        if response.status == StatusCode::CONFLICT {
            return Ok(PutOutcome::Conflict(response.version));
        }
        Ok(PutOutcome::Written(response.version))
    }

    async fn watch(
        &self,
        name: &str,
        known_version: u64,
        timeout: Duration,
    ) -> Result<Option<Object>, StoreError> {
        self.calls.add_watch();
        let wait_ms = timeout.as_millis();
        let path = format!("/objects/{name}?above={known_version}&wait_ms={wait_ms}");
        let request = self
            .request(Method::GET, &path)
            .body(Full::default())
            .or_else(|e| no_response(name, &e.to_string()))?;
        Ok(object(
            self.send(name, request, timeout + WATCH_GRACE).await?,
        ))
    }
}
