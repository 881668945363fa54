//! Builds the reply frames of a request and records the responses of orders.

use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use http::Response;
use orders::table::{ExecutionOutcome, RecordedResponse};
use peers::wire::{ReplyFrame, ReplyHead};
use tokio::sync::mpsc;
use world::error_kind::ErrorKind;

use crate::back_end::{self, Tenure};
use crate::owner::execution::Completion;
use crate::owner::{AdmittedOrder, Failure, finish_order};
use crate::shared::{LocalBackEnd, Shared};

/// Returns the completion of a request whose response ended early.
pub(super) fn truncated(order: Option<&AdmittedOrder>) -> Completion {
    let kind = if order.is_some() {
        ErrorKind::OutcomeLost
    } else {
        ErrorKind::BackEndFailed
    };
    Completion::Unknown(Failure {
        kind,
        detail: "the answer was cut short".to_owned(),
    })
}

/// Returns the failure for a response which proves that the request did not run.
pub(super) fn not_run_failure<B>(response: &Response<B>) -> Failure {
    let reason = response
        .headers()
        .get(back_end::NOT_RUN)
        .and_then(|v| v.to_str().ok());
    let detail = reason.unwrap_or_default().to_owned();
    let kind = match detail.as_str() {
        "fence" | "lease" => ErrorKind::NotOwner,
        "deadline" => ErrorKind::DeadlineExceeded,
        _ => ErrorKind::Overloaded,
    };
    Failure { kind, detail }
}

pub(super) fn reply_head<B>(
    back_end: &LocalBackEnd,
    response: &Response<B>,
    tenure: Option<Tenure>,
) -> ReplyHead {
    ReplyHead {
        status: u32::from(response.status().as_u16()),
        content_type: content_type(response),
        in_flight: in_flight(back_end),
        fence: tenure.map_or(0, |t| t.fence.0),
        ..ReplyHead::default()
    }
}

/// Returns the number of requests that run or wait at the back end.
fn in_flight(back_end: &LocalBackEnd) -> u32 {
    let free = u32::try_from(back_end.slots.available_permits()).unwrap_or(0);
    let waiting = back_end.waiting.load(Ordering::Relaxed);
    back_end.info.slots.saturating_sub(free) + waiting
}

fn content_type<B>(response: &Response<B>) -> String {
    let value = response.headers().get(http::header::CONTENT_TYPE);
    value
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Collects the response of an order, up to the size that the order table keeps.
pub(super) struct ResponseRecorder {
    status: u16,
    content_type: String,
    body: BytesMut,
    limit: usize,
}

impl ResponseRecorder {
    pub(super) fn new<B>(response: &Response<B>, order: Option<&AdmittedOrder>) -> Self {
        let limit = order.map_or(0, |o| o.gate.orders().max_response_bytes() + 1);
        Self {
            status: response.status().as_u16(),
            content_type: content_type(response),
            body: BytesMut::new(),
            limit,
        }
    }

    /// Appends a chunk. One byte above the table's limit is kept, so that the table detects the
    /// excess.
    pub(super) fn append(&mut self, chunk: &[u8]) {
        let free_bytes = self.limit - self.body.len();
        self.body
            .extend_from_slice(&chunk[..chunk.len().min(free_bytes)]);
    }

    pub(super) fn finish(&mut self, order: Option<&AdmittedOrder>) {
        let body = self.body.split().freeze();
        let content_type = std::mem::take(&mut self.content_type);
        let recorded = RecordedResponse {
            status: self.status,
            content_type,
            body,
        };
        finish_order(order, ExecutionOutcome::Answered(recorded));
    }
}

pub(super) fn replay_frame(response: RecordedResponse) -> ReplyFrame {
    let head = ReplyHead {
        status: u32::from(response.status),
        content_type: response.content_type,
        replayed: true,
        ..ReplyHead::default()
    };
    ReplyFrame {
        head: Some(head),
        body: response.body,
        end: true,
    }
}

pub(super) async fn send_failure(
    shared: &Shared,
    sender: &mpsc::Sender<ReplyFrame>,
    failure: Failure,
) {
    let in_flight = shared.back_end.load().as_ref().map_or(0, |b| in_flight(b));
    let head = ReplyHead {
        error: failure.kind.to_string(),
        retry_after_ms: failure.kind.response().retry_after_ms,
        detail: failure.detail,
        in_flight,
        ..ReplyHead::default()
    };
    let _ = sender
        .send(ReplyFrame {
            head: Some(head),
            body: Bytes::new(),
            end: true,
        })
        .await;
}
