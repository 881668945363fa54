//! Keys that a machine is taking back from its back end.

use world::instant::BootInstant;

use crate::key_report::{HeldKeys, ReleasedKeys};
use crate::span::{Span, subtract};

/// Keys that no back end holds any more, with the record for the next holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedSpan {
    /// The keys.
    pub span: Span,
    /// Record for the next holder, or empty.
    pub handover: String,
}

/// Keys that are no longer granted but may still be held.
#[derive(Clone, Debug)]
pub struct Release {
    span: Span,
    /// Instant by which every grant of these keys has run out.
    expires: BootInstant,
    pieces: Vec<ReleasedSpan>,
    open: Vec<Span>,
    still_held: bool,
    told: bool,
}

impl Release {
    /// Starts taking `span` back; every grant of it has run out at `expires`.
    #[must_use]
    pub fn new(span: Span, expires: BootInstant) -> Self {
        Self {
            span,
            expires,
            pieces: Vec::new(),
            open: vec![span],
            still_held: true,
            told: false,
        }
    }

    /// The keys.
    #[must_use]
    pub fn span(&self) -> Span {
        self.span
    }

    /// Records that the back end has been told to release the keys.
    pub fn tell(&mut self) {
        self.told = true;
    }

    /// Whether the back end has been told to release the keys.
    #[must_use]
    pub fn is_told(&self) -> bool {
        self.told
    }

    /// Takes in a report of the back end.
    pub fn on_report(&mut self, held: &[HeldKeys], freed: &[ReleasedKeys]) {
        for f in freed {
            let fresh: Vec<Span> = self.open.iter().filter_map(|o| o.overlap(f.span)).collect();
            for span in fresh {
                self.pieces.push(ReleasedSpan {
                    span,
                    handover: f.handover.clone(),
                });
            }
            self.open = subtract(&self.open, f.span);
        }
        self.still_held = held.iter().any(|h| h.span.overlap(self.span).is_some());
    }

    /// Records that every grant has run out at `now`.
    pub fn expire(&mut self, now: BootInstant) {
        self.expires = self.expires.min(now);
    }

    /// Whether no back end holds any of the keys.
    #[must_use]
    pub fn is_done(&self, now: BootInstant) -> bool {
        now >= self.expires || (self.open.is_empty() && !self.still_held)
    }

    /// The keys as pieces; those without a record have an empty one.
    pub fn pieces(&self) -> impl Iterator<Item = ReleasedSpan> {
        let bare = self.open.iter().map(|span| ReleasedSpan {
            span: *span,
            handover: String::new(),
        });
        self.pieces.iter().cloned().chain(bare)
    }
}
