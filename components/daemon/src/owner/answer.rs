//! Frames that answer a request.

use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use http::Response;
use orders::table::{ExecutionOutcome, RecordedResponse};
use peers::wire::{ReplyFrame, ReplyHead};
use tokio::sync::mpsc;
use world::error_kind::ErrorKind;

use crate::back_end::{self, Tenure};
use crate::owner::execution::Ended;
use crate::owner::{Failure, Order, finish};
use crate::shared::{LocalBackEnd, Shared};

pub(super) fn cut_short(order: Option<&Order>) -> Ended {
    let kind = if order.is_some() {
        ErrorKind::OutcomeLost
    } else {
        ErrorKind::BackEndFailed
    };
    Ended::Unknown(Failure {
        kind,
        detail: "the answer was cut short".to_owned(),
    })
}

pub(super) fn refused_by_back_end<B>(answer: &Response<B>) -> Failure {
    let reason = answer
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
    answer: &Response<B>,
    tenure: Option<Tenure>,
) -> ReplyHead {
    ReplyHead {
        status: u32::from(answer.status().as_u16()),
        content_type: content_type(answer),
        in_flight: in_flight(back_end),
        fence: tenure.map_or(0, |t| t.fence.0),
        ..ReplyHead::default()
    }
}

fn in_flight(back_end: &LocalBackEnd) -> u32 {
    let free = u32::try_from(back_end.slots.available_permits()).unwrap_or(0);
    let waiting = back_end.waiting.load(Ordering::Relaxed);
    back_end.info.slots.saturating_sub(free) + waiting
}

fn content_type<B>(answer: &Response<B>) -> String {
    let value = answer.headers().get(http::header::CONTENT_TYPE);
    value
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Collects an order's answer as far as the table may keep it.
pub(super) struct Record {
    status: u16,
    content_type: String,
    body: BytesMut,
    limit: usize,
}

impl Record {
    pub(super) fn new<B>(answer: &Response<B>, order: Option<&Order>) -> Self {
        let limit = order.map_or(0, |o| o.gate.orders().max_response_bytes() + 1);
        Self {
            status: answer.status().as_u16(),
            content_type: content_type(answer),
            body: BytesMut::new(),
            limit,
        }
    }

    /// Adds a part; one byte above the limit is kept, so that the table sees the excess.
    pub(super) fn add(&mut self, part: &[u8]) {
        let room = self.limit - self.body.len();
        self.body.extend_from_slice(&part[..part.len().min(room)]);
    }

    pub(super) fn finish(&mut self, order: Option<&Order>) {
        let body = self.body.split().freeze();
        let content_type = std::mem::take(&mut self.content_type);
        let recorded = RecordedResponse {
            status: self.status,
            content_type,
            body,
        };
        finish(order, ExecutionOutcome::Answered(recorded));
    }
}

pub(super) fn replay_frame(answer: RecordedResponse) -> ReplyFrame {
    let head = ReplyHead {
        status: u32::from(answer.status),
        content_type: answer.content_type,
        replayed: true,
        ..ReplyHead::default()
    };
    ReplyFrame {
        head: Some(head),
        body: answer.body,
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
