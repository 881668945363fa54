//! Contiguous spans of keys.

use serde::{Deserialize, Serialize};

/// A contiguous span of keys, both ends inclusive.
///
/// `from` is never above `to`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span {
    /// Lowest key.
    pub from: u16,
    /// Highest key.
    pub to: u16,
}

/// Every key.
pub const ALL: Span = Span {
    from: 0,
    to: u16::MAX,
};

impl Span {
    /// Makes a span; `None` if `from` is above `to`.
    #[must_use]
    pub fn new(from: u16, to: u16) -> Option<Self> {
        (from <= to).then_some(Self { from, to })
    }

    /// Number of keys.
    #[must_use]
    pub fn len(self) -> u32 {
        u32::from(self.to) - u32::from(self.from) + 1
    }

    /// Returns false: a span is never empty.
    #[must_use]
    pub fn is_empty(self) -> bool {
        false
    }

    /// Whether the key is in the span.
    #[must_use]
    pub fn contains(self, key: u16) -> bool {
        (self.from..=self.to).contains(&key)
    }

    /// Whether every key of `other` is in the span.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.from <= other.from && other.to <= self.to
    }

    /// Returns the intersection of both spans, or `None` if they share no key.
    #[must_use]
    pub fn overlap(self, other: Self) -> Option<Self> {
        Self::new(self.from.max(other.from), self.to.min(other.to))
    }

    /// Returns the keys of this span that are not in `other`: at most one span below and one above
    /// it.
    pub fn without(self, other: Self) -> impl Iterator<Item = Self> {
        let below = other
            .from
            .checked_sub(1)
            .and_then(|end| Self::new(self.from, end.min(self.to)));
        let above = other
            .to
            .checked_add(1)
            .and_then(|start| Self::new(start.max(self.from), self.to));
        below.into_iter().chain(above)
    }
}

/// Removes `taken` from every span of `spans`.
#[must_use]
pub fn subtract(spans: &[Span], taken: Span) -> Vec<Span> {
    spans.iter().flat_map(|s| s.without(taken)).collect()
}
