//! Handles heartbeats and deregistrations of the back end beside this process.

use std::rc::Rc;
use std::time::Duration;

use admission::cold_state::ColdReport;
use http1::response::Response;
use platform::heartbeat::{Heartbeat, decode_deregistration, encode_reply};
use shards::incarnation::BackEndIncarnation;
use shards::key_report::{GrantReply, KeyReport};
use timer::{BootClock, Clock};
use world::excerpt::excerpt;
use world::instant::BootInstant;

use crate::back_end_proxy::{Availability, LocalBackEnd};
use crate::departures::Departure;
use crate::node::Node;
use crate::{heartbeat_check, wall_clock};

/// Longest time for which a reply is held back; the back end accepts replies within one second.
const MAX_REPLY_DELAY: Duration = Duration::from_millis(600);
/// Time between two checks whether keys can be granted.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(20);

fn json(body: Vec<u8>) -> Response {
    let mut response = Response::new(200).with("Content-Type", "application/json");
    response.body = body.into();
    response
}

/// Logs and counts a heartbeat or deregistration that proves nothing, and refuses it.
fn refuse(node: &Node, id: &str, status: u16, reason: &str) -> Response {
    log::warn!(event = "heartbeat-refused", id = excerpt(id), status, error = excerpt(reason); "");
    node.metrics.on_refused_heartbeat();
    Response::new(status)
}

/// Returns how long a reply may still be held back.
fn delay_left(received: BootInstant) -> Duration {
    MAX_REPLY_DELAY.saturating_sub(BootClock.now().since(received))
}

/// Handles a heartbeat sent under an id.
///
/// The status is 200 if it is confirmed, 400 if it does not speak for the back end beside this
/// process, and 503 if it may be confirmed later.
pub async fn on_heartbeat(node: &Rc<Node>, id: &str, body: &[u8]) -> Response {
    let received = BootClock.now();
    let mut heartbeat = match Heartbeat::from_json(id, body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return refuse(node, id, 400, &error.to_string()),
    };
    if let Err(error) = heartbeat_check::check(node, &heartbeat) {
        return refuse(node, id, 400, &error.to_string());
    }
    node.departures.await_read(delay_left(received)).await;
    let now = BootClock.now();
    let incarnation = heartbeat.keys.incarnation.clone();
    let known = node.proxy.incarnation();
    let is_later = known
        .as_ref()
        .is_some_and(|k| *k != incarnation && k.born < incarnation.born);
    if is_later && node.is_back_end_running(now) {
        return refuse(node, id, 503, "the earlier incarnation still runs");
    }
    let is_leaving = heartbeat.keys.draining;
    if is_leaving {
        node.on_departure(Departure::from(&incarnation));
    }
    let reply = if is_outdated(node, known.as_ref(), &heartbeat.keys) {
        log::info!(event = "heartbeat-outdated", id = excerpt(id), sequence = heartbeat.keys.sequence; "");
        None
    } else {
        node.last_sequence.set(heartbeat.keys.sequence);
        heartbeat.keys.draining = node.departures.contain(&incarnation);
        grant(node, received, now, &heartbeat).await
    };
    if is_leaving && !is_stored(node, received, &Departure::from(&incarnation)).await {
        return Response::new(503);
    }
    json(encode_reply(reply.as_ref()))
}

/// Returns whether a later heartbeat, or one of a later incarnation, has arrived before.
fn is_outdated(node: &Node, known: Option<&BackEndIncarnation>, report: &KeyReport) -> bool {
    let incarnation = &report.incarnation;
    known.is_some_and(|k| {
        k != incarnation && incarnation.born <= k.born
            || k == incarnation && report.sequence <= node.last_sequence.get()
    })
}

/// Puts in force what a heartbeat reports and returns the keys to grant.
async fn grant(
    node: &Rc<Node>,
    received: BootInstant,
    now: BootInstant,
    heartbeat: &Heartbeat,
) -> Option<GrantReply> {
    let report = &heartbeat.keys;
    let state = if report.draining {
        Availability::Leaving
    } else {
        Availability::Ready
    };
    // Without a configuration it is unknown whether the service is divided by key.
    let may_hold_keys = heartbeat.lists_keys && (node.is_keyed() || node.active_config().is_none());
    let reply = if may_hold_keys {
        node.shard_manager.borrow_mut().on_report(now, report)
    } else {
        None
    };
    let cold_report = ColdReport {
        born: report.incarnation.born,
        sequence: report.sequence,
        remaining: heartbeat.warm_up,
    };
    node.proxy.cold.on_heartbeat(cold_report, now);
    node.on_heartbeat(LocalBackEnd {
        slots: node.usable_slots(&heartbeat.service, heartbeat.slots),
        service: heartbeat.service.clone(),
        incarnation: report.incarnation.clone(),
        cold_until: now + heartbeat.warm_up.unwrap_or_default(),
        last_contact: now,
        state,
    });
    let can_wait = may_hold_keys && state == Availability::Ready;
    match reply {
        Some(reply) if !reply.grants.is_empty() || !report.held_keys.is_empty() => Some(reply),
        reply if can_wait => await_grants(node, received, report).await.or(reply),
        reply => reply,
    }
}

/// Waits until keys can be granted, so that a back end that has just started gets them before its
/// next heartbeat.
async fn await_grants(
    node: &Rc<Node>,
    received: BootInstant,
    report: &KeyReport,
) -> Option<GrantReply> {
    while !delay_left(received).is_zero() && !node.is_stopping() {
        tokio::time::sleep(GRANT_POLL_INTERVAL).await;
        if node.active_config().is_none() {
            continue;
        }
        if !node.is_keyed() {
            return None;
        }
        let now = BootClock.now();
        let mut manager = node.shard_manager.borrow_mut();
        let reply = manager.retry_report(received, now, report);
        if reply.is_some() {
            return reply;
        }
    }
    None
}

/// Waits until the store has a departure, so that it can be confirmed; returns whether it has.
async fn is_stored(node: &Node, received: BootInstant, departure: &Departure) -> bool {
    let era = || node.store_era();
    let timeout = delay_left(received);
    let is_stored = node.departures.await_stored(departure, era, timeout).await;
    if !is_stored {
        log::warn!(event = "departure-unconfirmed", id = excerpt(&departure.id), born = departure.born; "");
    }
    is_stored
}

/// Handles a deregistration sent under an id; the status is as for a heartbeat.
///
/// One that names no incarnation covers the known one with this id, else all that have started.
pub async fn on_deregistration(node: &Rc<Node>, id: &str, body: &[u8]) -> Response {
    let received = BootClock.now();
    let born = match decode_deregistration(body) {
        Ok(born) => born,
        Err(error) => return refuse(node, id, 400, &error.to_string()),
    };
    if born.is_some_and(|b| !heartbeat_check::has_started(b)) {
        return refuse(node, id, 400, "it names an incarnation of the future");
    }
    let known = node.proxy.incarnation();
    let same_id = known.as_ref().filter(|k| k.id == id);
    let born = born.or(same_id.map(|k| k.born));
    let departure = Departure {
        id: id.to_owned(),
        born: born.unwrap_or_else(wall_clock::unix_ms),
    };
    let is_known = known.as_ref().is_some_and(|k| departure.covers(k));
    log::info!(event = "back-end-deregistered", id = excerpt(id), born = departure.born, known = is_known; "");
    node.on_departure(departure.clone());
    if is_stored(node, received, &departure).await {
        json(b"{}".to_vec())
    } else {
        Response::new(503)
    }
}
