//! The limit on requests to the local back end while it is cold.
//!
//! The back end proxy enforces it alone, as every request to the back end passes there. A back end that
//! becomes cold between two heartbeats is not known to be cold until the next heartbeat or response says
//! so.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use admission::cold_limit::ColdBound;
use admission::cold_state::{ColdReport, ColdState};
use http1::response::Response;
use platform::message;
use shards::incarnation::BackEndIncarnation;
use timer::{BootClock, Clock};
use world::instant::BootInstant;
use world::rate::RequestRate;

use crate::node::Node;

/// Requests that are started in a second at a cold back end until the configuration tells its rate.
const UNKNOWN_RATE: f64 = 10.0;

/// What is known about the cold times of the local back end.
#[derive(Default)]
pub struct ColdBackEnd {
    state: RefCell<ColdState>,
    /// Whether the log says that the back end is limited.
    is_logged: Cell<bool>,
}

impl ColdBackEnd {
    /// Returns until when the back end is cold.
    #[must_use]
    pub fn until(&self) -> BootInstant {
        self.state.borrow().cold_until()
    }

    /// Records what a heartbeat says; call [`apply`] once the back end is recorded too.
    pub fn on_heartbeat(&self, report: ColdReport, now: BootInstant) {
        self.state.borrow_mut().on_heartbeat(report, now);
    }

    /// Takes the back end to be cold until `until`, whatever it says.
    pub(crate) fn assume(&self, until: BootInstant) {
        self.state.borrow_mut().assume(until);
    }
}

/// Returns the limit for a cold back end of this machine's service, `None` for any number of requests.
fn bound(node: &Node) -> Option<ColdBound> {
    let rate = match node.active_config() {
        Some(config) => config.catalog.services.get(&node.service())?.cold_rate,
        None => RequestRate::per_second(UNKNOWN_RATE),
    };
    let bounds = node.bounds();
    rate.map(|r| ColdBound::new(r, bounds.cold_overage, bounds.cold_slack))
}

/// Returns whether the configuration limits the requests to a cold back end of this machine's service.
#[must_use]
pub fn is_configured(node: &Node) -> bool {
    node.active_config().is_some() && bound(node).is_some()
}

/// Returns whether the local back end is cold: by all that is known if its service has a limit for that,
/// else by its last heartbeat.
#[must_use]
pub fn is_cold(node: &Node, now: BootInstant) -> bool {
    if is_configured(node) {
        return now < node.proxy.cold.until();
    }
    let back_end = node.proxy.back_end.borrow();
    back_end.as_ref().is_some_and(|b| now < b.cold_until)
}

/// Puts the limit in force, after a change of the configuration, of the bounds or of what is known about
/// the back end; logs if the back end is limited from now on, or no longer.
pub fn apply(node: &Node) {
    let now = BootClock.now();
    node.proxy.set_cold_bound(bound(node), now);
    log_change(node, now);
}

fn log_change(node: &Node, now: BootInstant) {
    let in_force = node.proxy.cold_bound(now);
    if node.proxy.cold.is_logged.replace(in_force.is_some()) == in_force.is_some() {
        return;
    }
    let Some(incarnation) = node.proxy.incarnation() else {
        return;
    };
    log::info!(
        event = "back-end-cold",
        id = incarnation.id.as_str(),
        born = incarnation.born,
        cold = in_force.is_some(),
        rate:? = in_force.map(ColdBound::rate),
        burst:? = in_force.map(ColdBound::burst);
        ""
    );
}

/// Records for how long the incarnation `incarnation` of the local back end says in a response that it
/// stays cold.
pub fn on_response(node: &Node, incarnation: &BackEndIncarnation, response: &Response) {
    let Some(remaining) = message::cold_remaining(response) else {
        return;
    };
    if node.proxy.incarnation().as_ref() != Some(incarnation) {
        return;
    }
    let now = BootClock.now();
    let was_cold = is_cold(node, now);
    node.proxy
        .cold
        .state
        .borrow_mut()
        .on_response(remaining, now);
    apply(node);
    if !was_cold && is_cold(node, now) {
        node.announce();
    }
}

/// Starts queued requests as soon as a limit on requests per second allows, for as long as the process
/// runs.
pub async fn start_queued(node: Rc<Node>) {
    loop {
        let changed = node.proxy.queue_changed.notified();
        match node.proxy.next_start(BootClock.now()) {
            Some(wait) => {
                let _ = tokio::time::timeout(wait, changed).await;
            }
            None => changed.await,
        }
        node.proxy.start_queued();
    }
}
