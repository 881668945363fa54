//! Refusals after which a caller does not try again: its request matches no route, exceeds the limits or
//! is malformed.
//!
//! One that rests on a configuration which may be stale is deferred: the request is refused with 503, so
//! that the caller comes back.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use catalog::Route;
use catalog::freshness::StaleReason;
use http1::error::ParseError;
use platform::message;
use timer::{BootClock, Clock};

use crate::config_check::REFRESH_TIMEOUT;
use crate::dispatch::Completion;
use crate::node::{ActiveConfig, Node};
use crate::peer_sync;

/// `Retry-After` of responses while the configuration may be stale.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a request is refused for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The configuration has no route for it.
    NoRoute,
    /// Its head exceeds the limit.
    HeadTooLong,
    /// Its body exceeds the limit.
    BodyTooLong,
    /// It violates the HTTP/1.1 syntax.
    Malformed,
}

impl Denial {
    /// Returns the status of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::HeadTooLong => 431,
            Self::BodyTooLong => 413,
            Self::Malformed => 400,
        }
    }

    /// Returns whether another configuration might allow the request.
    pub(crate) fn rests_on_configuration(self) -> bool {
        self != Self::Malformed
    }

    /// Returns its name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::HeadTooLong => "head-too-long",
            Self::BodyTooLong => "body-too-long",
            Self::Malformed => "malformed",
        }
    }
}

impl From<ParseError> for Denial {
    fn from(error: ParseError) -> Self {
        match error {
            ParseError::HeadTooLong => Self::HeadTooLong,
            ParseError::BodyTooLong => Self::BodyTooLong,
            ParseError::Malformed { .. } => Self::Malformed,
        }
    }
}

/// Returns the route of a request to `path` of `host` and the configuration that has it, or that has none
/// for it; `None` without a configuration.
///
/// If the configuration in force has no route and may be stale, a later one is awaited for `patience`.
pub async fn find_route(
    node: &Rc<Node>,
    host: &str,
    path: &str,
    patience: Duration,
) -> Option<(ActiveConfig, Option<Rc<Route>>)> {
    let config = node.active_config()?;
    if let Some(route) = config.catalog.route(host, path).cloned() {
        return Some((config, Some(route)));
    }
    refresh_if_stale(node, patience).await;
    let config = node.active_config()?;
    let route = config.catalog.route(host, path).cloned();
    Some((config, route))
}

/// Asks for the newest configuration if the one in force may be stale and somebody may know a later one;
/// waits for it no longer than `patience`, and not at all just after a failure.
pub async fn refresh_if_stale(node: &Rc<Node>, patience: Duration) {
    let Some(reason) = node.config_staleness() else {
        return;
    };
    if node.config_check.has_just_failed() {
        return;
    }
    let limit = patience.min(REFRESH_TIMEOUT);
    match reason {
        StaleReason::LaterAtPeer => peer_sync::await_later_configuration(node, limit).await,
        StaleReason::Unconfirmed => node.config_check.wait(limit).await,
        StaleReason::NoConfiguration
        | StaleReason::Replaced
        | StaleReason::Unreadable
        | StaleReason::StoreRestored => {}
    }
}

/// Returns the response to the request `id`, empty if it is not known, which the configuration of `version`
/// denies: the denial, or 503 if that configuration may be stale.
pub(crate) fn respond(node: &Node, id: &Bytes, denial: Denial, version: u64) -> Completion {
    let stale = if !denial.rests_on_configuration() {
        None
    } else if version != node.configuration_version() {
        Some(StaleReason::Replaced)
    } else {
        node.config_staleness()
    };
    record(node, id, denial, stale);
    match stale {
        None => Completion {
            response: message::error_response(denial.status(), id, None),
            outcome: denial.name(),
        },
        Some(_) => Completion {
            response: message::error_response(503, id, Some(STALE_RETRY_AFTER)),
            outcome: "stale-configuration",
        },
    }
}

/// Logs and counts a denial, or why it is deferred, with the age of the configuration on which it rests.
fn record(node: &Node, id: &[u8], denial: Denial, stale: Option<StaleReason>) {
    if stale.is_none() {
        node.metrics.on_denial(denial.name());
    } else {
        node.metrics.on_deferred_denial();
    }
    let now = BootClock.now();
    let config = node.active_config();
    let in_force_ms = config.as_ref().map(|c| now.since(c.since).as_millis());
    let confirmed = node.config_confirmed_at();
    let confirmed_ms = confirmed.map(|at| now.since(at).as_millis());
    let version = node.configuration_version();
    let later = node.random_peer(|s| s.has_later_configuration(version));
    log::info!(
        event = if stale.is_none() { "denied" } else { "denial-deferred" },
        id = std::str::from_utf8(id).unwrap_or("?"),
        status = denial.status(),
        reason = denial.name(),
        stale = stale.map_or("-", StaleReason::name),
        version,
        in_force_ms:? = in_force_ms,
        confirmed_ms:? = confirmed_ms,
        later_at = later.as_ref().map_or("-", |p| p.machine.as_str()),
        era:% = node.store_era();
        ""
    );
}
