//! Tracks keys that a machine withdraws from its back end until no back end holds them.

use world::instant::BootInstant;

use crate::assignment::Range;
use crate::key_report::{HeldKeys, ReleasedKeys};
use crate::span::{Span, subtract};

/// A span that no back end holds any more, with its handover record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedSpan {
    /// The keys.
    pub span: Span,
    /// Handover record for the next holder, or empty.
    pub handover: String,
}

/// A span that is no longer granted but that the back end may still hold.
#[derive(Clone, Debug)]
pub struct Release {
    span: Span,
    /// Highest fencing token issued before the release began.
    fence: u64,
    /// Instant by which every grant of these keys has expired.
    expires: BootInstant,
    /// Parts that the back end has reported as released.
    released: Vec<ReleasedSpan>,
    /// Parts that it has not reported as released yet.
    unreleased: Vec<Span>,
    /// Whether its last report still listed any of the keys as held.
    in_use: bool,
    /// Whether a reply without these keys has been sent.
    release_sent: bool,
}

impl Release {
    /// Starts the release of `span`, every grant of which has expired at `expires`, when tokens up to
    /// `fence` have been issued.
    #[must_use]
    pub fn new(span: Span, fence: u64, expires: BootInstant) -> Self {
        Self {
            span,
            fence,
            expires,
            released: Vec::new(),
            unreleased: vec![span],
            in_use: true,
            release_sent: false,
        }
    }

    /// Returns the keys to be released.
    #[must_use]
    pub fn span(&self) -> Span {
        self.span
    }

    /// Whether a range is still to be released: one with a later token has been assigned since.
    #[must_use]
    pub fn concerns(&self, range: &Range) -> bool {
        range.fence <= self.fence && range.span.overlap(self.span).is_some()
    }

    /// Records that a reply without these keys has been sent to the back end.
    pub fn mark_sent(&mut self) {
        self.release_sent = true;
    }

    /// Whether a reply without these keys has been sent to the back end.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.release_sent
    }

    /// Records which of the keys the back end reports as held and as released.
    pub fn on_report(&mut self, held_keys: &[HeldKeys], released_keys: &[ReleasedKeys]) {
        for report in released_keys {
            let spans: Vec<Span> = self
                .unreleased
                .iter()
                .filter_map(|o| o.overlap(report.span))
                .collect();
            for span in spans {
                self.released.push(ReleasedSpan {
                    span,
                    handover: report.handover.clone(),
                });
            }
            self.unreleased = subtract(&self.unreleased, report.span);
        }
        self.in_use = held_keys
            .iter()
            .any(|h| h.span.overlap(self.span).is_some());
    }

    /// Records that every grant of the keys has expired at `now`.
    pub fn expire(&mut self, now: BootInstant) {
        self.expires = self.expires.min(now);
    }

    /// Whether no back end holds any of the keys: all are released, or every grant has expired.
    #[must_use]
    pub fn is_complete(&self, now: BootInstant) -> bool {
        now >= self.expires || (self.unreleased.is_empty() && !self.in_use)
    }

    /// Returns all keys as spans with their handover records, empty for those not reported as
    /// released.
    pub fn released_spans(&self) -> impl Iterator<Item = ReleasedSpan> {
        let without_record = self.unreleased.iter().map(|span| ReleasedSpan {
            span: *span,
            handover: String::new(),
        });
        self.released.iter().cloned().chain(without_record)
    }
}
