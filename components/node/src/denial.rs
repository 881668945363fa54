//! Refusals after which a caller does not try again: its request matches no route, exceeds the limits or
//! is malformed.

use http1::error::ParseError;
use timer::{BootClock, Clock};

use crate::node::Node;

/// Why a request is refused for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The configuration has no route for it.
    NoRoute,
    /// Its route leads to no service.
    NoTarget,
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
            Self::NoRoute | Self::NoTarget => 404,
            Self::HeadTooLong => 431,
            Self::BodyTooLong => 413,
            Self::Malformed => 400,
        }
    }

    /// Returns its name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::NoTarget => "no-target",
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

/// Logs and counts the denial of the request `id`, which is empty if it is not known, with the age of the
/// configuration on which it rests.
pub(crate) fn record(node: &Node, id: &[u8], denial: Denial) {
    node.metrics.on_denial(denial.name());
    let now = BootClock.now();
    let config = node.active_config();
    let in_force_ms = config.as_ref().map(|c| now.since(c.since).as_millis());
    let confirmed = node.config_confirmed_at();
    let confirmed_ms = confirmed.map(|at| now.since(at).as_millis());
    let version = node.configuration_version();
    let later = node.random_peer(|s| s.has_later_configuration(version));
    log::info!(
        event = "denied",
        id = std::str::from_utf8(id).unwrap_or("?"),
        status = denial.status(),
        reason = denial.name(),
        version,
        in_force_ms:? = in_force_ms,
        confirmed_ms:? = confirmed_ms,
        later_at = later.as_ref().map_or("-", |p| p.machine.as_str()),
        era:% = node.store_era();
        ""
    );
}
