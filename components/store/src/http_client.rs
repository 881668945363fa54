//! The store's client over HTTP.
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

use crate::client::{Object, Store, StoreError, Update};
use crate::count::{CallCounter, CallCounts};

/// Header with an object's version in answers.
pub const VERSION_HEADER: &str = "object-version";

/// Header with the expected version in updates.
pub const EXPECTED_HEADER: &str = "if-version";

/// Largest object in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Longest wait for an answer to a read or an update.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time that a watch's answer may come after the end of its wait.
const WATCH_GRACE: Duration = Duration::from_millis(500);

/// Client of the store at one address.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    calls: Arc<CallCounter>,
}

struct Answer {
    status: StatusCode,
    version: u64,
    body: Bytes,
}

impl HttpStore {
    /// Makes a client; connections are opened on first use.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self {
            address,
            client,
            calls: Arc::default(),
        }
    }

    /// Calls made since the client was made.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.calls.counts()
    }

    async fn call(
        &self,
        name: &str,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, StoreError> {
        let result = match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(Ok(answer)) => check(name, answer),
            Ok(Err(reason)) => no_answer(name, &reason),
            Err(_) => no_answer(name, "timeout"),
        };
        if result.is_err() {
            self.calls.add_failure();
        }
        result
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, String> {
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
        Ok(Answer {
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

fn check(name: &str, answer: Answer) -> Result<Answer, StoreError> {
    let status = answer.status;
    let known = status.is_success() || status == StatusCode::NOT_FOUND;
    if known || status == StatusCode::CONFLICT {
        return Ok(answer);
    }
    Err(StoreError::Refused {
        object: name.to_owned(),
        status: status.as_u16(),
    })
}

fn no_answer<T>(name: &str, reason: &str) -> Result<T, StoreError> {
    Err(StoreError::NoAnswer {
        object: name.to_owned(),
        reason: reason.to_owned(),
    })
}

fn object(answer: Answer) -> Option<Object> {
    let present = answer.status == StatusCode::OK;
    present.then_some(Object {
        version: answer.version,
        value: answer.body,
    })
}

impl Store for HttpStore {
    async fn get(&self, name: &str) -> Result<Option<Object>, StoreError> {
        self.calls.add_read();
        let request = self.request(Method::GET, &format!("/objects/{name}"));
        let request = request
            .body(Full::default())
            .or_else(|e| no_answer(name, &e.to_string()))?;
        Ok(object(self.call(name, request, CALL_TIMEOUT).await?))
    }

    async fn put(&self, name: &str, expected: u64, value: Bytes) -> Result<Update, StoreError> {
        self.calls.add_write();
        let request = self
            .request(Method::PUT, &format!("/objects/{name}"))
            .header(EXPECTED_HEADER, expected)
            .body(Full::new(value))
            .or_else(|e| no_answer(name, &e.to_string()))?;
        let answer = self.call(name, request, CALL_TIMEOUT).await?;
        if answer.status == StatusCode::CONFLICT {
            return Ok(Update::Conflict(answer.version));
        }
        Ok(Update::Written(answer.version))
    }

    async fn watch(
        &self,
        name: &str,
        known: u64,
        patience: Duration,
    ) -> Result<Option<Object>, StoreError> {
        self.calls.add_watch();
        let wait = patience.as_millis();
        let path = format!("/objects/{name}?above={known}&wait_ms={wait}");
        let request = self
            .request(Method::GET, &path)
            .body(Full::default())
            .or_else(|e| no_answer(name, &e.to_string()))?;
        Ok(object(
            self.call(name, request, patience + WATCH_GRACE).await?,
        ))
    }
}
