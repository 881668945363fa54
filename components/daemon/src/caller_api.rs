//! HTTP API for callers; its description is generated into `docs/openapi.json`.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dropshot::{
    ApiDescription, EndpointTagPolicy, HttpError, Path, RequestContext, StreamingBody, TagConfig,
    endpoint,
};
use futures::{Stream, StreamExt};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::StreamBody;
use hyper::body::Frame;
use peers::wire::ReplyHead;
use schemars::JsonSchema;
use serde::Deserialize;
use world::error_kind::ErrorKind;
use world::name::{CustomerName, ServiceName};

use crate::back_end::{Body, BodyTruncated};
use crate::entry::{self, CallerRequest, CallerResponse, Refusal, ReplyFrames};
use crate::shared::Shared;

/// Header with the customer's name.
pub const CUSTOMER: &str = "pg-customer";
/// Header with the key of a service divided by key.
pub const KEY: &str = "pg-key";
/// Header with the caller's deadline in milliseconds.
pub const DEADLINE: &str = "pg-deadline-ms";
/// Header with an order's ticket, in requests and in the response that issues one.
pub const TICKET: &str = "pg-ticket";
/// Header with the code of an error kind.
pub const ERROR: &str = "pg-error";
/// Header that marks a response recorded by an earlier run of the same ticket.
pub const REPLAYED: &str = "pg-replayed";
/// Header with the wait before a retry in milliseconds.
pub const RETRY_AFTER_MS: &str = "pg-retry-after-ms";

/// Longest key in bytes.
const MAX_KEY_BYTES: usize = 1024;

/// Largest body that is buffered, so that it can be sent again; larger ones are streamed.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Path of a request.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct OperationPath {
    /// Name of the service.
    service: String,
    /// Name of the operation.
    operation: String,
}

type Context = RequestContext<Arc<Shared>>;
type HttpResult = Result<Response<dropshot::Body>, HttpError>;

/// Returns the callers' API.
///
/// # Errors
/// Fails when two endpoints clash.
pub fn api() -> Result<ApiDescription<Arc<Shared>>, String> {
    let tags = TagConfig {
        allow_other_tags: true,
        policy: EndpointTagPolicy::Any,
        tags: std::collections::HashMap::new(),
    };
    let mut api = ApiDescription::new().tag_config(tags);
    api.register(get_operation).map_err(|e| e.to_string())?;
    api.register(post_operation).map_err(|e| e.to_string())?;
    Ok(api)
}

/// Run an operation without a body
///
/// Headers: `pg-customer` (required), `pg-key` for a service divided by key, `pg-deadline-ms`
/// to shorten the plan's deadline, `pg-ticket` for an order. An error answer carries `pg-error`
/// and a JSON body that says whether the request ran and what to do next.
#[endpoint { method = GET, path = "/v1/{service}/{operation}", tags = ["requests"] }]
async fn get_operation(context: Context, path: Path<OperationPath>) -> HttpResult {
    let body = Ok(Body::Buffered(Bytes::new()));
    Ok(respond(&context, "GET", path.into_inner(), body).await)
}

/// Run an operation with a body
///
/// Takes the same headers as the GET form. An order without `pg-ticket` is answered with status
/// 428 and a ticket in the header `pg-ticket`; send it again with that ticket. Repeating an
/// order with the same ticket never runs it twice.
#[endpoint { method = POST, path = "/v1/{service}/{operation}", tags = ["requests"] }]
async fn post_operation(
    context: Context,
    path: Path<OperationPath>,
    body: StreamingBody,
) -> HttpResult {
    let limit = context.context().settings.max_body;
    let declared_length = content_length(context.request.headers());
    let body = if declared_length.is_some_and(|length| length > limit) {
        discard(body.into_stream()).await;
        Err(ErrorKind::BodyTooLarge)
    } else {
        read_body(body.into_stream()).await
    };
    Ok(respond(&context, "POST", path.into_inner(), body).await)
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers
        .get(http::header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Reads an oversized body to its end: if the connection were closed before, its sender would
/// not receive the refusal.
async fn discard(stream: impl Stream<Item = Result<Bytes, HttpError>> + Send) {
    let mut stream = std::pin::pin!(stream);
    while let Some(Ok(_)) = stream.next().await {}
}

/// Buffers a small body; a larger one is streamed while it is received.
async fn read_body(
    stream: impl Stream<Item = Result<Bytes, HttpError>> + Send + 'static,
) -> Result<Body, ErrorKind> {
    let mut stream = Box::pin(stream);
    let mut prefix = BytesMut::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|_| ErrorKind::BodyTooLarge)?;
        prefix.extend_from_slice(&chunk);
        if prefix.len() > MAX_BUFFERED_BYTES {
            return Ok(stream_body(prefix.freeze(), stream));
        }
    }
    Ok(Body::Buffered(prefix.freeze()))
}

/// Returns a body that consists of `prefix` and the chunks of `rest`.
fn stream_body(
    prefix: Bytes,
    mut rest: impl Stream<Item = Result<Bytes, HttpError>> + Send + Unpin + 'static,
) -> Body {
    let (sender, body) = Body::channel();
    tokio::spawn(async move {
        if sender.send(Ok(prefix)).await.is_err() {
            return;
        }
        while let Some(chunk) = rest.next().await {
            let chunk = chunk.map_err(|_| BodyTruncated);
            let truncated = chunk.is_err();
            if sender.send(chunk).await.is_err() || truncated {
                return;
            }
        }
    });
    body
}

