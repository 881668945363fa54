//! Final responses of requests.

use std::time::Duration;

use http1::response::Response;
use platform::message;
use rand::Rng;

use super::homes::NoHome;
use super::{Completion, OUTAGE_RETRY_AFTER, RequestDispatch};
use crate::frame::{ForwardedResponse, unpack_headers};

/// Share of a rejected caller's remaining time that `Retry-After` covers at least; earlier, the
/// queue would be in the same state.
const MIN_RETRY_AFTER_RATIO: f64 = 0.2;

impl RequestDispatch<'_> {
    pub(super) fn complete_with(&self, response: ForwardedResponse) -> Completion {
        Completion {
            response: Response {
                status: response.status,
                headers: unpack_headers(response.headers),
                body: response.body,
            },
            outcome: "answered",
        }
    }

    /// Returns the final response when no other back end is tried: the last server error, 502 if
    /// the request may have run, otherwise 503.
    pub(super) fn give_up(&mut self) -> Completion {
        if let Some(response) = self.fallback_response.take() {
            return self.complete_with(*response);
        }
        let id = &self.template.request_id;
        if self.maybe_executed {
            return Completion {
                response: message::error_response(502, id, None),
                outcome: "lost",
            };
        }
        let min_retry_ms = self.rejections.iter().map(|(_, ms)| *ms).min();
        let suggested = min_retry_ms.map_or(OUTAGE_RETRY_AFTER, |ms| {
            Duration::from_millis(u64::from(ms))
        });
        let retry_after = suggested.max(self.remaining().mul_f64(MIN_RETRY_AFTER_RATIO));
        let jitter = rand::rng().random_range(0.7..1.4);
        Completion {
            response: message::error_response(503, id, Some(retry_after.mul_f64(jitter))),
            outcome: if min_retry_ms.is_some() {
                "no-room"
            } else {
                "no-back-end"
            },
        }
    }

    /// Returns the final response when no home region of its route can serve the request.
    pub(super) fn no_home(&mut self, cause: NoHome) -> Completion {
        if self.maybe_executed {
            return self.give_up();
        }
        self.node.metrics.on_no_home(cause.name());
        log::info!(
            event = "no-home",
            id = self.id_text(),
            route = self.route.name.as_str(),
            service = self.service.as_str(),
            cause = cause.name();
            ""
        );
        let id = &self.template.request_id;
        let jitter = rand::rng().random_range(0.7..1.4);
        let retry_after = OUTAGE_RETRY_AFTER.mul_f64(jitter);
        Completion {
            response: message::error_response(503, id, Some(retry_after)),
            outcome: "no-home",
        }
    }

    /// Returns the final response when the request is blocked for `remaining`, as it has crashed too
    /// many back ends.
    pub(super) fn quarantined(&mut self, remaining: Duration) -> Completion {
        if self.maybe_executed {
            return self.give_up();
        }
        Completion {
            response: message::error_response(503, &self.template.request_id, Some(remaining)),
            outcome: "quarantined",
        }
    }

    /// Returns the final response when the deadline has passed or the process aborts its requests.
    pub(super) fn time_out(&mut self) -> Completion {
        if let Some(response) = self.fallback_response.take() {
            return self.complete_with(*response);
        }
        Completion {
            response: message::error_response(504, &self.template.request_id, None),
            outcome: "timed-out",
        }
    }
}
