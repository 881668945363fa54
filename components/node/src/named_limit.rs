//! The limit in requests a second that the local back end names in its responses.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use http1::response::Response;
use platform::message;
use shards::incarnation::BackEndIncarnation;
use timer::{BootClock, Clock};
use world::instant::BootInstant;
use world::rate::RequestRate;

use crate::node::Node;

/// Requests that are started in a second until the first response has shown whether there is a limit:
/// after a restart of the process the back end may have named one long before.
const INITIAL_RATE: f64 = 10.0;
/// Shortest time between two log lines on changes of the limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What is known about the limit of an incarnation of the back end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum KnownLimit {
    /// No response has arrived yet.
    Unknown,
    /// Its responses name none.
    Unlimited,
    /// The last response that names one has arrived at `at`.
    Named { rate: RequestRate, at: BootInstant },
}

/// Limit of the local back end.
pub struct NamedLimit {
    incarnation: RefCell<Option<BackEndIncarnation>>,
    known: Cell<KnownLimit>,
    logged_at: Cell<Option<BootInstant>>,
}

impl Default for NamedLimit {
    fn default() -> Self {
        Self {
            incarnation: RefCell::default(),
            known: Cell::new(KnownLimit::Unknown),
            logged_at: Cell::default(),
        }
    }
}

impl NamedLimit {
    /// Returns the rate at which requests may start, `None` for any.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        match self.known.get() {
            KnownLimit::Unknown => RequestRate::per_second(INITIAL_RATE),
            KnownLimit::Unlimited => None,
            KnownLimit::Named { rate, .. } => Some(rate),
        }
    }

    /// Returns the limit that the back end names, `None` if it is not known to name one.
    #[must_use]
    pub fn named(&self) -> Option<RequestRate> {
        match self.known.get() {
            KnownLimit::Named { rate, .. } => Some(rate),
            KnownLimit::Unknown | KnownLimit::Unlimited => None,
        }
    }

    /// Forgets the limit if another incarnation than before sends heartbeats.
    pub fn on_heartbeat(&self, incarnation: &BackEndIncarnation) {
        if self.incarnation.borrow().as_ref() != Some(incarnation) {
            *self.incarnation.borrow_mut() = Some(incarnation.clone());
            self.known.set(KnownLimit::Unknown);
        }
    }

    /// Returns what is known after a response that names `limit`, to a request sent at `sent`.
    ///
    /// The response to a request that was sent before the last one that named a limit does not end
    /// it: the back end may have written it earlier.
    fn after_response(&self, limit: Option<RequestRate>, sent: BootInstant) -> KnownLimit {
        match (self.known.get(), limit) {
            (_, Some(rate)) => KnownLimit::Named {
                rate,
                at: BootClock.now(),
            },
            (KnownLimit::Named { rate, at }, None) if sent < at => KnownLimit::Named { rate, at },
            (_, None) => KnownLimit::Unlimited,
        }
    }

    fn log_change(&self, previous: Option<RequestRate>, incarnation: &BackEndIncarnation) {
        let current = self.named();
        let now = BootClock.now();
        let is_change_of_rate = previous.is_some() && current.is_some();
        let logged_at = self.logged_at.get();
        let is_recent = logged_at.is_some_and(|at| now.since(at) < LOG_INTERVAL);
        if previous == current || (is_change_of_rate && is_recent) {
            return;
        }
        self.logged_at.set(Some(now));
        let per_second = |limit: Option<RequestRate>| limit.map(RequestRate::as_per_second);
        log::warn!(
            event = "back-end-limit",
            id = incarnation.id.as_str(),
            born = incarnation.born,
            before:? = per_second(previous),
            limit:? = per_second(current);
            ""
        );
    }
}

/// Puts the limit in force that the incarnation `incarnation` of the local back end names in its
/// response to a request sent at `sent`.
pub fn on_response(
    node: &Node,
    incarnation: &BackEndIncarnation,
    response: &Response,
    sent: BootInstant,
) {
    let named_limit = &node.proxy.named_limit;
    if named_limit.incarnation.borrow().as_ref() != Some(incarnation) {
        return;
    }
    let limit = match message::rate_limit(response) {
        Ok(limit) => limit,
        Err(error) => {
            log::warn!(event = "back-end-limit-refused", id = incarnation.id.as_str(), error:% = error; "");
            // What it named before stays in force.
            named_limit.named()
        }
    };
    let previous = named_limit.named();
    let known = named_limit.after_response(limit, sent);
    named_limit.known.set(known);
    named_limit.log_change(previous, incarnation);
    node.proxy.apply_limit();
}
