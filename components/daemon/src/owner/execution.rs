//! Runs an admitted request at the back end and records its outcome.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use orders::table::ExecutionOutcome;
use peers::wire::ReplyFrame;
use tokio::sync::mpsc;
use tokio::time::Instant;
use world::error_kind::ErrorKind;

use crate::back_end::{self, BackEndError, Tenure};
use crate::control::Event;
use crate::gate::GateGuard;
use crate::owner::admission::AdmittedRequest;
use crate::owner::response::{
    ResponseRecorder, not_run_failure, reply_head, send_failure, truncated,
};
use crate::owner::{AdmittedOrder, Failure, finish_order};
use crate::shared::{LocalBackEnd, Shared};

/// Shortest time until the deadline with which a request is still started.
const MIN_REMAINING: Duration = Duration::from_millis(1);

/// How an admitted request ended at the back end.
pub(super) enum Completion {
    /// The complete response was relayed.
    Complete,
    /// The request did not run.
    NotRun(Failure),
    /// The request may have run, or its response was truncated.
    Unknown(Failure),
}

pub(super) async fn run(
    shared: &Arc<Shared>,
    admitted: AdmittedRequest,
    sender: &mpsc::Sender<ReplyFrame>,
) {
    let AdmittedRequest {
        back_end,
        mut head,
        body,
        tenure,
        guard,
        order,
        deadline,
        _slot,
    } = admitted;
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining < MIN_REMAINING {
        finish_order(order.as_ref(), ExecutionOutcome::NotRun);
        return send_failure(shared, sender, ErrorKind::DeadlineExceeded.into()).await;
    }
    head.deadline_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
    let lease = shared.lease.load();
    if tenure.is_some() && !lease.is_held(shared.now()) {
        finish_order(order.as_ref(), ExecutionOutcome::NotRun);
        return send_failure(shared, sender, ErrorKind::NotOwner.into()).await;
    }
    if order.is_some() {
        shared.counters.orders.add();
    }
    let exchange = async {
        let sent = shared
            .back_end_client
            .send(back_end.address, &head, tenure, lease, body);
        let response = match sent.await {
            Ok(response) => response,
            Err(error) => return on_send_error(shared, error, order.as_ref()).await,
        };
        relay_response(&back_end, response, order.as_ref(), tenure, sender).await
    };
    let receiver_gone = async {
        match order {
            Some(_) => std::future::pending().await,
            None => sender.closed().await,
        }
    };
    let completion = tokio::select! {
        completion = tokio::time::timeout_at(deadline, exchange) => completion.ok(),
        () = receiver_gone => None,
    };
    record_completion(shared, completion, guard, order, sender).await;
}

/// Records the outcome of a request and sends a failure to the receiver. `None` stands for a
/// timeout or a receiver that has gone away.
async fn record_completion(
    shared: &Shared,
    completion: Option<Completion>,
    guard: Option<GateGuard>,
    order: Option<AdmittedOrder>,
    sender: &mpsc::Sender<ReplyFrame>,
) {
    let timed_out = || {
        let kind = match order {
            Some(_) => ErrorKind::OutcomeLost,
            None => ErrorKind::LookupTimedOut,
        };
        Completion::Unknown(kind.into())
    };
    match completion.unwrap_or_else(timed_out) {
        Completion::Complete => {}
        Completion::NotRun(failure) => {
            finish_order(order.as_ref(), ExecutionOutcome::NotRun);
            send_failure(shared, sender, failure).await;
        }
        Completion::Unknown(failure) => {
            shared.counters.abandoned.add();
            if let Some(guard) = &guard {
                guard.mark_abandoned();
            }
            finish_order(order.as_ref(), ExecutionOutcome::Unknown);
            send_failure(shared, sender, failure).await;
        }
    }
}

async fn on_send_error(
    shared: &Shared,
    error: BackEndError,
    order: Option<&AdmittedOrder>,
) -> Completion {
    let detail = error.to_string();
    match error {
        BackEndError::Refused => {
            let _ = shared.events.try_send(Event::BackEndRefused);
            Completion::NotRun(Failure {
                kind: ErrorKind::NoBackEnd,
                detail,
            })
        }
        BackEndError::ConnectionLost => {
            let kind = match order {
                Some(_) => ErrorKind::OutcomeLost,
                None => ErrorKind::BackEndFailed,
            };
            Completion::Unknown(Failure { kind, detail })
        }
    }
}

/// Relays the back end's response to the receiver and records it for an order.
async fn relay_response(
    back_end: &LocalBackEnd,
    response: Response<Incoming>,
    order: Option<&AdmittedOrder>,
    tenure: Option<Tenure>,
    sender: &mpsc::Sender<ReplyFrame>,
) -> Completion {
    if back_end::proves_not_run(&response) {
        return Completion::NotRun(not_run_failure(&response));
    }
    let mut head = Some(reply_head(back_end, &response, tenure));
    let mut recorder = ResponseRecorder::new(&response, order);
    let mut body = response.into_body();
    loop {
        let chunk = match body.frame().await {
            None => break,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return truncated(order),
        };
        recorder.append(&chunk);
        let end = hyper::body::Body::is_end_stream(&body);
        if end {
            recorder.finish(order);
        }
        let frame = ReplyFrame {
            head: head.take(),
            body: chunk,
            end,
        };
        let _ = sender.send(frame).await;
        if end {
            return Completion::Complete;
        }
    }
    recorder.finish(order);
    let last = ReplyFrame {
        head: head.take(),
        body: Bytes::new(),
        end: true,
    };
    let _ = sender.send(last).await;
    Completion::Complete
}
