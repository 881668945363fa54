//! Sending a request to the daemon that serves it.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use peers::wire::{ReplyFrame, ReplyHead, RequestFrame, RequestHead};
use prost::Message;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use world::error_kind::ErrorKind;
use world::machine::{Link, Machine};

use crate::back_end::{Body, BodyCut};
use crate::entry::attempt::Failed;
use crate::entry::frames::Source;
use crate::owner;
use crate::shared::Shared;

/// Sends the request and waits for the first frame. Takes a body that can't be sent again.
pub(super) async fn exchange(
    shared: &Arc<Shared>,
    machine: &Machine,
    head: RequestHead,
    body: &mut Option<Body>,
) -> Result<(ReplyHead, ReplyFrame, Source), Failed> {
    let order = head.order;
    let mut source = if machine.name == shared.settings.name {
        let body = take_body(body).ok_or(ErrorKind::Internal)?;
        Source::Local(owner::serve(Arc::clone(shared), head, body))
    } else {
        forward(shared, machine, head, body).await?
    };
    let lost = if order {
        ErrorKind::OutcomeUnknown
    } else {
        ErrorKind::BackEndFailed
    };
    let mut frame = source.next().await.ok_or(lost)?;
    let head = frame.head.take().ok_or(lost)?;
    if head.error.is_empty() {
        return Ok((head, frame, source));
    }
    let kind = ErrorKind::from_code(&head.error).unwrap_or(ErrorKind::Internal);
    Err(Failed {
        kind,
        detail: head.detail,
        retry_after_ms: head.retry_after_ms,
    })
}

/// Gives a copy of a whole body, or the only one of a body that is still arriving.
fn take_body(body: &mut Option<Body>) -> Option<Body> {
    if let Some(Body::Whole(bytes)) = body {
        return Some(Body::Whole(bytes.clone()));
    }
    body.take()
}

async fn forward(
    shared: &Arc<Shared>,
    machine: &Machine,
    head: RequestHead,
    body: &mut Option<Body>,
) -> Result<Source, Failed> {
    let address = machine.traffic_address;
    let mut client = shared.pool.traffic(address).await.map_err(|error| Failed {
        detail: error.to_string(),
        ..Failed::from(unreachable(&head))
    })?;
    shared.counters.forwarded.add();
    let distant = is_distant(shared, machine);
    if distant {
        shared.counters.distant.add();
    }
    let count = Arc::clone(&shared.counters);
    let count = move |frame: &RequestFrame| {
        if distant {
            count.distant_bytes.add_many(frame.encoded_len() as u64);
        }
    };
    let order = head.order;
    let body = take_body(body).ok_or(ErrorKind::Internal)?;
    let result = match body {
        Body::Whole(bytes) => {
            let frame = RequestFrame {
                head: Some(head),
                body: bytes,
                end: true,
            };
            count(&frame);
            client.forward(futures::stream::iter([frame])).await
        }
        Body::Stream(parts) => client.forward(frames(head, parts).inspect(count)).await,
    };
    match result {
        Ok(response) => Ok(Source::Remote(Box::new(response.into_inner()))),
        Err(status) => {
            shared.pool.forget(address);
            let kind = match order {
                _ if status.code() == tonic::Code::Unauthenticated => ErrorKind::Unauthorized,
                true => ErrorKind::OutcomeUnknown,
                false => ErrorKind::BackEndFailed,
            };
            Err(Failed {
                detail: status.message().to_owned(),
                ..Failed::from(kind)
            })
        }
    }
}

pub(super) fn is_distant(shared: &Shared, machine: &Machine) -> bool {
    machine.link_from(&shared.settings.region, &shared.settings.zone) == Link::Distant
}

/// What it means that a machine can't be connected to: a key's owner may have changed.
fn unreachable(head: &RequestHead) -> ErrorKind {
    if head.keyed {
        ErrorKind::NoOwner
    } else {
        ErrorKind::NoBackEnd
    }
}

/// Frames of a body that is still arriving; a cut body ends without an end mark.
fn frames(
    head: RequestHead,
    parts: mpsc::Receiver<Result<Bytes, BodyCut>>,
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
    let ended = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let flag = Arc::clone(&ended);
    let body = ReceiverStream::new(parts).filter_map(move |part| {
        if part.is_err() {
            flag.store(false, std::sync::atomic::Ordering::Relaxed);
        }
        let frame = part.ok().map(|body| RequestFrame {
            head: None,
            body,
            end: false,
        });
        std::future::ready(frame)
    });
    let last = futures::stream::once(async move {
        let whole = ended.load(std::sync::atomic::Ordering::Relaxed);
        whole.then_some(end)
    });
    futures::stream::iter([first])
        .chain(body)
        .chain(last.filter_map(std::future::ready))
}
