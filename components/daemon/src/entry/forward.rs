//! Sends a request to the daemon that serves it, which may be this one.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use peers::wire::{ReplyFrame, ReplyHead, RequestFrame, RequestHead};
use prost::Message;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use world::error_kind::ErrorKind;
use world::machine::{Link, Machine};

use crate::back_end::{Body, BodyTruncated};
use crate::entry::attempt::AttemptError;
use crate::entry::frames::ReplySource;
use crate::owner;
use crate::shared::Shared;

/// Sends the request and waits for the first frame. A streamed body is moved out of `body`, as
/// it can't be sent again; a buffered one is copied.
pub(super) async fn exchange(
    shared: &Arc<Shared>,
    machine: &Machine,
    head: RequestHead,
    body: &mut Option<Body>,
) -> Result<(ReplyHead, ReplyFrame, ReplySource), AttemptError> {
    let order = head.order;
    let mut source = if machine.name == shared.settings.name {
        let body = take_body(body).ok_or(ErrorKind::Internal)?;
        ReplySource::Local(owner::serve(Arc::clone(shared), head, body))
    } else {
        forward(shared, machine, head, body).await?
    };
    let lost_kind = if order {
        ErrorKind::OutcomeUnknown
    } else {
        ErrorKind::BackEndFailed
    };
    let mut frame = source.next().await.ok_or(lost_kind)?;
    let head = frame.head.take().ok_or(lost_kind)?;
    if head.error.is_empty() {
        return Ok((head, frame, source));
    }
    let kind = ErrorKind::from_code(&head.error).unwrap_or(ErrorKind::Internal);
    Err(AttemptError {
        kind,
        detail: head.detail,
        retry_after_ms: head.retry_after_ms,
    })
}

/// Returns a copy of a buffered body, or moves a streamed one out. `None` if it was moved before.
fn take_body(body: &mut Option<Body>) -> Option<Body> {
    if let Some(Body::Buffered(bytes)) = body {
        return Some(Body::Buffered(bytes.clone()));
    }
    body.take()
}

async fn forward(
    shared: &Arc<Shared>,
    machine: &Machine,
    head: RequestHead,
    body: &mut Option<Body>,
) -> Result<ReplySource, AttemptError> {
    let address = machine.traffic_address;
    let mut client = shared
        .pool
        .traffic(address)
        .await
        .map_err(|error| AttemptError {
            detail: error.to_string(),
            ..AttemptError::from(unreachable_kind(&head))
        })?;
    shared.counters.forwarded.add();
    let distant = is_distant(shared, machine);
    if distant {
        shared.counters.distant.add();
    }
    let counters = Arc::clone(&shared.counters);
    let count_bytes = move |frame: &RequestFrame| {
        if distant {
            counters.distant_bytes.add_many(frame.encoded_len() as u64);
        }
    };
    let order = head.order;
    let body = take_body(body).ok_or(ErrorKind::Internal)?;
    let result = match body {
        Body::Buffered(bytes) => {
            let frame = RequestFrame {
                head: Some(head),
                body: bytes,
                end: true,
            };
            count_bytes(&frame);
            client.forward(futures::stream::iter([frame])).await
        }
        Body::Stream(chunks) => {
            client
                .forward(body_frames(head, chunks).inspect(count_bytes))
                .await
        }
    };
    match result {
        Ok(response) => Ok(ReplySource::Remote(Box::new(response.into_inner()))),
        Err(status) => {
            shared.pool.evict(address);
            let kind = match order {
                _ if status.code() == tonic::Code::Unauthenticated => ErrorKind::Unauthorized,
                true => ErrorKind::OutcomeUnknown,
                false => ErrorKind::BackEndFailed,
            };
            Err(AttemptError {
                detail: status.message().to_owned(),
                ..AttemptError::from(kind)
            })
        }
    }
}

/// Returns whether requests to the machine cross the link between regions.
pub(super) fn is_distant(shared: &Shared, machine: &Machine) -> bool {
    machine.link_from(&shared.settings.region, &shared.settings.zone) == Link::Distant
}

/// Returns the error kind for a machine that can't be connected to. For a keyed request the
/// owner may have changed, so that the request waits for another one.
fn unreachable_kind(head: &RequestHead) -> ErrorKind {
    if head.keyed {
        ErrorKind::NoOwner
    } else {
        ErrorKind::NoBackEnd
    }
}

/// Returns the frames of a streamed body. A truncated body has no frame with `end` set.
fn body_frames(
    head: RequestHead,
    chunks: mpsc::Receiver<Result<Bytes, BodyTruncated>>,
) -> impl futures::Stream<Item = RequestFrame> {
    let first = RequestFrame {
        head: Some(head),
        body: Bytes::new(),
        end: false,
    };
    let end = RequestFrame {
        head: None,
        body: Bytes::new(),
        end: true,
    };
    let complete = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let complete_writer = Arc::clone(&complete);
    let body = ReceiverStream::new(chunks).filter_map(move |chunk| {
        if chunk.is_err() {
            complete_writer.store(false, std::sync::atomic::Ordering::Relaxed);
        }
        let frame = chunk.ok().map(|body| RequestFrame {
            head: None,
            body,
            end: false,
        });
        std::future::ready(frame)
    });
    let last = futures::stream::once(async move {
        let complete = complete.load(std::sync::atomic::Ordering::Relaxed);
        complete.then_some(end)
    });
    futures::stream::iter([first])
        .chain(body)
        .chain(last.filter_map(std::future::ready))
}
