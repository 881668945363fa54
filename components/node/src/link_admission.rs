//! Rejects requests of peers whose large responses the machine's own link cannot send in time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use admission::link::{ExpectedResponse, Link, LinkForecast};
use http1::request;
use platform::message;

use crate::frame::{ForwardedRequest, RejectReason, RequestOutcome};
use crate::node::Node;
use crate::outgoing::Outgoing;

/// What the responses to requests of peers take of the link.
#[derive(Default)]
pub struct LinkAdmission {
    forecast: RefCell<LinkForecast>,
}

/// A request of a peer that runs or waits here; dropping it ends it.
pub struct PeerResponse {
    node: Rc<Node>,
    expected: Option<ExpectedResponse>,
    /// Length of its response, once it has one.
    bytes: Option<usize>,
}

impl PeerResponse {
    /// Records that the request has a response, which is queued now.
    pub fn complete(&mut self, response: &Outgoing) {
        self.bytes = Some(response.frame.len() + response.body.len());
    }
}

impl Drop for PeerResponse {
    fn drop(&mut self) {
        if let Some(expected) = self.expected.take() {
            let mut forecast = self.node.link_admission.forecast.borrow_mut();
            forecast.finish(expected, self.bytes);
        }
    }
}

/// Admits a request of a peer, unless its route has large responses and the link could not send this one
/// before its target. Without a stated rate of the link, each is admitted.
///
/// # Errors
/// Returns the outcome of a request that is rejected; it does not run.
pub fn admit(node: &Rc<Node>, request: &ForwardedRequest) -> Result<PeerResponse, RequestOutcome> {
    let mut response = PeerResponse {
        node: Rc::clone(node),
        expected: None,
        bytes: None,
    };
    let Some(rate) = node.settings.link_rate else {
        return Ok(response);
    };
    let link = Link {
        rate,
        queued_bytes: node.queued_bytes.get(),
    };
    let target = Duration::from_millis(u64::from(request.target_ms));
    let mut forecast = node.link_admission.forecast.borrow_mut();
    if has_large_responses(node, request)
        && let Err(wait) = forecast.check(request.class, link, target)
    {
        let retry_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        log::info!(
            event = "refuse-link",
            id = std::str::from_utf8(&request.request_id).unwrap_or("?"),
            wait_ms = retry_ms,
            target_ms = request.target_ms,
            queued_bytes = link.queued_bytes;
            ""
        );
        node.metrics.on_rejection("link");
        let reason = RejectReason::Full;
        return Err(RequestOutcome::NotRun { reason, retry_ms });
    }
    response.expected = Some(forecast.start(request.class));
    drop(forecast);
    Ok(response)
}

fn has_large_responses(node: &Node, forwarded: &ForwardedRequest) -> bool {
    let host = message::host(&forwarded.target, &forwarded.headers);
    node.active_config().is_some_and(|config| {
        let route = config
            .catalog
            .route(&host, request::target_path(&forwarded.target));
        route.is_some_and(|r| r.large_responses)
    })
}
