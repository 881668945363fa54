//! Checks: which keys are held by whom, and in which order of fencing tokens.

use shards::span::Span;

use super::Simulation;
use super::rules::Rule;

/// Distance between two keys whose fencing tokens and holders are followed.
const SAMPLE_STEP: usize = 61;
/// Bits of a fencing token below the era.
const COUNTER_MASK: u64 = u32::MAX as u64;

/// What is known of one sampled key.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    /// Last grant: machine, start time of its back end, fencing token.
    last_grant: Option<(usize, u64, u64)>,
    /// When it was last held; `None` before the first holder.
    held_at: Option<f64>,
}

/// Follows some of the keys.
#[derive(Clone, Debug)]
pub(super) struct Samples {
    samples: Vec<Sample>,
    longest_gap: f64,
    last_gap_end: f64,
}

impl Samples {
    pub(super) fn new() -> Self {
        Self {
            samples: vec![Sample::default(); 65_536 / SAMPLE_STEP + 1],
            longest_gap: 0.0,
            last_gap_end: 0.0,
        }
    }

    fn indices(span: Span) -> std::ops::RangeInclusive<usize> {
        usize::from(span.from).div_ceil(SAMPLE_STEP)..=usize::from(span.to) / SAMPLE_STEP
    }

    /// Records that `span` is held at `now`.
    fn hold(&mut self, span: Span, now: f64) {
        for index in Self::indices(span) {
            self.samples[index].held_at = Some(now);
        }
    }

    /// Records how long keys have been without a holder at `now`.
    fn measure_gaps(&mut self, now: f64) {
        for held_at in self.samples.iter().filter_map(|s| s.held_at) {
            if held_at < now {
                self.longest_gap = self.longest_gap.max(now - held_at);
                self.last_gap_end = now;
            }
        }
    }
}

impl Simulation {
    /// Returns the number of keys that back ends hold.
    pub(crate) fn held_keys(&self) -> u32 {
        let back_ends = self.machines.iter().filter_map(|m| m.back_end.as_ref());
        back_ends
            .flat_map(|b| b.holdings.iter())
            .map(|r| r.span.len())
            .sum()
    }

    /// Returns the longest time in milliseconds that a key had no holder, after its first one.
    pub(crate) fn longest_gap(&self) -> f64 {
        self.samples.longest_gap
    }

    /// Returns the last time at which a key had no holder, after its first one.
    pub(crate) fn last_gap_end(&self) -> f64 {
        self.samples.last_gap_end
    }

    /// Records which keys are held now.
    pub(super) fn record_holdings(&mut self) {
        let back_ends = self.machines.iter().filter_map(|m| m.back_end.as_ref());
        for holding in back_ends.flat_map(|b| &b.holdings) {
            self.samples.hold(holding.span, self.now);
        }
        self.samples.measure_gaps(self.now);
    }

    pub(super) fn record_grant(
        &mut self,
        machine: usize,
        born: u64,
        span: Span,
        fence: u64,
    ) -> Option<String> {
        let fence = match self.disabled_rule {
            Some(Rule::FencesCarryEra) => fence & COUNTER_MASK,
            _ => fence,
        };
        for sample in Samples::indices(span) {
            let before = self.samples.samples[sample].last_grant;
            if let Some((holder, holder_born, old)) = before {
                let same = holder == machine && holder_born == born;
                if !same && fence <= old {
                    return Some(format!(
                        "at {} key {} went from m{holder} to m{machine} with fence {fence} after {old}",
                        self.now,
                        sample * SAMPLE_STEP
                    ));
                }
            }
            self.samples.samples[sample].last_grant = Some((machine, born, fence));
        }
        None
    }

    pub(super) fn find_shared_keys(&self) -> Option<String> {
        let mut all: Vec<(usize, usize, u16, u16)> = Vec::new();
        for (i, m) in self.machines.iter().enumerate() {
            for r in m.back_end.iter().flat_map(|b| &b.holdings) {
                all.push((i, i, r.span.from, r.span.to));
            }
        }
        all.sort_by_key(|r| r.2);
        for (k, a) in all.iter().enumerate() {
            for b in all[k + 1..].iter().take_while(|b| b.2 <= a.3) {
                if a.0 != b.0 {
                    return Some(format!(
                        "at {} keys {}..={} are held by m{} and m{}",
                        self.now,
                        b.2,
                        a.3.min(b.3),
                        a.0,
                        b.0
                    ));
                }
            }
        }
        None
    }
}
