//! Running an admitted request and recording how it ended.

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
use crate::gate::Pass;
use crate::owner::admission::Admitted;
use crate::owner::answer::{Record, cut_short, refused_by_back_end, reply_head, send_failure};
use crate::owner::{Failure, Order, finish};
use crate::shared::{LocalBackEnd, Shared};

/// Least time that must remain of a deadline to start a request.
const LEAST_REMAINING: Duration = Duration::from_millis(1);

/// How an admitted request ended at the back end.
pub(super) enum Ended {
    /// The answer was passed on whole.
    Whole,
    /// Nothing ran.
    NotRun(Failure),
    /// It may have run, or its answer was cut short.
    Unknown(Failure),
}

pub(super) async fn run(
    shared: &Arc<Shared>,
    admitted: Admitted,
    sender: &mpsc::Sender<ReplyFrame>,
) {
    let Admitted {
        back_end,
        mut head,
        body,
        tenure,
        pass,
        order,
        deadline,
        _slot,
    } = admitted;
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining < LEAST_REMAINING {
        finish(order.as_ref(), ExecutionOutcome::NotRun);
        return send_failure(shared, sender, ErrorKind::DeadlineExceeded.into()).await;
    }
    head.deadline_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
    let lease = shared.lease.load();
    if tenure.is_some() && !lease.is_held(shared.now()) {
        finish(order.as_ref(), ExecutionOutcome::NotRun);
        return send_failure(shared, sender, ErrorKind::NotOwner.into()).await;
    }
    if order.is_some() {
        shared.counters.orders.add();
    }
    let exchange = async {
        let sent = shared
            .back_end_client
            .send(back_end.address, &head, tenure, lease, body);
        let answer = match sent.await {
            Ok(answer) => answer,
            Err(error) => return on_send_error(shared, error, order.as_ref()).await,
        };
        pass_on(&back_end, answer, order.as_ref(), tenure, sender).await
    };
    let cancelled = async {
        match order {
            Some(_) => std::future::pending().await,
            None => sender.closed().await,
        }
    };
    let ended = tokio::select! {
        ended = tokio::time::timeout_at(deadline, exchange) => ended.ok(),
        () = cancelled => None,
    };
    settle(shared, ended, pass, order, sender).await;
}

/// Records how a request ended and tells the receiver when there is something left to tell.
async fn settle(
    shared: &Shared,
    ended: Option<Ended>,
    pass: Option<Pass>,
    order: Option<Order>,
    sender: &mpsc::Sender<ReplyFrame>,
) {
    let timed_out = || {
        let kind = match order {
            Some(_) => ErrorKind::OutcomeLost,
            None => ErrorKind::LookupTimedOut,
        };
        Ended::Unknown(kind.into())
    };
    match ended.unwrap_or_else(timed_out) {
        Ended::Whole => {}
        Ended::NotRun(failure) => {
            finish(order.as_ref(), ExecutionOutcome::NotRun);
            send_failure(shared, sender, failure).await;
        }
        Ended::Unknown(failure) => {
            shared.counters.abandoned.add();
            if let Some(pass) = &pass {
                pass.abandon();
            }
            finish(order.as_ref(), ExecutionOutcome::Unknown);
            send_failure(shared, sender, failure).await;
        }
    }
}

async fn on_send_error(shared: &Shared, error: BackEndError, order: Option<&Order>) -> Ended {
    let detail = error.to_string();
    match error {
        BackEndError::Refused => {
            let _ = shared.events.try_send(Event::BackEndRefused);
            Ended::NotRun(Failure {
                kind: ErrorKind::NoBackEnd,
                detail,
            })
        }
        BackEndError::Broken => {
            let kind = match order {
                Some(_) => ErrorKind::OutcomeLost,
                None => ErrorKind::BackEndFailed,
            };
            Ended::Unknown(Failure { kind, detail })
        }
    }
}

/// Passes the back end's answer on and records it for an order.
async fn pass_on(
    back_end: &LocalBackEnd,
    answer: Response<Incoming>,
    order: Option<&Order>,
    tenure: Option<Tenure>,
    sender: &mpsc::Sender<ReplyFrame>,
) -> Ended {
    if back_end::proves_not_run(&answer) {
        return Ended::NotRun(refused_by_back_end(&answer));
    }
    let mut head = Some(reply_head(back_end, &answer, tenure));
    let mut record = Record::new(&answer, order);
    let mut body = answer.into_body();
    loop {
        let part = match body.frame().await {
            None => break,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return cut_short(order),
        };
        record.add(&part);
        let end = hyper::body::Body::is_end_stream(&body);
        if end {
            record.finish(order);
        }
        let frame = ReplyFrame {
            head: head.take(),
            body: part,
            end,
        };
        let _ = sender.send(frame).await;
        if end {
            return Ended::Whole;
        }
    }
    record.finish(order);
    let last = ReplyFrame {
        head: head.take(),
        body: Bytes::new(),
        end: true,
    };
    let _ = sender.send(last).await;
    Ended::Whole
}
