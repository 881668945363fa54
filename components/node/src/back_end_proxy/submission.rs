//! Runs requests at the back end: admission, the exchange and what its response says.

use std::rc::Rc;
use std::time::Duration;

use admission::cold_limit::ColdBound;
use admission::queue::{Admission, Dequeued, Job, Queue};
use bytes::BytesMut;
use http1::response::Response;
use platform::message::{self, BackEndRequest, ResponseCheck};
use timer::{BootClock, Clock};
use tokio::sync::oneshot;
use world::instant::BootInstant;

use super::guards::{SlotGuard, WaitGuard};
use super::{BackEndProxy, LocalBackEnd, millis};
use crate::back_end::ExchangeError;
use crate::departures::Departure;
use crate::frame::{
    ForwardedRequest, ForwardedResponse, LossCause, RejectReason, RequestOutcome, pack_headers,
    unpack_headers,
};
use crate::node::Node;
use crate::{cold_limit, crash_watch, homes, leaving, named_limit, slowness, suspects};

/// Time after the deadline in which the back end's own timeout response is still accepted.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Share of the remaining time for which a request waits until the back end holds its key.
const HANDOVER_TIMEOUT_RATIO: f64 = 0.4;
/// Interval between two checks whether the back end holds a key.
const KEY_POLL_INTERVAL: Duration = Duration::from_millis(20);

fn not_run(reason: RejectReason, retry_ms: u32) -> RequestOutcome {
    RequestOutcome::NotRun { reason, retry_ms }
}

/// Runs a request at the back end on this machine, once a slot is free.
///
/// Dropping the future cancels a queued request and aborts a running idempotent one; any other
/// running request goes on.
pub async fn submit(node: &Rc<Node>, request: Rc<ForwardedRequest>) -> RequestOutcome {
    let now = BootClock.now();
    let proxy = &node.proxy;
    let default_retry_ms = proxy.retry_ms(Duration::ZERO);
    if node.is_closing() || proxy.ready_for(&request.service).is_none() {
        return not_run(RejectReason::NoBackEnd, default_retry_ms);
    }
    if let Err(reason) = check_place(node, &request) {
        return not_run(reason, default_retry_ms);
    }
    if request.remaining_ms == 0 {
        return not_run(RejectReason::Expired, default_retry_ms);
    }
    if let Some(key) = node.shard_key(&request) {
        if !await_key(
            node,
            key,
            now + remaining_time(&request).mul_f64(HANDOVER_TIMEOUT_RATIO),
        )
        .await
        {
            return not_run(RejectReason::NotHolder, default_retry_ms);
        }
        node.shard_manager.borrow_mut().count_request(key);
    }
    proxy.arrivals.set(proxy.arrivals.get() + 1);
    let id = proxy.next_id.get();
    proxy.next_id.set(id + 1);
    let deadline = now + remaining_time(&request);
    let job = Job {
        id,
        priority: request.rank().order(),
        class: request.class,
        missed_target: request.missed_target,
        target: now + Duration::from_millis(u64::from(request.target_ms)),
        deadline,
    };
    let config = node.active_config();
    let has_top_priority = config.is_some_and(|c| c.catalog.has_top_priority);
    proxy.queue.borrow_mut().set_fair_share(has_top_priority);
    let admission = proxy.queue.borrow_mut().admit(now, job);
    match admission {
        Admission::Admitted => {}
        Admission::Rejected(wait) => {
            log_decision(proxy, &request, "refuse", wait);
            let queue = proxy.queue.borrow();
            let cause = rejection_cause(&queue, now, &job, wait);
            node.metrics.on_rejection(cause);
            return not_run(RejectReason::Full, proxy.retry_ms(wait));
        }
        Admission::Queued => {
            let guard = WaitGuard::new(proxy, id);
            proxy.queue_changed.notify_one();
            if let Dequeued::Expired(_) = guard.wait().await {
                return not_run(RejectReason::Expired, default_retry_ms);
            }
        }
    }
    log_decision(proxy, &request, "run", BootClock.now().since(now));
    let slot = SlotGuard::new(node, &request);
    if request.idempotent {
        return run(Rc::clone(node), request, deadline, slot).await;
    }
    // A non-idempotent request runs to its end even if its caller has disconnected.
    let (sender, receiver) = oneshot::channel();
    let task = run(Rc::clone(node), request, deadline, slot);
    tokio::task::spawn_local(async move {
        let _ = sender.send(task.await);
    });
    receiver
        .await
        .unwrap_or(RequestOutcome::Lost(LossCause::Cut))
}