async fn respond(
    context: &Context,
    method: &'static str,
    path: OperationPath,
    body: Result<Body, ErrorKind>,
) -> Response<dropshot::Body> {
    let shared = context.context();
    let request = body
        .map_err(Refusal::from)
        .and_then(|body| read_request(context, method, path, body));
    let result = match request {
        Ok(request) => entry::handle(shared, request).await,
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(response) => to_http(response),
        Err(refusal) => refusal_response(&refusal),
    }
}

fn read_request(
    context: &Context,
    method: &'static str,
    path: OperationPath,
    body: Body,
) -> Result<CallerRequest, Refusal> {
    let request = &context.request;
    let headers = request.headers();
    let customer = header(headers, CUSTOMER)?.ok_or(ErrorKind::MissingCustomer)?;
    let customer =
        CustomerName::from_input(customer).map_err(|e| bad_request(format!("{CUSTOMER}: {e}")))?;
    let service =
        ServiceName::from_input(&path.service).map_err(|e| bad_request(format!("service: {e}")))?;
    Ok(CallerRequest {
        customer,
        service,
        operation: path.operation,
        method,
        query: request.uri().query().unwrap_or_default().to_owned(),
        content_type: header(headers, "content-type")?
            .unwrap_or_default()
            .to_owned(),
        key: read_key(headers)?,
        timeout: read_timeout(headers)?,
        ticket: header(headers, TICKET)?.map(str::to_owned),
        body,
    })
}

fn bad_request(detail: String) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, detail)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| bad_request(format!("{name}: not plain ASCII")))?;
    Ok(Some(text))
}

fn read_key(headers: &HeaderMap) -> Result<Option<Bytes>, Refusal> {
    let Some(value) = headers.get(KEY) else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        return Err(bad_request(format!(
            "{KEY}: use 1 to {MAX_KEY_BYTES} bytes"
        )));
    }
    Ok(Some(Bytes::copy_from_slice(value.as_bytes())))
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(text) = header(headers, DEADLINE)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(0) | Err(_) => Err(bad_request(format!(
            "{DEADLINE}: use a whole number above 0"
        ))),
        Ok(millis) => Ok(Some(Duration::from_millis(millis))),
    }
}

fn to_http(response: CallerResponse) -> Response<dropshot::Body> {
    let CallerResponse {
        head,
        frames: mut reply,
    } = response;
    let ReplyHead {
        status,
        content_type,
        replayed,
        ..
    } = head;
    let status = u16::try_from(status)
        .ok()
        .and_then(|s| StatusCode::from_u16(s).ok());
    let mut response = Response::builder().status(status.unwrap_or(StatusCode::BAD_GATEWAY));
    if !content_type.is_empty() {
        response = response.header(http::header::CONTENT_TYPE, content_type);
    }
    if replayed {
        response = response.header(REPLAYED, "1");
    }
    let body = match reply.take_complete_body() {
        Some(bytes) => dropshot::Body::from(bytes),
        None => dropshot::Body::wrap(SyncBody::new(StreamBody::new(body_frames(reply)))),
    };
    response
        .body(body)
        .unwrap_or_else(|_| refusal_response(&ErrorKind::Internal.into()))
}

/// Returns the body frames of a reply. A truncated reply ends in an error, so that the caller's
/// connection is aborted and the response is not taken as complete.
fn body_frames(
    frames: ReplyFrames,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyTruncated>> + Send {
    futures::stream::unfold(Some(frames), |state| async move {
        let mut frames = state?;
        match frames.next().await {
            None => Some((Err(BodyTruncated), None)),
            Some(frame) => {
                let next = if frame.end { None } else { Some(frames) };
                Some((Ok(Frame::data(frame.body)), next))
            }
        }
    })
}

/// Makes a body `Sync`, as dropshot's body type requires. The mutex is never locked, as
/// polling takes `&mut self`.
struct SyncBody<B>(std::sync::Mutex<std::pin::Pin<Box<B>>>);

impl<B> SyncBody<B> {
    fn new(body: B) -> Self {
        Self(std::sync::Mutex::new(Box::pin(body)))
    }
}

impl<B: hyper::body::Body> hyper::body::Body for SyncBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let body = self.get_mut().0.get_mut();
        body.unwrap_or_else(std::sync::PoisonError::into_inner)
            .as_mut()
            .poll_frame(context)
    }
}

/// Builds the error response for a refusal from the table of error kinds.
fn refusal_response(refusal: &Refusal) -> Response<dropshot::Body> {
    let row = refusal.kind.response();
    // Rounded up, so that a caller that waits as long as stated does not retry too early.
    let wait_ms = refusal.retry_after.as_micros().div_ceil(1000);
    let body = serde_json::json!({
        "error": row.code,
        "message": row.message,
        "detail": refusal.detail,
        "ran": row.ran.as_str(),
        "advice": row.advice.as_str(),
        "retry_after_ms": u64::try_from(wait_ms).unwrap_or(u64::MAX),
    });
    let mut response = Response::builder()
        .status(row.status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(ERROR, row.code);
    if wait_ms > 0 {
        response = response
            .header(
                http::header::RETRY_AFTER,
                wait_ms.div_ceil(1000).to_string(),
            )
            .header(RETRY_AFTER_MS, wait_ms.to_string());
    }
    if let Some(ticket) = &refusal.ticket {
        response = response.header(TICKET, ticket);
    }
    let body = dropshot::Body::from(body.to_string());
    response
        .body(body)
        .unwrap_or_else(|_| Response::new(dropshot::Body::empty()))
}
