//! The end of a request: its line in the log, its metrics and its response.

use std::time::Duration;

use bytes::Bytes;
use http1::response::Response;
use platform::message;
use timer::{BootClock, Clock};
use world::instant::BootInstant;
use world::name::MachineName;

use super::Completion;
use crate::node::Node;

/// A caller's request that has no final response yet.
pub(super) struct Arrival<'a> {
    pub(super) node: &'a Node,
    /// Its id; empty if it has none.
    pub(super) id: Bytes,
    /// When it arrived.
    pub(super) received: BootInstant,
}

/// The sends of a request before its final response.
#[derive(Default)]
pub(super) struct Attempts<'a> {
    /// Machine to which it was sent last.
    pub(super) last_machine: Option<&'a MachineName>,
    /// Number of machines that may have run it or whose back end rejected it.
    pub(super) tried: usize,
}

impl Arrival<'_> {
    /// Returns the response to a request that is refused before it is sent to any back end. `version` is that
    /// of the configuration, 0 without one.
    pub(super) fn refuse(
        &self,
        outcome: &'static str,
        retry_after: Duration,
        version: u64,
    ) -> Response {
        let response = message::error_response(503, &self.id, Some(retry_after));
        let completion = Completion { response, outcome };
        self.finish(completion, version, &Attempts::default())
    }

    /// Logs and counts the end of the request; returns its final response.
    pub(super) fn finish(
        &self,
        completion: Completion,
        version: u64,
        attempts: &Attempts<'_>,
    ) -> Response {
        let Completion { response, outcome } = completion;
        let elapsed = BootClock.now().since(self.received);
        self.node.metrics.on_request(outcome, elapsed);
        log::info!(
            event = "request",
            id = std::str::from_utf8(&self.id).unwrap_or("?"),
            machine = attempts.last_machine.map_or("-", |m| m.as_str()),
            status = response.status,
            outcome,
            ms = elapsed.as_millis() as u64,
            tried = attempts.tried,
            version,
            stopping = self.node.is_stopping();
            ""
        );
        response
    }
}