/// Returns what has made a request wait for `wait`, so that it was rejected.
fn rejection_cause(queue: &Queue, now: BootInstant, job: &Job, wait: Duration) -> &'static str {
    let (priority, missed_target) = (job.priority, job.missed_target);
    if queue.cold_bound(now).is_some() && queue.cold_wait(now, priority, missed_target) >= wait {
        "cold"
    } else if queue.rate().is_some() && queue.rate_wait(now, priority, missed_target) >= wait {
        "limit"
    } else {
        "full"
    }
}

/// Checks whether a request may run on this machine, by the homes of its route and by evacuations.
fn check_place(node: &Node, request: &ForwardedRequest) -> Result<(), RejectReason> {
    homes::check(node, request)?;
    node.check_evacuation(node.shard_key(request).is_some())
}

fn remaining_time(request: &ForwardedRequest) -> Duration {
    Duration::from_millis(u64::from(request.remaining_ms))
}

/// Waits until the back end holds a key; returns false if this machine does not own the key or the
/// back end does not hold it by `until`.
async fn await_key(node: &Node, key: u16, until: BootInstant) -> bool {
    loop {
        let now = BootClock.now();
        if node.shard_manager.borrow().serves(now, key) {
            return true;
        }
        if !node.shard_manager.borrow().owns(key) || now >= until {
            return false;
        }
        tokio::time::sleep(KEY_POLL_INTERVAL).await;
    }
}

/// Logs an admission decision with the state of the queue.
fn log_decision(proxy: &BackEndProxy, request: &ForwardedRequest, event: &str, wait: Duration) {
    let queue = proxy.queue.borrow();
    log::info!(
        event = event,
        id = std::str::from_utf8(&request.request_id).unwrap_or("?"),
        priority = request.rank().priority(),
        call = request.rank().is_call(),
        late = request.missed_target,
        wait_ms = wait.as_millis() as u64,
        target_ms = request.target_ms,
        patience_ms = request.remaining_ms,
        running = queue.running(),
        waiting = queue.waiting(),
        slots = queue.slots(),
        limit:? = queue.rate(),
        cold:? = queue.cold_bound(BootClock.now()).map(ColdBound::rate),
        expected_ms = queue.estimate().for_class(request.class).as_millis() as u64;
        ""
    );
}

async fn run(
    node: Rc<Node>,
    request: Rc<ForwardedRequest>,
    deadline: BootInstant,
    mut slot: SlotGuard,
) -> RequestOutcome {
    let default_retry_ms = node.proxy.retry_ms(Duration::ZERO);
    let Some(back_end) = node.proxy.ready_for(&request.service) else {
        return not_run(RejectReason::NoBackEnd, default_retry_ms);
    };
    // Homes and evacuations may have changed while the request waited.
    if let Err(reason) = check_place(&node, &request) {
        return not_run(reason, default_retry_ms);
    }
    if let Some(key) = node.shard_key(&request)
        && !node.shard_manager.borrow().serves(BootClock.now(), key)
    {
        return not_run(RejectReason::NotHolder, default_retry_ms);
    }
    let known_crashes = match suspects::admit(&node, &request) {
        Ok(crashes) => crashes,
        Err((reason, remaining)) => {
            return not_run(reason, remaining.map_or(default_retry_ms, millis));
        }
    };
    node.metrics.on_back_end_send();
    let remaining = deadline.since(BootClock.now());
    let head = encode_head(&request, &back_end, remaining);
    let connections = &node.proxy.connections;
    let exchange = connections.exchange(
        &head,
        &request.body,
        &request.request_id,
        !request.idempotent,
    );
    match tokio::time::timeout(remaining + DEADLINE_SLACK, exchange).await {
        Err(_) => RequestOutcome::Lost(LossCause::TimedOut),
        Ok(Ok((response, check))) => {
            node.on_back_end_response(slot.started);
            record_doubtful(&node, &request, &back_end, &response, check);
            if matches!(check, ResponseCheck::Valid | ResponseCheck::NotExecuted) {
                let incarnation = &back_end.incarnation;
                named_limit::on_response(&node, incarnation, &response, slot.started);
                cold_limit::on_response(&node, incarnation, &response);
                slowness::on_response(&node, incarnation, &response);
                let headers = response.headers.iter().map(|h| (&h.name, &h.value));
                if leaving::on_response(&node, incarnation, headers) {
                    node.on_departure(Departure::from(incarnation));
                }
            }
            let outcome = classify_response(response, check, default_retry_ms);
            if let RequestOutcome::Response(response) = &outcome {
                slot.complete();
                if response.status < 500 {
                    suspects::on_completion(&node, &request);
                }
            }
            outcome
        }
        Ok(Err(error)) => {
            let interrupted = crash_watch::interrupted_now(&request, known_crashes, slot.started);
            log::warn!(
                event = "exchange-failed",
                id = std::str::from_utf8(&request.request_id).unwrap_or("?"),
                digest:% = interrupted.fingerprint,
                back_end = back_end.incarnation.id.as_str(),
                fault:? = error,
                ran_ms = BootClock.now().since(slot.started).as_millis() as u64;
                ""
            );
            if error == ExchangeError::Cut {
                crash_watch::on_interrupted(&node, &back_end.incarnation, interrupted).await;
            } else {
                node.on_exchange_error(error);
            }
            match error {
                ExchangeError::NobodyListens | ExchangeError::Unreachable => {
                    not_run(RejectReason::Unreachable, default_retry_ms)
                }
                ExchangeError::Cut => RequestOutcome::Lost(LossCause::Cut),
                ExchangeError::Spoilt | ExchangeError::Evicted => {
                    RequestOutcome::Lost(LossCause::Spoilt)
                }
            }
        }
    }
}

/// Logs and counts a response that is unsigned or can't be passed on, unless it says that the request was
/// not executed.
fn record_doubtful(
    node: &Node,
    request: &ForwardedRequest,
    back_end: &LocalBackEnd,
    response: &Response,
    check: ResponseCheck,
) {
    let is_signed = message::is_signed(response);
    let event = match check {
        ResponseCheck::Corrupt => "response-refused",
        ResponseCheck::Valid if !is_signed => "unsigned-response",
        _ => return,
    };
    if !is_signed {
        node.metrics.on_unsigned_response();
    }
    log::warn!(
        event = event,
        id = std::str::from_utf8(&request.request_id).unwrap_or("?"),
        back_end = back_end.incarnation.id.as_str(),
        status = response.status,
        signed = is_signed;
        ""
    );
}

fn encode_head(request: &ForwardedRequest, back_end: &LocalBackEnd, timeout: Duration) -> BytesMut {
    let headers = unpack_headers(request.headers.clone());
    let mut head = BytesMut::with_capacity(512);
    message::encode_head(
        &mut head,
        &BackEndRequest {
            method: &request.method,
            target: &request.target,
            headers: &headers,
            body: &request.body,
            remaining: timeout,
            back_end: &back_end.incarnation.id,
            caller: request.caller.as_str(),
        },
    );
    head
}

fn classify_response(
    response: Response,
    check: ResponseCheck,
    default_retry_ms: u32,
) -> RequestOutcome {
    match check {
        ResponseCheck::Valid => {
            let mut headers = response.headers;
            headers.remove_hop_by_hop();
            RequestOutcome::Response(Box::new(ForwardedResponse {
                status: response.status,
                headers: pack_headers(&headers),
                body: response.body,
            }))
        }
        ResponseCheck::NotExecuted => not_run(RejectReason::BackEndRefused, default_retry_ms),
        ResponseCheck::WrongBackEnd => not_run(RejectReason::TurnedAway, default_retry_ms),
        ResponseCheck::OtherRequest | ResponseCheck::Corrupt => {
            RequestOutcome::Lost(LossCause::Spoilt)
        }
    }
}
